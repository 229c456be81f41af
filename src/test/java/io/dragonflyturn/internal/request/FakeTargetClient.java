package io.dragonflyturn.internal.request;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** A target client that records all attempts and replies immediately, later, or never. */
final class FakeTargetClient implements TargetClient {
  private final List<SentAttempt> sent = new ArrayList<>();
  private Function<SentAttempt, CompletableFuture<TargetReply>> behavior =
      FakeTargetClient::replyDone;

  /** Sets the behavior of the targets for all further attempts. */
  void setBehavior(Function<SentAttempt, CompletableFuture<TargetReply>> behavior) {
    this.behavior = behavior;
  }

  /** Leaves attempts unanswered until the test completes their replies. */
  void holdAttempts() {
    setBehavior(SentAttempt::reply);
  }

  /** Makes every further attempt end with the given reply. */
  void replyAlways(TargetReply reply) {
    setBehavior(attempt -> CompletableFuture.completedFuture(reply));
  }

  /** Returns all attempts so far. */
  List<SentAttempt> sent() {
    return sent;
  }

  @Override
  public CompletableFuture<TargetReply> send(String address, RequestAttempt attempt) {
    SentAttempt received = new SentAttempt(address, attempt, new CompletableFuture<>());
    sent.add(received);
    return behavior.apply(received);
  }

  private static CompletableFuture<TargetReply> replyDone(SentAttempt sent) {
    return CompletableFuture.completedFuture(
        new TargetReply.Answered("done " + sent.attempt().requestId()));
  }

  record SentAttempt(
      String address, RequestAttempt attempt, CompletableFuture<TargetReply> reply) {}
}
