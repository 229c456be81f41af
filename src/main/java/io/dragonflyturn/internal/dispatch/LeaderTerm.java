package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/**
 * What one instance does while it leads: takes over what is stored, places work, and follows it to
 * its end. A later term begins with a new object.
 */
final class LeaderTerm implements RunDriver.Listener {
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  /** How long an ended job can be asked for, in milliseconds. */
  private static final long ENDED_JOB_RETENTION_MILLIS = 300_000;

  private final DispatchContext context;
  private final long term;
  private final Runnable onFenced;
  private final SequencedWriter jobsWriter;
  private final SequencedWriter runsWriter;
  private final RunDriver driver;
  private final WorkerPoller poller;
  private final WorkerFleet fleet;
  private final PlacementLoop placementLoop;
  private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
  private final RunLoader runLoader;
  private @Nullable Map<String, RunRecord> loadedRuns;
  private boolean ready;
  private boolean closed;
  private long lastWriteMillis;
  private final long startedMillis;

  LeaderTerm(DispatchContext context, long term, long nextSequence, Runnable onFenced) {
    this.context = context;
    this.term = term;
    this.onFenced = onFenced;
    this.startedMillis = context.nowMillis();
    this.lastWriteMillis = startedMillis;
    jobsWriter = writer(LedgerKeys.JOBS_TOPIC, nextSequence);
    long first = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE / 2);
    runsWriter = writer(LedgerKeys.RUNS_TOPIC, first);
    WorkerHealth health = new WorkerHealth(context.monotonicClock());
    driver = new RunDriver(context, term, runsWriter, health, this);
    poller = new WorkerPoller(context, term, driver, health, this);
    fleet = new WorkerFleet(context, driver, poller, this::requestRound);
    placementLoop = new PlacementLoop(context, term, runsWriter, fleet, jobs, health, driver);
    runLoader = new RunLoader(context, this::loaded);
  }

  private SequencedWriter writer(String topic, long sequence) {
    return new SequencedWriter(
        context.store(),
        topic,
        LeaderElection.WRITER,
        term,
        sequence,
        false,
        context.loop(),
        context.events());
  }

  /** Fences the runs topic against the earlier leader, then loads what is stored. */
  void start() {
    runsWriter
        .write(leadership(false))
        .thenAccept(
            result -> {
              if (result == WriteResult.STORED) {
                runLoader.start();
              } else {
                fenced();
              }
            });
    context.workerFeed().start(fleet);
  }

  /** Stops without giving anything up; what runs goes on under its leases. */
  void close() {
    closed = true;
    placementLoop.close();
    driver.close();
    poller.close();
    runLoader.close();
    jobsWriter.close();
    runsWriter.close();
    context.workerFeed().stop();
  }

  /** Tells the others that this instance gives the lead up, then calls back. */
  void release(Runnable onStored) {
    jobsWriter.write(leadership(true)).thenAccept(result -> onStored.run());
  }

  private KeyedRecord leadership(boolean released) {
    LeadershipRecord record = new LeadershipRecord(term, context.instance(), released);
    return new KeyedRecord(LedgerKeys.LEADER, record.encode());
  }

  boolean isReady() {
    return ready;
  }

  private void loaded(Map<String, RunRecord> runs) {
    loadedRuns = runs;
    startIfLoaded();
  }

  private void startIfLoaded() {
    Map<String, RunRecord> runs = loadedRuns;
    if (ready || closed || runs == null || !context.workerFeed().isSynced()) {
      return;
    }
    ready = true;
    context.directory().jobs().forEach(this::activate);
    runs.forEach(this::restore);
    jobs.values().forEach(this::endIfCancelled);
    List.copyOf(jobs.values()).forEach(this::updateJob);
    context
        .events()
        .event("leadership-ready")
        .with("term", term)
        .with("jobs", jobs.size())
        .with("runs", runs.size())
        .with("workers", fleet.sessions().size())
        .with("tookMillis", context.nowMillis() - startedMillis)
        .write();
    fleet.pollAll();
    placementLoop.start();
  }

  private void activate(JobEntry entry) {
    if (!entry.recordedState().isTerminal()) {
      jobs.put(entry.submission().id(), new ActiveJob(entry, context.nowMillis()));
    }
  }

  private void restore(String key, RunRecord stored) {
    UnitKey unitKey = UnitKey.parse(key);
    if (unitKey == null) {
      context.events().event("record-unreadable").with("key", key).write();
      return;
    }
    ActiveJob job = jobs.get(unitKey.job());
    if (job == null) {
      job = restoreEnded(unitKey.job(), stored);
    }
    WorkUnit unit =
        job == null ? null : job.restore(unitKey.occurrence(), unitKey.step(), unitKey.index(), stored);
    if (unit == null) {
      return;
    }
    if (stored.phase() == RunRecord.Phase.PLACED) {
      driver.adopt(unit, stored.members().stream().map(fleet::adopt).toList());
    }
  }

  /** Brings an ended job back whose runs may still exist, so that they are stopped. */
  private @Nullable ActiveJob restoreEnded(String id, RunRecord stored) {
    JobEntry entry = context.directory().job(id);
    if (entry == null || stored.phase() != RunRecord.Phase.PLACED) {
      return null;
    }
    ActiveJob job = new ActiveJob(entry, context.nowMillis());
    job.markEnding();
    jobs.put(id, job);
    return job;
  }

  private void endIfCancelled(ActiveJob job) {
    if (job.entry().isCancelled() || job.isEnding()) {
      stopJob(job, "job-cancelled");
    }
  }

  void submitted(JobEntry entry) {
    if (ready) {
      activate(entry);
      requestRound();
    }
  }

  void cancelled(JobEntry entry) {
    ActiveJob job = jobs.get(entry.submission().id());
    if (job != null) {
      stopJob(job, "job-cancelled");
      updateJob(job);
    }
  }

  private void stopJob(ActiveJob job, String cause) {
    job.markEnding();
    for (WorkUnit unit : job.units()) {
      ActiveRun run = unit.run();
      if (run != null && !unit.isDone()) {
        driver.abort(run, cause);
      }
    }
  }

  private void recordState(ActiveJob job, JobState state) {
    if (job.entry().recordedState() == state || job.entry().recordedState().isTerminal()) {
      return;
    }
    job.entry().transitionTo(state, context.nowMillis());
    context
        .events()
        .event("job-" + state)
        .with("job", job.id())
        .with("queue", job.submission().queue().name())
        .with("sinceReceivedMillis", context.nowMillis() - job.receivedMillis())
        .with("term", term)
        .write();
    writeJobs(new KeyedRecord(LedgerKeys.state(job.id()), WorkloadCodec.encodeJobState(state)));
  }

  private void writeJobs(KeyedRecord change) {
    lastWriteMillis = context.nowMillis();
    jobsWriter
        .write(change)
        .thenAccept(
            result -> {
              if (result == WriteResult.FENCED && !closed) {
                fenced();
              }
            });
  }

  private void updateJob(ActiveJob job) {
    if (job.entry().isCancelled()) {
      recordState(job, JobState.CANCELLED);
    }
    if (job.isEnding()) {
      if (job.hasNoRuns()) {
        jobs.remove(job.id());
      }
      return;
    }
    for (WorkUnit unit : job.units()) {
      if (!unit.isDone() && hasFailed(unit)) {
        stopJob(job, "attempts-used");
        recordState(job, JobState.FAILED);
        return;
      }
    }
    for (int each = 0; each < job.submission().recurrence().occurrences(); each++) {
      if (job.removeOccurrenceIfDone(each)) {
        recordState(job, JobState.COMPLETED);
        job.markEnding();
        jobs.remove(job.id());
        return;
      }
    }
  }

  private static boolean hasFailed(WorkUnit unit) {
    return !unit.step().endless()
        && unit.failures() >= unit.job().submission().queue().maximumAttempts();
  }

  @Override
  public void memberActive(Member member) {
    if (member.state() == Member.State.CONFIRMED) {
      recordState(member.unit().job(), JobState.RUNNING);
    }
    poller.pollIfNeeded(member.session());
  }

  @Override
  public void unitCompleted(WorkUnit unit) {
    updateJob(unit.job());
    requestRound();
  }

  @Override
  public void unitFailed(WorkUnit unit) {
    updateJob(unit.job());
  }

  @Override
  public void unitStopped(WorkUnit unit) {
    updateJob(unit.job());
    requestRound();
  }

  @Override
  public void resourcesChanged() {
    requestRound();
  }

  @Override
  public void fenced() {
    if (!closed) {
      onFenced.run();
    }
  }

  void tick() {
    startIfLoaded();
    writeHeartbeatIfDue();
    if (!ready) {
      return;
    }
    fleet.tick();
    requestRound();
  }

  private void writeHeartbeatIfDue() {
    if (context.nowMillis() - lastWriteMillis < HEARTBEAT_INTERVAL_MILLIS || !jobsWriter.isIdle()) {
      return;
    }
    writeJobs(leadership(false));
    removeExpiredJobs();
  }

  private void removeExpiredJobs() {
    for (JobEntry entry : List.copyOf(context.directory().jobs())) {
      boolean old =
          entry.endedAtMillis() != 0
              && context.nowMillis() - entry.endedAtMillis() > ENDED_JOB_RETENTION_MILLIS
              && !jobs.containsKey(entry.submission().id());
      if (old) {
        String id = entry.submission().id();
        writeJobs(new KeyedRecord(LedgerKeys.state(id), null));
        writeJobs(new KeyedRecord(LedgerKeys.cancellation(id), null));
        writeJobs(new KeyedRecord(LedgerKeys.submission(id), null));
      }
    }
  }

  private void requestRound() {
    placementLoop.request();
  }
}
