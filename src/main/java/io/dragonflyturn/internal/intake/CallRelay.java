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
 * Passes calls on to peers while this instance does not reach the store. Used on the event loop
 * only.
 *
 * <p>Peers that failed are tried after the others, the latest last. Every call may be passed on
 * more than once, since a job is joined by its identifier.
 */
public final class CallRelay {
  private static final Duration TRY_TIMEOUT = Duration.ofMillis(600);
  private static final int MOST_TRIES = 3;

  /** How long no call is passed on after no peer could serve one, in milliseconds. */
  private static final long HOPELESS_MILLIS = 400;

  private final Supplier<Map<String, String>> peers;
  private final String self;
  private final PeerCalls calls;
  private final Executor loop;
  private final InstantSource steady;
  private final EventLog events;
  private final Map<String, Long> failedMillis = new HashMap<>();
  private long hopelessUntilMillis;

  /**
   * Creates a relay.
   *
   * @param peers the address of each instance by its name, this one among them
   * @param self the name of this instance
   */
  public CallRelay(
      Supplier<Map<String, String>> peers,
      String self,
      PeerCalls calls,
      Executor loop,
      InstantSource steady,
      EventLog events) {
    this.peers = peers;
    this.self = self;
    this.calls = calls;
    this.loop = loop;
    this.steady = steady;
    this.events = events;
  }

  /** Calls a peer. */
  @FunctionalInterface
  public interface PeerCalls {
    /**
     * Returns the peer's answer; fails with {@link ResultCode#PEER_UNREACHABLE} where nothing was
     * sent.
     *
     * @param leastConfiguration the oldest version of the configuration that may judge the call
     */
    CompletableFuture<PeerAnswer> call(
        String address, CallerCall call, long leastConfiguration, Duration timeout);
  }

  /**
   * Returns a peer's answer to a call; empty where none has taken the call.
   *
   * @param leastConfiguration the oldest version of the configuration that may judge the call
   */
  CompletableFuture<Optional<PeerAnswer>> relay(CallerCall call, long leastConfiguration) {
    Attempt attempt = new Attempt(call, leastConfiguration, candidates().iterator());
    if (steady.millis() < hopelessUntilMillis) {
      attempt.result.complete(Optional.empty());
    } else {
      attempt.next();
    }
    return attempt.result;
  }

  private List<Map.Entry<String, String>> candidates() {
    List<Map.Entry<String, String>> candidates = new ArrayList<>(peers.get().entrySet());
    candidates.removeIf(each -> each.getKey().equals(self));
    candidates.sort(
        Comparator.comparingLong(
            (Map.Entry<String, String> each) -> failedMillis.getOrDefault(each.getKey(), 0L)));
    return candidates.subList(0, Math.min(MOST_TRIES, candidates.size()));
  }

  /** One call on its way through the peers. */
  private final class Attempt {
    private final CallerCall call;
    private final long leastConfiguration;
    private final Iterator<Map.Entry<String, String>> remaining;
    private final CompletableFuture<Optional<PeerAnswer>> result = new CompletableFuture<>();
    private boolean mayHaveTakenEffect;

    Attempt(
        CallerCall call, long leastConfiguration, Iterator<Map.Entry<String, String>> remaining) {
      this.call = call;
      this.leastConfiguration = leastConfiguration;
      this.remaining = remaining;
    }

    void next() {
      if (!remaining.hasNext()) {
        end();
        return;
      }
      Map.Entry<String, String> peer = remaining.next();
      calls
          .call(peer.getValue(), call, leastConfiguration, TRY_TIMEOUT)
          .whenCompleteAsync(
              LoggedCallback.of(
                  events,
                  "peerAnswered",
                  (answer, failure) -> answered(peer.getKey(), answer, failure)),
              loop);
    }

    private void answered(String peer, @Nullable PeerAnswer answer, @Nullable Throwable failure) {
      log(peer, answer == null ? String.valueOf(failure) : answer.toString());
      if (answer != null && !(answer.answer() instanceof CallerAnswer.Unavailable)) {
        failedMillis.remove(peer);
        result.complete(Optional.of(answer));
        return;
      }
      failedMillis.put(peer, steady.millis());
      mayHaveTakenEffect |= answer == null && !neverSent(failure);
      next();
    }

    private void log(String peer, String outcome) {
      events
          .event("call-relayed")
          .with("path", call.request().path())
          .with("peer", peer)
          .with("outcome", outcome)
          .write();
    }

    private void end() {
      hopelessUntilMillis = steady.millis() + HOPELESS_MILLIS;
      boolean changes = call instanceof CallerCall.Submit || call instanceof CallerCall.Cancel;
      result.complete(
          mayHaveTakenEffect && changes
              ? Optional.of(new PeerAnswer(new CallerAnswer.OutcomeUnknown(), leastConfiguration))
              : Optional.empty());
    }
  }

  private static boolean neverSent(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    return cause instanceof DragonflyturnException known
        && known.code() == ResultCode.PEER_UNREACHABLE;
  }
}
