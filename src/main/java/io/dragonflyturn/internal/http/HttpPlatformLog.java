package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.log.LogException;
import io.dragonflyturn.internal.log.LogException.Effect;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/** A client of the platform's log service over HTTP. */
public final class HttpPlatformLog implements PlatformLog {
  private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;
  private static final int STATUS_OK = 200;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final Duration READ_TIMEOUT_MARGIN = Duration.ofSeconds(2);

  private final HttpClient client;
  private final String baseUri;

  /**
   * Creates a client of the log service.
   *
   * @param client a started HTTP client, owned by the caller
   * @param address the IP address and port of the platform
   */
  public HttpPlatformLog(HttpClient client, String address) {
    this.client = client;
    this.baseUri = "http://" + address + "/log/";
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    Request request =
        client
            .newRequest(baseUri + stream + "/append")
            .method(HttpMethod.POST)
            .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
            .body(new BytesRequestContent(batch));
    ContentResponse response = send(request, "append to");
    try {
      return JsonCodec.read(response.getContent(), Appended.class).offset();
    } catch (DragonflyturnException unreadable) {
      throw new LogException(Effect.UNKNOWN, "The log's response is malformed.", unreadable);
    }
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    Request request =
        client
            .newRequest(baseUri + stream)
            .param("from", Long.toString(fromOffset))
            .param("waitMillis", Long.toString(maximumWait.toMillis()))
            .timeout(maximumWait.plus(READ_TIMEOUT_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
    ContentResponse response = send(request, "read");
    try {
      return MessagePackCodec.decode(response.getContent(), LogSlice.class);
    } catch (DragonflyturnException unreadable) {
      throw new LogException(Effect.NONE, "The log's response is malformed.", unreadable);
    }
  }

  private static ContentResponse send(Request request, String action) {
    ContentResponse response;
    try {
      CompletableFuture<ContentResponse> answer =
          new CompletableResponseListener(request, MAXIMUM_RESPONSE_BYTES).send();
      response = answer.get();
    } catch (ExecutionException failure) {
      Throwable cause = failure.getCause() == null ? failure : failure.getCause();
      throw new LogException(
          effectOf(cause), "No response to a request to " + action + " the log.", cause);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      request.abort(interrupted);
      throw new LogException(
          Effect.UNKNOWN, "Interrupted while waiting to " + action + " the log.", interrupted);
    }
    if (response.getStatus() != STATUS_OK) {
      throw rejected(response.getStatus(), action);
    }
    return response;
  }

  /**
   * Returns the exception for an HTTP error status. With status 503 or a client error the call had
   * no effect; with any other status its effect is unknown.
   */
  private static LogException rejected(int status, String action) {
    boolean hadNoEffect = status == 503 || (status >= FIRST_CLIENT_ERROR && status < 500);
    return new LogException(
        hadNoEffect ? Effect.NONE : Effect.UNKNOWN,
        "The log returned status " + status + " for a request to " + action + " it.",
        new IOException("HTTP status " + status));
  }

  private static Effect effectOf(Throwable cause) {
    return cause instanceof ConnectException ? Effect.NONE : Effect.UNKNOWN;
  }

  private record Appended(long offset) {}
}
