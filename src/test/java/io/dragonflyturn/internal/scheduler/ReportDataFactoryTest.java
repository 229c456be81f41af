package io.dragonflyturn.internal.scheduler;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlRecord;
import io.dragonflyturn.internal.state.ControlRecord.GangOutcome;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.Envelope;
import io.dragonflyturn.internal.state.StateSettings;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.FailureDomain;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.ReportData;
import io.dragonflyturn.model.ReportPoint;
import io.dragonflyturn.model.ReportRow;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.model.Worker;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReportDataFactoryTest {
  private static final Shape SHAPE = new Shape(1, 2, Span.WORKER);
  private static final FailureDomain NORTH =
      new FailureDomain("north", "main", ServiceState.IN_SERVICE, 0, 0, Map.of());

  private final ControlState state = new ControlState(StateSettings.DEFAULT);
  private long sequence;

  @BeforeEach
  void prepare() {
    Customer customer = new Customer("derwent", List.of(SHAPE), 0, Map.of());
    Configuration configuration =
        new Configuration(List.of(customer), List.of(NORTH), Map.of(), List.of());
    apply(0, new ControlRecord.ConfigurationChanged(0, configuration, "ada", "first"));
    apply(0, new ControlRecord.LeadershipClaimed("planner", 0));
    Worker worker = new Worker("worker", "", "north", "rack", 4, 1, 1, 8, false, Map.of());
    apply(0, new ControlRecord.WorkersListed(List.of(worker), List.of()));
  }

  @Test
  void should_count_a_job_as_on_time_up_to_twice_its_own_work() {
    complete("on-time", 0, 40, 20);
    complete("late", 0, 41, 20);

    ReportRow row = report().customers().getFirst();

    assertThat(row.completedJobs()).isEqualTo(2);
    assertThat(row.finishedOnTime()).isEqualTo(1);
    assertThat(row.meanCompletionSeconds()).isEqualTo(40.5);
    assertThat(row.promisedAccelerators()).isEqualTo(2);
  }

  @Test
  void should_sum_the_work_in_accelerator_seconds() {
    complete("first", 0, 20, 20);
    complete("second", 20, 40, 10);

    assertThat(report().series().getLast().points())
        .containsExactly(new ReportPoint(20_000, 40.0), new ReportPoint(40_000, 60.0));
  }

  @Test
  void should_count_waiting_jobs_and_held_accelerators() {
    submit("waiting", 0);
    submit("running", 0);
    reserve("running", 1);

    ReportRow row = report().customers().getFirst();

    assertThat(row.waitingJobs()).isEqualTo(1);
    assertThat(row.heldAccelerators()).isEqualTo(2);
    assertThat(row.endedJobs()).isZero();
  }

  private ReportData report() {
    return ReportDataFactory.of(state, List.of());
  }

  private void complete(String id, long fromSeconds, long toSeconds, double workSeconds) {
    submit(id, fromSeconds);
    reserve(id, fromSeconds);
    apply(fromSeconds, new ControlRecord.GangStarted(id, 1));
    apply(
        toSeconds,
        new ControlRecord.GangEnded(id, 1, GangOutcome.COMPLETED, workSeconds, List.of()));
  }

  private void submit(String id, long atSeconds) {
    JobSpecification job =
        new JobSpecification(id, "derwent", SHAPE, Urgency.NORMAL, true, true, 9, Map.of());
    apply(atSeconds, new ControlRecord.JobSubmitted(job));
  }

  private void reserve(String id, long atSeconds) {
    MemberPlacement place = new MemberPlacement(0, "worker", List.of(0, 1));
    apply(atSeconds, new ControlRecord.GangReserved(id, 1, List.of(place), "It fits.", 1));
  }

  private void apply(long atSeconds, ControlRecord record) {
    sequence++;
    Envelope envelope =
        new Envelope("planner", sequence, sequence - 2, 1, "main", atSeconds * 1_000, record);
    assertThat(state.apply(sequence - 1, envelope).code()).isEqualTo(ResultCode.OK);
  }
}
