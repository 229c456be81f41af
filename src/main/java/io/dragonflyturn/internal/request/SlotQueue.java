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
 * Hands out slots at targets: urgent requests before normal ones before deferrable ones.
 *
 * <p>The queue is bounded; an arrival at a full queue displaces the last request of a later class,
 * or is refused. The monitor of this object guards the queue, the credits, the pauses, and the
 * service times; futures complete outside of it.
 */
final class SlotQueue {
  /** What a caller is told where no target has slots for this entry. */
  static final String NO_TARGET_MESSAGE =
      "No target is open to this entry; try again later, or ask another entry.";

  private final Supplier<RoutingSnapshot> routing;
  private final CreditPool credits;
  private final TargetPauses pauses;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final AdmissionRule admission;
  private final InstantSource monotonic;
  private final RequestTimer timer;
  private final RequestSettings settings;
  private final List<Deque<Waiter>> waiting = new ArrayList<>();
  private final int[][] counts = new int[Urgency.values().length][TargetOperation.values().length];
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
    this.admission = new AdmissionRule(settings);
    this.pauses = new TargetPauses(settings.initialTargetBackoff(), settings.maximumTargetBackoff());
    for (Urgency urgency : Urgency.values()) {
      waiting.add(urgency.ordinal(), new ArrayDeque<>());
    }
  }

  /** Waits for a slot until the deadline. */
  CompletableFuture<SlotGrant> request(SlotRequest request) {
    Waiter waiter = new Waiter(request, new CompletableFuture<>());
    List<Runnable> completions = new ArrayList<>();
    synchronized (this) {
      Optional<SlotGrant.Refused> refusal = admit(request, completions);
      if (refusal.isPresent()) {
        return CompletableFuture.completedFuture(refusal.get());
      }
      queueOf(request).addLast(waiter);
      count(waiter, 1);
      collectGrants(completions);
    }
    completions.forEach(Runnable::run);
    if (!waiter.grant().isDone()) {
      RequestTimer.Cancellable expiry =
          timer.schedule(timeLeft(request, monotonic.instant()), () -> expire(waiter));
      waiter.grant().whenComplete((grant, failure) -> expiry.cancel());
    }
    return waiter.grant();
  }

  /** Returns whether this entry has slots, free or not, at any target. */
  boolean hasSlots() {
    return CreditPool.hasSlots(routing.get().view());
  }

  /** Returns whether no more is in flight at any worker than the latest view allows. */
  synchronized boolean holdsOnlyItsCredits() {
    return credits.holdsOnly(routing.get().view().credits());
  }

  /** Hands out slots that became free, or that a new view brought. */
  void serve() {
    List<Runnable> completions = new ArrayList<>();
    synchronized (this) {
      collectGrants(completions);
    }
    completions.forEach(Runnable::run);
  }

  /** Notes that a target answered, and how long it took. */
  synchronized void noteAnswer(String worker, TargetOperation kind, Duration serviceTime) {
    serviceTimes.add(kind, serviceTime, monotonic.instant());
    pauses.clear(worker);
  }

  /** Notes that a target did not take or answer an attempt. */
  void noteFailure(String worker) {
    Duration pause;
    synchronized (this) {
      pause = pauses.pause(worker, monotonic.instant());
    }
    timer.schedule(pause, this::serve);
  }

  /** Returns the number of requests that wait. */
  synchronized int size() {
    return size;
  }

  /** Returns the number of attempts in flight. */
  synchronized int inFlight() {
    return credits.inFlight();
  }

  private Optional<SlotGrant.Refused> admit(SlotRequest request, List<Runnable> completions) {
    RoutingView view = routing.get().view();
    int slots = CreditPool.slots(view, request.excluded());
    if (slots == 0) {
      return Optional.of(noTarget());
    }
    Instant now = monotonic.instant();
    Duration service = serviceTimes.expected(request.kind(), now);
    Duration wait = expectedWait(request, slots, now);
    Optional<SlotGrant.Refused> refusal =
        admission.refusal(request.urgency(), wait, service, timeLeft(request, now));
    boolean full = size >= settings.queueLimit();
    return refusal.isEmpty() && full && !displaceFor(request.urgency(), completions)
        ? Optional.of(admission.overloaded(wait))
        : refusal;
  }

  /** Every request ahead takes one slot for its service time. */
  private Duration expectedWait(SlotRequest request, int slots, Instant now) {
    Duration ahead = Duration.ZERO;
    for (int index = 0; index <= request.urgency().ordinal(); index++) {
      for (TargetOperation kind : TargetOperation.values()) {
        Duration each = serviceTimes.expected(kind, now);
        ahead = ahead.plus(each.multipliedBy(counts[index][kind.ordinal()]));
      }
    }
    return ahead.dividedBy(slots);
  }

  private boolean displaceFor(Urgency arriving, List<Runnable> completions) {
    for (int index = waiting.size() - 1; index > arriving.ordinal(); index--) {
      Waiter last = waiting.get(index).pollLast();
      if (last != null) {
        count(last, -1);
        SlotGrant.Refused refusal = admission.overloaded(Duration.ZERO);
        completions.add(() -> last.grant().complete(refusal));
        return true;
      }
    }
    return false;
  }

  private void collectGrants(List<Runnable> completions) {
    RoutingView view = routing.get().view();
    Instant now = monotonic.instant();
    Predicate<Worker> open = worker -> !pauses.isPaused(worker.name(), now);
    for (Deque<Waiter> sameClass : waiting) {
      Iterator<Waiter> waiters = sameClass.iterator();
      while (waiters.hasNext()) {
        Waiter waiter = waiters.next();
        if (isTooLate(waiter.request(), now)) {
          waiters.remove();
          count(waiter, -1);
          completions.add(() -> waiter.grant().complete(admission.deadlineNotMet(Duration.ZERO)));
          continue;
        }
        Optional<Worker> worker =
            credits.tryTake(
                view, open.and(each -> !waiter.request().excluded().contains(each.name())));
        if (worker.isPresent()) {
          waiters.remove();
          count(waiter, -1);
          TargetSlot slot = slotAt(worker.get());
          completions.add(() -> grant(waiter, slot));
        } else if (waiter.request().excluded().isEmpty()) {
          return;
        }
      }
    }
  }

  private static void grant(Waiter waiter, TargetSlot slot) {
    if (!waiter.grant().complete(new SlotGrant.Granted(slot))) {
      slot.release();
    }
  }

  private boolean isTooLate(SlotRequest request, Instant now) {
    return serviceTimes.expected(request.kind(), now).compareTo(timeLeft(request, now)) > 0;
  }

  private TargetSlot slotAt(Worker worker) {
    return new TargetSlot(
        worker,
        () -> {
          synchronized (this) {
            credits.giveBack(worker.name());
          }
          serve();
        });
  }

  private void expire(Waiter waiter) {
    boolean removed;
    synchronized (this) {
      removed = queueOf(waiter.request()).remove(waiter);
      if (removed) {
        count(waiter, -1);
      }
    }
    if (removed) {
      waiter.grant().complete(admission.deadlineNotMet(Duration.ZERO));
    }
  }

  private void count(Waiter waiter, int change) {
    size += change;
    counts[waiter.request().urgency().ordinal()][waiter.request().kind().ordinal()] += change;
  }

  private Deque<Waiter> queueOf(SlotRequest request) {
    return waiting.get(request.urgency().ordinal());
  }

  private static Duration timeLeft(SlotRequest request, Instant now) {
    return Duration.between(now, request.deadline());
  }

  private SlotGrant.Refused noTarget() {
    return new SlotGrant.Refused(ResultCode.NO_TARGET, NO_TARGET_MESSAGE, settings.retryAfter());
  }

  private record Waiter(SlotRequest request, CompletableFuture<SlotGrant> grant) {
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
