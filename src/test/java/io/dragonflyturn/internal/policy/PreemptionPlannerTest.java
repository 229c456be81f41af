package io.dragonflyturn.internal.policy;

import static io.dragonflyturn.internal.policy.WorkerBuilder.run;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.policy.PlacementPlan.Preemption;
import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests when a unit waits, and which runs it displaces otherwise. */
class PreemptionPlannerTest {
  private static final Resources WHOLE = WorkerBuilder.CAPACITY;
  private static final Resources HALF = new Resources(16_000, 32_000, 4);
  private static final Resources PIECE = new Resources(1_000, 1_000, 1);
  private static final Resources REST = WorkerBuilder.CAPACITY.minus(PIECE);
  private static final StepSpecification ONE = new StepBuilder(WHOLE).gang(1).build();
  private static final StepSpecification TWO = new StepBuilder(WHOLE).gang(2).build();

  @Test
  void should_wait_for_runs_that_end_within_the_time_that_the_unit_can_wait() {
    WorkerSnapshot ending =
        worker("w1", run("a.0.0.0", 2, HALF, 50, 300), run("b.0.0.0", 2, HALF, 50, 380));
    WorkerSnapshot lasting = worker("w2", run("c.0.0.0", 2, WHOLE, 1));

    PlacementPlan plan = plan(List.of(ending, lasting), urgent(ONE).endWaitMillis(400));

    assertThat(plan.preempted()).isEmpty();
    assertThat(plan.waiting()).containsEntry("urgent.0.0", WaitCause.EXPECTED_ENDS);
    assertThat(plan.expectedWaitMillis()).containsEntry("urgent.0.0", 380L);
  }

  @Test
  void should_preempt_nothing_on_a_worker_that_is_free_before_another_one() {
    WorkerSnapshot later = worker("w1", run("a.0.0.0", 2, WHOLE, 1, 390));
    WorkerSnapshot sooner = worker("w2", run("b.0.0.0", 2, WHOLE, 900, 90));

    PlacementPlan plan = plan(List.of(later, sooner), urgent(ONE).endWaitMillis(400));

    assertThat(plan.expectedWaitMillis()).containsEntry("urgent.0.0", 90L);
  }

  @Test
  void should_reserve_the_room_of_runs_that_it_waits_for() {
    WorkerSnapshot half = worker("w1", run("a.0.0.0", 2, HALF, 50, 300));
    PlacementRequest later = RequestBuilder.task("later.0.0.0", step(HALF)).build();

    PlacementPlan plan =
        PlacementPlanner.plan(
            List.of(half),
            Set.of(),
            RequestQueue.inOrder(List.of(urgent(ONE).endWaitMillis(400).build(), later)));

    assertThat(plan.placed()).isEmpty();
  }

  @Test
  void should_preempt_at_once_if_runs_end_later_than_the_unit_can_wait() {
    WorkerSnapshot busy = worker("w1", run("a.0.0.0", 2, WHOLE, 50, 500));

    PlacementPlan plan = plan(List.of(busy), urgent(ONE).endWaitMillis(400));

    assertThat(plan.preempted()).containsOnlyKeys("a.0.0.0");
    assertThat(plan.waiting()).containsEntry("urgent.0.0", WaitCause.PREEMPTING);
  }

  @Test
  void should_preempt_only_what_expected_ends_leave_missing() {
    WorkerSnapshot ending = worker("w1", run("a.0.0.0", 2, WHOLE, 1, 300));
    WorkerSnapshot lasting = worker("w2", run("b.0.0.0", 2, WHOLE, 50));

    PlacementPlan plan = plan(List.of(ending, lasting), urgent(TWO).endWaitMillis(400));

    assertThat(plan.preempted()).containsOnlyKeys("b.0.0.0");
  }

  @Test
  void should_not_expect_the_end_of_a_run_that_lasts() {
    WorkerSnapshot busy = worker("w1", run("a.0.0.0", UrgencyRanks.NOT_PREEMPTIBLE, WHOLE, 1, 0));

    PlacementPlan plan = plan(List.of(busy), urgent(ONE).endWaitMillis(400));

    assertThat(plan.waiting()).containsEntry("urgent.0.0", WaitCause.INSUFFICIENT_RESOURCES);
  }

  @Test
  void should_search_once_for_a_backlog_that_may_displace_nothing() {
    WorkerSnapshot busy = worker("w1", run("a.0.0.0", 2, WHOLE, 1, 300));
    List<PlacementRequest> backlog =
        IntStream.range(0, 500)
            .mapToObj(index -> RequestBuilder.task("j.0.0." + index, step(HALF)))
            .map(builder -> builder.rank(2).endWaitMillis(400).build())
            .toList();

    PlacementPlan plan =
        PlacementPlanner.plan(List.of(busy), Set.of(), RequestQueue.inOrder(backlog));

    assertThat(plan.searches()).isEqualTo(1);
  }

