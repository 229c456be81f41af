package io.dragonflyturn.internal.http;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.request.RequestTimer;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Reads the complete body of a call asynchronously, with a limit on its size and on the time to
 * receive it.
 */
public final class BodyReader {
  private final Request request;
  private final int maximumBytes;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();

  private BodyReader(Request request, int maximumBytes) {
    this.request = request;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Reads a body. The future fails with a {@link DragonflyturnException} with {@link
   * ResultCode#INPUT_TOO_LARGE}, {@link ResultCode#SLOW_SENDER}, or {@link
   * ResultCode#MALFORMED_INPUT}.
   *
   * @param maximumBytes the maximum size of the body in bytes
   * @param timeout the maximum time for the caller to send the body
   */
  public static CompletableFuture<byte[]> read(
      Request request, int maximumBytes, Duration timeout, RequestTimer timer) {
    BodyReader reader = new BodyReader(request, maximumBytes);
    if (request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > maximumBytes) {
      reader.failTooLarge();
      return reader.body;
    }
    RequestTimer.Cancellable expiry = timer.schedule(timeout, () -> reader.failSlow(timeout));
    reader.body.whenComplete((bytes, failure) -> expiry.cancel());
    reader.readAvailable();
    return reader.body;
  }

  private void readAvailable() {
    while (!body.isDone()) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::readAvailable);
        return;
      }
      accept(chunk);
    }
  }

  private void accept(Content.Chunk chunk) {
    if (Content.Chunk.isFailure(chunk)) {
      fail(ResultCode.MALFORMED_INPUT, "The body ended prematurely; send all of it.");
      return;
    }
    append(chunk.getByteBuffer());
    boolean last = chunk.isLast();
    chunk.release();
    if (content.size() > maximumBytes) {
      failTooLarge();
    } else if (last) {
      body.complete(content.toByteArray());
    }
  }

  private void append(ByteBuffer bytes) {
    byte[] copy = BufferUtil.toArray(bytes);
    content.write(copy, 0, Math.min(copy.length, maximumBytes + 1 - content.size()));
  }

  private void failTooLarge() {
    fail(
        ResultCode.INPUT_TOO_LARGE,
        "The body is too large; send at most " + maximumBytes + " bytes.");
  }

  private void failSlow(Duration timeout) {
    fail(
        ResultCode.SLOW_SENDER,
        "The body did not arrive within " + timeout.toMillis() + " ms; send it faster.");
  }

  private void fail(ResultCode code, String message) {
    body.completeExceptionally(new DragonflyturnException(code, message));
  }
}
