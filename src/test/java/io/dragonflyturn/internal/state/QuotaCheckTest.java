package io.dragonflyturn.internal.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.protocol.ProposalOutcome;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class QuotaCheckTest {
  private static final int QUOTA = 3;
  private static final int ACCELERATORS_PER_JOB = 2;

  private final ControlState state = new ControlState(StateSettings.DEFAULT);
  private long offset;

  @BeforeEach
  void setUp() {
    configure(QUOTA);
    apply(new ControlRecord.LeadershipClaimed("planner", 0));
    Worker worker = new Worker("worker", "", "north", "rack", 8, 1, 1, 8, false, Map.of());
    apply(new ControlRecord.WorkersListed(List.of(worker), List.of()));
    submit("one", "customer");
    submit("two", "customer");
    submit("three", "other");
  }

  @Test
  void should_reject_a_reservation_decided_before_another_used_up_the_quota() {
    final long staleOffset = state.offset();
    assertThat(reserve("one", 0, staleOffset).code()).isEqualTo(ResultCode.OK);

    assertThat(reserve("two", 2, staleOffset).code()).isEqualTo(ResultCode.QUOTA_EXCEEDED);
    assertThat(state.freeAccelerators("worker").cardinality()).isEqualTo(6);
    assertThat(reserve("three", 2, staleOffset).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_count_a_gang_until_it_ends() {
    reserve("one", 0, state.offset());
    apply(new ControlRecord.JobsCancelled(List.of("one"), "operator"));
    assertThat(reserve("two", 2, state.offset()).code()).isEqualTo(ResultCode.QUOTA_EXCEEDED);
    apply(new ControlRecord.GangEnded("one", 1, GangOutcome.STOPPED, 0, List.of()));

    assertThat(reserve("two", 2, state.offset()).code()).isEqualTo(ResultCode.OK);
  }

  @Test
  void should_use_the_current_quota() {
    reserve("one", 0, state.offset());
    configure(0);

    assertThat(reserve("two", 2, state.offset()).code()).isEqualTo(ResultCode.OK);
  }

  private void configure(int quota) {
    FailureDomain north =
        new FailureDomain("north", "region", ServiceState.IN_SERVICE, 0, 0, Map.of());
    List<Customer> customers =
        List.of(
            new Customer("customer", List.of(), quota, Map.of()),
            new Customer("other", List.of(), 0, Map.of()));
    Configuration configuration = new Configuration(customers, List.of(north), Map.of(), List.of());
    apply(
        new ControlRecord.ConfigurationChanged(
            state.configurationVersion(), configuration, "operator", ""));
  }

  private void submit(String id, String customer) {
    Shape shape = new Shape(1, ACCELERATORS_PER_JOB, Span.WORKER);
    apply(
        new ControlRecord.JobSubmitted(
            new JobSpecification(id, customer, shape, Urgency.NORMAL, true, true, 9, Map.of())));
  }

  private ProposalOutcome reserve(String job, int firstAccelerator, long decidedFrom) {
    List<MemberPlacement> placements =
        List.of(new MemberPlacement(0, "worker", List.of(firstAccelerator, firstAccelerator + 1)));
    return apply(new ControlRecord.GangReserved(job, 1, placements, "Fits.", 1), decidedFrom);
  }

  private ProposalOutcome apply(ControlRecord record) {
    return apply(record, offset - 1);
  }

  private ProposalOutcome apply(ControlRecord record, long decidedFrom) {
    ProposalOutcome outcome =
        state.apply(
            offset, new Envelope("writer", offset + 1, decidedFrom, 1, "region", 1000, record));
    offset++;
    return outcome;
  }
}