  /** On w1 the gang's member would be the only victim, but all four members would end. */
  @Test
  void should_not_stop_a_gang_that_is_dear_as_a_whole_for_the_room_of_one_member() {
    long wholeGang = 4 * 10_000;
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", run("gang.0.0", 2, WHOLE, wholeGang)),
            worker("w2", run("gang.0.0", 2, WHOLE, wholeGang)),
            worker("w3", run("gang.0.0", 2, WHOLE, wholeGang)),
            worker("w4", run("gang.0.0", 2, WHOLE, wholeGang)),
            worker("w5", run("a.0.0.0", 2, HALF, 15_000), run("b.0.0.0", 2, HALF, 15_000)));

    PlacementPlan plan = plan(fleet, urgent(ONE));

    assertThat(plan.preempted()).containsOnlyKeys("a.0.0.0", "b.0.0.0");
  }

  @Test
  void should_count_a_gang_once_and_use_the_room_that_it_frees_on_other_workers() {
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", run("gang.0.0", 2, WHOLE, 25_000)),
            worker("w2", run("gang.0.0", 2, WHOLE, 25_000)),
            worker("w3", run("a.0.0.0", 2, WHOLE, 20_000)),
            worker("w4", run("b.0.0.0", 2, WHOLE, 20_000)));

    PlacementPlan plan = plan(fleet, urgent(TWO));

    assertThat(plan.preempted()).containsOnlyKeys("gang.0.0");
    assertThat(plan.preempted().get("gang.0.0"))
        .extracting(Preemption::totalCost)
        .isEqualTo(25_000L);
  }

  @Test
  void should_leave_out_a_victim_whose_room_turns_out_not_to_be_needed() {
    StepSpecification halves = new StepBuilder(HALF).gang(3).build();
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", run("gang.0.0", 2, HALF, 30_000), run("a.0.0.0", 2, HALF, 1_000)),
            worker("w2", run("gang.0.0", 2, WHOLE, 30_000)),
            worker("w3", run("fixed.0.0", 0, WHOLE, 1)));

    PlacementPlan plan = plan(fleet, urgent(halves));

    assertThat(plan.preempted()).containsOnlyKeys("gang.0.0");
  }

  @Test
  void should_find_victims_on_a_single_rack_for_a_gang_that_prefers_one() {
    StepSpecification step = new StepBuilder(WHOLE).gang(2).singleRack().build();
    List<WorkerSnapshot> fleet =
        List.of(
            onRack("a1", "ra", run("a.0.0.0", 2, WHOLE, 10)),
            onRack("b1", "rb", run("b.0.0.0", 2, WHOLE, 1_000)),
            onRack("b2", "rb", run("c.0.0.0", 2, WHOLE, 1_000)));

    PlacementPlan plan = plan(fleet, urgent(step));

    assertThat(plan.preempted()).containsOnlyKeys("b.0.0.0", "c.0.0.0");
  }

  /** A customer's guarantee was not reclaimed, since another's small tasks lay on each worker. */
  @Test
  void should_move_a_small_run_within_a_guarantee_if_no_worker_can_be_had_whole() {
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", run("a.0.0.0", 2, REST, 100), guaranteed("small.0.0.0", 900)),
            worker("w2", run("b.0.0.0", 2, REST, 100), guaranteed("small.0.0.1", 300)),
            worker("w3", run("c.0.0.0", 2, REST, 100), guaranteed("small.0.0.2", 600)));

    PlacementPlan plan = plan(fleet, urgent(ONE).rank(UrgencyRanks.GUARANTEED));

    assertThat(plan.waiting()).containsEntry("urgent.0.0", WaitCause.PREEMPTING);
    assertThat(plan.preempted()).containsOnlyKeys("b.0.0.0", "small.0.0.1");
  }

  @Test
  void should_move_no_run_within_a_guarantee_where_a_stop_of_other_work_suffices() {
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", run("a.0.0.0", 2, REST, 1), guaranteed("small.0.0.0", 1)),
            worker("w2", run("b.0.0.0", 2, WHOLE, 100_000)));

    PlacementPlan plan = plan(fleet, urgent(ONE).rank(UrgencyRanks.GUARANTEED));

    assertThat(plan.preempted()).containsOnlyKeys("b.0.0.0");
  }

  @Test
  void should_move_no_run_within_a_guarantee_that_fits_nowhere_else() {
    Allocation onLabel =
        new Allocation(
            "small.0.0.0", UrgencyRanks.GUARANTEED, PIECE, false, 1, "c", 60_000, 0, true, "b");
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", run("a.0.0.0", 2, REST, 1), onLabel),
            worker(
                "w2",
                guaranteed("other.0.0.0", 1),
                run("large.0.0.0", UrgencyRanks.GUARANTEED, REST, 1)));

    PlacementPlan plan = plan(fleet, urgent(ONE).rank(UrgencyRanks.GUARANTEED));

    assertThat(plan.preempted()).isEmpty();
  }

  /** Tasks that last held all accelerators, and a guarantee was never reclaimed from them. */
  @Test
  void should_stop_a_run_without_an_end_only_for_what_a_customer_is_guaranteed() {
    List<WorkerSnapshot> fleet =
        List.of(worker("w1", run("lasts.0.0.0", UrgencyRanks.NOT_PREEMPTIBLE, WHOLE, 100)));

    assertThat(plan(fleet, urgent(ONE)).preempted()).isEmpty();
    assertThat(plan(fleet, urgent(ONE).rank(UrgencyRanks.GUARANTEED)).preempted())
        .containsOnlyKeys("lasts.0.0.0");
  }

  @Test
  void should_never_stop_a_run_without_an_end_that_is_within_a_guarantee_itself() {
    Allocation lasts =
        new Allocation(
            "lasts.0.0.0", UrgencyRanks.NOT_PREEMPTIBLE, WHOLE, false, 1, "c", 0, 0, true, "");

    PlacementPlan plan =
        plan(List.of(worker("w1", lasts)), urgent(ONE).rank(UrgencyRanks.GUARANTEED));

    assertThat(plan.preempted()).isEmpty();
  }

  private static Allocation guaranteed(String unitKey, long cost) {
    return run(unitKey, UrgencyRanks.GUARANTEED, PIECE, cost);
  }

  @Test
  void should_displace_another_run_rather_than_one_that_was_displaced_before() {
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", displaced("a.0.0.0", 2, 10_000)),
            worker("w2", run("b.0.0.0", 2, WHOLE, 20_000)));

    assertThat(plan(fleet, urgent(ONE)).preempted()).containsOnlyKeys("b.0.0.0");
  }

  @Test
  void should_displace_a_run_again_and_again_only_within_a_guarantee() {
    List<WorkerSnapshot> fleet = List.of(worker("w1", displaced("a.0.0.0", 3, 10)));

    assertThat(plan(fleet, urgent(ONE)).preempted()).isEmpty();
    assertThat(plan(fleet, urgent(ONE).rank(UrgencyRanks.GUARANTEED)).preempted()).hasSize(1);
  }

  @Test
  void should_displace_more_work_than_it_is_worth_only_within_a_guarantee() {
    List<WorkerSnapshot> fleet = List.of(worker("w1", run("a.0.0.0", 2, WHOLE, 90_000_000)));

    PlacementPlan plan = plan(fleet, urgent(ONE));

    assertThat(plan.preempted()).isEmpty();
    assertThat(plan.waiting()).containsEntry("urgent.0.0", WaitCause.PREEMPTION_NOT_WORTH_IT);
    assertThat(plan(fleet, urgent(ONE).rank(UrgencyRanks.GUARANTEED)).preempted()).hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(
      value = ServiceTier.class,
      names = {"LATE", "OVER_RATE", "HOPELESS"})
  void should_displace_nothing_for_a_unit_that_gains_little_unless_it_is_guaranteed(
      ServiceTier tier) {
    List<WorkerSnapshot> fleet = List.of(worker("w1", run("a.0.0.0", 2, WHOLE, 10)));

    assertThat(plan(fleet, urgent(ONE).tier(tier)).preempted()).isEmpty();
    assertThat(plan(fleet, urgent(ONE).tier(tier).rank(UrgencyRanks.GUARANTEED)).preempted())
        .hasSize(1);
  }

  @ParameterizedTest
  @EnumSource(
      value = ServiceTier.class,
      names = {"OVER_RATE", "HOPELESS"})
  void should_leave_room_to_others_if_it_uses_only_what_they_leave(ServiceTier tier) {
    WorkerSnapshot half = worker("w1", run("a.0.0.0", 2, HALF, 10));
    PlacementRequest later = RequestBuilder.task("later.0.0.0", step(HALF)).build();

    PlacementPlan plan =
        PlacementPlanner.plan(
            List.of(half),
            Set.of(),
            RequestQueue.inOrder(List.of(urgent(ONE).tier(tier).build(), later)));

    assertThat(plan.placed()).hasSize(1);
  }

  private static PlacementPlan plan(List<WorkerSnapshot> fleet, RequestBuilder request) {
    return PlacementPlanner.plan(fleet, Set.of(), RequestQueue.inOrder(List.of(request.build())));
  }

  private static RequestBuilder urgent(StepSpecification step) {
    return RequestBuilder.gang("urgent.0.0", step).rank(UrgencyRanks.URGENT);
  }

  private static StepSpecification step(Resources demand) {
    return new StepBuilder(demand).build();
  }

  private static WorkerSnapshot worker(String id, Allocation... allocations) {
    return new WorkerBuilder(id).runs(allocations).build();
  }

  private static WorkerSnapshot onRack(String id, String rack, Allocation... allocations) {
    return new WorkerBuilder(id).rack(rack).runs(allocations).build();
  }

  private static Allocation displaced(String unitKey, int displacements, long cost) {
    return new Allocation(unitKey, 2, WHOLE, false, cost, "customer", 60_000, displacements);
  }
}
