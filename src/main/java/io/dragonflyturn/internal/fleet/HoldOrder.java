package io.dragonflyturn.internal.fleet;

/**
 * Renews the lease of all that runs on a worker, and asks what runs there and what has ended.
 *
 * @param leaseUntilMillis when the lease ends, on the worker's steady clock in milliseconds
 * @param acknowledgedEnd the number of the last end that is recorded
 * @param waitMillis how long the worker may wait for an end before it answers, in milliseconds
 * @param fence the fencing token
 */
public record HoldOrder(long leaseUntilMillis, long acknowledgedEnd, long waitMillis, long fence) {}
