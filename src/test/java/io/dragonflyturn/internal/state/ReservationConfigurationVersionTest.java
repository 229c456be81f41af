package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord.GangReserved;
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
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Reservations that were decided against a configuration other than the current one. */
class ReservationConfigurationVersionTest {
  private static final Shape WHOLE_WORKER = new Shape(1, 4, Span.WORKER);
  private static final List<MemberPlacement> PLACEMENTS =
      List.of(new MemberPlacement(0, "worker", List.of(0, 1, 2, 3)));

  private final ControlState state = new ControlState(StateSettings.DEFAULT);
  private long term;
  private long sequence;

  @BeforeEach
  void setUp() {
    configureGuarantees();
    claimLeadership("leader");
    listWorker("worker", "north");
    listWorker("other", "south");
    submit("unstoppable", false);
    submit("stoppable", true);
  }

  @Test
  void should_reject_an_unstoppable_job_placed_before_a_guarantee_was_added() {
    final long oldVersion = state.configurationVersion();
    configureGuarantees(WHOLE_WORKER, WHOLE_WORKER);

    assertThat(reserve("unstoppable", oldVersion).code()).isEqualTo(ResultCode.VERSION_CONFLICT);
    assertThat(state.freeAccelerators("worker").cardinality()).isEqualTo(4);
    assertThat(Objects.requireNonNull(state.job("unstoppable")).phase()).isEqualTo(JobPhase.QUEUED);
  }

  @Test
  void should_reject_an_unstoppable_job_placed_before_a_domain_was_taken_out() {
    final long oldVersion = state.configurationVersion();
    apply(new ControlRecord.DomainServiceChanged(-1, "south", ServiceState.TAKEN_OUT, 0, "op"));

    assertThat(reserve("unstoppable", oldVersion).code()).isEqualTo(ResultCode.VERSION_CONFLICT);
  }

  @Test
  void should_accept_an_unstoppable_job_that_is_placed_again() {
    final long oldVersion = state.configurationVersion();
    configureGuarantees(WHOLE_WORKER);
    reserve("unstoppable", oldVersion);

    assertThat(reserve("unstoppable", state.configurationVersion()).code())
        .isEqualTo(ResultCode.OK);
  }

  @Test
  void should_accept_a_stoppable_job_placed_before_a_guarantee_was_added() {
    final long oldVersion = state.configurationVersion();
    configureGuarantees(WHOLE_WORKER, WHOLE_WORKER);

    assertThat(reserve("stoppable", oldVersion).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_accept_a_stored_record_without_a_configuration_version() {
    byte[] stored =
        MessagePackCodec.encode(
            Map.of(
                "t",
                "gr",
                "jobId",
                "unstoppable",
                "attempt",
                1,
                "placements",
                PLACEMENTS,
                "reason",
                ""));
    ControlRecord record = MessagePackCodec.decode(stored, ControlRecord.class);

    assertThat(record)
        .isEqualTo(
            new GangReserved("unstoppable", 1, PLACEMENTS, "", GangReserved.UNKNOWN_VERSION));
    assertThat(apply(record).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_reject_a_reservation_of_the_previous_leader() {
    claimLeadership("successor");
    term--;

    assertThat(reserve("unstoppable", state.configurationVersion()).code())
        .isEqualTo(ResultCode.FENCED);
  }

  private void configureGuarantees(Shape... guarantees) {
    List<FailureDomain> domains =
        List.of(
            new FailureDomain("north", "region", ServiceState.IN_SERVICE, 0, 0, Map.of()),
            new FailureDomain("south", "region", ServiceState.IN_SERVICE, 0, 0, Map.of()));
    List<Customer> customers =
        List.of(
            new Customer("owner", List.of(guarantees), 0, Map.of()),
            new Customer("customer", List.of(), 0, Map.of()));
    Configuration configuration = new Configuration(customers, domains, Map.of(), List.of());
    apply(
        new ControlRecord.ConfigurationChanged(
            state.configurationVersion(), configuration, "operator", ""));
  }

  private void claimLeadership(String leader) {
    apply(new ControlRecord.LeadershipClaimed(leader, term));
    term++;
  }

  private void listWorker(String worker, String domain) {
    Worker listed = new Worker(worker, "", domain, "rack", 4, 1, 1, 8, false, Map.of());
    apply(new ControlRecord.WorkersListed(List.of(listed), List.of()));
  }

  private void submit(String id, boolean stoppable) {
    apply(
        new ControlRecord.JobSubmitted(
            new JobSpecification(
                id, "customer", WHOLE_WORKER, Urgency.NORMAL, stoppable, true, 9, Map.of())));
  }

  private ProposalOutcome reserve(String job, long configurationVersion) {
    return apply(new GangReserved(job, 1, PLACEMENTS, "Fits.", configurationVersion));
  }

  private ProposalOutcome apply(ControlRecord record) {
    sequence++;
    return state.apply(
        sequence - 1, new Envelope("writer", sequence, sequence - 2, term, "region", 0, record));
  }
}
