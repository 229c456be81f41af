package io.dragonflyturn.internal.intake;

/**
 * The attributes of a caller's HTTP request that select the queue and the customer.
 *
 * @param host the host name of the request
 * @param path the path of the request
 * @param key the API key of the request; empty if there is none
 * @param deadlineMillis how long the caller waits for the answer, in milliseconds
 */
public record CallerRequest(String host, String path, String key, long deadlineMillis) {}
