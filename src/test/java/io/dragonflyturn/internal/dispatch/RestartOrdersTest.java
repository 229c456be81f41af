package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Mix;
import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Violations;
import org.junit.jupiter.api.Test;

/**
 * Searches over random orders of events for those in which a task runs twice, or is lost, because a
 * worker started again under its identifier.
 */
class RestartOrdersTest {
  /** A seed beyond the others in which a start that was lost for long ran beside the next run. */
  private static final long LONG_LOST_START_SEED = 13_965;

  private static final OrdersSearch SEARCH = OrdersSearch.play(Mix.RESTARTS, 1, 3_000);

  @Test
  void should_complete_all_jobs() {
    SEARCH.assertNone(Violations::incomplete);
  }

  @Test
  void should_not_run_a_task_twice_at_the_same_time() {
    SEARCH.assertNone(Violations::simultaneousRuns);
    OrdersSearch.play(Mix.RESTARTS, LONG_LOST_START_SEED, LONG_LOST_START_SEED)
        .assertNone(Violations::simultaneousRuns);
  }

  /** The end of a run that had been given up is acknowledged without effect. */
  @Test
  void should_not_start_a_task_again_whose_done_end_was_acknowledged() {
    SEARCH.assertNone(Violations::startsOfDoneTasks);
  }

  /** A worker starts again, and takes a late start before the first order for its new life. */
  @Test
  void should_not_act_on_a_start_in_a_later_life_of_the_worker() {
    SEARCH.assertNone(Violations::byLateStarts);
  }
}
