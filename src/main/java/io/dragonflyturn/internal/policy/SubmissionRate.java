package io.dragonflyturn.internal.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which jobs exceed the rate at which their customer may submit: as many jobs a second as
 * its weight, with a burst of as many as are due in a window.
 *
 * <p>This answers a customer that submits many times its usual load, whose surplus would delay the
 * jobs of all others. The decision depends only on the times of acceptance, which are stored with
 * the jobs, so that a later leader comes to the same result.
 *
 * <pre>{@code
 * SubmissionRate rate = new SubmissionRate(5_000);
 * boolean overRate = rate.isExceededBy(customer, terms.weight(), job.acceptedMillis());
 * }</pre>
 */
public final class SubmissionRate {
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Allows for the rounding of fractions of a job. */
  private static final double ROUNDING = 1e-6;

  private final long windowMillis;
  private final Map<String, Bucket> bucketsByCustomer = new HashMap<>();

  /**
   * Creates a rate of which nothing has been used.
   *
   * @param windowMillis the time whose jobs may be submitted at once, in milliseconds
   */
  public SubmissionRate(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /**
   * Counts a job. Jobs must be given in the order of their submission, and each once.
   *
   * @param weight the weight of the customer; 0 if its rate is not limited
   * @param acceptedMillis when the job was accepted, in milliseconds since the epoch
   * @return whether the job exceeds the rate
   */
  public boolean isExceededBy(String customer, double weight, long acceptedMillis) {
    if (weight <= 0) {
      return false;
    }
    double burst = Math.max(1, weight * windowMillis / MILLIS_PER_SECOND);
    Bucket bucket =
        bucketsByCustomer.computeIfAbsent(customer, unused -> new Bucket(burst, acceptedMillis));
    bucket.refill(weight, burst, acceptedMillis);
    return !bucket.takeOne();
  }

  /** The jobs that a customer may still submit now. */
  private static final class Bucket {
    private double jobs;
    private long refilledMillis;

    Bucket(double jobs, long refilledMillis) {
      this.jobs = jobs;
      this.refilledMillis = refilledMillis;
    }

    /** Adds what has become due. A time before the last one, of another clock, adds nothing. */
    void refill(double weight, double burst, long nowMillis) {
      long elapsedMillis = Math.max(0, nowMillis - refilledMillis);
      jobs = Math.min(burst, jobs + weight * elapsedMillis / MILLIS_PER_SECOND);
      refilledMillis = Math.max(refilledMillis, nowMillis);
    }

    /** Takes one job. Returns whether there was one. */
    boolean takeOne() {
      boolean available = jobs >= 1 - ROUNDING;
      jobs -= available ? 1 : 0;
      return available;
    }
  }
}
