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
 * <p>A reply is accepted only if it is complete and repeats both identifiers of the attempt. Any
 * other reply is counted and discarded, and the answer is reported as lost.
 */
public final class JettyTargetClient implements TargetClient {
  private static final String PATH = "/requests";
  private static final String JSON = "application/json";

  private final HttpClient client;
  private final Duration lateAnswerTolerance;
  private final int maximumAnswerBytes;
  private final Meter mismatchedAnswers;

  /**
   * Creates a target client. The caller starts and stops the HTTP client.
   *
   * @param client an HTTP client created by {@link TargetHttpClients}
   * @param lateAnswerTolerance the time after the deadline during which an answer is still accepted
   * @param maximumAnswerBytes the maximum size of an answer in bytes
   * @param metrics the registry for the client's metrics
   */
  public JettyTargetClient(
      HttpClient client,
      Duration lateAnswerTolerance,
      int maximumAnswerBytes,
      MetricRegistry metrics) {
    this.client = client;
    this.lateAnswerTolerance = lateAnswerTolerance;
    this.maximumAnswerBytes = maximumAnswerBytes;
    this.mismatchedAnswers = metrics.meter("requests.answers.crossed");
  }

  @Override
  public CompletableFuture<TargetReply> send(String address, RequestAttempt attempt) {
    CompletableFuture<TargetReply> reply = new CompletableFuture<>();
    AtomicBoolean requestBegun = new AtomicBoolean();
    try {
      request(address, attempt)
          .onRequestBegin(started -> requestBegun.set(true))
          .send(
              new BufferingResponseListener(maximumAnswerBytes) {
                @Override
                public void onComplete(Result result) {
                  reply.complete(
                      result.isSucceeded()
                          ? read(attempt, getContent())
                          : failure(requestBegun.get(), result.getFailure()));
                }
              });
    } catch (RuntimeException failure) {
      reply.complete(failure(requestBegun.get(), failure));
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
        .timeout(attempt.deadlineMillis() + lateAnswerTolerance.toMillis(), TimeUnit.MILLISECONDS)
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
      mismatchedAnswers.mark();
      return new TargetReply.AnswerLost(
          "The target's answer repeats the identifiers of another attempt.");
    }
    String answer = reply.answer() == null ? "" : reply.answer();
    return switch (reply.status()) {
      case "answered" -> new TargetReply.Answered(answer);
      case "failed" -> new TargetReply.Failed("The target ran the request and failed: " + answer);
      case "refused" -> new TargetReply.Refused("The target refused the request: " + answer);
      case null, default -> new TargetReply.AnswerLost("The target's answer has no known status.");
    };
  }

  private static TargetReply failure(boolean requestBegun, Throwable cause) {
    return requestBegun
        ? new TargetReply.AnswerLost("The connection to the target was lost: " + cause.getMessage())
        : new TargetReply.NotConnected("The target was not reached: " + cause.getMessage());
  }
}
