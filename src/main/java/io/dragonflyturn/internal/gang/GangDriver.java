package io.dragonflyturn.internal.gang;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.WorkerChannel.Seat;
import io.dragonflyturn.internal.gang.WorkerReport.TaskReport;
import io.dragonflyturn.internal.protocol.Failures;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Drives the held gangs on their workers, on behalf of the leader only.
 *
 * <p>Call {@link #tick} at short intervals while leading, and {@link #standDown} when leadership is
 * lost. Thread-safe; its one lock is held neither while events are given nor while answers are
 * awaited.
 */
public final class GangDriver {
  private final WorkerClient client;
  private final GangEvents events;
  private final GangTimings timings;
  private final InstantSource clock;
  private final Executor executor;
  private final Counter exchangeCount;
  private final Counter unansweredCount;
  private final Counter fencedCount;
  private final Counter lostMemberCount;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<AttemptKey, GangProgress> gangs = new LinkedHashMap<>();
  private final Map<String, WorkerChannel> channels = new HashMap<>();
  private Map<String, String> addresses = Map.of();
  private Predicate<String> mayStart = jobId -> false;
  private long term;
  private long generation;
  private long sequence;

  /**
   * Creates a driver that drives nothing yet.
   *
   * @param executor runs the handling of answers; must not run it on the calling thread
   */
  public GangDriver(
      WorkerClient client,
      GangEvents events,
      GangTimings timings,
      InstantSource clock,
      Executor executor,
      MetricRegistry metrics) {
    this.client = client;
    this.events = events;
    this.timings = timings;
    this.clock = clock;
    this.executor = executor;
    exchangeCount = metrics.counter("gang.exchanges");
    unansweredCount = metrics.counter("gang.exchanges.unanswered");
    fencedCount = metrics.counter("gang.exchanges.fenced");
    lostMemberCount = metrics.counter("gang.members.lost");
  }

  /**
   * Takes the held gangs of the control state and sends what is due.
   *
   * @param newTerm the leadership term of this process; it fences the workers
   * @param held every attempt that holds places
   * @param newAddresses the addresses of workers, by name
   * @param newMayStart whether the control state is fresh and a job may start where it is placed
   */
  public void tick(
      long newTerm,
      List<HeldGang> held,
      Map<String, String> newAddresses,
      Predicate<String> newMayStart) {
    long nowMillis = clock.millis();
    List<Runnable> calls = new ArrayList<>();
    lock.lock();
    try {
      boolean adopting = newTerm != term;
      if (adopting) {
        clear();
        term = newTerm;
      }
      addresses = newAddresses;
      mayStart = newMayStart;
      reconcile(held, adopting, nowMillis);
      gangs.values().forEach(gang -> advance(gang, nowMillis, calls));
      List.copyOf(channels.values()).forEach(channel -> pump(channel, nowMillis));
      channels.values().removeIf(WorkerChannel::unused);
    } finally {
      lock.unlock();
    }
    calls.forEach(Runnable::run);
  }

  /** Stops to send anything, because leadership is lost; answers on the way are dropped. */
  public void standDown() {
    lock.lock();
    try {
      clear();
      term = 0;
    } finally {
      lock.unlock();
    }
  }

  private void clear() {
    generation++;
    gangs.clear();
    channels.clear();
  }

  private void reconcile(List<HeldGang> held, boolean adopting, long nowMillis) {
    Map<AttemptKey, HeldGang> wanted = new HashMap<>();
    held.forEach(gang -> wanted.put(AttemptKey.of(gang), gang));
    List.copyOf(gangs.keySet()).stream()
        .filter(key -> !wanted.containsKey(key))
        .forEach(this::drop);
    for (HeldGang gang : held) {
      GangProgress progress = gangs.get(AttemptKey.of(gang));
      if (progress == null) {
        add(new GangProgress(gang, timings, adopting, nowMillis));
      } else if (gang.phase() == HeldGang.Phase.STOPPING) {
        progress.requestStop(nowMillis);
      }
    }
  }

  private void add(GangProgress progress) {
    gangs.put(AttemptKey.of(progress.gang()), progress);
    for (GangMember member : progress.members()) {
      channel(member.worker()).seats().add(new Seat(progress, member));
    }
  }

  private void drop(AttemptKey key) {
    GangProgress progress = gangs.remove(key);
    if (progress == null) {
      return;
    }
    for (GangMember member : progress.members()) {
      WorkerChannel channel = channel(member.worker());
      channel.seats().remove(new Seat(progress, member));
      if (member.report() != null && !member.gone()) {
        channel.addLeftover(new WorkerCommand.Forget(key.jobId(), key.attempt(), member.index()));
      }
    }
  }

  private WorkerChannel channel(String worker) {
    return channels.computeIfAbsent(worker, WorkerChannel::new);
  }

  private void advance(GangProgress gang, long nowMillis, List<Runnable> calls) {
    String jobId = gang.gang().job().id();
    int attempt = gang.gang().attempt();
    for (GangSignal signal : gang.advance(() -> mayStart.test(jobId), nowMillis)) {
      calls.add(() -> emit(jobId, attempt, signal));
    }
  }

  private void emit(String jobId, int attempt, GangSignal signal) {
    switch (signal) {
      case GangSignal.Started started -> events.gangStarted(jobId, attempt);
      case GangSignal.MemberLost lost -> {
        lostMemberCount.inc();
        events.memberLost(jobId, attempt, lost.worker(), lost.reason());
      }
      case GangSignal.Ended ended ->
          events.gangEnded(
              jobId, attempt, ended.outcome(), ended.completedSeconds(), ended.failedWorkers());
    }
  }

  /** Sends one exchange with all that is due for a worker, unless one is on its way. */
  private void pump(WorkerChannel channel, long nowMillis) {
    if (channel.inFlight()) {
      return;
    }
    boolean poll = channel.pollDue(nowMillis);
    boolean renew = poll && !channel.silent();
    Map<Seat, WorkerCommand> commands = new LinkedHashMap<>();
    for (Seat seat : channel.seats()) {
      WorkerCommand command = commandFor(seat, renew, nowMillis);
      if (command != null) {
        commands.put(seat, command);
      }
    }
    List<WorkerCommand> leftovers = channel.leftovers();
    if (!commands.isEmpty() || !leftovers.isEmpty() || poll) {
      send(channel, commands, leftovers, nowMillis);
    }
  }

  private @Nullable WorkerCommand commandFor(Seat seat, boolean renew, long nowMillis) {
    String jobId = seat.progress().gang().job().id();
    WorkerCommand command =
        seat.progress().command(seat.member(), () -> mayStart.test(jobId), nowMillis);
    return command == null && renew ? seat.progress().renewal(seat.member()) : command;
  }

  private void send(
      WorkerChannel channel,
      Map<Seat, WorkerCommand> commands,
      List<WorkerCommand> leftovers,
      long nowMillis) {
    String address = addresses.get(channel.worker());
    if (address == null) {
      channel.unanswered(timings, nowMillis);
      channel.dropLeftovers(leftovers);
      return;
    }
    List<WorkerCommand> all = new ArrayList<>(commands.values());
    all.addAll(leftovers);
    commands.forEach((seat, command) -> seat.member().sent(command, nowMillis));
    channel.sent();
    exchangeCount.inc();
    long sentGeneration = generation;
    client
        .exchange(address, new WorkerExchange(term, ++sequence, all))
        .whenCompleteAsync(
            (report, failure) -> receive(channel, leftovers, sentGeneration, report, failure),
            executor);
  }

  private void receive(
      WorkerChannel channel,
      List<WorkerCommand> leftovers,
      long sentGeneration,
      @Nullable WorkerReport report,
      @Nullable Throwable failure) {
    long nowMillis = clock.millis();
    List<Runnable> calls = new ArrayList<>();
    lock.lock();
    try {
      if (sentGeneration != generation) {
        return;
      }
      if (report == null || report.fenced()) {
        unanswered(channel, failure, nowMillis);
      } else {
        answered(channel, leftovers, report, nowMillis);
      }
      if (report != null && report.fenced()) {
        fencedCount.inc();
        calls.add(() -> events.fenced(channel.worker()));
      } else {
        advanceGangsOf(channel, nowMillis, calls);
      }
    } finally {
      lock.unlock();
    }
    calls.forEach(Runnable::run);
  }

  private void unanswered(WorkerChannel channel, @Nullable Throwable failure, long nowMillis) {
    unansweredCount.inc();
    boolean sent = !isUnsent(failure);
    channel.unanswered(timings, nowMillis);
    channel.seats().forEach(seat -> seat.member().unanswered(sent));
  }

  private void answered(
      WorkerChannel channel, List<WorkerCommand> leftovers, WorkerReport report, long nowMillis) {
    Map<MemberKey, TaskReport> tasks = new HashMap<>();
    report.tasks().forEach(task -> tasks.put(MemberKey.of(task), task));
    for (Seat seat : channel.seats()) {
      MemberKey key = MemberKey.of(seat);
      seat.progress().heard(seat.member(), tasks.remove(key), nowMillis);
    }
    channel.dropLeftovers(leftovers);
    tasks.values().forEach(task -> disposeOf(channel, task));
    channel.answered(timings, nowMillis);
  }

  /** Ends and drops a task that no held gang has. */
  private static void disposeOf(WorkerChannel channel, TaskReport task) {
    WorkerCommand command =
        switch (task.state()) {
          case RESERVED, RUNNING ->
              new WorkerCommand.Stop(task.jobId(), task.attempt(), task.member(), false);
          case COMPLETED, FAILED, STOPPED, LAPSED ->
              new WorkerCommand.Forget(task.jobId(), task.attempt(), task.member());
          case REFUSED -> null;
        };
    if (command != null) {
      channel.addLeftover(command);
    }
  }

  /** Lets the gangs with a member on the worker go on, and sends what that makes due. */
  private void advanceGangsOf(WorkerChannel channel, long nowMillis, List<Runnable> calls) {
    List<GangProgress> touched = channel.seats().stream().map(Seat::progress).distinct().toList();
    touched.forEach(gang -> advance(gang, nowMillis, calls));
    touched.stream()
        .filter(gang -> !(gang.stage() instanceof GangStage.Ended))
        .flatMap(gang -> gang.members().stream())
        .map(member -> channel(member.worker()))
        .distinct()
        .forEach(each -> pump(each, nowMillis));
  }

  private static boolean isUnsent(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    return cause instanceof DragonflyturnException known
        && known.code() == ResultCode.PEER_UNREACHABLE;
  }

  private record AttemptKey(String jobId, int attempt) {
    static AttemptKey of(HeldGang gang) {
      return new AttemptKey(gang.job().id(), gang.attempt());
    }
  }

  private record MemberKey(String jobId, int attempt, int member) {
    static MemberKey of(TaskReport task) {
      return new MemberKey(task.jobId(), task.attempt(), task.member());
    }

    static MemberKey of(Seat seat) {
      HeldGang gang = seat.progress().gang();
      return new MemberKey(gang.job().id(), gang.attempt(), seat.member().index());
    }
  }
}
