package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.jspecify.annotations.Nullable;

/** Reads the platform's instance list over HTTP. The list is eventually consistent and may lag. */
public final class PlatformInstances {
  private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final String uri;

  /**
   * Creates a reader of the instance list.
   *
   * @param client a started HTTP client, owned by the caller
   * @param address the IP address and port of the platform
   */
  public PlatformInstances(HttpClient client, String address) {
    this.client = client;
    this.uri = "http://" + address + "/instances";
  }

  /**
   * Returns the list. Blocks until the response arrives or the timeout expires.
   *
   * @throws DragonflyturnException with {@link ResultCode#PEER_UNREACHABLE} if the list could not
   *     be read
   */
  public InstanceList read(Duration timeout) {
    Request request = client.newRequest(uri).timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    ContentResponse response;
    try {
      response =
          new CompletableResponseListener(request, MAXIMUM_RESPONSE_BYTES)
              .send()
              .get(timeout.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException failure) {
      request.abort(failure);
      throw unreachable("the platform did not respond", failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      request.abort(interrupted);
      throw unreachable("the read was interrupted", interrupted);
    }
    if (response.getStatus() != STATUS_OK) {
      throw unreachable("the platform returned status " + response.getStatus(), null);
    }
    return JsonCodec.read(response.getContent(), InstanceList.class);
  }

  private static DragonflyturnException unreachable(String reason, @Nullable Throwable cause) {
    String message = "The platform's instance list could not be read: " + reason + ".";
    return cause == null
        ? new DragonflyturnException(ResultCode.PEER_UNREACHABLE, message)
        : new DragonflyturnException(ResultCode.PEER_UNREACHABLE, message, cause);
  }
}
