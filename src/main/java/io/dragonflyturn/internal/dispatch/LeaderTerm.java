package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.dispatch.PlacementPlan.Placed;
import io.dragonflyturn.internal.fleet.RegistrationListener;
import io.dragonflyturn.internal.fleet.WorkerRegistration;
import io.dragonflyturn.internal.ledger.KeyedRecord;
import io.dragonflyturn.internal.ledger.RecordStore;
import io.dragonflyturn.internal.ledger.SequencedWriter;
import io.dragonflyturn.internal.ledger.WriteResult;
import io.dragonflyturn.internal.logging.LoggedCallback;
import io.dragonflyturn.internal.workload.JobPhase;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.TaskDemand;
import io.dragonflyturn.internal.workload.WorkloadCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * What one instance does while it leads: takes over what is stored, places work, and follows it to
 * its end. A later term begins with a new object.
 */
final class LeaderTerm implements RunDriver.Listener, RegistrationListener {
  private static final long BEAT_MILLIS = 500;
  private static final long RELOAD_MILLIS = 100;

  /** How long an earlier leader may go on to renew leases after it lost the lead. */
  private static final long EARLIER_LEADER_MILLIS = 2_500;

  /** How long an ended job can be asked for, in milliseconds. */
  private static final long KEEP_ENDED_MILLIS = 300_000;

