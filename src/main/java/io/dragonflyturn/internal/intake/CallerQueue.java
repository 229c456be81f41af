package io.dragonflyturn.internal.intake;

import io.dragonflyturn.internal.workload.QueuePolicy;

/**
 * A queue that callers submit to.
 *
 * @param host the host name that selects it
 * @param pathPrefix the beginning of the path that selects it
 * @param anonymous whether callers need no key
 * @param policy how its jobs are treated
 */
public record CallerQueue(String host, String pathPrefix, boolean anonymous, QueuePolicy policy) {}
