package io.dragonflyturn.internal.gang;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.gang.WorkerChannel.ChannelMember;
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
 * Starts, supervises, and stops the placed gangs on their workers while this process is the leader.
 *
 * <p>Call {@link #tick} at short intervals while leading, and {@link #stepDown} when leadership is
 * lost. Thread-safe; the lock is not held while the listener is called or while a worker's answer
 * is pending.
 */
public final class GangDriver {
  private final WorkerClient client;
  private final GangListener listener;
  private final GangTimings timings;
  private final InstantSource clock;
  private final Executor executor;
  private final Counter exchangeCount;
  private final Counter unansweredCount;
  private final Counter fencedCount;
  private final Counter lostMemberCount;
  private final Counter restartedCount;

  private final ReentrantLock lock = new ReentrantLock();
  private final Map<AttemptKey, GangStateMachine> gangs = new LinkedHashMap<>();
  private final Map<String, WorkerChannel> channels = new HashMap<>();

  /** The incarnations that the workers last reported, by worker. */
  private final Map<String, String> incarnations = new HashMap<>();

  private Map<String, String> addresses = Map.of();
  private Predicate<String> mayStart = jobId -> false;
  private long term;
  private long generation;
  private long sequence;

  /**
   * Creates a driver without any gangs.
   *
   * @param client sends exchanges to workers
   * @param listener receives the events of the gangs
   * @param timings the leases and timeouts
   * @param clock the source of the current time
   * @param executor handles the answers of workers; must not run tasks on the calling thread
   * @param metrics the registry for the metrics of this driver
   */
  public GangDriver(
      WorkerClient client,
      GangListener listener,
      GangTimings timings,
      InstantSource clock,
      Executor executor,
      MetricRegistry metrics) {
    this.client = client;
    this.listener = listener;
    this.timings = timings;
    this.clock = clock;
    this.executor = executor;
    exchangeCount = metrics.counter("gang.exchanges");
    unansweredCount = metrics.counter("gang.exchanges.unanswered");
    fencedCount = metrics.counter("gang.exchanges.fenced");
    lostMemberCount = metrics.counter("gang.members.lost");
    restartedCount = metrics.counter("gang.workers.restarted");
  }

  /**
   * Reconciles this driver with the placed gangs of the control state, and sends all due commands.
   *
   * @param currentTerm the leadership term of this process, used as the fencing token on workers
   * @param placedGangs all attempts that hold resources
   * @param newAddresses the addresses of workers, by name
   * @param newMayStart returns whether the control state is fresh and the job with the given id may
   *     start on its workers
   */
  public void tick(
      long currentTerm,
      List<PlacedGang> placedGangs,
      Map<String, String> newAddresses,
      Predicate<String> newMayStart) {
    long nowMillis = clock.millis();
    List<Runnable> callbacks = new ArrayList<>();
    lock.lock();
    try {
      boolean adopting = currentTerm != term;
      if (adopting) {
        reset();
        term = currentTerm;
      }
      addresses = newAddresses;
      incarnations.keySet().retainAll(newAddresses.keySet());
      mayStart = newMayStart;
      reconcile(placedGangs, adopting, nowMillis);
      gangs.values().forEach(gang -> advance(gang, nowMillis, callbacks));
      List.copyOf(channels.values()).forEach(channel -> sendDueCommands(channel, nowMillis));
      channels.values().removeIf(WorkerChannel::isIdle);
    } finally {
      lock.unlock();
    }
    callbacks.forEach(Runnable::run);
  }

  /** Stops sending commands after leadership is lost, and discards pending answers. */
  public void stepDown() {
    lock.lock();
    try {
      reset();
      term = 0;
    } finally {
      lock.unlock();
    }
  }

  private void reset() {
    generation++;
    gangs.clear();
    channels.clear();
    incarnations.clear();
  }

  private void reconcile(List<PlacedGang> placedGangs, boolean adopting, long nowMillis) {
    Map<AttemptKey, PlacedGang> placedByKey = new HashMap<>();
    placedGangs.forEach(gang -> placedByKey.put(AttemptKey.of(gang), gang));
    List.copyOf(gangs.keySet()).stream()
        .filter(key -> !placedByKey.containsKey(key))
        .forEach(this::remove);
    for (PlacedGang gang : placedGangs) {
      GangStateMachine stateMachine = gangs.get(AttemptKey.of(gang));
      if (stateMachine == null) {
        add(new GangStateMachine(gang, timings, adopting, nowMillis));
      } else if (gang.phase() == PlacedGang.Phase.STOPPING) {
        stateMachine.requestStop(nowMillis);
      }
    }
  }

  private void add(GangStateMachine stateMachine) {
    gangs.put(AttemptKey.of(stateMachine.placedGang()), stateMachine);
    for (GangMember member : stateMachine.members()) {
      channel(member.worker()).members().add(new ChannelMember(stateMachine, member));
    }
  }

  private void remove(AttemptKey key) {
    GangStateMachine stateMachine = gangs.remove(key);
    if (stateMachine == null) {
      return;
    }
    for (GangMember member : stateMachine.members()) {
      WorkerChannel channel = channel(member.worker());
      channel.members().remove(new ChannelMember(stateMachine, member));
      if (member.report() != null && !member.unknownToWorker()) {
        channel.addCleanupCommand(
            new WorkerCommand.Forget(key.jobId(), key.attempt(), member.index()));
      }
    }
  }

  private WorkerChannel channel(String worker) {
    return channels.computeIfAbsent(worker, WorkerChannel::new);
  }

  private void advance(GangStateMachine gang, long nowMillis, List<Runnable> callbacks) {
    AttemptKey key = AttemptKey.of(gang.placedGang());
    long eventTerm = term;
    String jobId = key.jobId();
    for (GangEvent event : gang.advance(() -> mayStart.test(jobId), nowMillis)) {
      callbacks.add(() -> notifyListener(eventTerm, key, event));
    }
  }

  private void notifyListener(long eventTerm, AttemptKey key, GangEvent event) {
    String jobId = key.jobId();
    int attempt = key.attempt();
    switch (event) {
      case GangEvent.Started started -> listener.gangStarted(eventTerm, jobId, attempt);
      case GangEvent.MemberLost memberLost -> {
        lostMemberCount.inc();
        listener.memberLost(eventTerm, jobId, attempt, memberLost.worker(), memberLost.reason());
      }
      case GangEvent.Ended ended ->
          listener.gangEnded(
              eventTerm,
              jobId,
              attempt,
              ended.outcome(),
              ended.completedSeconds(),
              ended.failedWorkers());
    }
  }

  /**
   * Sends all due commands for a worker in one exchange, unless an exchange is in flight. A worker
   * whose incarnation is unknown is asked for it first.
   */
  private void sendDueCommands(WorkerChannel channel, long nowMillis) {
    if (channel.inFlight()) {
      return;
    }
    if (!incarnations.containsKey(channel.worker())) {
      askForIncarnation(channel, nowMillis);
      return;
    }
    boolean pollDue = channel.pollDue(nowMillis);
    boolean renew = pollDue && !channel.unresponsive();
    Map<ChannelMember, WorkerCommand> commands = new LinkedHashMap<>();
    for (ChannelMember channelMember : channel.members()) {
      WorkerCommand command = commandFor(channelMember, renew, nowMillis);
      if (command != null) {
        commands.put(channelMember, command);
      }
    }
    List<WorkerCommand> cleanupCommands = channel.cleanupCommands();
    if (!commands.isEmpty() || !cleanupCommands.isEmpty() || pollDue) {
      send(channel, commands, cleanupCommands, nowMillis);
    }
  }

  private void askForIncarnation(WorkerChannel channel, long nowMillis) {
    if (channel.contactDue(nowMillis)) {
      send(channel, Map.of(), List.of(), nowMillis);
    }
  }

  private @Nullable WorkerCommand commandFor(
      ChannelMember channelMember, boolean renew, long nowMillis) {
    String jobId = channelMember.stateMachine().placedGang().job().id();
    WorkerCommand command =
        channelMember
            .stateMachine()
            .command(channelMember.member(), () -> mayStart.test(jobId), nowMillis);
    return command == null && renew
        ? channelMember.stateMachine().renewal(channelMember.member())
        : command;
  }

  private void send(
      WorkerChannel channel,
      Map<ChannelMember, WorkerCommand> commands,
      List<WorkerCommand> cleanupCommands,
      long nowMillis) {
    String address = addresses.get(channel.worker());
    if (address == null) {
      channel.recordNoAnswer(timings, nowMillis);
      channel.removeCleanupCommands(channel.cleanupCommands());
      return;
    }
    List<WorkerCommand> allCommands = new ArrayList<>(commands.values());
    allCommands.addAll(cleanupCommands);
    commands.forEach(
        (channelMember, command) -> channelMember.member().recordSent(command, nowMillis));
    channel.recordSent();
    exchangeCount.inc();
    long sentGeneration = generation;
    String incarnation = incarnations.getOrDefault(channel.worker(), "");
    WorkerExchange exchange = new WorkerExchange(term, ++sequence, incarnation, allCommands);
    client
        .exchange(address, exchange)
        .whenCompleteAsync(
            (report, failure) -> receive(channel, cleanupCommands, sentGeneration, report, failure),
            executor);
  }

  private void receive(
      WorkerChannel channel,
      List<WorkerCommand> cleanupCommands,
      long sentGeneration,
      @Nullable WorkerReport report,
      @Nullable Throwable failure) {
    long nowMillis = clock.millis();
    List<Runnable> callbacks = new ArrayList<>();
    lock.lock();
    try {
      if (sentGeneration != generation) {
        return;
      }
      if (report == null || report.fenced()) {
        handleNoAnswer(channel, failure, nowMillis);
      } else {
        handleReport(channel, cleanupCommands, report, nowMillis);
      }
      if (report != null && report.fenced()) {
        fencedCount.inc();
        callbacks.add(() -> listener.fenced(channel.worker()));
      } else {
        advanceGangsOf(channel, nowMillis, callbacks);
      }
    } finally {
      lock.unlock();
    }
    callbacks.forEach(Runnable::run);
  }

  private void handleNoAnswer(WorkerChannel channel, @Nullable Throwable failure, long nowMillis) {
    unansweredCount.inc();
    boolean maybeDelivered = !wasNotSent(failure);
    channel.recordNoAnswer(timings, nowMillis);
    channel
        .members()
        .forEach(channelMember -> channelMember.member().recordNoAnswer(maybeDelivered));
  }

  private void handleReport(
      WorkerChannel channel,
      List<WorkerCommand> cleanupCommands,
      WorkerReport report,
      long nowMillis) {
    recordIncarnation(channel, report.incarnation());
    Map<MemberKey, TaskReport> tasks = new HashMap<>();
    report.tasks().forEach(task -> tasks.put(MemberKey.of(task), task));
    for (ChannelMember channelMember : channel.members()) {
      MemberKey key = MemberKey.of(channelMember);
      channelMember
          .stateMachine()
          .recordReport(channelMember.member(), tasks.remove(key), nowMillis);
    }
    channel.removeCleanupCommands(cleanupCommands);
    tasks.values().forEach(task -> cleanUpOrphanedTask(channel, task));
    channel.recordAnswer(timings, nowMillis);
  }

  /** Records the worker's incarnation. A new one did not carry out what was sent to the earlier. */
  private void recordIncarnation(WorkerChannel channel, String incarnation) {
    String previous = incarnations.put(channel.worker(), incarnation);
    if (previous != null && !previous.equals(incarnation)) {
      restartedCount.inc();
      channel.members().forEach(channelMember -> channelMember.member().recordNoAnswer(false));
    }
  }

  /** Queues the command that stops or forgets a task that belongs to no placed gang. */
  private static void cleanUpOrphanedTask(WorkerChannel channel, TaskReport task) {
    WorkerCommand command =
        switch (task.state()) {
          case RESERVED, RUNNING ->
              new WorkerCommand.Stop(task.jobId(), task.attempt(), task.member(), false);
          case COMPLETED, FAILED, STOPPED, LAPSED ->
              new WorkerCommand.Forget(task.jobId(), task.attempt(), task.member());
          case REFUSED -> null;
        };
    if (command != null) {
      channel.addCleanupCommand(command);
    }
  }

  /** Advances the gangs that have a member on the worker, and sends commands that become due. */
  private void advanceGangsOf(WorkerChannel channel, long nowMillis, List<Runnable> callbacks) {
    List<GangStateMachine> affectedGangs =
        channel.members().stream().map(ChannelMember::stateMachine).distinct().toList();
    affectedGangs.forEach(gang -> advance(gang, nowMillis, callbacks));
    affectedGangs.stream()
        .filter(gang -> !(gang.stage() instanceof GangStage.Ended))
        .flatMap(gang -> gang.members().stream())
        .map(member -> channel(member.worker()))
        .distinct()
        .forEach(workerChannel -> sendDueCommands(workerChannel, nowMillis));
  }

  private static boolean wasNotSent(@Nullable Throwable failure) {
    Throwable cause = failure == null ? null : Failures.unwrap(failure);
    return cause instanceof DragonflyturnException exception
        && exception.code() == ResultCode.PEER_UNREACHABLE;
  }

  private record AttemptKey(String jobId, int attempt) {
    static AttemptKey of(PlacedGang gang) {
      return new AttemptKey(gang.job().id(), gang.attempt());
    }
  }

  private record MemberKey(String jobId, int attempt, int member) {
    static MemberKey of(TaskReport task) {
      return new MemberKey(task.jobId(), task.attempt(), task.member());
    }

    static MemberKey of(ChannelMember channelMember) {
      PlacedGang gang = channelMember.stateMachine().placedGang();
      return new MemberKey(gang.job().id(), gang.attempt(), channelMember.member().index());
    }
  }
}
