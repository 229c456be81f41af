package io.dragonflyturn.internal.request;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.RoutingView;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Assigns slots at targets to waiting requests, in the order urgent, normal, deferrable.
 *
 * <p>The queue is bounded: an arrival at a full queue displaces the last request of a lower
 * priority class, or is refused.
 *
 * <p>The monitor of this object guards the queue, the credits, the target backoff, and the service
 * times. Futures are completed without holding it.
 */
final class SlotQueue {
  /** The message for callers if no target has slots for this entry. */
  static final String NO_TARGET_MESSAGE =
      "No target has slots for this entry; retry later or use another entry.";

  private final Supplier<RoutingSnapshot> routing;
  private final CreditPool credits;
  private final TargetBackoff backoff;
  private final ServiceTimeEstimator serviceTimes = new ServiceTimeEstimator();
  private final AdmissionPolicy admission;
  private final InstantSource monotonic;
  private final RequestTimer timer;
  private final RequestSettings settings;
  private final List<Deque<Waiter>> queues = new ArrayList<>();
  private final int[][] waitingCounts =
      new int[Urgency.values().length][TargetOperation.values().length];
  private int size;

  SlotQueue(
      Supplier<RoutingSnapshot> routing,
      CreditPool credits,
      InstantSource monotonic,
      RequestTimer timer,
      RequestSettings settings) {
    this.routing = routing;
    this.credits = credits;
    this.monotonic = monotonic;
    this.timer = timer;
    this.settings = settings;
    this.admission = new AdmissionPolicy(settings);
    this.backoff =
        new TargetBackoff(settings.initialTargetBackoff(), settings.maximumTargetBackoff());
    for (Urgency urgency : Urgency.values()) {
      queues.add(urgency.ordinal(), new ArrayDeque<>());
    }
  }

  /**
   * Requests a slot.
   *
   * <p>The future never fails. It is completed with a refusal if no slot is available before the
   * deadline.
   */
  CompletableFuture<SlotResult> request(SlotRequest request) {
    Waiter waiter = new Waiter(request, new CompletableFuture<>());
    List<Runnable> completions = new ArrayList<>();
    synchronized (this) {
      Optional<SlotResult.Refused> refusal = admit(request, completions);
      if (refusal.isPresent()) {
        return CompletableFuture.completedFuture(refusal.get());
      }
      queueOf(request).addLast(waiter);
      updateCounts(waiter, 1);
      grantAvailableSlots(completions);
    }
    completions.forEach(Runnable::run);
    if (!waiter.result().isDone()) {
      RequestTimer.Cancellable expiry =
          timer.schedule(timeLeft(request, monotonic.instant()), () -> expire(waiter));
      waiter.result().whenComplete((result, failure) -> expiry.cancel());
    }
    return waiter.result();
  }

  /** Returns whether this entry has a slot, free or in use, at any target. */
  boolean hasSlots() {
    return CreditPool.hasSlots(routing.get().view());
  }

  /**
   * Returns whether the number of attempts in flight at every worker is within the credits of the
   * latest routing view.
   */
  synchronized boolean isWithinCredits() {
    return credits.isWithin(routing.get().view().credits());
  }

  /** Assigns slots that were released or that a new routing view added. */
  void dispatch() {
    List<Runnable> completions = new ArrayList<>();
    synchronized (this) {
      grantAvailableSlots(completions);
    }
    completions.forEach(Runnable::run);
  }

  /** Records that a target answered, and its service time. */
  synchronized void recordAnswer(String worker, TargetOperation operation, Duration serviceTime) {
    serviceTimes.addSample(operation, serviceTime, monotonic.instant());
    backoff.reset(worker);
  }

  /** Records that a target did not accept or did not answer an attempt. */
  void recordFailure(String worker) {
    Duration delay;
    synchronized (this) {
      delay = backoff.recordFailure(worker, monotonic.instant());
    }
    timer.schedule(delay, this::dispatch);
  }

  /** Returns the number of waiting requests. */
  synchronized int size() {
    return size;
  }

  /** Returns the number of attempts in flight. */
  synchronized int inFlight() {
    return credits.inFlight();
  }

