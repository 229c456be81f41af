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

/** The platform's log service over HTTP. */
public final class HttpPlatformLog implements PlatformLog {
  private static final int MAXIMUM_ANSWER_BYTES = 16 << 20;
  private static final int SUCCESS = 200;
  private static final int CLIENT_ERROR = 400;
  private static final Duration READ_MARGIN = Duration.ofSeconds(2);

  private final HttpClient client;
  private final String baseUri;

  /**
   * Creates a client of the log.
   *
   * @param client a started HTTP client, which the caller owns
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
      throw new LogException(Effect.UNKNOWN, "The log's answer was broken.", unreadable);
    }
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    Request request =
        client
            .newRequest(baseUri + stream)
            .param("from", Long.toString(fromOffset))
            .param("waitMillis", Long.toString(maximumWait.toMillis()))
            .timeout(maximumWait.plus(READ_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
    ContentResponse response = send(request, "read");
    try {
      return MessagePackCodec.decode(response.getContent(), LogSlice.class);
    } catch (DragonflyturnException unreadable) {
      throw new LogException(Effect.NONE, "The log's answer was broken.", unreadable);
    }
  }

  private static ContentResponse send(Request request, String action) {
    ContentResponse response;
    try {
      CompletableFuture<ContentResponse> answer =
          new CompletableResponseListener(request, MAXIMUM_ANSWER_BYTES).send();
      response = answer.get();
    } catch (ExecutionException failure) {
      Throwable cause = failure.getCause() == null ? failure : failure.getCause();
      throw new LogException(effectOf(cause), "No answer to " + action + " the log.", cause);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      request.abort(interrupted);
      throw new LogException(Effect.UNKNOWN, "Interrupted in " + action + " the log.", interrupted);
    }
    if (response.getStatus() != SUCCESS) {
      throw refused(response.getStatus(), action);
    }
    return response;
  }

  /** A refusal with a status of its own had no effect; any other status leaves it open. */
  private static LogException refused(int status, String action) {
    boolean refusedForSure = status == 503 || (status >= CLIENT_ERROR && status < 500);
    return new LogException(
        refusedForSure ? Effect.NONE : Effect.UNKNOWN,
        "The log answered " + status + " to " + action + ".",
        new IOException("HTTP status " + status));
  }

  private static Effect effectOf(Throwable cause) {
    return cause instanceof ConnectException ? Effect.NONE : Effect.UNKNOWN;
  }

  private record Appended(long offset) {}
}
