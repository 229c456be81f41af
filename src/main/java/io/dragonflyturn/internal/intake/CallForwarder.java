package io.dragonflyturn.internal.intake;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.logging.EventLog;
import io.dragonflyturn.internal.logging.LoggedCallback;
import io.dragonflyturn.internal.protocol.Failures;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Forwards API calls to peers while this instance cannot reach the store.
 *
 * <p>Peers are tried in turn until one answers; peers that failed are tried after the others, the
 * most recent failure last. A call may be forwarded to several peers, because all calls are
 * idempotent: a submission with the identifier of a known job joins that job.
 *
 * <p>Not thread-safe: all methods must be called on the event loop.
 */
public final class CallForwarder {
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(600);
  private static final int MAX_ATTEMPTS = 3;

  /** How long forwarding pauses after a call that no peer answered. */
  private static final long FORWARDING_PAUSE_MILLIS = 400;

  private final Supplier<Map<String, String>> peerAddresses;
  private final PeerClient peerClient;
  private final Executor eventLoop;
  private final InstantSource monotonicClock;
  private final EventLog events;
  private final Map<String, Long> lastFailureMillis = new HashMap<>();
  private long pausedUntilMillis;

  /**
   * Creates a forwarder.
   *
   * @param peerAddresses supplies the addresses of the peers by their names
   * @param peerClient sends calls to peers
   * @param eventLoop the event loop on which answers are processed
   * @param monotonicClock a clock that never goes back
   */
  public CallForwarder(
      Supplier<Map<String, String>> peerAddresses,
      PeerClient peerClient,
      Executor eventLoop,
      InstantSource monotonicClock,
      EventLog events) {
    this.peerAddresses = peerAddresses;
    this.peerClient = peerClient;
    this.eventLoop = eventLoop;
    this.monotonicClock = monotonicClock;
    this.events = events;
  }

  /** Sends API calls to peers. */
  @FunctionalInterface
  public interface PeerClient {
    /**
     * Sends a call to a peer. The returned future fails with {@link ResultCode#PEER_UNREACHABLE} if
     * nothing was sent; after any other failure the peer may have applied the call.
     *
     * @param address the IP address and port of the peer
     * @param minConfigurationVersion the lowest configuration version that the peer may evaluate
     *     the call with
     */
    CompletableFuture<PeerAnswer> call(
        String address, CallerCall call, long minConfigurationVersion, Duration timeout);
  }

  /**
   * Forwards a call to peers until one answers.
   *
   * @param minConfigurationVersion the lowest configuration version that a peer may evaluate the
   *     call with
   * @return the peer's answer, or {@link CallerAnswer.OutcomeUnknown} if a peer that did not answer
   *     may have applied a change; empty if no peer answered and nothing can have changed
   */
  CompletableFuture<Optional<PeerAnswer>> forward(CallerCall call, long minConfigurationVersion) {
    PendingForward pendingForward =
        new PendingForward(call, minConfigurationVersion, candidates().iterator());
    if (monotonicClock.millis() < pausedUntilMillis) {
      pendingForward.result.complete(Optional.empty());
    } else {
      pendingForward.callNextPeer();
    }
    return pendingForward.result;
  }

  private List<Map.Entry<String, String>> candidates() {
    List<Map.Entry<String, String>> candidates = new ArrayList<>(peerAddresses.get().entrySet());
    candidates.sort(
        Comparator.comparingLong(
            (Map.Entry<String, String> candidate) ->
                lastFailureMillis.getOrDefault(candidate.getKey(), 0L)));
    return candidates.subList(0, Math.min(MAX_ATTEMPTS, candidates.size()));
  }

  /** A call that is being sent to one peer after another. */
  private final class PendingForward {
    private final CallerCall call;
    private final long minConfigurationVersion;
    private final Iterator<Map.Entry<String, String>> remainingPeers;
    private final CompletableFuture<Optional<PeerAnswer>> result = new CompletableFuture<>();
    private boolean mayHaveBeenApplied;

    PendingForward(
        CallerCall call,
        long minConfigurationVersion,
        Iterator<Map.Entry<String, String>> remainingPeers) {
      this.call = call;
      this.minConfigurationVersion = minConfigurationVersion;
      this.remainingPeers = remainingPeers;
    }

    void callNextPeer() {
      if (!remainingPeers.hasNext()) {
        completeUnanswered();
        return;
      }
      Map.Entry<String, String> peer = remainingPeers.next();
      peerClient
          .call(peer.getValue(), call, minConfigurationVersion, ATTEMPT_TIMEOUT)
          .whenCompleteAsync(
              LoggedCallback.of(
                  events,
                  "peerAnswered",
                  (answer, failure) -> handleAnswer(peer.getKey(), answer, failure)),
              eventLoop);
    }

    private void handleAnswer(
        String peer, @Nullable PeerAnswer answer, @Nullable Throwable failure) {
      log(peer, answer == null ? String.valueOf(failure) : answer.toString());
      if (answer != null && !(answer.answer() instanceof CallerAnswer.Unavailable)) {
        lastFailureMillis.remove(peer);
        result.complete(Optional.of(certain(answer)));
        return;
      }
      lastFailureMillis.put(peer, monotonicClock.millis());
      mayHaveBeenApplied |= answer == null && !neverSent(failure);
      callNextPeer();
    }

    /**
     * Returns the answer of a peer. If it is a refusal, and another peer may have applied the call,
     * the outcome is unknown.
     */
    private PeerAnswer certain(PeerAnswer answer) {
      boolean refuses = modifiesJob() && !(answer.answer() instanceof CallerAnswer.Accepted);
      return refuses && mayHaveBeenApplied
          ? new PeerAnswer(new CallerAnswer.OutcomeUnknown(), answer.configuration())
          : answer;
    }

    private boolean modifiesJob() {
      return ForwardedWrites.recordKey(call) != null;
    }

    private void log(String peer, String outcome) {
      events
          .event("call-relayed")
          .with("path", call.request().path())
          .with("peer", peer)
          .with("outcome", outcome)
          .write();
    }

    private void completeUnanswered() {
      pausedUntilMillis = monotonicClock.millis() + FORWARDING_PAUSE_MILLIS;
      result.complete(
          mayHaveBeenApplied && modifiesJob()
              ? Optional.of(
                  new PeerAnswer(new CallerAnswer.OutcomeUnknown(), minConfigurationVersion))
              : Optional.empty());
    }
  }

  private static boolean neverSent(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    return cause instanceof DragonflyturnException exception
        && exception.code() == ResultCode.PEER_UNREACHABLE;
  }
}
