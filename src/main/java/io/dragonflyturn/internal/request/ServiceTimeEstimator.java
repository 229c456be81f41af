package io.dragonflyturn.internal.request;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates the service time of targets for each operation, as an exponentially weighted moving
 * average.
 *
 * <p>An estimate is halved for every half-life without a sample. Otherwise an estimate longer than
 * every deadline would cause all requests to be refused forever, because no new sample could
 * correct it.
 *
 * <p>Not thread-safe: guarded by {@link SlotQueue}.
 */
final class ServiceTimeEstimator {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  private final Map<TargetOperation, Estimate> estimates = new EnumMap<>(TargetOperation.class);

  /** Adds a measured service time. */
  void addSample(TargetOperation operation, Duration sample, Instant now) {
    estimates.merge(
        operation,
        new Estimate(sample.toNanos(), now),
        (current, initial) -> current.withSample(sample.toNanos(), now));
  }

  /** Returns the estimated service time of an operation, or zero if there was no sample yet. */
  Duration estimate(TargetOperation operation, Instant now) {
    Estimate current = estimates.get(operation);
    return current == null ? Duration.ZERO : Duration.ofNanos((long) current.nanosAt(now));
  }

  private record Estimate(double nanos, Instant lastSampleAt) {
    Estimate withSample(double sampleNanos, Instant now) {
      return new Estimate(nanos + SAMPLE_WEIGHT * (sampleNanos - nanos), now);
    }

    double nanosAt(Instant now) {
      long halfLives = Duration.between(lastSampleAt, now).dividedBy(HALF_LIFE);
      return nanos / Math.pow(2, halfLives);
    }
  }
}
