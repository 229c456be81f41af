package io.dragonflyturn.internal.request;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;

/**
 * Estimates how long targets take for each kind of request.
 *
 * <p>An estimate halves for each half-life without a sample, so that a time that is too long for
 * every deadline does not keep all requests out for ever. Not safe for use by several threads:
 * {@link SlotQueue} guards it.
 */
final class ServiceTimes {
  private static final double SAMPLE_WEIGHT = 0.1;
  private static final Duration HALF_LIFE = Duration.ofSeconds(2);

  private final Map<TargetOperation, Estimate> estimates = new EnumMap<>(TargetOperation.class);

  /** Takes a sample. */
  void add(TargetOperation kind, Duration sample, Instant now) {
    estimates.merge(
        kind,
        new Estimate(sample.toNanos(), now),
        (known, first) -> known.with(sample.toNanos(), now));
  }

  /** Returns the expected time of a kind; zero where nothing is known. */
  Duration expected(TargetOperation kind, Instant now) {
    Estimate estimate = estimates.get(kind);
    return estimate == null ? Duration.ZERO : Duration.ofNanos((long) estimate.at(now));
  }

  private record Estimate(double nanos, Instant lastSampleAt) {
    Estimate with(double sampleNanos, Instant now) {
      return new Estimate(nanos + SAMPLE_WEIGHT * (sampleNanos - nanos), now);
    }

    double at(Instant now) {
      long halfLives = Duration.between(lastSampleAt, now).dividedBy(HALF_LIFE);
      return nanos / Math.pow(2, halfLives);
    }
  }
}
