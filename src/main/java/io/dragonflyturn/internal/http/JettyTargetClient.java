package io.dragonflyturn.internal.http;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.request.RequestAttempt;
import io.dragonflyturn.internal.request.TargetClient;
import io.dragonflyturn.internal.request.TargetReply;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Sends attempts to targets over HTTP.
 *
 * <p>A reply counts only where it is whole and repeats both identifiers of the attempt; any other
 * is counted and dropped, and the answer is lost.
 */
public final class JettyTargetClient implements TargetClient {
  private static final String PATH = "/requests";
  private static final String JSON = "application/json";

  private final HttpClient client;
  private final Duration lateAnswerWait;
  private final int mostAnswerBytes;
  private final Meter crossed;

  /**
   * Creates a target client over an HTTP client that its owner starts and stops.
   *
   * @param client made by {@link TargetHttpClients}
   * @param lateAnswerWait how long after its deadline an answer is still taken
   * @param mostAnswerBytes the largest answer in bytes
   * @param metrics the registry for counters
   */
  public JettyTargetClient(
      HttpClient client, Duration lateAnswerWait, int mostAnswerBytes, MetricRegistry metrics) {
    this.client = client;
    this.lateAnswerWait = lateAnswerWait;
    this.mostAnswerBytes = mostAnswerBytes;
    this.crossed = metrics.meter("requests.answers.crossed");
  }

  @Override
  public CompletableFuture<TargetReply> send(String address, RequestAttempt attempt) {
    CompletableFuture<TargetReply> reply = new CompletableFuture<>();
    AtomicBoolean begun = new AtomicBoolean();
    try {
      request(address, attempt)
          .onRequestBegin(started -> begun.set(true))
          .send(
              new BufferingResponseListener(mostAnswerBytes) {
                @Override
                public void onComplete(Result result) {
                  reply.complete(
                      result.isSucceeded()
                          ? read(attempt, getContent())
                          : failure(begun.get(), result.getFailure()));
                }
              });
    } catch (RuntimeException failure) {
      reply.complete(failure(begun.get(), failure));
    }
    return reply;
  }

  private Request request(String address, RequestAttempt attempt) {
    TargetMessage.Attempt message =
        new TargetMessage.Attempt(
            attempt.attemptId(),
            attempt.requestId(),
            attempt.kind().wireName(),
            attempt.idempotent(),
            attempt.deadlineMillis(),
            attempt.body());
    return client
        .newRequest(URI.create("http://" + address + PATH))
        .method(HttpMethod.POST)
        .timeout(attempt.deadlineMillis() + lateAnswerWait.toMillis(), TimeUnit.MILLISECONDS)
        .body(new BytesRequestContent(JSON, JsonCodec.write(message)));
  }

  private TargetReply read(RequestAttempt attempt, byte[] content) {
    TargetMessage.Reply reply;
    try {
      reply = JsonCodec.read(content, TargetMessage.Reply.class);
    } catch (DragonflyturnException malformed) {
      return new TargetReply.AnswerLost("The target's answer was malformed.");
    }
    boolean matches =
        attempt.attemptId().equals(reply.attemptId())
            && attempt.requestId().equals(reply.requestId());
    if (!matches) {
      crossed.mark();
      return new TargetReply.AnswerLost("The target answered another request.");
    }
    String answer = reply.answer() == null ? "" : reply.answer();
    return switch (reply.status()) {
      case "answered" -> new TargetReply.Answered(answer);
      case "failed" -> new TargetReply.Failed("The target ran the request and failed: " + answer);
      case "refused" -> new TargetReply.Refused("The target refused the request: " + answer);
      case null, default -> new TargetReply.AnswerLost("The target's answer has no known status.");
    };
  }

  private static TargetReply failure(boolean begun, Throwable cause) {
    return begun
        ? new TargetReply.AnswerLost("The connection to the target broke: " + cause.getMessage())
        : new TargetReply.NotConnected("The target was not reached: " + cause.getMessage());
  }
}
