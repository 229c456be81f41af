package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A job that the leader is executing, with its work units by occurrence and step. */
final class ActiveJob {
  private final JobEntry entry;
  private final long receivedMillis;
  private final Map<Integer, List<List<WorkUnit>>> occurrences = new LinkedHashMap<>();
  private int unfinishedOccurrences;
  private int nextOccurrence;
  private boolean ending;

  ActiveJob(JobEntry entry, long receivedMillis) {
    this.entry = entry;
    this.receivedMillis = receivedMillis;
    this.unfinishedOccurrences = submission().recurrence().occurrences();
  }

  JobEntry entry() {
    return entry;
  }

  SubmittedJob submission() {
    return entry.submission();
  }

  String id() {
    return submission().id();
  }

  int priority() {
    return submission().queue().priority();
  }

  /** Returns when this leader first learned of the job, in milliseconds of the monotonic clock. */
  long receivedMillis() {
    return receivedMillis;
  }

  /** Returns whether the job is ending, so that none of its units may be started. */
  boolean isEnding() {
    return ending;
  }

  void markEnding() {
    ending = true;
  }

  /** Creates the units of all occurrences that are due. */
  void createDueOccurrences(long timeOfDayMillis) {
    while (nextOccurrence < submission().recurrence().occurrences()
        && submission().recurrence().dueMillis(nextOccurrence) <= timeOfDayMillis) {
      createOccurrence(nextOccurrence);
      nextOccurrence++;
    }
  }

  private List<List<WorkUnit>> createOccurrence(int occurrence) {
    return occurrences.computeIfAbsent(occurrence, this::createUnits);
  }

  private List<List<WorkUnit>> createUnits(int occurrence) {
    List<List<WorkUnit>> steps = new ArrayList<>();
    for (int step = 0; step < submission().steps().size(); step++) {
      steps.add(createUnits(occurrence, step));
    }
    return steps;
  }

  private List<WorkUnit> createUnits(int occurrence, int step) {
    StepSpecification specification = submission().steps().get(step);
    if (specification.gang()) {
      return List.of(WorkUnit.gang(this, occurrence, step));
    }
    List<WorkUnit> units = new ArrayList<>();
    for (int index = 0; index < specification.replicas(); index++) {
      units.add(WorkUnit.task(this, occurrence, step, index));
    }
    return units;
  }

  /** Returns the units of all unfinished occurrences that have been created. */
  List<WorkUnit> units() {
    List<WorkUnit> units = new ArrayList<>();
    occurrences.values().forEach(steps -> steps.forEach(units::addAll));
    return units;
  }

  /**
   * Returns the units that may be placed now: neither done nor running, with all dependencies done.
   */
  List<WorkUnit> readyUnits() {
    List<WorkUnit> ready = new ArrayList<>();
    if (ending) {
      return ready;
    }
    for (List<List<WorkUnit>> steps : occurrences.values()) {
      for (int step = 0; step < steps.size(); step++) {
        if (dependenciesAreDone(steps, step)) {
          addWaiting(steps.get(step), ready);
        }
      }
    }
    return ready;
  }

  /** Returns the number of accelerators that the job's units use or are ready to use. */
  long outstandingAccelerators() {
    long sum = 0;
    for (List<List<WorkUnit>> steps : occurrences.values()) {
      for (int step = 0; step < steps.size(); step++) {
        if (dependenciesAreDone(steps, step)) {
          sum += steps.get(step).stream().mapToLong(WorkUnit::outstandingAccelerators).sum();
        }
      }
    }
    return sum;
  }

  /** Adds the units that are neither done nor running to a list. */
  private static void addWaiting(List<WorkUnit> units, List<WorkUnit> ready) {
    for (WorkUnit unit : units) {
      if (!unit.isDone() && unit.run() == null) {
        ready.add(unit);
      }
    }
  }

  private boolean dependenciesAreDone(List<List<WorkUnit>> steps, int step) {
    for (int dependency : submission().steps().get(step).dependencies()) {
      if (!isDone(steps.get(dependency))) {
        return false;
      }
    }
    return true;
  }

  private static boolean isDone(List<WorkUnit> units) {
    return units.stream().allMatch(WorkUnit::isDone);
  }

  /** Removes an occurrence if all its units are done. Returns whether the whole job is complete. */
  boolean removeOccurrenceIfDone(int occurrence) {
    List<List<WorkUnit>> steps = occurrences.get(occurrence);
    if (steps != null && steps.stream().allMatch(ActiveJob::isDone)) {
      occurrences.remove(occurrence);
      unfinishedOccurrences--;
    }
    return unfinishedOccurrences == 0;
  }

  /** Returns whether no unit of the job has a run. */
  boolean hasNoRuns() {
    return units().stream().allMatch(unit -> unit.run() == null);
  }

  /** Returns the run of a unit; null if it has none. */
  @Nullable ActiveRun runOf(String unitKey) {
    for (WorkUnit unit : units()) {
      if (unit.key().equals(unitKey)) {
        return unit.run();
      }
    }
    return null;
  }

  /** Returns the number of unresolved members of a step on a worker. */
  int countRuns(String worker, int occurrence, int step) {
    List<List<WorkUnit>> steps = occurrences.get(occurrence);
    if (steps == null) {
      return 0;
    }
    int runs = 0;
    for (WorkUnit unit : steps.get(step)) {
      ActiveRun run = unit.run();
      if (run == null) {
        continue;
      }
      for (Member member : run.members()) {
        runs += !member.isResolved() && member.session().id().equals(worker) ? 1 : 0;
      }
    }
    return runs;
  }

  /**
   * Restores a unit from its stored record.
   *
   * @return the restored unit; null if the job has no such unit
   */
  @Nullable WorkUnit restore(int occurrence, int step, int index, RunRecord stored) {
    boolean exists =
        occurrence < submission().recurrence().occurrences()
            && step < submission().steps().size()
            && index < submission().steps().get(step).replicas();
    if (!exists) {
      return null;
    }
    nextOccurrence = Math.max(nextOccurrence, occurrence + 1);
    for (int earlier = 0; earlier <= occurrence; earlier++) {
      createOccurrence(earlier);
    }
    List<WorkUnit> units = createOccurrence(occurrence).get(step);
    WorkUnit unit = units.get(Math.max(0, index));
    unit.restore(stored);
    return unit;
  }
}
