package io.dragonflyturn.internal.intake;

/**
 * Who calls, and for which queue.
 *
 * @param host the host name of the call
 * @param path the path of the call
 * @param key the key that the call shows; empty for none
 * @param deadlineMillis how long the caller waits for the answer, in milliseconds
 */
public record CallerRequest(String host, String path, String key, long deadlineMillis) {}
