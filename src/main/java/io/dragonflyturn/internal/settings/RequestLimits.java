package io.dragonflyturn.internal.settings;

import java.time.Duration;

/**
 * Limits on the calls that an entry accepts.
 *
 * @param maximumBodyBytes the maximum size of the body of a call, in bytes
 * @param bodyTimeout the maximum time for a caller to send a body
 * @param maximumWaitingRequests the maximum number of requests that wait for a slot of a target
 * @param maximumDeadline the maximum deadline of a request
 */
public record RequestLimits(
    int maximumBodyBytes,
    Duration bodyTimeout,
    int maximumWaitingRequests,
    Duration maximumDeadline) {}
