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

/** Reads the whole body of a call within a size and a time, or fails with a numbered code. */
public final class BodyReader {
  private final Request request;
  private final int mostBytes;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();

  private BodyReader(Request request, int mostBytes) {
    this.request = request;
    this.mostBytes = mostBytes;
  }

  /**
   * Reads a body; the future fails with a {@link DragonflyturnException} of {@link
   * ResultCode#INPUT_TOO_LARGE}, {@link ResultCode#SLOW_SENDER}, or {@link
   * ResultCode#MALFORMED_INPUT}.
   *
   * @param mostBytes the largest body in bytes
   * @param mostTime how long the caller may take to send it
   */
  public static CompletableFuture<byte[]> read(
      Request request, int mostBytes, Duration mostTime, RequestTimer timer) {
    BodyReader reader = new BodyReader(request, mostBytes);
    if (request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH) > mostBytes) {
      reader.failTooLarge();
      return reader.body;
    }
    RequestTimer.Cancellable expiry = timer.schedule(mostTime, () -> reader.failSlow(mostTime));
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
      take(chunk);
    }
  }

  private void take(Content.Chunk chunk) {
    if (Content.Chunk.isFailure(chunk)) {
      fail(ResultCode.MALFORMED_INPUT, "The body ended early; send it whole.");
      return;
    }
    append(chunk.getByteBuffer());
    boolean last = chunk.isLast();
    chunk.release();
    if (content.size() > mostBytes) {
      failTooLarge();
    } else if (last) {
      body.complete(content.toByteArray());
    }
  }

  private void append(ByteBuffer bytes) {
    byte[] copy = BufferUtil.toArray(bytes);
    content.write(copy, 0, Math.min(copy.length, mostBytes + 1 - content.size()));
  }

  private void failTooLarge() {
    fail(
        ResultCode.INPUT_TOO_LARGE, "The body is too large; send at most " + mostBytes + " bytes.");
  }

  private void failSlow(Duration mostTime) {
    fail(
        ResultCode.SLOW_SENDER,
        "The body did not arrive within " + mostTime.toMillis() + " ms; send it faster.");
  }

  private void fail(ResultCode code, String message) {
    body.completeExceptionally(new DragonflyturnException(code, message));
  }
}
