package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.fleet.EndKind;
import io.dragonflyturn.internal.fleet.EndedTask;
import io.dragonflyturn.internal.fleet.OrderAnswer;
import io.dragonflyturn.internal.fleet.OrderAnswer.Reason;
import io.dragonflyturn.internal.fleet.PollAnswer;
import io.dragonflyturn.internal.fleet.PollOrder;
import io.dragonflyturn.internal.fleet.RunningTask;
import io.dragonflyturn.internal.fleet.StartOrder;
import io.dragonflyturn.internal.fleet.StopOrder;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** One life of an in-memory worker, with its active runs and unacknowledged ends. */
final class FakeWorker {
  private static final int LISTED_ENDS = 500;

  private final String id;
  private final long incarnation;
  private final FakeWorkers fleet;
  private final FakeGangs gangs;
  private final ManualLoop loop;
  private final Map<String, FakeRun> running = new LinkedHashMap<>();
  private final Map<String, Integer> lastRuns = new HashMap<>();
  private final List<EndedTask> ended = new ArrayList<>();
  private long startMillis;
  private long firstClockMillis;
  private double clockRate = 1;
  private long fence;
  private long leaseUntilMillis;
  private long lastEndNumber;

  FakeWorker(String id, long incarnation, FakeWorkers fleet, FakeGangs gangs, ManualLoop loop) {
    this.id = id;
    this.incarnation = incarnation;
    this.fleet = fleet;
    this.gangs = gangs;
    this.loop = loop;
  }

  String id() {
    return id;
  }

  long incarnation() {
    return incarnation;
  }

  /** Starts the worker's clock anew, which shows a first time and runs at a rate from then on. */
  void startClock(long clockMillis, double rate) {
    startMillis = loop.millis();
    firstClockMillis = clockMillis;
    clockRate = rate;
  }

  long clock() {
    return firstClockMillis + (long) ((loop.millis() - startMillis) * clockRate);
  }

  WorkerRegistration registration(boolean draining, long drainRemainingMillis) {
    return new WorkerRegistration(
        id,
        incarnation,
        "service",
        id + ":1",
        "north",
        List.of("a", "r1"),
        fleet.capacity(id),
        draining,
        drainRemainingMillis,
        0,
        clock());
  }

  Set<String> runningTasks() {
    return running.keySet();
  }

  boolean runs(String task) {
    return running.containsKey(task);
  }

  int runNumber(String task) {
    return Objects.requireNonNull(running.get(task)).number();
  }

  /** Loses a run, without an end. */
  void forget(String task) {
    running.remove(task);
  }

  private void tell(String event) {
    fleet.audit.tell(id + " life " + incarnation + " at its " + clock() + " " + event);
  }

  private void extendLease(long untilMillis) {
    leaseUntilMillis =
        Math.max(leaseUntilMillis, Math.min(untilMillis, clock() + fleet.maximumLeaseMillis()));
  }

  OrderAnswer start(StartOrder order) {
    expire();
    if (order.fence() < fence) {
      return new OrderAnswer.Refused(Reason.FENCED);
    }
    fence = order.fence();
    if (order.leaseUntilMillis() <= clock()) {
      return new OrderAnswer.Refused(Reason.LATE);
    }
    extendLease(order.leaseUntilMillis());
    FakeRun present = running.get(order.task());
    if (present != null && present.number() == order.runNumber()) {
      return new OrderAnswer.Taken(clock());
    }
    if (lastRuns.getOrDefault(order.task(), 0) >= order.runNumber()) {
      return new OrderAnswer.Refused(Reason.OLD_RUN);
    }
    tell("starts " + order.task() + " run " + order.runNumber() + ", fence " + fence);
    running.put(order.task(), fleet.begin(this, order));
    lastRuns.put(order.task(), order.runNumber());
    gangs.recordAssembly(order.task(), order.runNumber());
    return new OrderAnswer.Taken(clock());
  }

  OrderAnswer stop(StopOrder order) {
    expire();
    if (order.fence() < fence) {
      return new OrderAnswer.Refused(Reason.FENCED);
    }
    fence = order.fence();
    lastRuns.merge(order.task(), order.runNumber(), Math::max);
    if (running.containsKey(order.task())) {
      end(order.task(), EndKind.STOPPED);
    }
    return new OrderAnswer.Taken(clock());
  }

  PollAnswer poll(PollOrder order) {
    expire();
    if (order.fence() < fence) {
      return new PollAnswer.Refused(Reason.FENCED);
    }
    fence = order.fence();
    extendLease(order.leaseUntilMillis());
    acknowledge(order.lastAcknowledgedEnd());
    List<RunningTask> list = new ArrayList<>();
    running.forEach((task, run) -> list.add(run.listed(task, fleet.checkpoint(), clock())));
    List<EndedTask> listedEnds = ended.subList(0, Math.min(LISTED_ENDS, ended.size()));
    return new PollAnswer.Listing(
        incarnation, clock(), list, listedEnds, ended.size() < LISTED_ENDS);
  }

  private void acknowledge(long endNumber) {
    for (EndedTask end : List.copyOf(ended)) {
      if (end.endNumber() <= endNumber) {
        ended.remove(end);
        tell("forgets the end of " + end.task() + " run " + end.runNumber());
        fleet.audit.acknowledged(end);
      }
    }
  }

  /** Ends the runs that have ended by now. */
  void expire() {
    for (Map.Entry<String, FakeRun> entry : Map.copyOf(running).entrySet()) {
      if (!running.containsKey(entry.getKey())) {
        continue;
      }
      if (entry.getValue().failureMillis() <= clock()) {
        end(entry.getKey(), EndKind.FAILED);
      } else if (entry.getValue().completionMillis() <= Math.min(clock(), leaseUntilMillis)) {
        end(entry.getKey(), EndKind.DONE);
      } else if (leaseUntilMillis <= clock()) {
        end(entry.getKey(), EndKind.LAPSED);
      } else if (gangs.isAlone(entry.getKey(), entry.getValue(), clock())) {
        gangs.countAlone();
        end(entry.getKey(), EndKind.ALONE);
      }
    }
  }

  /** Ends a run. */
  void end(String task, EndKind kind) {
    final FakeRun run = Objects.requireNonNull(running.remove(task));
    lastEndNumber++;
    tell("ends " + task + " run " + run.number() + " " + kind + ", end " + lastEndNumber);
    gangs.breakGang(task, kind);
    if (kind == EndKind.STOPPED) {
      fleet.countStopped();
    }
    ended.add(new EndedTask(lastEndNumber, task, run.number(), kind, fleet.checkpoint()));
  }
}
