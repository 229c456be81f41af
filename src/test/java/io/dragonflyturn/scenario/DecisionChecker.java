package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.internal.state.RequestRecord;
import io.dragonflyturn.internal.state.StateSnapshot;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Checks the log for records that were accepted but violate an invariant of the control state. It
 * tracks jobs, placements, and requests itself, independently of the code that accepted the
 * records.
 */
final class DecisionChecker {
  private final Map<String, Integer> membersByJob = new HashMap<>();
  private final Map<String, Set<String>> acceleratorsByAttempt = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();
  private final Set<String> finished = new HashSet<>();
  private final List<LogHistory.Applied> incompleteReservations = new ArrayList<>();
  private final List<LogHistory.Applied> conflictingReservations = new ArrayList<>();
  private final List<LogHistory.Applied> staleTermRecords = new ArrayList<>();
  private final List<LogHistory.Applied> configurationConflicts = new ArrayList<>();
  private final List<LogHistory.Applied> ownerConflicts = new ArrayList<>();
  private final List<LogHistory.Applied> duplicateOutcomes = new ArrayList<>();
  private final String coverage;
  private long term;

  DecisionChecker(LogHistory log) {
    coverage = " (log " + log.coverage() + ")";
    log.start().ifPresent(this::restore);
    log.accepted().forEach(this::apply);
  }

  /** Asserts that no accepted record violates an invariant. */
  void check() {
    assertThat(incompleteReservations)
        .as("gangs that were reserved with missing members" + coverage)
        .isEmpty();
    assertThat(conflictingReservations)
        .as("reservations of accelerators already in use" + coverage)
        .isEmpty();
    assertThat(staleTermRecords).as("scheduler records from another term" + coverage).isEmpty();
    assertThat(configurationConflicts)
        .as("configuration changes based on an outdated version" + coverage)
        .isEmpty();
    assertThat(ownerConflicts).as("conflicting owners of requests" + coverage).isEmpty();
    assertThat(duplicateOutcomes).as("duplicate outcomes of requests" + coverage).isEmpty();
  }

  /** Returns the number of accepted records that violate an invariant. */
  int count() {
    return (int)
        Stream.of(
                incompleteReservations,
                conflictingReservations,
                staleTermRecords,
                configurationConflicts,
                ownerConflicts,
                duplicateOutcomes)
            .flatMap(List::stream)
            .count();
  }

  private void restore(StateSnapshot start) {
    term = start.leadership().term();
    Stream.concat(start.liveJobs().stream(), start.endedJobs().stream())
        .map(JobRecord::specification)
        .forEach(this::submit);
    start.liveJobs().stream()
        .filter(job -> !job.placements().isEmpty())
        .forEach(
            job ->
                acceleratorsByAttempt.put(
                    attempt(job.id(), job.attempt()), accelerators(job.placements())));
    start.requests().forEach(this::restoreRequest);
  }

  private void restoreRequest(RequestRecord request) {
    String key = request.customer() + "/" + request.key();
    owners.put(key, request.owner());
    if (request.finishedCode() != null) {
      finished.add(key);
    }
  }

  private void apply(LogHistory.Applied each) {
    ControlRecord record = each.envelope().record();
    checkTerm(each, record);
    switch (record) {
      case ControlRecord.LeadershipClaimed claimed -> term = claimed.expectedTerm() + 1;
      case ControlRecord.JobSubmitted submitted -> submit(submitted.job());
      case ControlRecord.GangReserved reserved -> reserve(each, reserved);
      case ControlRecord.GangStarted started -> start(each, started);
      case ControlRecord.GangEnded ended ->
          acceleratorsByAttempt.remove(attempt(ended.jobId(), ended.attempt()));
      case ControlRecord.ConfigurationChanged changed ->
          checkBaseVersion(each, changed.baseVersion());
      case ControlRecord.DomainServiceChanged changed ->
          checkBaseVersion(each, changed.baseVersion());
      case ControlRecord.RequestClaimed claimed ->
          checkOwner(each, claimed.customer() + "/" + claimed.key(), claimed.owner(), true);
      case ControlRecord.RequestFinished finish -> finish(each, finish);
      default -> {}
    }
  }

  private void checkTerm(LogHistory.Applied each, ControlRecord record) {
    boolean leaderOnly =
        switch (record) {
          case ControlRecord.LeadershipRenewed renewed -> true;
          case ControlRecord.LeadershipReleased released -> true;
          case ControlRecord.WorkersListed listed -> true;
          case ControlRecord.WorkerQuarantineChanged changed -> true;
          case ControlRecord.JobRefused refused -> true;
          case ControlRecord.GangReserved reserved -> true;
          case ControlRecord.GangStarted started -> true;
          case ControlRecord.GangStopRequested requested -> true;
          case ControlRecord.GangEnded ended -> true;
          case ControlRecord.CreditsAllocated allotted -> true;
          default -> false;
        };
    if (leaderOnly && each.envelope().term() != term) {
      staleTermRecords.add(each);
    }
  }

  private void submit(JobSpecification job) {
    membersByJob.put(job.id(), job.shape().members());
  }

  private void reserve(LogHistory.Applied each, ControlRecord.GangReserved reserved) {
    long members = reserved.placements().stream().map(MemberPlacement::member).distinct().count();
    if (members != membersByJob.getOrDefault(reserved.jobId(), 0)) {
      incompleteReservations.add(each);
    }
    Set<String> accelerators = accelerators(reserved.placements());
    long requested = reserved.placements().stream().mapToLong(at -> at.accelerators().size()).sum();
    boolean alreadyReserved =
        acceleratorsByAttempt.values().stream()
            .flatMap(Set::stream)
            .anyMatch(accelerators::contains);
    if (alreadyReserved || accelerators.size() < requested) {
      conflictingReservations.add(each);
    }
    acceleratorsByAttempt.put(attempt(reserved.jobId(), reserved.attempt()), accelerators);
  }

  private void start(LogHistory.Applied each, ControlRecord.GangStarted started) {
    if (!acceleratorsByAttempt.containsKey(attempt(started.jobId(), started.attempt()))) {
      incompleteReservations.add(each);
    }
  }

  private void checkBaseVersion(LogHistory.Applied each, long baseVersion) {
    if (baseVersion >= 0 && each.outcome().version() != baseVersion + 1) {
      configurationConflicts.add(each);
    }
  }

  private void finish(LogHistory.Applied each, ControlRecord.RequestFinished finish) {
    String key = finish.customer() + "/" + finish.key();
    checkOwner(each, key, finish.owner(), false);
    if (!finished.add(key)) {
      duplicateOutcomes.add(each);
    }
  }

  private void checkOwner(LogHistory.Applied each, String key, String owner, boolean claims) {
    Optional<String> earlier = Optional.ofNullable(owners.putIfAbsent(key, owner));
    if (earlier.isPresent() && (claims || !earlier.get().equals(owner))) {
      ownerConflicts.add(each);
    }
  }

  private static String attempt(String jobId, int attempt) {
    return jobId + "/" + attempt;
  }

  private static Set<String> accelerators(List<MemberPlacement> placements) {
    return placements.stream()
        .flatMap(at -> at.accelerators().stream().map(index -> at.worker() + "/" + index))
        .collect(Collectors.toSet());
  }
}
