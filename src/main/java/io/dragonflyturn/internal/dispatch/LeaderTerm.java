package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.RunLoader.LoadedRuns;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.workload.JobState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A term of this instance as the leader: loads the stored jobs and runs, has ready work placed on
 * workers, and follows it until it ends. Each term has its own object.
 */
final class LeaderTerm implements RunDriver.Listener {
  private final DispatchContext context;
  private final long term;
  private final Consumer<String> onUnable;
  private final LeadershipLease leadershipLease;
  private final JobRecords jobRecords;
  private final SequencedWriter runsWriter;
  private final RunDriver driver;
  private final PaceObserver paces;
  private final WorkerPoller poller;
  private final WorkerFleet fleet;
  private final PlacementLoop placementLoop;
  private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
  private final RunLoader runLoader;
  private final JobRestorer restorer;
  private @Nullable LoadedRuns loadedRuns;
  private boolean ready;
  private boolean leasesShortened;
  private boolean closed;
  private final long startedMillis;

  /**
   * Creates a term that does nothing until it is started.
   *
   * @param nextSequence the sequence number of the next append to the jobs topic
   * @param onUnable called with the cause when this instance cannot be the leader any more
   */
  LeaderTerm(
      DispatchContext context,
      LeadershipLease leadershipLease,
      long term,
      long nextSequence,
      Consumer<String> onUnable) {
    this.context = context;
    this.leadershipLease = leadershipLease;
    this.term = term;
    this.onUnable = onUnable;
    this.startedMillis = context.nowMillis();
    jobRecords =
        new JobRecords(
            context, term, writer(LedgerKeys.JOBS_TOPIC, nextSequence), jobs::containsKey, this);
    long firstSequence = ThreadLocalRandom.current().nextInt(1, Integer.MAX_VALUE / 2);
    runsWriter = writer(LedgerKeys.RUNS_TOPIC, firstSequence);
    WorkerHealth health = new WorkerHealth(context.monotonicClock());
    paces = new PaceObserver(context, term, health);
    driver = new RunDriver(context, term, leadershipLease, runsWriter, health, paces, this);
    poller = new WorkerPoller(context, term, leadershipLease, driver, health, paces, this);
    fleet = new WorkerFleet(context, term, startedMillis, driver, poller, paces, this);
    placementLoop =
        new PlacementLoop(context, term, runsWriter, fleet, jobs, health, driver, paces);
    runLoader = new RunLoader(context, this::runsLoaded);
    restorer = new JobRestorer(context, fleet, jobs, driver);
  }

  private SequencedWriter writer(String topic, long sequence) {
    return new SequencedWriter(
        context.store(),
        topic,
        LeaderElection.WRITER,
        term,
        sequence,
        false,
        context.eventLoop(),
        context.events());
  }

