package io.dragonflyturn.internal.request;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One request inside this entry, shared by all callers that ask for it.
 *
 * <p>The phase decides what may be said: an answer with a not-run code needs the step from waiting
 * to withdrawn, after which nothing can be sent any more.
 */
final class RequestRun {
  private final RequestCall call;
  private final Instant deadline;
  private final CompletableFuture<RequestResponse> outcome = new CompletableFuture<>();
  private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
  private final AtomicInteger callers = new AtomicInteger();
  private final AtomicBoolean owned = new AtomicBoolean();

  RequestRun(RequestCall call, Instant deadline) {
    this.call = call;
    this.deadline = deadline;
  }

  RequestCall call() {
    return call;
  }

  /** Returns the time on the monotonic source after which nothing is sent. */
  Instant deadline() {
    return deadline;
  }

  /** Returns the outcome of the run, whoever waits for it. */
  CompletableFuture<RequestResponse> outcome() {
    return outcome;
  }

  /** Counts a caller in. */
  void addCaller() {
    callers.incrementAndGet();
  }

  /** Counts a caller out and returns whether it was the last. */
  boolean removeCaller() {
    return callers.decrementAndGet() == 0;
  }

  /** Returns whether exactly one caller waits. */
  boolean hasOneCaller() {
    return callers.get() == 1;
  }

  /** Returns whether an attempt may go out now; from here on the request may run. */
  boolean beginSend() {
    return phase.compareAndSet(Phase.WAITING, Phase.SENT) || phase.get() == Phase.SENT;
  }

  /** Notes that every attempt so far was proved not to have run. */
  void returnUnsent() {
    phase.compareAndSet(Phase.SENT, Phase.WAITING);
  }

  /** Returns whether the run is closed with nothing sent; true for the first caller only. */
  boolean withdraw() {
    return phase.compareAndSet(Phase.WAITING, Phase.WITHDRAWN);
  }

  /** Returns whether the run is closed with nothing sent. */
  boolean isWithdrawn() {
    return phase.get() == Phase.WITHDRAWN;
  }

  /** Notes that this run holds the claim on its key. */
  void markOwned() {
    owned.set(true);
  }

  /** Returns whether this run held the claim on its key; true for the first caller only. */
  boolean giveUpOwnership() {
    return owned.compareAndSet(true, false);
  }

  private enum Phase {
    /** Nothing that may have run is out. */
    WAITING,
    /** An attempt is out or may have run. */
    SENT,
    /** Nothing was sent, and nothing will be. */
    WITHDRAWN
  }
}
