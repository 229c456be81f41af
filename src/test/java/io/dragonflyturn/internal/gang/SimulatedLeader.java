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

/** Places jobs at random and drives them, as a leader that applies each event at once. */
final class SimulatedLeader {
  private static final long FRESHNESS_BOUND_MILLIS = 2_000;

  private final SimulatedWorkers workers;
  private final Random random;
  private final Map<String, PlacedGang> held = new TreeMap<>();
  private final Map<String, JobSpecification> queued = new TreeMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, Double> completedSeconds = new HashMap<>();
  private final Set<String> completed = new HashSet<>();
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
    return completed;
  }

  void setFresh(boolean newFresh) {
    fresh = newFresh;
  }

  /** Asks a running attempt to stop, as a reclaim does. */
  void stopOne() {
    List<String> ids = new ArrayList<>(held.keySet());
    if (!ids.isEmpty()) {
      String id = ids.get(random.nextInt(ids.size()));
      setPhase(id, PlacedGang.Phase.STOPPING);
    }
  }

  /**
   * Hands over to a new leader; returns one round of the old one, which knows nothing of it and
   * starts members until its last news are too old.
   */
  Runnable handOver() {
    GangDriver old = driver;
    long oldTerm = term;
    List<PlacedGang> oldHeld = List.copyOf(held.values());
    term++;
    driver = newDriver();
    long freshUntil = workers.nowMillis() + FRESHNESS_BOUND_MILLIS;
    return () ->
        old.tick(oldTerm, oldHeld, addresses(), jobId -> workers.nowMillis() <= freshUntil);
  }

  /** Places what is queued and drives what is held. */
  void tick() {
    queued.values().removeIf(this::place);
    driver.tick(term, List.copyOf(held.values()), addresses(), jobId -> fresh);
  }

  private void start(String jobId, int attempt) {
    PlacedGang gang = held.get(jobId);
    if (gang != null && gang.attempt() == attempt && gang.phase() == PlacedGang.Phase.RESERVED) {
      setPhase(jobId, PlacedGang.Phase.RUNNING);
    }
  }

  private void end(String jobId, int attempt, GangOutcome outcome, double kept) {
    PlacedGang gang = held.get(jobId);
    if (gang == null || gang.attempt() != attempt) {
      return;
    }
    held.remove(jobId);
    completedSeconds.put(jobId, kept);
    if (outcome == GangOutcome.COMPLETED) {
      completed.add(jobId);
    } else {
      queued.put(jobId, gang.job());
    }
  }

  private boolean place(JobSpecification job) {
    List<String> free = new ArrayList<>(workers.names());
    for (PlacedGang gang : held.values()) {
      gang.placements().forEach(placement -> free.remove(placement.worker()));
    }
    if (free.size() < job.shape().members()) {
      return false;
    }
    Collections.shuffle(free, random);
    List<MemberPlacement> placements = new ArrayList<>();
    for (int member = 0; member < job.shape().members(); member++) {
      placements.add(new MemberPlacement(member, free.get(member), List.of(0)));
    }
    int attempt = attempts.merge(job.id(), 1, Integer::sum);
    double kept = completedSeconds.getOrDefault(job.id(), 0.0);
    held.put(job.id(), new PlacedGang(job, attempt, placements, PlacedGang.Phase.RESERVED, kept));
    return true;
  }

  private void setPhase(String id, PlacedGang.Phase phase) {
    PlacedGang gang = Objects.requireNonNull(held.get(id));
    held.put(
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
    GangListener events = new EventsOfTerm(term);
    return new GangDriver(
        workers, events, GangTimings.DEFAULT, workers.clock(), workers, new MetricRegistry());
  }

  /** Drops what a deposed leader says, as the control state does. */
  private final class EventsOfTerm implements GangListener {
    private final long eventTerm;

    EventsOfTerm(long eventTerm) {
      this.eventTerm = eventTerm;
    }

    @Override
    public void gangStarted(String jobId, int attempt) {
      if (eventTerm == term) {
        start(jobId, attempt);
      }
    }

    @Override
    public void gangEnded(
        String jobId, int attempt, GangOutcome outcome, double kept, List<String> failedWorkers) {
      if (eventTerm == term) {
        end(jobId, attempt, outcome, kept);
      }
    }

    @Override
    public void memberLost(String jobId, int attempt, String worker, StopReason reason) {}

    @Override
    public void fenced(String worker) {}
  }
}
