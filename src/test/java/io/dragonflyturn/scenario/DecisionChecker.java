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
 * Looks in the log alone for records that took effect and must not have. It keeps its own account
 * and asks nothing of the state that decided them.
 */
final class DecisionChecker {
  private final Map<String, Integer> membersByJob = new HashMap<>();
  private final Map<String, Set<String>> placesByAttempt = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();
  private final Set<String> finished = new HashSet<>();
  private final List<LogHistory.Applied> partGangs = new ArrayList<>();
  private final List<LogHistory.Applied> sharedPlaces = new ArrayList<>();
  private final List<LogHistory.Applied> endedTerms = new ArrayList<>();
  private final List<LogHistory.Applied> overwrites = new ArrayList<>();
  private final List<LogHistory.Applied> secondOwners = new ArrayList<>();
  private final List<LogHistory.Applied> secondOutcomes = new ArrayList<>();
  private final String part;
  private long term;

  DecisionChecker(LogHistory log) {
    part = " (log " + log.coverage() + ")";
    log.start().ifPresent(this::goOnFrom);
    log.accepted().forEach(this::take);
  }

  /** No record took effect that must not have. */
  void check() {
    assertThat(partGangs).as("gangs that were not reserved whole" + part).isEmpty();
    assertThat(sharedPlaces).as("reservations of places that were held" + part).isEmpty();
    assertThat(endedTerms).as("records of the planner outside the term" + part).isEmpty();
    assertThat(overwrites).as("changes of an outdated configuration" + part).isEmpty();
    assertThat(secondOwners).as("second owners of requests" + part).isEmpty();
    assertThat(secondOutcomes).as("second outcomes of requests" + part).isEmpty();
  }

  /** Returns how many records took effect that must not have. */
  int count() {
    return (int)
        Stream.of(partGangs, sharedPlaces, endedTerms, overwrites, secondOwners, secondOutcomes)
            .flatMap(List::stream)
            .count();
  }

  private void goOnFrom(StateSnapshot start) {
    term = start.leadership().term();
    Stream.concat(start.liveJobs().stream(), start.endedJobs().stream())
        .map(JobRecord::specification)
        .forEach(this::submit);
    start.liveJobs().stream()
        .filter(job -> !job.placements().isEmpty())
        .forEach(
            job -> placesByAttempt.put(attempt(job.id(), job.attempt()), places(job.placements())));
    start.requests().forEach(this::remember);
  }

  private void remember(RequestRecord request) {
    String key = request.customer() + "/" + request.key();
    owners.put(key, request.owner());
    if (request.finishedCode() != null) {
      finished.add(key);
    }
  }

  private void take(LogHistory.Applied each) {
    ControlRecord record = each.envelope().record();
    noteTerm(each, record);
    switch (record) {
      case ControlRecord.LeadershipClaimed claimed -> term = claimed.expectedTerm() + 1;
      case ControlRecord.JobSubmitted submitted -> submit(submitted.job());
      case ControlRecord.GangReserved reserved -> reserve(each, reserved);
      case ControlRecord.GangStarted started -> start(each, started);
      case ControlRecord.GangEnded ended ->
          placesByAttempt.remove(attempt(ended.jobId(), ended.attempt()));
      case ControlRecord.ConfigurationChanged changed -> change(each, changed.baseVersion());
      case ControlRecord.DomainServiceChanged changed -> change(each, changed.baseVersion());
      case ControlRecord.RequestClaimed claimed ->
          own(each, claimed.customer() + "/" + claimed.key(), claimed.owner(), true);
      case ControlRecord.RequestFinished finish -> finish(each, finish);
      default -> {}
    }
  }

  private void noteTerm(LogHistory.Applied each, ControlRecord record) {
    boolean planners =
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
    if (planners && each.envelope().term() != term) {
      endedTerms.add(each);
    }
  }

  private void submit(JobSpecification job) {
    membersByJob.put(job.id(), job.shape().members());
  }

  private void reserve(LogHistory.Applied each, ControlRecord.GangReserved reserved) {
    long members = reserved.placements().stream().map(MemberPlacement::member).distinct().count();
    if (members != membersByJob.getOrDefault(reserved.jobId(), 0)) {
      partGangs.add(each);
    }
    Set<String> places = places(reserved.placements());
    long wanted = reserved.placements().stream().mapToLong(at -> at.accelerators().size()).sum();
    boolean held =
        placesByAttempt.values().stream().flatMap(Set::stream).anyMatch(places::contains);
    if (held || places.size() < wanted) {
      sharedPlaces.add(each);
    }
    placesByAttempt.put(attempt(reserved.jobId(), reserved.attempt()), places);
  }

  private void start(LogHistory.Applied each, ControlRecord.GangStarted started) {
    if (!placesByAttempt.containsKey(attempt(started.jobId(), started.attempt()))) {
      partGangs.add(each);
    }
  }

  private void change(LogHistory.Applied each, long baseVersion) {
    if (baseVersion >= 0 && each.outcome().version() != baseVersion + 1) {
      overwrites.add(each);
    }
  }

  private void finish(LogHistory.Applied each, ControlRecord.RequestFinished finish) {
    String key = finish.customer() + "/" + finish.key();
    own(each, key, finish.owner(), false);
    if (!finished.add(key)) {
      secondOutcomes.add(each);
    }
  }

  private void own(LogHistory.Applied each, String key, String owner, boolean claims) {
    Optional<String> earlier = Optional.ofNullable(owners.putIfAbsent(key, owner));
    if (earlier.isPresent() && (claims || !earlier.get().equals(owner))) {
      secondOwners.add(each);
    }
  }

  private static String attempt(String jobId, int attempt) {
    return jobId + "/" + attempt;
  }

  private static Set<String> places(List<MemberPlacement> placements) {
    return placements.stream()
        .flatMap(at -> at.accelerators().stream().map(index -> at.worker() + "/" + index))
        .collect(Collectors.toSet());
  }
}