  /** Fences the runs topic against earlier leaders, then loads the stored runs. */
  void start() {
    runsWriter
        .write(jobRecords.leadershipRecord(false))
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

  /** Ends the term on this instance. Active runs continue under their leases. */
  void close() {
    closed = true;
    placementLoop.close();
    driver.close();
    poller.close();
    paces.close();
    runLoader.close();
    jobRecords.close();
    runsWriter.close();
    context.workerFeed().stop();
  }

  /**
   * Releases the leadership, so that another instance can take over without waiting for a timeout.
   *
   * @param onStored called when the write of the release has completed
   */
  void release(Runnable onStored) {
    jobRecords.release(onStored);
  }

  boolean isReady() {
    return ready;
  }

  /** Returns whether this instance has had no news from the store for too long to act as leader. */
  boolean hasLeaseExpired() {
    return leadershipLease.hasExpired();
  }

  private void runsLoaded(LoadedRuns runs) {
    loadedRuns = runs;
    startIfLoaded();
  }

  /**
   * Starts executing jobs once the stored runs, the workers, the rules of operators, and all jobs
   * that were stored before this term are known.
   */
  void startIfLoaded() {
    LoadedRuns runs = loadedRuns;
    boolean hasReadAll =
        context.directory().leadership().term() >= term
            && context.workerFeed().isSynced()
            && context.rulesStatus().isLoaded();
    if (ready || closed || runs == null || !hasReadAll) {
      return;
    }
    ready = true;
    restorer.restore(runs);
    jobs.values().forEach(this::endIfCancelled);
    List.copyOf(jobs.values()).forEach(this::updateJob);
    context
        .events()
        .event("leadership-ready")
        .with("term", term)
        .with("jobs", jobs.size())
        .with("runs", runs.readable().size())
        .with("workers", fleet.sessions().size())
        .with("tookMillis", context.nowMillis() - startedMillis)
        .write();
    fleet.pollAll();
    placementLoop.start();
  }

  private void endIfCancelled(ActiveJob job) {
    if (job.entry().isCancelled() || job.isEnding()) {
      stopJob(job, "job-cancelled");
    }
  }

  void submitted(JobEntry entry) {
    if (ready) {
      restorer.activateIfUnfinished(entry);
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

  /**
   * Advances the state of a job after a change, and removes the job when it has ended and has no
   * runs.
   */
  private void updateJob(ActiveJob job) {
    if (job.entry().isCancelled()) {
      jobRecords.recordState(job, JobState.CANCELLED);
    }
    if (job.isEnding()) {
      if (job.hasNoRuns()) {
        jobs.remove(job.id());
      }
      return;
    }
    for (WorkUnit unit : job.units()) {
      if (!unit.isDone() && hasUsedAllAttempts(unit)) {
        stopJob(job, "attempts-used");
        jobRecords.recordState(job, JobState.FAILED);
        return;
      }
    }
    for (int occurrence = 0;
        occurrence < job.submission().recurrence().occurrences();
        occurrence++) {
      if (job.removeOccurrenceIfDone(occurrence)) {
        jobRecords.recordState(job, JobState.COMPLETED);
        job.markEnding();
        jobs.remove(job.id());
        return;
      }
    }
  }

  private static boolean hasUsedAllAttempts(WorkUnit unit) {
    return !unit.step().endless()
        && unit.failures() >= unit.job().submission().queue().maximumAttempts();
  }

  @Override
  public void memberActive(Member member) {
    if (member.state() == Member.State.CONFIRMED) {
      jobRecords.recordState(member.unit().job(), JobState.RUNNING);
    }
    poller.pollIfNeeded(member.session());
  }

  @Override
  public void workerRestarted(WorkerSession session) {
    if (ready) {
      poller.pollRestarted(session);
    }
  }

  @Override
  public void earlierRunCompleted(String task) {
    UnitKey key = UnitKey.parse(task);
    if (key == null) {
      return;
    }
    ActiveJob job = jobs.get(key.job());
    WorkUnit unit = job == null || job.isEnding() ? null : job.unitOf(key);
    if (unit != null) {
      driver.completeByEarlierRun(unit);
    }
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
  public void unitInfeasible(WorkUnit unit, String cause) {
    ActiveJob job = unit.job();
    context
        .events()
        .event("job-infeasible")
        .with("job", job.id())
        .with("unit", unit.key())
        .with("tasks", unit.tasks())
        .with("cause", cause)
        .with("term", term)
        .write();
    stopJob(job, cause);
    jobRecords.recordState(job, JobState.FAILED);
    updateJob(job);
  }

  @Override
  public void recordNotAccepted() {
    endTerm("record-not-accepted");
  }

  @Override
  public void fenced() {
    endTerm("order-fenced");
  }

  private void endTerm(String cause) {
    if (!closed) {
      onUnable.accept(cause);
    }
  }

  void tick() {
    logShortenedLeases();
    startIfLoaded();
    jobRecords.writeHeartbeatIfDue();
    if (!ready) {
      return;
    }
    fleet.tick();
    requestRound();
  }

  /** Logs when leases begin or cease to end early because there is no news from the store. */
  private void logShortenedLeases() {
    if (leadershipLease.shortensWorkerLeases() == leasesShortened) {
      return;
    }
    leasesShortened = !leasesShortened;
    context
        .events()
        .event(leasesShortened ? "leases-shortened" : "leases-restored")
        .with("term", term)
        .write();
  }

  private void requestRound() {
    placementLoop.request();
  }
}
