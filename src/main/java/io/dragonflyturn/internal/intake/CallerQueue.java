package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.workload.QueuePolicy;

/**
 * A queue that callers can submit jobs to, with the host and path that select it.
 *
 * @param host the host name of requests for this queue
 * @param pathPrefix the path prefix of requests for this queue
 * @param anonymous whether callers may omit the API key
 * @param policy how the jobs of the queue are scheduled
 */
public record CallerQueue(String host, String pathPrefix, boolean anonymous, QueuePolicy policy) {}
