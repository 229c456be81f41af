package io.dragonflyturn.scenario;

import io.dragonflyturn.internal.log.LogException;
import io.dragonflyturn.internal.log.LogSlice;
import io.dragonflyturn.internal.log.PlatformLog;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Read-only client of the platform log over HTTP, independent of the instances under test. */
final class PlatformLogReader implements PlatformLog {
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient http;
  private final String address;

  PlatformLogReader(HttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  @Override
  public long append(String stream, byte[] batch, Duration timeout) {
    throw new LogException(
        LogException.Effect.NONE, "Append is not supported by the read-only client.");
  }

  @Override
  public LogSlice read(String stream, long fromOffset, Duration maximumWait) {
    String query = "?from=" + fromOffset + "&waitMillis=" + maximumWait.toMillis();
    URI uri = URI.create("http://" + address + "/log/" + stream + query);
    HttpRequest request =
        HttpRequest.newBuilder(uri).timeout(READ_TIMEOUT.plus(maximumWait)).build();
    try {
      return MessagePackCodec.decode(
          http.send(request, HttpResponse.BodyHandlers.ofByteArray()).body(), LogSlice.class);
    } catch (IOException failure) {
      throw new LogException(LogException.Effect.NONE, "Failed to read from the log.", failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new LogException(LogException.Effect.NONE, "Interrupted.", interrupted);
    }
  }
}
