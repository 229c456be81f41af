package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Mix;
import io.dragonflyturn.internal.dispatch.RestartOrdersPlay.Violations;
import java.util.List;
import java.util.function.Function;
import java.util.stream.LongStream;

/** Plays of random orders of events, one for each seed of a range. */
final class OrdersSearch {
  private static final int REPORTED_SEEDS = 3;

  private final Mix mix;
  private final List<Play> plays;

  private OrdersSearch(Mix mix, List<Play> plays) {
    this.mix = mix;
    this.plays = plays;
  }

  /** Plays the seeds from the first to the last one. */
  static OrdersSearch play(Mix mix, long firstSeed, long lastSeed) {
    List<Play> plays =
        LongStream.rangeClosed(firstSeed, lastSeed).mapToObj(seed -> Play.of(seed, mix)).toList();
    return new OrdersSearch(mix, plays);
  }

  private record Play(long seed, Violations violations, String history) {
    static Play of(long seed, Mix mix) {
      RestartOrdersPlay play = new RestartOrdersPlay(seed, mix);
      Violations violations = play.play();
      return new Play(seed, violations, violations.isEmpty() ? "" : play.history());
    }
  }

  /** Fails with the seeds that have violations of a kind, and the events of the first of them. */
  void assertNone(Function<Violations, List<String>> kind) {
    List<Play> failing =
        plays.stream().filter(play -> !kind.apply(play.violations()).isEmpty()).toList();
    failing.stream().limit(REPORTED_SEEDS).forEach(play -> printEvents(play.seed()));
    assertThat(failing.stream().map(Play::seed)).as(() -> description(failing, kind)).isEmpty();
  }

  /** Plays a seed again, and writes what the instances logged to the standard error. */
  private void printEvents(long seed) {
    RestartOrdersPlay play = new RestartOrdersPlay(seed, mix);
    play.play();
    play.printEvents();
  }

  private String description(List<Play> failing, Function<Violations, List<String>> kind) {
    StringBuilder text = new StringBuilder();
    text.append(failing.size()).append(" of ").append(plays.size()).append(" seeds fail");
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
