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
 * A replica of the control state. It reads the control stream, applies its records, and appends
 * proposals.
 *
 * <p>Thread-safe. One thread reads and one appends. Futures complete on separate threads, after
 * this replica has applied the record.
 */
public final class ReplicatedState implements AutoCloseable {
  private static final Logger LOG = Logger.getLogger(ReplicatedState.class);
  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(3);

  /** The settings before the log determines them; equal on all replicas regardless of their own. */
  private static final StateSettings INITIAL_SETTINGS = StateSettings.DEFAULT;

  private final ReplicaSettings settings;
  private final StateSettings stateSettings;
  private final StateSettingsCheck settingsCheck;
  private final AtomicBoolean settingsProposed = new AtomicBoolean();
  private final NanosecondClock clock;
  private final ControlStateHolder stateHolder;
  private final ProposalTable table;
  private final LogAge age;
  private final ControlStreamReader reader;
  private final ProposalWriter writer;
  private final FailoverLogReader logReader;
  private final Snapshotter snapshotter;
  private final List<EnvelopeListener> listeners = new CopyOnWriteArrayList<>();
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /**
   * Creates a replica. Call {@link #start} to begin reading and appending.
   *
   * @param log the platform's log
   * @param peers reads the log through peers while it is unreachable for this replica
   * @param settings the settings for reading and writing the log
   * @param stateSettings the state settings that this replica proposes if the log has none
   * @param wallClock provides the timestamps of envelopes
   * @param clock measures the age of the view and delays
   * @param metrics the registry for the metrics of this replica
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
    this.settingsCheck = new StateSettingsCheck(stateSettings, metrics);
    this.clock = clock;
    this.stateHolder = new ControlStateHolder(new ControlState(INITIAL_SETTINGS));
    this.table = new ProposalTable(settings.queueCapacity());
    this.age = new LogAge(clock);
    this.logReader = new FailoverLogReader(log, peers, settings, clock, executor, metrics);
    SnapshotStore store =
        new SnapshotStore(log, logReader, settings.snapshots(), settings.appendTimeout());
    this.reader =
        new ControlStreamReader(
            logReader, store, settings, clock, age, new StateUpdater(), metrics);
    this.snapshotter =
        new Snapshotter(this, settings.writer(), store, settings.snapshots(), wallClock, metrics);
    this.writer =
        new ProposalWriter(
            log, settings, table, wallClock, clock, executor, stateHolder::offset, metrics);
  }

  /** Starts reading from and appending to the log. */
  public void start() {
    executor.execute(() -> runUntilInterrupted(reader::run));
    executor.execute(() -> runUntilInterrupted(writer::run));
    executor.execute(() -> runUntilInterrupted(snapshotter::run));
  }

  /** Adds a listener that receives each envelope applied from now on. */
  public void addListener(EnvelopeListener listener) {
    listeners.add(listener);
  }

  /**
   * Proposes a record.
   *
   * <p>The future fails with {@link ResultCode#QUEUE_FULL}, {@link ResultCode#LOG_UNAVAILABLE}, or
   * {@link ResultCode#SHUTTING_DOWN} if the record was not and will not be applied, and with {@link
   * ResultCode#OUTCOME_UNKNOWN} if the outcome could not be read from the log. During a log outage,
   * the future of a record that may have been appended remains incomplete.
   *
   * <p>A replica whose state settings differ from those determined by the log does not propose
   * records. Its futures fail with {@link ResultCode#LOG_UNAVAILABLE}, so that callers use another
   * replica.
   *
   * @param record the record to propose
   * @param term the leadership term of the proposal; 0 if it is not proposed by the leader
   * @return a future that completes after this replica has applied the record
   */
  public CompletableFuture<ProposalOutcome> propose(ControlRecord record, long term) {
    StateSettings decided = stateHolder.read(ControlState::decidedSettings);
    Optional<String> rejectionReason = settingsCheck.rejectionReason(decided);
    if (rejectionReason.isPresent()) {
      return CompletableFuture.failedFuture(
          new DragonflyturnException(ResultCode.LOG_UNAVAILABLE, rejectionReason.get()));
    }
    List<PendingProposal> proposals = prependSettings(decided, newProposal(record, term));
    if (!table.offer(proposals)) {
      proposals.forEach(proposal -> proposal.future().completeExceptionally(rejection()));
    }
    return proposals.getLast().future();
  }

  /** Adds a proposal of the state settings before the first other record if the log has none. */
  private List<PendingProposal> prependSettings(
      @Nullable StateSettings decided, PendingProposal proposal) {
    if (decided != null || !settingsProposed.compareAndSet(false, true)) {
      return List.of(proposal);
    }
    PendingProposal settingsProposal =
        newProposal(ControlRecord.SettingsDecided.of(stateSettings), 0);
    settingsProposal
        .future()
        .whenComplete((outcome, failure) -> settingsProposed.set(failure == null));
    return List.of(settingsProposal, proposal);
  }

