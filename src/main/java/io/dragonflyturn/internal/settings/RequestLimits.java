package io.dragonflyturn.internal.settings;

import java.time.Duration;

/**
 * Bounds on what callers may send to an entry.
 *
 * @param maximumBodyBytes the largest body of a call, in bytes
 * @param bodyTimeout how long a caller may take to send a body
 * @param maximumWaitingRequests the most requests that wait for a slot of a target
 * @param maximumDeadline the longest deadline that a request may carry
 */
public record RequestLimits(
    int maximumBodyBytes, Duration bodyTimeout, int maximumWaitingRequests, Duration maximumDeadline) {}
