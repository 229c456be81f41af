package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.policy.StepRemainder;
import io.dragonflyturn.internal.workload.RunRecord;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/** A job that the leader is executing, with its work units by occurrence and step. */
final class ActiveJob {
  private final JobEntry entry;
  private final long receivedMillis;
  private final long ageWhenReceivedMillis;
  private final boolean overRate;
  private final Map<Integer, List<List<WorkUnit>>> unitsByOccurrence = new LinkedHashMap<>();
  private int unfinishedOccurrences;
  private int nextOccurrence;
  private boolean ending;
  private final Set<WaitCause> waitCauses = EnumSet.noneOf(WaitCause.class);

  /**
   * Creates a job without units.
   *
   * @param receivedMillis when this leader learned of the job, on the monotonic clock
   * @param timeOfDayMillis the time of day at that moment, from which the age of the job follows
   * @param overRate whether the job exceeds the rate at which its customer may submit
   */
  ActiveJob(JobEntry entry, long receivedMillis, long timeOfDayMillis, boolean overRate) {
    this.entry = entry;
    this.overRate = overRate;
    this.receivedMillis = receivedMillis;
    this.ageWhenReceivedMillis = Math.max(0, timeOfDayMillis - submission().acceptedMillis());
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

  /** Returns whether the job exceeds the rate at which its customer may submit. */
  boolean isOverRate() {
    return overRate;
  }

  /** Returns when this leader first learned of the job, in milliseconds of the monotonic clock. */
  long receivedMillis() {
    return receivedMillis;
  }

  /**
   * Returns how long ago an occurrence of the job was due, in milliseconds; for a job without due
   * times, how long ago it was accepted.
   */
  long ageMillis(int occurrence, long nowMillis) {
    long ageMillis = ageWhenReceivedMillis + nowMillis - receivedMillis;
    if (!submission().recurrence().isTimed()) {
      return ageMillis;
    }
    long dueMillis = submission().recurrence().dueMillis(occurrence);
    return ageMillis - (dueMillis - submission().acceptedMillis());
  }

  /** Returns whether the job is ending, so that none of its units may be started. */
  boolean isEnding() {
    return ending;
  }

  void markEnding() {
    ending = true;
  }

  /** Records why a unit of the job waits. Returns whether the cause is new for this job. */
  boolean addWaitCause(WaitCause cause) {
    return waitCauses.add(cause);
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
    return unitsByOccurrence.computeIfAbsent(occurrence, this::createUnits);
  }

  private List<List<WorkUnit>> createUnits(int occurrence) {
    List<List<WorkUnit>> unitsByStep = new ArrayList<>();
    for (int stepIndex = 0; stepIndex < submission().steps().size(); stepIndex++) {
      unitsByStep.add(createUnits(occurrence, stepIndex));
    }
    return unitsByStep;
  }

  private List<WorkUnit> createUnits(int occurrence, int stepIndex) {
    StepSpecification specification = submission().steps().get(stepIndex);
    if (specification.gang()) {
      return List.of(WorkUnit.gang(this, occurrence, stepIndex));
    }
    List<WorkUnit> units = new ArrayList<>();
    for (int taskIndex = 0; taskIndex < specification.replicas(); taskIndex++) {
      units.add(WorkUnit.task(this, occurrence, stepIndex, taskIndex));
    }
    return units;
  }

  /** Returns the units of all unfinished occurrences that have been created. */
  List<WorkUnit> units() {
    List<WorkUnit> units = new ArrayList<>();
    unitsByOccurrence.values().forEach(unitsByStep -> unitsByStep.forEach(units::addAll));
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
    for (List<List<WorkUnit>> unitsByStep : unitsByOccurrence.values()) {
      for (int stepIndex = 0; stepIndex < unitsByStep.size(); stepIndex++) {
        if (dependenciesAreDone(unitsByStep, stepIndex)) {
          addWaiting(unitsByStep.get(stepIndex), ready);
        }
      }
    }
    return ready;
  }

  /**
   * Returns what is left of each step of an occurrence that has been created.
   *
   * @param remainingMillis returns the estimated time until a run ends, in milliseconds
   */
  List<StepRemainder> remainders(int occurrence, ToLongFunction<ActiveRun> remainingMillis) {
    List<StepRemainder> remainders = new ArrayList<>();
    for (List<WorkUnit> units : unitsByOccurrence.getOrDefault(occurrence, List.of())) {
      int waitingTasks = 0;
      long runningMillis = 0;
      for (WorkUnit unit : units) {
        waitingTasks += unit.isDone() || unit.run() != null ? 0 : unit.tasks();
        ActiveRun run = unit.run();
        if (run != null) {
          runningMillis = Math.max(runningMillis, remainingMillis.applyAsLong(run));
        }
      }
      remainders.add(new StepRemainder(waitingTasks, runningMillis));
    }
    return remainders;
  }

  /** Returns whether any task of an occurrence has been placed. */
  boolean hasBegun(int occurrence) {
    return unitsByOccurrence.getOrDefault(occurrence, List.of()).stream()
        .anyMatch(units -> units.stream().anyMatch(unit -> unit.lastRunNumber() > 0));
  }

  /** Returns the number of accelerators that the job's units use or are ready to use. */
  long outstandingAccelerators() {
    long sum = 0;
    for (List<List<WorkUnit>> unitsByStep : unitsByOccurrence.values()) {
      for (int stepIndex = 0; stepIndex < unitsByStep.size(); stepIndex++) {
        if (dependenciesAreDone(unitsByStep, stepIndex)) {
          sum +=
              unitsByStep.get(stepIndex).stream()
                  .mapToLong(WorkUnit::outstandingAccelerators)
                  .sum();
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

  private boolean dependenciesAreDone(List<List<WorkUnit>> unitsByStep, int stepIndex) {
    for (int dependency : submission().steps().get(stepIndex).dependencies()) {
      if (!areDone(unitsByStep.get(dependency))) {
        return false;
      }
    }
    return true;
  }

  private static boolean areDone(List<WorkUnit> units) {
    return units.stream().allMatch(WorkUnit::isDone);
  }

  /** Removes an occurrence if all its units are done. Returns whether the whole job is complete. */
  boolean removeOccurrenceIfDone(int occurrence) {
    List<List<WorkUnit>> unitsByStep = unitsByOccurrence.get(occurrence);
    if (unitsByStep != null && unitsByStep.stream().allMatch(ActiveJob::areDone)) {
      unitsByOccurrence.remove(occurrence);
      unfinishedOccurrences--;
    }
    return unfinishedOccurrences == 0;
  }

  /** Returns whether no unit of the job has a run. */
  boolean hasNoRuns() {
    return units().stream().allMatch(unit -> unit.run() == null);
  }

  /** Returns the run of a unit; null if there is no such unit, or if it has none. */
  @Nullable ActiveRun runOf(UnitKey key) {
    WorkUnit unit = unitOf(key);
    return unit == null ? null : unit.run();
  }

  /** Returns the unit with a key, or to which the task with that key belongs; null if none does. */
  @Nullable WorkUnit unitOf(UnitKey key) {
    List<List<WorkUnit>> unitsByStep = unitsByOccurrence.get(key.occurrence());
    if (unitsByStep == null || key.stepIndex() >= unitsByStep.size()) {
      return null;
    }
    List<WorkUnit> units = unitsByStep.get(key.stepIndex());
    int index = units.getFirst().isGang() ? 0 : Math.max(0, key.taskIndex());
    return index < units.size() ? units.get(index) : null;
  }

  /** Returns the number of unresolved members of a step on each worker that has any. */
  Map<String, Integer> runsByWorker(int occurrence, int stepIndex) {
    Map<String, Integer> runs = new HashMap<>();
    List<List<WorkUnit>> unitsByStep = unitsByOccurrence.getOrDefault(occurrence, List.of());
    List<WorkUnit> units = unitsByStep.isEmpty() ? List.of() : unitsByStep.get(stepIndex);
    for (WorkUnit unit : units) {
      ActiveRun run = unit.run();
      for (Member member : run == null ? List.<Member>of() : run.members()) {
        if (!member.isResolved()) {
          runs.merge(member.session().id(), 1, Integer::sum);
        }
      }
    }
    return runs;
  }

  /**
   * Restores a unit from its stored record.
   *
   * @param taskIndex the index of the task, starting at 0; -1 for a gang
   * @return the restored unit; null if the job has no such unit
   */
  @Nullable WorkUnit restore(int occurrence, int stepIndex, int taskIndex, RunRecord stored) {
    boolean exists =
        occurrence < submission().recurrence().occurrences()
            && stepIndex < submission().steps().size()
            && taskIndex < submission().steps().get(stepIndex).replicas();
    if (!exists) {
      return null;
    }
    nextOccurrence = Math.max(nextOccurrence, occurrence + 1);
    for (int earlier = 0; earlier <= occurrence; earlier++) {
      createOccurrence(earlier);
    }
    List<WorkUnit> units = createOccurrence(occurrence).get(stepIndex);
    WorkUnit unit = units.get(Math.max(0, taskIndex));
    unit.restore(stored);
    return unit;
  }
}
