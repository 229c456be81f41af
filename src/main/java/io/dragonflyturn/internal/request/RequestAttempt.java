package io.dragonflyturn.internal.request;

/**
 * A single attempt to send a request to a target.
 *
 * @param attemptId the unique identifier of the attempt, which the target repeats in its answer
 * @param requestId the identifier of the request
 * @param kind the operation that the target performs
 * @param idempotent whether the request may run more than once
 * @param deadlineMillis the time left until the answer is due, in milliseconds
 * @param body the payload for the target
 */
public record RequestAttempt(
    String attemptId,
    String requestId,
    TargetOperation kind,
    boolean idempotent,
    long deadlineMillis,
    String body) {}
