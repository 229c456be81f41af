package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Worker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Applies envelopes and checks the invariants of the state after each one. */
final class StateInvariants {
  private final ControlState state;
  private final Set<String> acceptedEnvelopes = new HashSet<>();
  private final Map<String, String> owners = new HashMap<>();
  private int reservations;
  private int unstoppableReservations;
  private long lastVersion;
  private long lastTerm;

  StateInvariants(ControlState state) {
    this.state = state;
  }

  ProposalOutcome apply(long offset, Envelope envelope) {
    final Leadership leadershipBefore = state.leadership();
    final long versionBefore = state.configurationVersion();
    final ProposalOutcome outcome = state.apply(offset, envelope);
    if (outcome.code().isSuccess()) {
      assertThat(acceptedEnvelopes.add(envelope.writer() + "#" + envelope.sequence()))
          .as("applied once")
          .isTrue();
      checkAccepted(envelope, leadershipBefore);
      checkConfigurationVersion(envelope, versionBefore);
    }
    checkGangs();
    checkCredits();
    assertThat(state.configurationVersion()).isGreaterThanOrEqualTo(lastVersion);
    assertThat(state.leadership().term()).isGreaterThanOrEqualTo(lastTerm);
    lastVersion = state.configurationVersion();
    lastTerm = state.leadership().term();
    return outcome;
  }

  int reservations() {
    return reservations;
  }

  int unstoppableReservations() {
    return unstoppableReservations;
  }

  private void checkAccepted(Envelope envelope, Leadership leadership) {
    if (envelope.record() instanceof ControlRecord.RequestClaimed claim) {
      assertThat(owners.put(claim.key(), claim.owner())).as("one owner of a request").isNull();
    }
    if (envelope.record() instanceof ControlRecord.GangReserved reserved) {
      assertThat(envelope.term()).as("current term").isEqualTo(leadership.term());
      assertThat(leadership.isHeld()).isTrue();
      reserved.placements().forEach(this::checkEligibility);
      reservations++;
    }
  }

  /** An unstoppable job must have been placed against the current configuration. */
  private void checkConfigurationVersion(Envelope envelope, long versionBefore) {
    if (envelope.record() instanceof ControlRecord.GangReserved reserved
        && !Objects.requireNonNull(state.job(reserved.jobId())).specification().stoppable()) {
      assertThat(reserved.configurationVersion())
          .as("decided against the current configuration")
          .isEqualTo(versionBefore);
      unstoppableReservations++;
    }
  }

  private void checkEligibility(MemberPlacement placement) {
    Worker worker = Objects.requireNonNull(state.worker(placement.worker()), "listed worker");
    assertThat(state.quarantine()).doesNotContainKey(placement.worker());
    assertThat(state.configuration().failureDomains())
        .filteredOn(domain -> domain.name().equals(worker.failureDomain()))
        .as("failure domain in service")
        .hasSize(1)
        .allMatch(FailureDomain::acceptsStarts);
  }

  private void checkGangs() {
    Set<String> held = new HashSet<>();
    for (JobRecord job : state.jobs()) {
      if (!job.phase().holdsResources()) {
        assertThat(job.placements()).isEmpty();
        continue;
      }
      assertThat(job.placements()).as("whole gang").hasSize(job.specification().shape().members());
      for (MemberPlacement placement : job.placements()) {
        for (int accelerator : placement.accelerators()) {
          assertThat(held.add(placement.worker() + "#" + accelerator)).as("held once").isTrue();
          assertThat(state.freeAccelerators(placement.worker()).get(accelerator)).isFalse();
        }
      }
    }
  }

  private void checkCredits() {
    Map<String, Integer> allotted = new HashMap<>();
    state
        .credits()
        .values()
        .forEach(
            shares ->
                shares.forEach((worker, slots) -> allotted.merge(worker, slots, Integer::sum)));
    assertThat(allotted.values()).allMatch(slots -> slots <= 8);
  }
}
