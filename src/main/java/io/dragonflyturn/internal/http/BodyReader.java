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
 * receive it. The rest of a body that is too large is read and discarded up to a second limit,
 * since a caller that is still sending when the connection is closed cannot receive the answer.
 */
public final class BodyReader {
  private static final int MAXIMUM_DISCARDED_BYTES = 4 << 20;

  private final Request request;
  private final int maximumBytes;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final CompletableFuture<byte[]> body = new CompletableFuture<>();
  private boolean tooLarge;
  private long discardedBytes;

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
    long announcedBytes = request.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
    if (announcedBytes > MAXIMUM_DISCARDED_BYTES) {
      reader.failTooLarge();
      return reader.body;
    }
    reader.tooLarge = announcedBytes > maximumBytes;
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
    ByteBuffer bytes = chunk.getByteBuffer();
    if (tooLarge) {
      discardedBytes += bytes.remaining();
    } else {
      append(bytes);
    }
    boolean last = chunk.isLast();
    chunk.release();
    tooLarge |= content.size() > maximumBytes;
    if (tooLarge && (last || discardedBytes > MAXIMUM_DISCARDED_BYTES)) {
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
