package io.dragonflyturn.internal.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Avoids targets that recently failed to accept or answer an attempt.
 *
 * <p>Without backoff, a target that refuses immediately appears idle and attracts all requests. The
 * delay doubles with each consecutive failure, up to a maximum.
 *
 * <p>Not thread-safe: guarded by {@link SlotQueue}.
 */
final class TargetBackoff {
  private static final int MAXIMUM_DOUBLINGS = 16;

  private final Duration initial;
  private final Duration maximum;
  private final Map<String, BackoffState> states = new HashMap<>();

  TargetBackoff(Duration initial, Duration maximum) {
    this.initial = initial;
    this.maximum = maximum;
  }

  /**
   * Records a failure of a target.
   *
   * @return how long the target is avoided
   */
  Duration recordFailure(String worker, Instant now) {
    BackoffState previous = states.get(worker);
    int doublings = previous == null ? 0 : Math.min(previous.doublings() + 1, MAXIMUM_DOUBLINGS);
    Duration doubled = initial.multipliedBy(1L << doublings);
    Duration delay = doubled.compareTo(maximum) > 0 ? maximum : doubled;
    states.put(worker, new BackoffState(doublings, now.plus(delay)));
    return delay;
  }

  /** Ends the backoff after the target answered. */
  void reset(String worker) {
    states.remove(worker);
  }

  /** Returns whether a target is currently avoided. */
  boolean isBackingOff(String worker, Instant now) {
    BackoffState state = states.get(worker);
    return state != null && now.isBefore(state.until());
  }

  private record BackoffState(int doublings, Instant until) {}
}
