package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Mix;
import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Violations;
import org.junit.jupiter.api.Test;

/**
 * Searches over random orders of events around workers that crash, leave the list, and are back
 * under their identifiers, while orders are lost and carried out late. Two promises pull against
 * each other: a task that may still start late must not run elsewhere, and must not wait for long.
 */
class CrashOrdersTest {
  private static final OrdersSearch SEARCH = OrdersSearch.play(Mix.CRASHES, 1, 1_500);

  @Test
  void should_complete_all_jobs() {
    SEARCH.assertNone(Violations::incomplete);
  }

  @Test
  void should_not_run_a_task_twice_at_the_same_time() {
    SEARCH.assertNone(Violations::simultaneousRuns);
  }

  @Test
  void should_not_start_a_task_again_whose_done_end_was_acknowledged() {
    SEARCH.assertNone(Violations::startsOfDoneTasks);
  }

  /** A worker that is back takes a late start before the first order for its new life. */
  @Test
  void should_not_act_on_a_start_in_a_later_life_of_the_worker() {
    SEARCH.assertNone(Violations::byLateStarts);
  }

  /** A job that was placed on a crashed worker waited for 20 s beside idle ones. */
  @Test
  void should_not_wait_for_a_crashed_worker_beside_idle_ones() {
    SEARCH.assertNone(Violations::waiting);
  }
}
