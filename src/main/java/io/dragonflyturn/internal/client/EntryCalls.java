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
 * Sends calls to entries and turns to another entry where that is safe: the call was not sent, the
 * entry says that nothing ran and another may do better, or the call is repeatable.
 */
public final class EntryCalls implements AutoCloseable {
  private static final Set<ResultCode> REFUSED_BY_THIS_ENTRY =
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
  private final AtomicInteger preferred = new AtomicInteger();

  /** Creates calls over a started HTTP client, which {@link #close} stops. */
  public EntryCalls(HttpClient client, List<URI> entries, String token) {
    this.client = client;
    this.entries = List.copyOf(entries);
    this.token = token;
  }

  /**
   * Returns the data of the answer as a value of the type.
   *
   * @throws DragonflyturnException with the code that the entry answered, or with {@link
   *     ResultCode#PEER_UNREACHABLE} or {@link ResultCode#OUTCOME_UNKNOWN}
   */
  public <T> T call(Call call, Class<T> type) {
    JsonNode data = call(call);
    try {
      return MAPPER.treeToValue(data, type);
    } catch (IOException broken) {
      throw Reporter.unreadableAnswer(call.toString(), entries.get(preferredIndex()), broken);
    }
  }

  /** Returns the data of the answer. */
  public JsonNode call(Call call) {
    return answer(call).path("data");
  }

  /** Returns the body of an answer that is plain text. */
  public String text(Call call) {
    return withFailover(call, (entry, response) -> response.getContentAsString());
  }

  private JsonNode answer(Call call) {
    return withFailover(call, (entry, response) -> read(call, entry, response));
  }

  private <T> T withFailover(Call call, AnswerReader<T> reader) {
    DragonflyturnException last = null;
    int first = preferredIndex();
    for (int step = 0; step < entries.size(); step++) {
      int index = (first + step) % entries.size();
      URI entry = entries.get(index);
      try {
        T answer = reader.read(entry, send(call, entry));
        preferred.set(index);
        return answer;
      } catch (DragonflyturnException failure) {
        last = failure;
        if (!mayTryAnother(call, failure.code())) {
          throw failure;
        }
      }
    }
    throw last == null ? Reporter.noEntries() : last;
  }

  private static boolean mayTryAnother(Call call, ResultCode code) {
    return REFUSED_BY_THIS_ENTRY.contains(code)
        || (code == ResultCode.OUTCOME_UNKNOWN && call.repeatable());
  }

  private int preferredIndex() {
    return preferred.get() % entries.size();
  }

  private ContentResponse send(Call call, URI entry) {
    try {
      return request(call, entry).send();
    } catch (ExecutionException failed) {
      throw neverSent(failed.getCause())
          ? Reporter.entriesUnreachable(List.of(entry), failed)
          : Reporter.answerLost(call.toString(), entry, failed);
    } catch (TimeoutException late) {
      throw Reporter.answerLost(call.toString(), entry, late);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw Reporter.interrupted(call.toString(), interrupted);
    }
  }

  private Request request(Call call, URI entry) {
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

  private static boolean neverSent(@Nullable Throwable cause) {
    return cause instanceof ConnectException || cause instanceof UnresolvedAddressException;
  }

  private static JsonNode read(Call call, URI entry, ContentResponse response) {
    JsonNode body = parse(call, entry, response);
    ResultCode code = code(call, entry, body);
    if (!code.isSuccess()) {
      throw Reporter.answeredFailure(code, body.path("message").asText());
    }
    return body;
  }

  private static JsonNode parse(Call call, URI entry, ContentResponse response) {
    try {
      return MAPPER.readTree(response.getContent());
    } catch (IOException broken) {
      throw Reporter.unreadableAnswer(call.toString(), entry, broken);
    }
  }

  private static ResultCode code(Call call, URI entry, JsonNode body) {
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

  /** Reads an answer. */
  private interface AnswerReader<T> {
    T read(URI entry, ContentResponse response);
  }
}
