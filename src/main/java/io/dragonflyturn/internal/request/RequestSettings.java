package io.dragonflyturn.internal.request;

import java.time.Duration;

/**
 * Limits on request handling at one entry.
 *
 * @param freshnessBound the maximum age of the control state with which requests are sent
 * @param maximumDeadline the longest time that a caller may wait for a response
 * @param queueLimit the maximum number of requests that wait for a slot
 * @param maximumNormalWait the longest expected wait for a slot with which a normal request is
 *     admitted
 * @param maximumDeferrableWait the longest expected wait for a slot with which a deferrable request
 *     is admitted
 * @param initialTargetBackoff how long a target is avoided after a first failure
 * @param maximumTargetBackoff the longest time that a target is avoided after repeated failures
 * @param attemptLimit the maximum number of attempts of one request
 * @param retryBudgetRatio the number of retries and hedges that each first attempt adds to the
 *     budget
 * @param retryBudgetCapacity the maximum number of retries and hedges in the budget
 * @param hedgeDelay how long an attempt of an idempotent request runs before a second one starts
 * @param lostAnswerGracePeriod how long after its deadline an attempt without an answer keeps its
 *     slot, since the target may still be working on it
 * @param retryAfter the delay after which a refused caller may retry
 * @param identifierLifetime how long an issued identifier may be used for the first time
 * @param identifierBlockLimit the maximum number of retained blocks of issued identifiers
 * @param identifierBlockSize the maximum number of identifiers in a block
 * @param outcomeLimit the maximum number of outcomes in memory
 */
public record RequestSettings(
    Duration freshnessBound,
    Duration maximumDeadline,
    int queueLimit,
    Duration maximumNormalWait,
    Duration maximumDeferrableWait,
    Duration initialTargetBackoff,
    Duration maximumTargetBackoff,
    int attemptLimit,
    double retryBudgetRatio,
    int retryBudgetCapacity,
    Duration hedgeDelay,
    Duration lostAnswerGracePeriod,
    Duration retryAfter,
    Duration identifierLifetime,
    int identifierBlockLimit,
    int identifierBlockSize,
    int outcomeLimit) {
  /** The default settings. */
  public static final RequestSettings DEFAULT =
      new RequestSettings(
          Duration.ofSeconds(2),
          Duration.ofSeconds(60),
          400,
          Duration.ofSeconds(2),
          Duration.ofMillis(500),
          Duration.ofMillis(50),
          Duration.ofSeconds(2),
          3,
          0.1,
          20,
          Duration.ofMillis(500),
          Duration.ofSeconds(1),
          Duration.ofSeconds(1),
          Duration.ofMinutes(30),
          4_000,
          256,
          20_000);

  /** Returns a copy of these settings with a different maximum deadline. */
  public RequestSettings withMaximumDeadline(Duration deadline) {
    return new RequestSettings(
        freshnessBound,
        deadline,
        queueLimit,
        maximumNormalWait,
        maximumDeferrableWait,
        initialTargetBackoff,
        maximumTargetBackoff,
        attemptLimit,
        retryBudgetRatio,
        retryBudgetCapacity,
        hedgeDelay,
        lostAnswerGracePeriod,
        retryAfter,
        identifierLifetime,
        identifierBlockLimit,
        identifierBlockSize,
        outcomeLimit);
  }
}
