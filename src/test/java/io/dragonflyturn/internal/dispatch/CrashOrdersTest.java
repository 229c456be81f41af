package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Mix;
import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Violations;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Searches over random orders of events around workers that crash, leave the list, and are back
 * under their identifiers, while orders are lost and carried out late. Two promises pull against
 * each other: a task that may still start late must not run elsewhere, and must not wait for long.
 */
class CrashOrdersTest {
  private static final int SEEDS = 1_500;
  private static final int REPORTED_SEEDS = 3;
  private static final List<Play> PLAYS = new ArrayList<>();

  private record Play(long seed, Violations violations, String history) {
    static Play of(long seed) {
      RestartOrdersPlay play = new RestartOrdersPlay(seed, Mix.CRASHES);
      Violations violations = play.play();
      return new Play(seed, violations, violations.isEmpty() ? "" : play.history());
    }
  }

  @BeforeAll
  static void playAllSeeds() {
    LongStream.rangeClosed(1, SEEDS).mapToObj(Play::of).forEach(PLAYS::add);
  }

  @Test
  void should_complete_all_jobs() {
    assertNone(Violations::incomplete);
  }

  @Test
  void should_not_run_a_task_twice_at_the_same_time() {
    assertNone(Violations::simultaneousRuns);
  }

  @Test
  void should_not_start_a_task_again_whose_done_end_was_acknowledged() {
    assertNone(Violations::startsOfDoneTasks);
  }

  /** A worker that is back takes a late start before the first order for its new life. */
  @Test
  void should_not_act_on_a_start_in_a_later_life_of_the_worker() {
    assertNone(Violations::byLateStarts);
  }

  /** A job that was placed on a crashed worker waited for 20 s beside idle ones. */
  @Test
  void should_not_wait_for_a_crashed_worker_beside_idle_ones() {
    assertNone(Violations::waiting);
  }

  private static void assertNone(Function<Violations, List<String>> kind) {
    List<Play> failing =
        PLAYS.stream().filter(play -> !kind.apply(play.violations()).isEmpty()).toList();
    assertThat(failing.stream().map(Play::seed)).as(() -> description(failing, kind)).isEmpty();
  }

  private static String description(List<Play> failing, Function<Violations, List<String>> kind) {
    StringBuilder text = new StringBuilder();
    text.append(failing.size()).append(" of ").append(SEEDS).append(" seeds fail");
    failing.stream()
        .limit(REPORTED_SEEDS)
        .forEach(
            play ->
                text.append("\nseed ")
                    .append(play.seed())
                    .append(": ")
                    .append(kind.apply(play.violations()))
                    .append('\n')
                    .append(play.history()));
    return text.append('\n').toString();
  }
}
