package io.dragonflyturn.standin;

/**
 * One attempt of an entry to run a request on a worker.
 *
 * @param attemptId the unique id of the attempt
 * @param requestId the id of the request
 * @param kind the kind of work
 * @param idempotent whether the request may safely run more than once
 * @param deadlineMillis the time left until the deadline, in milliseconds
 * @param body the input of the request
 */
public record RequestCall(
    String attemptId,
    String requestId,
    String kind,
    boolean idempotent,
    long deadlineMillis,
    String body) {}
