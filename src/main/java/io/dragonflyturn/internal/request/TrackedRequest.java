package io.dragonflyturn.internal.request;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The state of one request at this entry, shared by all calls that submit it.
 *
 * <p>A response that guarantees that the request did not run is only allowed after the transition
 * from waiting to withdrawn, because from then on nothing can be sent.
 */
final class TrackedRequest {
  private final RequestCall call;
  private final Instant deadline;
  private final CompletableFuture<RequestResponse> outcome = new CompletableFuture<>();
  private final AtomicReference<RequestPhase> phase = new AtomicReference<>(RequestPhase.WAITING);
  private final AtomicInteger callers = new AtomicInteger();
  private final AtomicBoolean owned = new AtomicBoolean();

  TrackedRequest(RequestCall call, Instant deadline) {
    this.call = call;
    this.deadline = deadline;
  }

  RequestCall call() {
    return call;
  }

  /** Returns the monotonic time after which nothing is sent. */
  Instant deadline() {
    return deadline;
  }

  /**
   * Returns the future outcome of the request, which is independent of the callers that wait for
   * it.
   */
  CompletableFuture<RequestResponse> outcome() {
    return outcome;
  }

  /** Adds a waiting caller. */
  void addCaller() {
    callers.incrementAndGet();
  }

  /** Removes a waiting caller and returns whether it was the last one. */
  boolean removeCaller() {
    return callers.decrementAndGet() == 0;
  }

  /** Returns whether exactly one caller is waiting. */
  boolean hasSingleCaller() {
    return callers.get() == 1;
  }

  /**
   * Marks the request as sent, unless it was withdrawn.
   *
   * @return whether an attempt may be sent now
   */
  boolean beginSend() {
    return phase.compareAndSet(RequestPhase.WAITING, RequestPhase.SENT)
        || phase.get() == RequestPhase.SENT;
  }

  /** Returns to the waiting phase after every attempt so far was proven not to have run. */
  void markUnsent() {
    phase.compareAndSet(RequestPhase.SENT, RequestPhase.WAITING);
  }

  /**
   * Withdraws the request if nothing was sent.
   *
   * @return whether this call withdrew the request
   */
  boolean withdraw() {
    return phase.compareAndSet(RequestPhase.WAITING, RequestPhase.WITHDRAWN);
  }

  /** Returns whether the request was withdrawn. */
  boolean isWithdrawn() {
    return phase.get() == RequestPhase.WITHDRAWN;
  }

  /** Records that this entry holds the claim on the request. */
  void markOwned() {
    owned.set(true);
  }

  /**
   * Releases the claim on the request.
   *
   * @return whether this call released the claim
   */
  boolean releaseOwnership() {
    return owned.compareAndSet(true, false);
  }

  private enum RequestPhase {
    /** No attempt is in flight and none may have run. */
    WAITING,
    /** An attempt is in flight or may have run. */
    SENT,
    /** Nothing was sent, and nothing will be sent. */
    WITHDRAWN
  }
}
