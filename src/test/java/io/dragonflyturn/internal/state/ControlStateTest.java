package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlRecord.StopReason;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ControlStateTest {
  private static final String JOB = "job";
  private static final long TERM = 1;

  private final ControlState state = new ControlState(StateSettings.DEFAULT);
  private long sequence;

  @BeforeEach
  void setUp() {
    apply(configuration(0));
    apply(new ControlRecord.LeadershipClaimed("planner", 0));
    Worker worker = new Worker("worker", "", "north", "rack", 4, 1, 1, 8, false, Map.of());
    apply(new ControlRecord.WorkersListed(List.of(worker), List.of()));
    JobSpecification job =
        new JobSpecification(
            JOB, "customer", new Shape(2, 2, Span.RACK), Urgency.NORMAL, true, true, 9, Map.of());
    apply(new ControlRecord.JobSubmitted(job));
  }

  @Test
  void should_release_resources_when_a_gang_completes() {
    assertThat(reserve(1).code()).isEqualTo(ResultCode.OK);
    assertThat(state.freeAccelerators("worker").isEmpty()).isTrue();
    apply(new ControlRecord.GangStarted(JOB, 1));
    apply(new ControlRecord.GangEnded(JOB, 1, GangOutcome.COMPLETED, 9, List.of()));

    assertThat(job().phase()).isEqualTo(JobPhase.ENDED);
    assertThat(job().endCode()).isEqualTo(ResultCode.OK);
    assertThat(state.freeAccelerators("worker").cardinality()).isEqualTo(4);
  }

  @Test
  void should_requeue_a_stopped_gang_with_its_completed_work() {
    reserve(1);
    apply(new ControlRecord.GangStarted(JOB, 1));
    apply(new ControlRecord.GangStopRequested(JOB, 1, StopReason.RECLAIMED, "Reclaimed."));
    apply(new ControlRecord.GangEnded(JOB, 1, GangOutcome.STOPPED, 5, List.of()));

    assertThat(job().phase()).isEqualTo(JobPhase.QUEUED);
    assertThat(job().completedSeconds()).isEqualTo(5);
    assertThat(job().attainedSeconds()).isPositive();
    assertThat(reserve(1).code()).isEqualTo(ResultCode.STATE_CONFLICT);
    assertThat(reserve(2).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_hold_resources_of_a_cancelled_gang_until_it_ends() {
    reserve(1);
    apply(new ControlRecord.JobsCancelled(List.of(JOB, "unknown"), "operator"));
    assertThat(job().phase()).isEqualTo(JobPhase.STOPPING);
    assertThat(state.freeAccelerators("worker").isEmpty()).isTrue();
    apply(new ControlRecord.GangEnded(JOB, 1, GangOutcome.STOPPED, 0, List.of()));

    assertThat(job().endCode()).isEqualTo(ResultCode.CANCELLED_BEFORE_RUN);
  }

  @Test
  void should_preserve_the_service_state_of_a_domain_across_configuration_changes() {
    apply(new ControlRecord.DomainServiceChanged(-1, "north", ServiceState.TAKEN_OUT, 0, "op"));
    long version = state.configurationVersion();

    assertThat(apply(configuration(version)).code()).isEqualTo(ResultCode.OK);
    assertThat(reserve(1).code()).isEqualTo(ResultCode.STATE_CONFLICT);
    assertThat(state.audit(0, 100).getLast().toVersion()).isEqualTo(version + 1);
  }

  @Test
  void should_return_owner_and_answer_for_a_duplicate_claim() {
    apply(new ControlRecord.RequestClaimed("key", "customer", "entry", 0));
    apply(new ControlRecord.RequestFinished("key", "customer", "entry", ResultCode.OK, "answer"));

    ProposalOutcome second = apply(new ControlRecord.RequestClaimed("key", "customer", "other", 0));

    assertThat(second.code()).isEqualTo(ResultCode.DUPLICATE);
    assertThat(second.owner()).isEqualTo("entry");
    assertThat(second.answer()).isEqualTo("answer");
  }

  @Test
  void should_hold_accelerators_while_a_worker_is_not_listed() {
    reserve(1);
    Worker worker = Objects.requireNonNull(state.worker("worker"));
    apply(new ControlRecord.WorkersListed(List.of(), List.of("worker")));
    apply(new ControlRecord.WorkersListed(List.of(worker), List.of()));

    assertThat(state.freeAccelerators("worker").isEmpty()).isTrue();
  }

  @Test
  void should_accept_only_one_of_two_snapshot_claims() {
    ProposalOutcome first = apply(new ControlRecord.SnapshotClaimed("one", -1));
    ProposalOutcome second = apply(new ControlRecord.SnapshotClaimed("two", -1));

    assertThat(first.code()).isEqualTo(ResultCode.OK);
    assertThat(second.code()).isEqualTo(ResultCode.DUPLICATE);
    assertThat(state.snapshotClaim().taker()).isEqualTo("one");
  }

  @Test
  void should_keep_the_first_settings_in_the_log() {
    StateSettings defaults = StateSettings.DEFAULT;
    StateSettings other =
        new StateSettings(Duration.ofMinutes(1), Duration.ofMinutes(1), Duration.ZERO, 1, 9);

    assertThat(apply(ControlRecord.SettingsDecided.of(other)).code()).isEqualTo(ResultCode.OK);
    assertThat(apply(ControlRecord.SettingsDecided.of(defaults)).code())
        .isEqualTo(ResultCode.INVALID_SETTINGS);
    assertThat(apply(ControlRecord.SettingsDecided.of(other)).code()).isEqualTo(ResultCode.JOINED);
    assertThat(state.decidedSettings()).isEqualTo(other);
    assertThat(ControlState.restore(defaults, state.snapshot()).decidedSettings()).isEqualTo(other);
  }

  private ProposalOutcome reserve(int attempt) {
    List<MemberPlacement> placements =
        List.of(
            new MemberPlacement(0, "worker", List.of(0, 1)),
            new MemberPlacement(1, "worker", List.of(2, 3)));
    return apply(new ControlRecord.GangReserved(JOB, attempt, placements, "Fits.", 1));
  }

  private static ControlRecord configuration(long baseVersion) {
    Customer customer = new Customer("customer", List.of(), 0, Map.of());
    FailureDomain north =
        new FailureDomain("north", "region", ServiceState.IN_SERVICE, 0, 0, Map.of());
    return new ControlRecord.ConfigurationChanged(
        baseVersion,
        new Configuration(List.of(customer), List.of(north), Map.of(), List.of()),
        "operator",
        "");
  }

  private ProposalOutcome apply(ControlRecord record) {
    sequence++;
    Envelope envelope =
        new Envelope("writer", sequence, sequence - 2, TERM, "region", sequence * 1000, record);
    return state.apply(sequence - 1, envelope);
  }

  private JobRecord job() {
    return Objects.requireNonNull(state.job(JOB));
  }
}
