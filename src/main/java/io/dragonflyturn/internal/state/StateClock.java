package io.dragonflyturn.internal.state;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Derives the state time from the timestamps of the envelopes, in log order.
 *
 * <p>A timestamp at most {@link #MAX_SKEW} ahead advances the state time. A timestamp further ahead
 * is stored as unconfirmed, so that a single wrong clock cannot move the time. If a second writer
 * is also more than {@link #MAX_SKEW} ahead, the state time advances to the lower of the two. If
 * the same writer's clock advances by another {@link #MAX_SKEW}, the state time advances to that
 * clock. A timestamp near the state time discards the unconfirmed one.
 */
final class StateClock {
  /**
   * The most by which one timestamp may advance the state time, and by which the timestamp of a
   * record may differ from it.
   */
  static final Duration MAX_SKEW = Duration.ofMinutes(5);

  private static final long MAX_SKEW_MILLIS = MAX_SKEW.toMillis();

  private long millis;
  private @Nullable UnconfirmedTime unconfirmed;

  long millis() {
    return millis;
  }

  @Nullable UnconfirmedTime unconfirmed() {
    return unconfirmed;
  }

  /** Updates the state time with the timestamp of an envelope. */
  void advance(String writer, long atMillis) {
    if (millis == 0) {
      millis = atMillis;
    } else if (atMillis > millis + MAX_SKEW_MILLIS) {
      handleClockAhead(writer, atMillis);
    } else if (atMillis >= millis - MAX_SKEW_MILLIS) {
      millis = Math.max(millis, atMillis);
      unconfirmed = null;
    }
  }

  private void handleClockAhead(String writer, long atMillis) {
    if (unconfirmed == null) {
      unconfirmed = new UnconfirmedTime(writer, atMillis);
    } else if (!unconfirmed.writer().equals(writer)) {
      millis = Math.min(unconfirmed.atMillis(), atMillis);
      unconfirmed = null;
    } else if (atMillis >= unconfirmed.atMillis() + MAX_SKEW_MILLIS) {
      millis = atMillis;
      unconfirmed = null;
    }
  }

  /** Returns the writer's timestamp, limited to {@link #MAX_SKEW} from the state time. */
  static long clampToStateTime(long atMillis, long stateMillis) {
    return Math.clamp(atMillis, stateMillis - MAX_SKEW_MILLIS, stateMillis + MAX_SKEW_MILLIS);
  }

  void restore(long savedMillis, @Nullable UnconfirmedTime savedUnconfirmed) {
    millis = savedMillis;
    unconfirmed = savedUnconfirmed;
  }
}