  private final DispatchContext context;
  private final long term;
  private final Runnable onFenced;
  private final SequencedWriter jobsWriter;
  private final SequencedWriter runsWriter;
  private final WorkerTrust trust;
  private final RunDriver driver;
  private final SessionKeeper keeper;
  private final Map<String, WorkerSession> sessions = new LinkedHashMap<>();
  private final Map<String, ActiveJob> jobs = new LinkedHashMap<>();
  private @Nullable Map<String, RunRecord> storedRuns;
  private boolean ready;
  private boolean closed;
  private boolean roundRequested;
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
    trust = new WorkerTrust(context.steady());
    driver = new RunDriver(context, term, runsWriter, trust, this);
    keeper = new SessionKeeper(context, term, driver, trust, this);
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
    LeadershipRecord record = new LeadershipRecord(term, context.instance(), false);
    runsWriter
        .write(new KeyedRecord(LedgerKeys.LEADER, record.encode()))
        .thenAccept(
            result -> {
              if (result == WriteResult.STORED) {
                load("", new HashMap<>());
              } else {
                fenced();
              }
            });
    context.feed().start(this);
  }

  /** Stops without giving anything up; what runs goes on under its leases. */
  void close() {
    closed = true;
    driver.close();
    keeper.close();
    jobsWriter.close();
    runsWriter.close();
    context.feed().stop();
  }

  /** Tells the others that this instance gives the lead up, then calls back. */
  void release(Runnable whenStored) {
    LeadershipRecord record = new LeadershipRecord(term, context.instance(), true);
    jobsWriter
        .write(new KeyedRecord(LedgerKeys.LEADER, record.encode()))
        .thenAccept(result -> whenStored.run());
  }

  boolean isReady() {
    return ready;
  }

  private void load(String after, Map<String, RunRecord> gathered) {
    if (closed) {
      return;
    }
    context
        .store()
        .newest(LedgerKeys.RUNS_TOPIC, after)
        .whenCompleteAsync(
            LoggedCallback.of(
                context.events(), "loaded", (page, failure) -> loaded(gathered, page)),
            context.loop());
  }

  private void loaded(Map<String, RunRecord> gathered, RecordStore.@Nullable Page page) {
    if (closed) {
      return;
    }
    if (page == null) {
      context
          .loop()
          .schedule(() -> load("", new HashMap<>()), RELOAD_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    for (KeyedRecord stored : page.records()) {
      byte @Nullable [] value = stored.value();
      if (value != null && !stored.key().equals(LedgerKeys.LEADER)) {
        gathered.put(stored.key(), WorkloadCodec.decodeRun(value));
      }
    }
    if (page.more() && !page.records().isEmpty()) {
      load(page.records().getLast().key(), gathered);
      return;
    }
    storedRuns = gathered;
    beginIfLoaded();
  }

  private void beginIfLoaded() {
    Map<String, RunRecord> runs = storedRuns;
    if (ready || closed || runs == null || !context.feed().isListed()) {
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
        .with("workers", sessions.size())
        .with("tookMillis", context.now() - startedMillis)
        .write();
    sessions.values().forEach(keeper::kick);
    requestRound();
  }

  private void activate(JobEntry entry) {
    if (!entry.recordedPhase().isEnd()) {
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
      driver.adopt(unit, stored.members().stream().map(this::adoptedSession).toList());
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

  private WorkerSession adoptedSession(RunRecord.Placement placement) {
    WorkerSession session = sessions.get(placement.worker());
    if (session == null) {
      session = new WorkerSession(absent(placement), context.now());
      session.unlist();
      sessions.put(placement.worker(), session);
    }
    session.extendLeaseBound(
        context.now() + EARLIER_LEADER_MILLIS + context.settings().leaseMillis());
    return session;
  }

  private static WorkerRegistration absent(RunRecord.Placement placement) {
    return new WorkerRegistration(
        placement.worker(),
        placement.bornMillis(),
        "",
        "",
        "",
        List.of(),
        TaskDemand.NONE,
        true,
        0,
        0);
  }

  private void endIfCancelled(ActiveJob job) {
    if (job.entry().isCancelled() || job.isEnding()) {
      stopJob(job, "job-cancelled");
    }
  }

  // Jobs.

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

  private void enter(ActiveJob job, JobPhase phase) {
    if (job.entry().recordedPhase() == phase || job.entry().recordedPhase().isEnd()) {
      return;
    }
    job.entry().enter(phase, context.now());
    context
        .events()
        .event("job-" + phase)
        .with("job", job.id())
        .with("queue", job.submission().queue().name())
        .with("sinceReceivedMillis", context.now() - job.receivedMillis())
        .with("term", term)
        .write();
    writeJobs(new KeyedRecord(LedgerKeys.phase(job.id()), WorkloadCodec.encodePhase(phase)));
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
      enter(job, JobPhase.CANCELLED);
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
        enter(job, JobPhase.FAILED);
        return;
      }
    }
    for (int each = 0; each < job.submission().recurrence().occurrences(); each++) {
      if (job.closeIfDone(each)) {
        enter(job, JobPhase.COMPLETED);
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

  // Runs.

  @Override
  public void started(Member member) {
    if (member.state() == Member.State.CONFIRMED) {
      enter(member.unit().job(), JobPhase.RUNNING);
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

  // Workers.

  @Override
  public void registered(WorkerRegistration registration) {
    WorkerSession session = sessions.get(registration.id());
    if (session == null) {
      sessions.put(registration.id(), new WorkerSession(registration, context.now()));
      requestRound();
      return;
    }
    boolean wasDraining = session.registration().draining();
    if (session.update(registration, context.now())) {
      keeper.kick(session);
    }
    if (registration.draining() && !wasDraining) {
      moveOff(session);
    }
    if (registration.draining() != wasDraining) {
      requestRound();
    }
  }

  /** Stops what a worker that is about to leave cannot finish, so that it goes on elsewhere. */
  private void moveOff(WorkerSession session) {
    long now = context.now();
    long stays = session.registration().drainRemainingMillis();
    for (Member member : List.copyOf(session.members())) {
      long margin = member.unit().step().checkpointed() ? 0 : stays;
      if (!member.unit().isDone() && member.remainingMillis(now) > stays + margin) {
        driver.abort(member.run(), "worker-drains");
      }
    }
  }

  @Override
  public void unlisted(String worker) {
    WorkerSession session = sessions.get(worker);
    if (session != null) {
      session.unlist();
    }
  }

  // Rounds.

  void tick() {
    beginIfLoaded();
    beat();
    if (!ready) {
      return;
    }
    for (WorkerSession session : List.copyOf(sessions.values())) {
      keeper.tick(session);
      if (!session.isListed() && session.members().isEmpty()) {
        sessions.remove(session.id());
      }
    }
    requestRound();
  }

  private void beat() {
    if (context.now() - lastWriteMillis < BEAT_MILLIS || !jobsWriter.isIdle()) {
      return;
    }
    LeadershipRecord record = new LeadershipRecord(term, context.instance(), false);
    writeJobs(new KeyedRecord(LedgerKeys.LEADER, record.encode()));
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
        writeJobs(new KeyedRecord(LedgerKeys.phase(id), null));
        writeJobs(new KeyedRecord(LedgerKeys.cancellation(id), null));
        writeJobs(new KeyedRecord(LedgerKeys.submission(id), null));
      }
    }
  }

  private void requestRound() {
    if (roundRequested || closed || !ready) {
      return;
    }
    roundRequested = true;
    context.loop().execute(this::round);
  }

  private void round() {
    roundRequested = false;
    if (closed) {
      return;
    }
    Map<String, WorkUnit> waiting = waitingUnits();
    if (waiting.isEmpty() || runsWriter.isTroubled()) {
      return;
    }
    List<PlacementRequest> requests = waiting.values().stream().map(this::request).toList();
    PlacementPlan plan = PlacementPlanner.plan(spaces(), requests);
    for (Placed placed : plan.placed()) {
      begin(waiting.get(placed.unit()), placed.workers());
    }
    plan.stopped().forEach(this::displace);
  }

  private void begin(@Nullable WorkUnit unit, List<String> workers) {
    List<WorkerSession> places = new ArrayList<>();
    for (String worker : workers) {
      WorkerSession session = sessions.get(worker);
      if (session != null) {
        places.add(session);
      }
    }
    if (unit != null && places.size() == workers.size()) {
      driver.start(unit, places);
    }
  }

  private void displace(String key) {
    for (WorkerSession session : sessions.values()) {
      for (Member member : List.copyOf(session.members())) {
        if (member.unit().key().equals(key)) {
          driver.abort(member.run(), "displaced");
          return;
        }
      }
    }
  }

  private Map<String, WorkUnit> waitingUnits() {
    List<WorkUnit> ready = new ArrayList<>();
    long timeOfDay = context.timeOfDay().millis();
    for (ActiveJob job : jobs.values()) {
      job.openDue(timeOfDay);
      ready.addAll(job.readyUnits());
    }
    ready.sort(WaitingOrder.INSTANCE);
    Map<String, WorkUnit> waiting = new LinkedHashMap<>();
    for (WorkUnit unit : ready) {
      unit.waitFrom(context.now());
      waiting.put(unit.key(), unit);
    }
    return waiting;
  }

  private PlacementRequest request(WorkUnit unit) {
    Map<String, Integer> runsOfStep = new HashMap<>();
    if (unit.step().maximumPerWorker() > 0) {
      for (String worker : sessions.keySet()) {
        runsOfStep.put(worker, unit.job().runsOn(worker, unit.occurrence(), unit.stepIndex()));
      }
    }
    return new PlacementRequest(
        unit.key(),
        unit.stepKey(),
        unit.job().submission().queue().service(),
        unit.job().priority(),
        unit.step(),
        unit.tasks(),
        unit.failedWorkers(),
        runsOfStep,
        context.now() - unit.waitingSinceMillis(),
        Patience.of(unit));
  }

  private List<WorkerSpace> spaces() {
    List<WorkerSpace> spaces = new ArrayList<>();
    for (WorkerSession session : sessions.values()) {
      WorkerRegistration worker = session.registration();
      boolean usable =
          session.isListed()
              && !worker.draining()
              && session.silentHolds() == 0
              && !context.rules().isOut(worker.failureDomain());
      if (usable) {
        spaces.add(space(session));
      }
    }
    return spaces;
  }

  private WorkerSpace space(WorkerSession session) {
    List<WorkerSpace.Occupant> occupants = new ArrayList<>();
    for (Member member : session.members()) {
      occupants.add(
          new WorkerSpace.Occupant(
              member.unit().key(),
              member.unit().job().priority(),
              member.unit().step().demand(),
              member.run().isAborting(),
              StopLoss.of(member, context.now())));
    }
    WorkerRegistration worker = session.registration();
    return new WorkerSpace(
        worker.id(),
        worker.service(),
        worker.rack(),
        worker.labels(),
        trust.isTrusted(worker.id()),
        session.free(),
        occupants);
  }
}
