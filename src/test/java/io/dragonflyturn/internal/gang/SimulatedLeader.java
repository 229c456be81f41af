package io.dragonflyturn.internal.gang;

import com.codahale.metrics.MetricRegistry;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** A leader that places jobs on random workers and applies each gang event immediately. */
final class SimulatedLeader {
  private static final long FRESHNESS_BOUND_MILLIS = 2_000;

  private final SimulatedWorkers workers;
  private final Random random;
  private final Map<String, PlacedGang> placedGangs = new TreeMap<>();
  private final Map<String, JobSpecification> queued = new TreeMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, Double> completedSeconds = new HashMap<>();
  private final Set<String> completedJobs = new HashSet<>();
  private GangDriver driver;
  private long term = 1;
  private boolean fresh = true;

  SimulatedLeader(SimulatedWorkers workers, Random random) {
    this.workers = workers;
    this.random = random;
    driver = newDriver();
  }

  void submit(String id, int members, double workSeconds, boolean checkpointable) {
    JobSpecification job =
        new JobSpecification(
            id,
            "customer",
            new Shape(members, 1, Span.REGION),
            Urgency.NORMAL,
            true,
            checkpointable,
            1,
            Map.of("work-seconds", Double.toString(workSeconds)));
    queued.put(id, job);
  }

  Set<String> completed() {
    return completedJobs;
  }

  void setFresh(boolean newValue) {
    fresh = newValue;
  }

  /** Requests a stop of a random placed gang, as a reclaim does. */
  void stopOne() {
    List<String> ids = new ArrayList<>(placedGangs.keySet());
    if (!ids.isEmpty()) {
      String id = ids.get(random.nextInt(ids.size()));
      setPhase(id, PlacedGang.Phase.STOPPING);
    }
  }

  /**
   * Hands over to a new leader.
   *
   * @return a task that runs one tick of the deposed leader, which does not know that it was
   *     replaced and starts members until its view exceeds the freshness bound
   */
  Runnable handOver() {
    GangDriver oldDriver = driver;
    long oldTerm = term;
    List<PlacedGang> oldPlacedGangs = List.copyOf(placedGangs.values());
    term++;
    driver = newDriver();
    long freshUntilMillis = workers.nowMillis() + FRESHNESS_BOUND_MILLIS;
    return () ->
        oldDriver.tick(
            oldTerm, oldPlacedGangs, addresses(), jobId -> workers.nowMillis() <= freshUntilMillis);
  }

  /** Places the queued jobs and runs one tick of the driver. */
  void tick() {
    queued.values().removeIf(this::place);
    driver.tick(term, List.copyOf(placedGangs.values()), addresses(), jobId -> fresh);
  }

  private void start(String jobId, int attempt) {
    PlacedGang gang = placedGangs.get(jobId);
    if (gang != null && gang.attempt() == attempt && gang.phase() == PlacedGang.Phase.RESERVED) {
      setPhase(jobId, PlacedGang.Phase.RUNNING);
    }
  }

  private void end(String jobId, int attempt, GangOutcome outcome, double preservedSeconds) {
    PlacedGang gang = placedGangs.get(jobId);
    if (gang == null || gang.attempt() != attempt) {
      return;
    }
    placedGangs.remove(jobId);
    completedSeconds.put(jobId, preservedSeconds);
    if (outcome == GangOutcome.COMPLETED) {
      completedJobs.add(jobId);
    } else {
      queued.put(jobId, gang.job());
    }
  }

  private boolean place(JobSpecification job) {
    List<String> freeWorkers = new ArrayList<>(workers.names());
    for (PlacedGang gang : placedGangs.values()) {
      gang.placements().forEach(placement -> freeWorkers.remove(placement.worker()));
    }
    if (freeWorkers.size() < job.shape().members()) {
      return false;
    }
    Collections.shuffle(freeWorkers, random);
    List<MemberPlacement> placements = new ArrayList<>();
    for (int member = 0; member < job.shape().members(); member++) {
      placements.add(new MemberPlacement(member, freeWorkers.get(member), List.of(0)));
    }
    int attempt = attempts.merge(job.id(), 1, Integer::sum);
    double preservedSeconds = completedSeconds.getOrDefault(job.id(), 0.0);
    placedGangs.put(
        job.id(),
        new PlacedGang(job, attempt, placements, PlacedGang.Phase.RESERVED, preservedSeconds));
    return true;
  }

  private void setPhase(String id, PlacedGang.Phase phase) {
    PlacedGang gang = Objects.requireNonNull(placedGangs.get(id));
    placedGangs.put(
        id,
        new PlacedGang(
            gang.job(), gang.attempt(), gang.placements(), phase, gang.completedSeconds()));
  }

  private Map<String, String> addresses() {
    Map<String, String> addresses = new HashMap<>();
    workers.names().forEach(name -> addresses.put(name, name));
    return addresses;
  }

  private GangDriver newDriver() {
    GangListener listener = new TermListener();
    return new GangDriver(
        workers, listener, GangTimings.DEFAULT, workers.clock(), workers, new MetricRegistry());
  }

  /** Ignores the events of a deposed leader, as the control state does. */
  private final class TermListener implements GangListener {
    @Override
    public void gangStarted(long eventTerm, String jobId, int attempt) {
      if (eventTerm == term) {
        start(jobId, attempt);
      }
    }

    @Override
    public void gangEnded(
        long eventTerm,
        String jobId,
        int attempt,
        GangOutcome outcome,
        double preservedSeconds,
        List<String> failedWorkers) {
      if (eventTerm == term) {
        end(jobId, attempt, outcome, preservedSeconds);
      }
    }

    @Override
    public void memberLost(
        long eventTerm, String jobId, int attempt, String worker, StopReason reason) {}

    @Override
    public void fenced(String worker) {}
  }
}
