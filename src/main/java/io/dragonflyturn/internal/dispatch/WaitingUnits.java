package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.policy.FleetRoom;
import io.dragonflyturn.internal.policy.JobObjective;
import io.dragonflyturn.internal.policy.RunTimes;
import io.dragonflyturn.internal.policy.ServiceTier;
import io.dragonflyturn.internal.policy.StepRemainder;
import io.dragonflyturn.internal.policy.UrgencyRanks;
import io.dragonflyturn.internal.policy.WaitingJob;
import io.dragonflyturn.internal.policy.WaitingOrder;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import io.dragonflyturn.internal.workload.SubmittedJob;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * The units that wait in a round, in the order in which they are served: by rank and acceptance
 * while all of them may fit, and otherwise as {@link WaitingOrder} decides.
 */
final class WaitingUnits {
  private final UrgencyRanks ranks;
  private final RunTimes runTimes;
  private final FleetRoom room;
  private final ToLongFunction<ActiveRun> remainingMillis;
  private final long nowMillis;
  private final Map<String, List<WorkUnit>> unitsByJob = new LinkedHashMap<>();
  private final Map<String, WaitingJob> jobs = new LinkedHashMap<>();
  private final Map<String, ServiceTier> tiers = new HashMap<>();

  /**
   * Collects waiting units.
   *
   * @param units the units, in any order
   * @param remainingMillis returns the estimated time until a run ends, in milliseconds
   */
  WaitingUnits(
      Collection<WorkUnit> units,
      UrgencyRanks ranks,
      RunTimes runTimes,
      FleetRoom room,
      ToLongFunction<ActiveRun> remainingMillis,
      long nowMillis) {
    this.ranks = ranks;
    this.runTimes = runTimes;
    this.room = room;
    this.remainingMillis = remainingMillis;
    this.nowMillis = nowMillis;
    units.stream()
        .sorted(
            Comparator.comparingInt((WorkUnit unit) -> ranks.rankOf(unit.job().submission()))
                .thenComparingLong(unit -> unit.job().submission().acceptedMillis()))
        .forEach(
            unit -> unitsByJob.computeIfAbsent(jobKey(unit), key -> new ArrayList<>()).add(unit));
    unitsByJob.forEach((key, group) -> jobs.put(key, describe(key, group.getFirst())));
  }

  private static String jobKey(WorkUnit unit) {
    return unit.job().id() + '.' + unit.occurrence();
  }

  private WaitingJob describe(String key, WorkUnit unit) {
    ActiveJob job = unit.job();
    SubmittedJob submission = job.submission();
    List<StepRemainder> remainders = job.remainders(unit.occurrence(), remainingMillis);
    return new WaitingJob(
        key,
        submission.queue().service(),
        ranks.rankOf(submission),
        job.hasBegun(unit.occurrence()),
        submission.steps().stream().anyMatch(StepSpecification::endless),
        JobObjective.of(
            submission, job.ageMillis(unit.occurrence(), nowMillis), runTimes, room, remainders),
        WaitingJob.roomMillisOf(submission, remainders, runTimes, room));
  }

  /**
   * Returns the units in the order in which they are served.
   *
   * @param wasShort whether units found no room in the round before
   */
  List<WorkUnit> inOrder(boolean wasShort) {
    List<WorkUnit> ordered = new ArrayList<>();
    if (!wasShort && !exceedRoom()) {
      unitsByJob.values().forEach(ordered::addAll);
      return ordered;
    }
    for (WaitingOrder.Turn turn : WaitingOrder.of(jobs.values(), room)) {
      tiers.put(turn.job().key(), turn.tier());
      ordered.addAll(unitsByJob.getOrDefault(turn.job().key(), List.of()));
    }
    return ordered;
  }

  /** Returns whether the units of any service ask for more than what is free there. */
  private boolean exceedRoom() {
    Map<String, Resources> demandByService = new HashMap<>();
    for (List<WorkUnit> units : unitsByJob.values()) {
      for (WorkUnit unit : units) {
        String service = unit.job().submission().queue().service();
        demandByService.merge(service, unit.demand(), Resources::plus);
      }
    }
    return demandByService.entrySet().stream()
        .anyMatch(entry -> room.isShortOf(entry.getKey(), entry.getValue()));
  }

  /** Returns until when the completion of a unit's job is worth something. */
  JobObjective objectiveOf(WorkUnit unit) {
    WaitingJob job = jobs.get(jobKey(unit));
    return job == null ? describe(jobKey(unit), unit).objective() : job.objective();
  }

  /** Returns what waiting costs the caller of a unit; timely if there is room for all. */
  ServiceTier tierOf(WorkUnit unit) {
    return tiers.getOrDefault(jobKey(unit), ServiceTier.TIMELY);
  }
}
