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
  private static final long BEAT_MILLIS = 500;

  /** How long an ended job can be asked for, in milliseconds. */
  private static final long KEEP_ENDED_MILLIS = 300_000;

  private final DispatchContext context;
  private final long term;
  private final Runnable onFenced;
  private final SequencedWriter jobsWriter;
  private final SequencedWriter runsWriter;
  private final RunDriver driver;
  private final SessionKeeper keeper;
  private final WorkerFleet fleet;
  private final PlacementRounds rounds;
  private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
  private final StoredRuns storedRuns;
  private @Nullable Map<String, RunRecord> loadedRuns;
  private boolean ready;
  private boolean closed;
  private long lastWriteMillis;
  private final long startedMillis;

  LeaderTerm(DispatchContext context, long term, long nextSequence, Runnable onFenced) {
    this.context = context;
    this.term = term;
    this.onFenced = onFenced;
    this.startedMillis = context.now();
    this.lastWriteMillis = startedMillis;
    jobsWriter = writer(LedgerKeys.JOBS_TOPIC, nextSequence);
    long first = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE / 2);
    runsWriter = writer(LedgerKeys.RUNS_TOPIC, first);
    WorkerTrust trust = new WorkerTrust(context.steady());
    driver = new RunDriver(context, term, runsWriter, trust, this);
    keeper = new SessionKeeper(context, term, driver, trust, this);
    fleet = new WorkerFleet(context, driver, keeper, this::requestRound);
    rounds = new PlacementRounds(context, term, runsWriter, fleet, jobs, trust, driver);
    storedRuns = new StoredRuns(context, this::loaded);
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
                storedRuns.start();
              } else {
                fenced();
              }
            });
    context.feed().start(fleet);
  }

  /** Stops without giving anything up; what runs goes on under its leases. */
  void close() {
    closed = true;
    rounds.close();
    driver.close();
    keeper.close();
    storedRuns.close();
    jobsWriter.close();
    runsWriter.close();
    context.feed().stop();
  }

  /** Tells the others that this instance gives the lead up, then calls back. */
  void release(Runnable whenStored) {
    jobsWriter.write(leadership(true)).thenAccept(result -> whenStored.run());
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
    beginIfLoaded();
  }

  private void beginIfLoaded() {
    Map<String, RunRecord> runs = loadedRuns;
    if (ready || closed || runs == null || !context.feed().isSynced()) {
      return;
    }
    ready = true;
    context.directory().jobs().forEach(this::activate);
    runs.forEach(this::restore);
    jobs.values().forEach(this::endIfCancelled);
    List.copyOf(jobs.values()).forEach(this::settleJob);
    context
        .events()
        .event("leadership-ready")
        .with("term", term)
        .with("jobs", jobs.size())
        .with("runs", runs.size())
        .with("workers", fleet.sessions().size())
        .with("tookMillis", context.now() - startedMillis)
        .write();
    fleet.kickAll();
    rounds.open();
  }

  private void activate(JobEntry entry) {
    if (!entry.recordedState().isTerminal()) {
      jobs.put(entry.submission().id(), new ActiveJob(entry, context.now()));
    }
  }

  private void restore(String key, RunRecord stored) {
    UnitKey name = UnitKey.parse(key);
    if (name == null) {
      context.events().event("record-unreadable").with("key", key).write();
      return;
    }
    ActiveJob job = jobs.get(name.job());
    if (job == null) {
      job = restoreEnded(name.job(), stored);
    }
    WorkUnit unit =
        job == null ? null : job.restore(name.occurrence(), name.step(), name.index(), stored);
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
    ActiveJob job = new ActiveJob(entry, context.now());
    job.end();
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
      settleJob(job);
    }
  }

  private void stopJob(ActiveJob job, String cause) {
    job.end();
    for (WorkUnit unit : job.units()) {
      ActiveRun run = unit.run();
      if (run != null && !unit.isDone()) {
        driver.abort(run, cause);
      }
    }
  }

  private void enter(ActiveJob job, JobState state) {
    if (job.entry().recordedState() == state || job.entry().recordedState().isTerminal()) {
      return;
    }
    job.entry().enter(state, context.now());
    context
        .events()
        .event("job-" + state)
        .with("job", job.id())
        .with("queue", job.submission().queue().name())
        .with("sinceReceivedMillis", context.now() - job.receivedMillis())
        .with("term", term)
        .write();
    writeJobs(new KeyedRecord(LedgerKeys.state(job.id()), WorkloadCodec.encodeJobState(state)));
  }

  private void writeJobs(KeyedRecord change) {
    lastWriteMillis = context.now();
    jobsWriter
        .write(change)
        .thenAccept(
            result -> {
              if (result == WriteResult.FENCED && !closed) {
                fenced();
              }
            });
  }

  private void settleJob(ActiveJob job) {
    if (job.entry().isCancelled()) {
      enter(job, JobState.CANCELLED);
    }
    if (job.isEnding()) {
      if (job.isQuiet()) {
        jobs.remove(job.id());
      }
      return;
    }
    for (WorkUnit unit : job.units()) {
      if (!unit.isDone() && hasFailed(unit)) {
        stopJob(job, "attempts-used");
        enter(job, JobState.FAILED);
        return;
      }
    }
    for (int each = 0; each < job.submission().recurrence().occurrences(); each++) {
      if (job.closeIfDone(each)) {
        enter(job, JobState.COMPLETED);
        job.end();
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
  public void started(Member member) {
    if (member.state() == Member.State.CONFIRMED) {
      enter(member.unit().job(), JobState.RUNNING);
    }
    keeper.kick(member.session());
  }

  @Override
  public void unitDone(WorkUnit unit) {
    settleJob(unit.job());
    requestRound();
  }

  @Override
  public void unitFailed(WorkUnit unit) {
    settleJob(unit.job());
  }

  @Override
  public void unitStopped(WorkUnit unit) {
    settleJob(unit.job());
    requestRound();
  }

  @Override
  public void changed() {
    requestRound();
  }

  @Override
  public void fenced() {
    if (!closed) {
      onFenced.run();
    }
  }

  void tick() {
    beginIfLoaded();
    beat();
    if (!ready) {
      return;
    }
    fleet.tick();
    requestRound();
  }

  private void beat() {
    if (context.now() - lastWriteMillis < BEAT_MILLIS || !jobsWriter.isIdle()) {
      return;
    }
    writeJobs(leadership(false));
    forgetOldJobs();
  }

  private void forgetOldJobs() {
    for (JobEntry entry : List.copyOf(context.directory().jobs())) {
      boolean old =
          entry.endedMillis() != 0
              && context.now() - entry.endedMillis() > KEEP_ENDED_MILLIS
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
    rounds.request();
  }
}
