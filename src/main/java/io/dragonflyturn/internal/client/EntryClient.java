package io.dragonflyturn.internal.client;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.Reporter;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.nio.channels.UnresolvedAddressException;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to entries over HTTP, with failover to the next entry.
 *
 * <p>A call fails over only if that is safe: the call was not sent, the entry reports that nothing
 * ran and another entry may succeed, or the call is idempotent.
 */
public final class EntryClient implements AutoCloseable {
  private static final Set<ResultCode> FAILOVER_CODES =
      EnumSet.of(
          ResultCode.SHUTTING_DOWN,
          ResultCode.CONTROL_STATE_STALE,
          ResultCode.LOG_UNAVAILABLE,
          ResultCode.NO_TARGET,
          ResultCode.PEER_UNREACHABLE);
  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private final HttpClient client;
  private final List<URI> entries;
  private final String token;
  private final AtomicInteger preferredEntry = new AtomicInteger();

  /**
   * Creates a client.
   *
   * @param client a started HTTP client, which {@link #close} stops
   * @param entries the base URIs of the entries
   * @param token the bearer token of the caller
   */
  public EntryClient(HttpClient client, List<URI> entries, String token) {
    this.client = client;
    this.entries = List.copyOf(entries);
    this.token = token;
  }

  /**
   * Sends a call and converts the data of the response to the given type.
   *
   * @throws DragonflyturnException with the result code of the response, or with {@link
   *     ResultCode#PEER_UNREACHABLE} or {@link ResultCode#OUTCOME_UNKNOWN} if no complete response
   *     was received
   */
  public <T> T call(EntryCall call, Class<T> type) {
    JsonNode data = call(call);
    try {
      return MAPPER.treeToValue(data, type);
    } catch (IOException malformed) {
      throw Reporter.unreadableAnswer(
          call.toString(), entries.get(preferredEntryIndex()), malformed);
    }
  }

  /** Sends a call and returns the data of the response. */
  public JsonNode call(EntryCall call) {
    return envelope(call).path("data");
  }

  /** Sends a call and returns the response body as plain text. */
  public String callForText(EntryCall call) {
    return withFailover(call, (entry, response) -> response.getContentAsString());
  }

  private JsonNode envelope(EntryCall call) {
    return withFailover(call, (entry, response) -> read(call, entry, response));
  }

  private <T> T withFailover(EntryCall call, ResponseReader<T> reader) {
    DragonflyturnException lastFailure = null;
    int first = preferredEntryIndex();
    for (int attempt = 0; attempt < entries.size(); attempt++) {
      int index = (first + attempt) % entries.size();
      URI entry = entries.get(index);
      try {
        T result = reader.read(entry, send(call, entry));
        preferredEntry.set(index);
        return result;
      } catch (DragonflyturnException failure) {
        lastFailure = failure;
        if (!mayTryAnother(call, failure.code())) {
          throw failure;
        }
      }
    }
    throw lastFailure == null ? Reporter.noEntries() : lastFailure;
  }

  private static boolean mayTryAnother(EntryCall call, ResultCode code) {
    return FAILOVER_CODES.contains(code)
        || (code == ResultCode.OUTCOME_UNKNOWN && call.idempotent());
  }

  private int preferredEntryIndex() {
    return preferredEntry.get() % entries.size();
  }

  private ContentResponse send(EntryCall call, URI entry) {
    try {
      return request(call, entry).send();
    } catch (ExecutionException failed) {
      throw isConnectFailure(failed.getCause())
          ? Reporter.entriesUnreachable(List.of(entry), failed)
          : Reporter.answerLost(call.toString(), entry, failed);
    } catch (TimeoutException timeout) {
      throw Reporter.answerLost(call.toString(), entry, timeout);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw Reporter.interrupted(call.toString(), interrupted);
    }
  }

  private Request request(EntryCall call, URI entry) {
    Request request =
        client
            .newRequest(entry.resolve(call.path()))
            .method(call.method())
            .timeout(call.timeoutMillis(), TimeUnit.MILLISECONDS)
            .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + token));
    byte[] body = call.body();
    if (body != null) {
      request.body(new BytesRequestContent("application/json", body));
    }
    return request;
  }

  private static boolean isConnectFailure(@Nullable Throwable cause) {
    return cause instanceof ConnectException || cause instanceof UnresolvedAddressException;
  }

  private static JsonNode read(EntryCall call, URI entry, ContentResponse response) {
    JsonNode body = parse(call, entry, response);
    ResultCode code = code(call, entry, body);
    if (!code.isSuccess()) {
      throw Reporter.answeredFailure(code, body.path("message").asText());
    }
    return body;
  }

  private static JsonNode parse(EntryCall call, URI entry, ContentResponse response) {
    try {
      return MAPPER.readTree(response.getContent());
    } catch (IOException malformed) {
      throw Reporter.unreadableAnswer(call.toString(), entry, malformed);
    }
  }

  private static ResultCode code(EntryCall call, URI entry, JsonNode body) {
    try {
      return ResultCode.ofNumber(body.path("code").asInt(-1));
    } catch (IllegalArgumentException unknown) {
      throw Reporter.unreadableAnswer(call.toString(), entry, unknown);
    }
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception failure) {
      throw new IllegalStateException("The HTTP client did not stop.", failure);
    }
  }

  /** Converts the HTTP response of an entry to a result. */
  private interface ResponseReader<T> {
    T read(URI entry, ContentResponse response);
  }
}
