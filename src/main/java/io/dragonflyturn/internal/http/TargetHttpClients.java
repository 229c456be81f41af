package io.dragonflyturn.internal.http;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpCookieStore;

/**
 * Creates HTTP clients that send each request to a target exactly once and only to the given
 * address. They follow no redirects and store no cookies.
 */
public final class TargetHttpClients {
  private TargetHttpClients() {}

  /**
   * Returns a new client, which the caller must start and stop.
   *
   * @param connectionsPerTarget the maximum number of connections to one target
   * @param connectTimeout the timeout of a connection attempt
   * @param idleTimeout the time after which an unused connection is closed; it should be shorter
   *     than the idle timeout of the targets
   */
  public static HttpClient create(
      int connectionsPerTarget, Duration connectTimeout, Duration idleTimeout) {
    HttpClient client = new HttpClient();
    client.setMaxConnectionsPerDestination(connectionsPerTarget);
    client.setMaxRequestsQueuedPerDestination(connectionsPerTarget);
    client.setConnectTimeout(connectTimeout.toMillis());
    client.setIdleTimeout(idleTimeout.toMillis());
    client.setFollowRedirects(false);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.setUserAgentField(null);
    return client;
  }
}