  private PendingProposal newProposal(ControlRecord record, long term) {
    long deadlineNanoseconds = clock.nanoseconds() + settings.proposalTimeout().toNanos();
    return new PendingProposal(
        record, term, stateHolder.offset(), deadlineNanoseconds, new CompletableFuture<>());
  }

  private DragonflyturnException rejection() {
    return table.isClosed()
        ? new DragonflyturnException(
            ResultCode.SHUTTING_DOWN, "This replica is shutting down; use another one.")
        : new DragonflyturnException(
            ResultCode.QUEUE_FULL, "Too many proposals are waiting for the log; retry later.");
  }

  /**
   * Returns the result of a function of the state, which is called with the read lock held. The
   * function must not block or retain live views of the state.
   */
  public <T> T read(Function<ControlState, T> reader) {
    return stateHolder.read(reader);
  }

  /** Returns the offset of the last batch that this replica has applied; -1 if there is none. */
  public long appliedOffset() {
    return stateHolder.offset();
  }

  /**
   * Waits until a batch at or after an offset has been applied.
   *
   * @return false if the timeout expired
   */
  public boolean awaitOffset(long offset, Duration timeout) throws InterruptedException {
    return stateHolder.awaitOffset(offset, timeout.toNanos());
  }

  /** Returns whether this replica has caught up with the log at least once. */
  public boolean hasCaughtUp() {
    return age.isKnown();
  }

  /**
   * Returns the time since this replica's view was known to match the log; 365 days if it has not
   * caught up yet.
   */
  public Duration logAge() {
    return age.age();
  }

  /** Returns whether the last successful read went through a peer. */
  public boolean readsThroughPeer() {
    return logReader.isReadingThroughPeer();
  }

  /** Returns the number of proposals that are queued to be appended. */
  public int queuedProposals() {
    return table.queuedCount();
  }

  /** Applies the batches and snapshots that were read from the log. */
  private final class StateUpdater implements ControlStreamReader.BatchHandler {
    @Override
    public void accept(long offset, List<Envelope> envelopes) {
      List<ProposalOutcome> outcomes = stateHolder.apply(offset, envelopes);
      for (int index = 0; index < envelopes.size(); index++) {
        complete(envelopes.get(index), outcomes.get(index));
      }
      writeSnapshotIfClaimed(offset);
    }

    @Override
    public void restore(StateSnapshot snapshot) {
      stateHolder.restore(ControlState.restore(INITIAL_SETTINGS, snapshot));
      long lastSequence = stateHolder.read(state -> state.lastSequence(settings.writer()));
      failWithUnknownOutcome(table.removeSentThrough(lastSequence));
    }
  }

  /** Calls a listener and logs its exception, which must not stop this replica. */
  private static void notifyListener(
      EnvelopeListener listener, Envelope envelope, ProposalOutcome outcome) {
    try {
      listener.applied(envelope, outcome);
    } catch (RuntimeException failure) {
      LOG.errorf(failure, "A listener failed at offset %d.", outcome.offset());
    }
  }

  private void writeSnapshotIfClaimed(long offset) {
    SnapshotClaim claim = stateHolder.read(ControlState::snapshotClaim);
    if (claim.offset() == offset && claim.taker().equals(settings.writer())) {
      StateSnapshot snapshot = stateHolder.read(ControlState::snapshot);
      executor.execute(() -> snapshotter.write(snapshot));
    }
  }

  private void complete(Envelope envelope, ProposalOutcome outcome) {
    listeners.forEach(listener -> notifyListener(listener, envelope, outcome));
    if (!envelope.writer().equals(settings.writer())) {
      return;
    }
    PendingProposal proposal = table.removeSent(envelope.sequence());
    if (proposal != null) {
      executor.execute(() -> proposal.future().complete(outcome));
    }
    table.requeueSuperseded(envelope.sequence());
  }

  /**
   * Rejects new proposals, waits up to 3 seconds for the outcome of open ones, and stops this
   * replica.
   */
  @Override
  public void close() {
    try {
      table.closeAndDrain(DRAIN_TIMEOUT.toNanos());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    failOpenProposals();
    executor.shutdownNow();
  }

  private void failOpenProposals() {
    for (PendingProposal proposal : table.removeQueued()) {
      proposal
          .future()
          .completeExceptionally(
              new DragonflyturnException(
                  ResultCode.SHUTTING_DOWN, "This replica stopped before the proposal was sent."));
    }
    failWithUnknownOutcome(table.removeAllSent());
  }

  private static void failWithUnknownOutcome(List<PendingProposal> proposals) {
    for (PendingProposal proposal : proposals) {
      proposal
          .future()
          .completeExceptionally(
              new DragonflyturnException(
                  ResultCode.OUTCOME_UNKNOWN,
                  "This replica could not read the outcome from the log; check the state."));
    }
  }

  /** A task that runs until its thread is interrupted. */
  private interface InterruptibleTask {
    void run() throws InterruptedException;
  }

  private static void runUntilInterrupted(InterruptibleTask task) {
    try {
      task.run();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
