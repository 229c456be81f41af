package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Violations;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Searches over random orders of events for those in which a task runs twice, or is lost, because a
 * worker started again under its identifier.
 */
class RestartOrdersTest {
  private static final int SEEDS = 3_000;
  private static final int REPORTED_SEEDS = 3;

  /** A seed beyond the others in which a start that was lost for long ran beside the next run. */
  private static final long LONG_LOST_START_SEED = 13_965;

  private static final List<Play> PLAYS = new ArrayList<>();

  private record Play(long seed, Violations violations, String history) {
    static Play of(long seed) {
      RestartOrdersPlay play = new RestartOrdersPlay(seed);
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
    assertNone(PLAYS, Violations::incomplete);
  }

  @Test
  void should_not_run_a_task_twice_at_the_same_time() {
    assertNone(PLAYS, Violations::simultaneousRuns);
    assertNone(List.of(Play.of(LONG_LOST_START_SEED)), Violations::simultaneousRuns);
  }

  /** The end of a run that had been given up is acknowledged without effect. */
  @Test
  void should_not_start_a_task_again_whose_done_end_was_acknowledged() {
    assertNone(PLAYS, Violations::startsOfDoneTasks);
  }

  /** A worker starts again, and takes a late start before the first order for its new life. */
  @Test
  void should_not_act_on_a_start_in_a_later_life_of_the_worker() {
    assertNone(PLAYS, Violations::byLateStarts);
  }

  private static void assertNone(List<Play> plays, Function<Violations, List<String>> kind) {
    List<Play> failing =
        plays.stream().filter(play -> !kind.apply(play.violations()).isEmpty()).toList();
    failing.stream().limit(REPORTED_SEEDS).forEach(play -> printEvents(play.seed()));
    assertThat(failing.stream().map(Play::seed))
        .as(() -> description(failing, kind, plays.size()))
        .isEmpty();
  }

  /** Plays a seed again, and writes what the instances logged to the standard error. */
  private static void printEvents(long seed) {
    RestartOrdersPlay play = new RestartOrdersPlay(seed);
    play.play();
    play.printEvents();
  }

  private static String description(
      List<Play> failing, Function<Violations, List<String>> kind, int played) {
    StringBuilder text = new StringBuilder();
    text.append(failing.size()).append(" of ").append(played).append(" seeds fail");
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
