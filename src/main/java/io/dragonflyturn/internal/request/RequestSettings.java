package io.dragonflyturn.internal.request;

import java.time.Duration;

/**
 * Limits of request handling at one entry.
 *
 * @param freshnessBound the oldest news from the log on which requests are sent
 * @param maximumDeadline the longest time that a caller may wait
 * @param queueLimit the most requests that wait for a slot
 * @param maximumNormalWait the longest expected wait of a normal request for a slot
 * @param maximumDeferrableWait the longest expected wait of a deferrable request for a slot
 * @param initialTargetBackoff how long a target is left alone after a failure
 * @param maximumTargetBackoff how long a target is left alone after many failures
 * @param attemptLimit the most attempts of one request
 * @param retryBudgetRatio the retries and hedges that each first attempt earns
 * @param retryBudgetCapacity the most retries and hedges that are saved up
 * @param hedgeDelay how long an idempotent attempt runs before a second one starts
 * @param lostAnswerGracePeriod how long a slot stays taken after the deadline of a lost answer
 * @param retryAfter when a refused caller may try again
 * @param identifierLifetime how long an issued identifier may be used for the first time
 * @param identifierBlockLimit the most blocks of issued identifiers in memory
 * @param identifierBlockSize the most identifiers in one block
 * @param outcomeLimit the most outcomes in memory
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
  /** The settings for the sizes of today. */
  public static final RequestSettings DEFAULTS =
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

  /** Returns these settings with another longest deadline. */
  public RequestSettings withMaximumDeadline(Duration other) {
    return new RequestSettings(
        freshnessBound,
        other,
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
