package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.WorkerClient;
import io.dragonflyturn.internal.gang.WorkerExchange;
import io.dragonflyturn.internal.gang.WorkerReport;
import io.dragonflyturn.internal.protocol.Failures;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * Sends control exchanges to workers over HTTP.
 *
 * <p>A future fails with {@link ResultCode#PEER_UNREACHABLE} if no connection could be made, in
 * which case nothing was sent, and with {@link ResultCode#OUTCOME_UNKNOWN} otherwise.
 */
public final class JettyWorkerClient implements WorkerClient {
  private static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final Duration timeout;

  /**
   * Creates a client.
   *
   * @param client a started HTTP client, owned by the caller
   * @param timeout the timeout of an exchange
   */
  public JettyWorkerClient(HttpClient client, Duration timeout) {
    this.client = client;
    this.timeout = timeout;
  }

  @Override
  public CompletableFuture<WorkerReport> exchange(String address, WorkerExchange exchange) {
    Request request =
        client
            .newRequest("http://" + address + "/control")
            .method(HttpMethod.POST)
            .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .body(new BytesRequestContent("application/json", JsonCodec.write(exchange)));
    return new CompletableResponseListener(request, MAXIMUM_RESPONSE_BYTES)
        .send()
        .handle((response, failure) -> toReport(address, response, failure));
  }

  private static WorkerReport toReport(
      String address, @Nullable ContentResponse response, @Nullable Throwable failure) {
    if (response == null) {
      throw new DragonflyturnException(
          isUnsent(failure) ? ResultCode.PEER_UNREACHABLE : ResultCode.OUTCOME_UNKNOWN,
          "The worker at " + address + " did not respond.",
          failure == null ? new IllegalStateException("no response") : failure);
    }
    if (response.getStatus() != STATUS_OK) {
      throw new DragonflyturnException(
          ResultCode.OUTCOME_UNKNOWN,
          "The worker at " + address + " returned status " + response.getStatus() + ".");
    }
    return JsonCodec.read(response.getContent(), WorkerReport.class);
  }

  private static boolean isUnsent(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    return cause instanceof ConnectException;
  }
}
