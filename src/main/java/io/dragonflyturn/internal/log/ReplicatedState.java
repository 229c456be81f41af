package io.dragonflyturn.internal.log;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.SnapshotClaim;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * A replica of the control state: it follows the control stream, applies what it reads, and appends
 * proposals.
 *
 * <p>Safe for use by several threads. One thread reads and one appends; futures complete on threads
 * of their own, and only after this replica has applied the record.
 */
public final class ReplicatedState implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ReplicatedState.class);
  private static final Duration DRAIN_TIME = Duration.ofSeconds(3);

  /** The same on every replica, whatever its own settings are. */
  private static final StateSettings INITIAL_SETTINGS = StateSettings.DEFAULT;

  private final ReplicaSettings settings;
  private final StateSettings stateSettings;
  private final SettingsGate settingsGate;
  private final AtomicBoolean settingsProposed = new AtomicBoolean();
  private final NanosecondClock clock;
  private final StateCell cell;
  private final ProposalTable table;
  private final LogAge age;
  private final LogFollower follower;
  private final ProposalWriter writer;
  private final ReadPath path;
  private final SnapshotTaker snapshots;
  private final List<EnvelopeListener> listeners = new CopyOnWriteArrayList<>();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  /**
   * Creates a replica that has read nothing yet.
   *
   * @param log the platform's log
   * @param peers reads the log through peers where this replica is cut off from it
   * @param settings how to read and write it
   * @param stateSettings the bounds of the state that it proposes where the log has decided none
   * @param wallClock dates the envelopes
   * @param clock measures the log age and waits
   * @param metrics takes the counters
   */
  public ReplicatedState(
      PlatformLog log,
      PeerLog peers,
      ReplicaSettings settings,
      StateSettings stateSettings,
      InstantSource wallClock,
      NanosecondClock clock,
      MetricRegistry metrics) {
    this.settings = settings;
    this.stateSettings = stateSettings;
    this.settingsGate = new SettingsGate(stateSettings, metrics);
    this.clock = clock;
    this.cell = new StateCell(new ControlState(INITIAL_SETTINGS));
    this.table = new ProposalTable(settings.queueCapacity());
    this.age = new LogAge(clock);
    this.path = new ReadPath(log, peers, settings, clock, threads, metrics);
    SnapshotStore store =
        new SnapshotStore(log, path, settings.snapshots(), settings.appendTimeout());
    this.follower = new LogFollower(path, store, settings, clock, age, new StateSink(), metrics);
    this.snapshots =
        new SnapshotTaker(this, settings.writer(), store, settings.snapshots(), wallClock, metrics);
    this.writer =
        new ProposalWriter(log, settings, table, wallClock, clock, threads, cell::offset, metrics);
  }

  /** Starts to read and to append. */
  public void start() {
    threads.execute(() -> untilInterrupted(follower::run));
    threads.execute(() -> untilInterrupted(writer::run));
    threads.execute(() -> untilInterrupted(snapshots::run));
  }

  /** Hears of each envelope applied from now on. */
  public void addListener(EnvelopeListener listener) {
    listeners.add(listener);
  }

  /**
   * Proposes a record; the future completes once this replica has applied it.
   *
   * <p>The future fails with {@link ResultCode#QUEUE_FULL}, {@link ResultCode#LOG_UNAVAILABLE}, or
   * {@link ResultCode#SHUTTING_DOWN} where it is known that nothing was and will be changed, and
   * with {@link ResultCode#OUTCOME_UNKNOWN} where the replica closes before the log shows the
   * outcome. While the log is out, the future of a record that may be in it stays open.
   *
   * <p>A replica whose settings of the state differ from those that the log decided proposes
   * nothing: its futures fail with {@link ResultCode#LOG_UNAVAILABLE}, so that another is asked.
   *
   * @param term the leadership term that the record acts under; 0 for none
   */
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record, long term) {
    StateSettings decided = cell.read(ControlState::decidedSettings);
    Optional<String> refusal = settingsGate.refusal(decided);
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(
          new DragonflyturnException(ResultCode.LOG_UNAVAILABLE, refusal.get()));
    }
    List<PendingProposal> proposals = withSettings(decided, pending(record, term));
    if (!table.offer(proposals)) {
      proposals.forEach(proposal -> proposal.future().completeExceptionally(refusal()));
    }
    return proposals.getLast().future();
  }

  /** The settings go into the log before the first other record. */
  private List<PendingProposal> withSettings(
      @Nullable StateSettings decided, PendingProposal proposal) {
    if (decided != null || !settingsProposed.compareAndSet(false, true)) {
      return List.of(proposal);
    }
    PendingProposal settled = pending(ControlRecord.SettingsDecided.of(stateSettings), 0);
    settled.future().whenComplete((outcome, failure) -> settingsProposed.set(failure == null));
    return List.of(settled, proposal);
  }

  private PendingProposal pending(ControlRecord record, long term) {
    long deadline = clock.nanoseconds() + settings.proposalTimeout().toNanos();
    return new PendingProposal(record, term, cell.offset(), deadline, new CompletableFuture<>());
  }

  private DragonflyturnException refusal() {
    return table.isClosed()
        ? new DragonflyturnException(
            ResultCode.SHUTTING_DOWN, "This replica is stopping; ask another one.")
        : new DragonflyturnException(
            ResultCode.QUEUE_FULL, "Too many changes wait for the log; retry later.");
  }

  /**
   * Answers a question from the state, under its lock. The question must not block or keep views of
   * the state.
   */
  public <T> T read(Function<ControlState, T> question) {
    return cell.read(question);
  }

  /** Returns the offset of the last batch that this replica has applied; -1 for none. */
  public long appliedOffset() {
    return cell.offset();
  }

  /** Waits until a batch at or after an offset was applied; false where the time is over. */
  public boolean awaitOffset(long offset, Duration most) throws InterruptedException {
    return cell.awaitOffset(offset, most.toNanos());
  }

  /** Returns whether this replica has once applied everything that the log held. */
  public boolean hasCaughtUp() {
    return age.isKnown();
  }

  /** Returns how long ago this replica knew everything that the log held; a year before that. */
  public Duration logAge() {
    return age.age();
  }

  /** Returns whether the last read went through a peer because the log did not answer. */
  public boolean readsThroughPeer() {
    return path.isThroughPeer();
  }

  /** Returns the number of proposals that wait to be appended. */
  public int waitingProposals() {
    return table.waitingCount();
  }

  /** Applies what the follower reads. */
  private final class StateSink implements LogFollower.BatchSink {
    @Override
    public void accept(long offset, List<Envelope> envelopes) {
      List<ProposalOutcome> outcomes = cell.apply(offset, envelopes);
      for (int index = 0; index < envelopes.size(); index++) {
        complete(envelopes.get(index), outcomes.get(index));
      }
      takeSnapshotIfWon(offset);
    }

    @Override
    public void restore(StateSnapshot snapshot) {
      cell.restore(ControlState.restore(INITIAL_SETTINGS, snapshot));
      long shown = cell.read(state -> state.lastSequence(settings.writer()));
      failUnknown(table.takeSentThrough(shown));
    }
  }

  /** A listener that fails must not stop this replica. */
  private static void tell(EnvelopeListener listener, Envelope envelope, ProposalOutcome outcome) {
    try {
      listener.applied(envelope, outcome);
    } catch (RuntimeException failure) {
      LOG.errorf(failure, "A listener failed at offset %d.", outcome.offset());
    }
  }

  private void takeSnapshotIfWon(long offset) {
    SnapshotClaim claim = cell.read(ControlState::snapshotClaim);
    if (claim.offset() == offset && claim.taker().equals(settings.writer())) {
      StateSnapshot snapshot = cell.read(ControlState::snapshot);
      threads.execute(() -> snapshots.take(snapshot));
    }
  }

  private void complete(Envelope envelope, ProposalOutcome outcome) {
    listeners.forEach(listener -> tell(listener, envelope, outcome));
    if (!envelope.writer().equals(settings.writer())) {
      return;
    }
    PendingProposal own = table.shown(envelope.sequence());
    if (own != null) {
      threads.execute(() -> own.future().complete(outcome));
    }
    table.putBackOvertaken(envelope.sequence());
  }

  /**
   * Takes no more proposals, waits a short time for the outcome of those that are open, and stops.
   */
  @Override
  public void close() {
    try {
      table.closeAndDrain(DRAIN_TIME.toNanos());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    failRest();
    threads.shutdownNow();
  }

  private void failRest() {
    for (PendingProposal proposal : table.takeWaiting()) {
      proposal
          .future()
          .completeExceptionally(
              new DragonflyturnException(
                  ResultCode.SHUTTING_DOWN, "This replica stopped before the change was sent."));
    }
    failUnknown(table.takeSent());
  }

  private static void failUnknown(List<PendingProposal> proposals) {
    for (PendingProposal proposal : proposals) {
      proposal
          .future()
          .completeExceptionally(
              new DragonflyturnException(
                  ResultCode.OUTCOME_UNKNOWN,
                  "The log has not shown this replica the outcome; read the state."));
    }
  }

  /** Work that runs until its thread is interrupted. */
  private interface Loop {
    void run() throws InterruptedException;
  }

  private static void untilInterrupted(Loop loop) {
    try {
      loop.run();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