  private Optional<SlotResult.Refused> admit(SlotRequest request, List<Runnable> completions) {
    RoutingView view = routing.get().view();
    int slots = CreditPool.totalSlots(view, request.excluded());
    if (slots == 0) {
      return Optional.of(noTarget());
    }
    Instant now = monotonic.instant();
    Duration serviceTime = serviceTimes.estimate(request.operation(), now);
    Duration wait = expectedWait(request, slots, now);
    Optional<SlotResult.Refused> refusal =
        admission.refusal(request.urgency(), wait, serviceTime, timeLeft(request, now));
    boolean full = size >= settings.queueLimit();
    return refusal.isEmpty() && full && !displaceLowerPriority(request.urgency(), completions)
        ? Optional.of(admission.overloaded(wait))
        : refusal;
  }

  /** Estimates the wait for a slot: each request ahead occupies one slot for its service time. */
  private Duration expectedWait(SlotRequest request, int slots, Instant now) {
    Duration ahead = Duration.ZERO;
    for (int index = 0; index <= request.urgency().ordinal(); index++) {
      for (TargetOperation operation : TargetOperation.values()) {
        Duration each = serviceTimes.estimate(operation, now);
        ahead = ahead.plus(each.multipliedBy(waitingCounts[index][operation.ordinal()]));
      }
    }
    return ahead.dividedBy(slots);
  }

  private boolean displaceLowerPriority(Urgency arriving, List<Runnable> completions) {
    for (int index = queues.size() - 1; index > arriving.ordinal(); index--) {
      Waiter displaced = queues.get(index).pollLast();
      if (displaced != null) {
        updateCounts(displaced, -1);
        SlotResult.Refused refusal = admission.overloaded(Duration.ZERO);
        completions.add(() -> displaced.result().complete(refusal));
        return true;
      }
    }
    return false;
  }

  private void grantAvailableSlots(List<Runnable> completions) {
    RoutingView view = routing.get().view();
    Instant now = monotonic.instant();
    Predicate<Worker> usable = worker -> !backoff.isBackingOff(worker.name(), now);
    for (Deque<Waiter> queue : queues) {
      Iterator<Waiter> waiters = queue.iterator();
      while (waiters.hasNext()) {
        Waiter waiter = waiters.next();
        if (cannotMeetDeadline(waiter.request(), now)) {
          waiters.remove();
          updateCounts(waiter, -1);
          completions.add(() -> waiter.result().complete(admission.deadlineNotMet(Duration.ZERO)));
          continue;
        }
        Optional<Worker> worker =
            credits.tryAcquire(
                view, usable.and(each -> !waiter.request().excluded().contains(each.name())));
        if (worker.isPresent()) {
          waiters.remove();
          updateCounts(waiter, -1);
          TargetSlot slot = slotAt(worker.get());
          completions.add(() -> grantSlot(waiter, slot));
        } else if (waiter.request().excluded().isEmpty()) {
          return;
        }
      }
    }
  }

  private static void grantSlot(Waiter waiter, TargetSlot slot) {
    if (!waiter.result().complete(new SlotResult.Granted(slot))) {
      slot.release();
    }
  }

  private boolean cannotMeetDeadline(SlotRequest request, Instant now) {
    return serviceTimes.estimate(request.operation(), now).compareTo(timeLeft(request, now)) > 0;
  }

  private TargetSlot slotAt(Worker worker) {
    return new TargetSlot(
        worker,
        () -> {
          synchronized (this) {
            credits.release(worker.name());
          }
          dispatch();
        });
  }

  private void expire(Waiter waiter) {
    boolean removed;
    synchronized (this) {
      removed = queueOf(waiter.request()).remove(waiter);
      if (removed) {
        updateCounts(waiter, -1);
      }
    }
    if (removed) {
      waiter.result().complete(admission.deadlineNotMet(Duration.ZERO));
    }
  }

  private void updateCounts(Waiter waiter, int change) {
    size += change;
    waitingCounts[waiter.request().urgency().ordinal()][waiter.request().operation().ordinal()] +=
        change;
  }

  private Deque<Waiter> queueOf(SlotRequest request) {
    return queues.get(request.urgency().ordinal());
  }

  private static Duration timeLeft(SlotRequest request, Instant now) {
    return Duration.between(now, request.deadline());
  }

  private SlotResult.Refused noTarget() {
    return new SlotResult.Refused(ResultCode.NO_TARGET, NO_TARGET_MESSAGE, settings.retryAfter());
  }

  private record Waiter(SlotRequest request, CompletableFuture<SlotResult> result) {
    @Override
    public boolean equals(Object other) {
      return this == other;
    }

    @Override
    public int hashCode() {
      return System.identityHashCode(this);
    }
  }
}
