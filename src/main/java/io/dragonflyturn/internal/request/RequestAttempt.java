package io.dragonflyturn.internal.request;

/**
 * One sending of a request to one target.
 *
 * @param attemptId unique for each sending; the target's answer repeats it
 * @param requestId the request that is sent
 * @param kind what the target does
 * @param idempotent whether the request may run more than once
 * @param deadlineMillis the time that is left for the answer, in milliseconds
 * @param body the content for the target
 */
public record RequestAttempt(
    String attemptId,
    String requestId,
    TargetOperation kind,
    boolean idempotent,
    long deadlineMillis,
    String body) {}
