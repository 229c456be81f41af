package io.dragonflyturn.internal.policy;

import static io.dragonflyturn.internal.policy.WorkerBuilder.run;
import static io.dragonflyturn.internal.policy.WorkerBuilder.stopping;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.policy.PlacementPlan.PlacedUnit;
import io.dragonflyturn.internal.policy.PlacementPlan.WaitCause;
import io.dragonflyturn.internal.policy.WorkerSnapshot.Allocation;
import io.dragonflyturn.internal.workload.Resources;
import io.dragonflyturn.internal.workload.StepSpecification;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the placement of single tasks and gangs, and the preemption of less urgent runs. */
class PlacementPlannerTest {
  private static final Resources WHOLE_WORKER = WorkerBuilder.CAPACITY;
  private static final Resources SMALL = new Resources(2_800, 5_700, 1);

  @Test
  void should_keep_a_step_within_its_limit_on_a_worker_when_one_round_places_several_tasks() {
    StepSpecification step = new StepBuilder(SMALL).maximumPerWorker(1).build();
    List<PlacementRequest> tasks =
        List.of(task("j.0.0.0", step), task("j.0.0.1", step), task("j.0.0.2", step));

    PlacementPlan plan = plan(List.of(worker("w1", "r1"), worker("w2", "r1")), tasks);

    assertThat(plan.placed())
        .extracting(PlacedUnit::workers)
        .containsExactly(List.of("w1"), List.of("w2"));
    assertThat(plan.waiting()).containsEntry("j.0.0.2", WaitCause.INSUFFICIENT_RESOURCES);
  }

  @Test
  void should_place_a_gang_that_prefers_a_single_rack_on_one_rack() {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(2).singleRack().build();
    List<WorkerSnapshot> fleet =
        List.of(worker("a1", "ra"), worker("b1", "rb"), worker("b2", "rb"));

    PlacementPlan plan = plan(fleet, List.of(gang("j.0.0", step, 0)));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("j.0.0", List.of("b1", "b2")));
  }

  @Test
  void should_place_no_member_of_a_gang_that_does_not_fit_completely() {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(3).build();

    PlacementPlan plan =
        plan(List.of(worker("w1", "r1"), worker("w2", "r1")), List.of(gang("j.0.0", step, 0)));

    assertThat(plan.placed()).isEmpty();
    assertThat(plan.waiting()).containsEntry("j.0.0", WaitCause.INSUFFICIENT_RESOURCES);
  }

  @Test
  void should_preempt_less_urgent_runs_and_reserve_their_resources_for_the_urgent_unit() {
    StepSpecification urgent = new StepBuilder(WHOLE_WORKER).gang(1).build();
    StepSpecification later = new StepBuilder(SMALL).build();
    WorkerSnapshot busy = occupied("w1", run("old.0.0.0", 2, WHOLE_WORKER, 0));

    PlacementPlan plan =
        plan(List.of(busy), List.of(gang("urgent.0.0", urgent, 0), task("later.0.0.0", later)));

    assertThat(plan.placed()).isEmpty();
    assertThat(plan.preempted()).containsOnlyKeys("old.0.0.0");
    assertThat(plan.waiting())
        .containsEntry("urgent.0.0", WaitCause.PREEMPTING)
        .containsEntry("later.0.0.0", WaitCause.INSUFFICIENT_RESOURCES);
  }

  @Test
  void should_preempt_nothing_while_stopping_runs_release_enough_resources() {
    StepSpecification urgent = new StepBuilder(WHOLE_WORKER).gang(1).build();
    WorkerSnapshot stopping = occupied("w1", stopping("old.0.0.0", 2, WHOLE_WORKER));
    WorkerSnapshot busy = occupied("w2", run("other.0.0.0", 2, WHOLE_WORKER, 0));

    PlacementPlan plan = plan(List.of(stopping, busy), List.of(gang("urgent.0.0", urgent, 0)));

    assertThat(plan.preempted()).isEmpty();
    assertThat(plan.waiting()).containsEntry("urgent.0.0", WaitCause.PREEMPTING);
  }

  @Test
  void should_never_preempt_runs_of_the_same_urgency() {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(1).build();
    WorkerSnapshot busy = occupied("w1", run("old.0.0", 0, WHOLE_WORKER, 0));

    PlacementPlan plan = plan(List.of(busy), List.of(gang("j.0.0", step, 0)));

    assertThat(plan.preempted()).isEmpty();
  }

  @Test
  void should_use_only_workers_with_the_required_label() {
    StepSpecification step = new StepBuilder(SMALL).label("big").build();

    PlacementPlan plan = plan(List.of(worker("w1", "r1")), List.of(task("j.0.0.0", step)));

    assertThat(plan.waiting()).containsEntry("j.0.0.0", WaitCause.NO_ELIGIBLE_WORKER);
  }

  @Test
  void should_avoid_a_worker_that_failed_the_unit_while_another_is_eligible() {
    StepSpecification step = new StepBuilder(SMALL).build();
    PlacementRequest request = RequestBuilder.task("j.0.0.0", step).failedOn("w1").build();

    PlacementPlan plan = plan(List.of(worker("w1", "r1"), worker("w2", "r1")), List.of(request));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("j.0.0.0", List.of("w2")));
  }

  @Test
  void should_use_failed_workers_for_a_gang_that_could_never_run_on_the_others() {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(2).build();
    PlacementRequest request = RequestBuilder.gang("j.0.0", step).failedOn("w1", "w2").build();
    List<WorkerSnapshot> fleet =
        List.of(worker("w1", "r1"), worker("w2", "r1"), worker("w3", "r1"));

    PlacementPlan plan = plan(fleet, List.of(request));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("j.0.0", List.of("w3", "w1")));
  }

  @Test
  void should_use_a_suspect_worker_only_if_no_other_is_free() {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(1).build();
    List<WorkerSnapshot> fleet =
        List.of(worker("w1", WorkerCondition.SUSPECT), worker("w2", WorkerCondition.UNKNOWN));

    PlacementPlan plan = plan(fleet, List.of(gang("a.0.0", step, 0), gang("b.0.0", step, 0)));

    assertThat(plan.placed())
        .containsExactly(
            new PlacedUnit("a.0.0", List.of("w2")), new PlacedUnit("b.0.0", List.of("w1")));
  }

  @Test
  void should_make_the_last_attempt_on_proven_workers() {
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", WorkerCondition.SUSPECT),
            worker("w2", WorkerCondition.UNKNOWN),
            worker("w3", WorkerCondition.PROVEN));

    PlacementPlan plan = plan(fleet, List.of(lastAttempt("a.0.0", 1), lastAttempt("b.0.0", 1)));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("a.0.0", List.of("w3")));
  }

  /** A job waited for the one proven worker, which small tasks kept busy, beside idle ones. */
  @Test
  void should_make_the_last_attempt_on_an_idle_worker_once_it_has_waited_for_proven_ones() {
    WorkerSnapshot busy =
        new WorkerBuilder("w1")
            .condition(WorkerCondition.PROVEN)
            .runs(WorkerBuilder.run("small.0.0.0", 1, SMALL, 1_000, 1_000))
            .build();
    List<WorkerSnapshot> fleet =
        List.of(
            busy,
            worker("w2", WorkerCondition.SUSPECT),
            worker("w3", WorkerCondition.UNKNOWN),
            worker("w4", WorkerCondition.UNKNOWN));

    PlacementPlan early = plan(fleet, List.of(lastAttemptAfter(1_999)));
    PlacementPlan late = plan(fleet, List.of(lastAttemptAfter(2_000)));

    assertThat(early.waiting()).containsEntry("a.0.0", WaitCause.PROVEN_WORKERS);
    assertThat(late.placed()).containsExactly(new PlacedUnit("a.0.0", List.of("w3")));
  }

  /** Small tasks took the room on the proven worker again and again. */
  @Test
  void should_keep_the_room_that_proven_workers_free_for_a_last_attempt() {
    WorkerSnapshot busy =
        new WorkerBuilder("w1")
            .condition(WorkerCondition.PROVEN)
            .runs(WorkerBuilder.run("small.0.0.0", 1, SMALL, 1_000, 1_000))
            .build();
    StepSpecification small = new StepBuilder(SMALL).build();

    PlacementPlan plan =
        plan(
            List.of(busy, worker("w2", WorkerCondition.UNKNOWN)),
            List.of(lastAttemptAfter(0), task("next.0.0.0", small)));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("next.0.0.0", List.of("w2")));
  }

  /** A task that lasts was not started again beside the idle worker on which it had failed. */
  @Test
  void should_use_the_worker_that_failed_a_unit_once_it_has_waited_for_the_others() {
    WorkerSnapshot busy =
        new WorkerBuilder("w1")
            .runs(
                WorkerBuilder.run("lasts.0.0.0", UrgencyRanks.NOT_PREEMPTIBLE, WHOLE_WORKER, 1_000))
            .build();
    StepSpecification step = new StepBuilder(WHOLE_WORKER).build();
    RequestBuilder request = RequestBuilder.task("j.0.0.0", step).failedOn("w2");
    List<WorkerSnapshot> fleet = List.of(busy, worker("w2", WorkerCondition.UNKNOWN));

    PlacementPlan early = plan(fleet, List.of(request.waitedMillis(5_999).build()));
    PlacementPlan late = plan(fleet, List.of(request.waitedMillis(6_000).build()));

    assertThat(early.placed()).isEmpty();
    assertThat(late.placed()).containsExactly(new PlacedUnit("j.0.0.0", List.of("w2")));
  }

  /** Workers were left to urgent jobs though the others had room, but in pieces too small. */
  @Test
  void should_use_reserved_workers_while_the_others_are_hardly_used() {
    List<WorkerSnapshot> hardlyUsed =
        List.of(
            new WorkerBuilder("w1").runs(WorkerBuilder.run("s.0.0.0", 1, SMALL, 1_000)).build(),
            worker("w2", "r1"));
    List<WorkerSnapshot> used =
        List.of(
            new WorkerBuilder("w1")
                .runs(WorkerBuilder.run("s.0.0.0", 1, WHOLE_WORKER, 1_000))
                .build(),
            worker("w2", "r1"));
    StepSpecification step = new StepBuilder(WHOLE_WORKER).build();
    PlacementRequest request = RequestBuilder.task("j.0.0.0", step).waitedMillis(2_000).build();

    assertThat(planBesideReserved(hardlyUsed, request).placed())
        .containsExactly(new PlacedUnit("j.0.0.0", List.of("w2")));
    assertThat(planBesideReserved(used, request).placed()).isEmpty();
  }

  private static PlacementPlan planBesideReserved(
      List<WorkerSnapshot> fleet, PlacementRequest request) {
    return PlacementPlanner.plan(fleet, Set.of("w2"), RequestQueue.inOrder(List.of(request)));
  }

  private static PlacementRequest lastAttemptAfter(long waitedMillis) {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(1).build();
    return RequestBuilder.gang("a.0.0", step).lastAttempt().waitedMillis(waitedMillis).build();
  }

  /** Work within a guarantee, and work without an end, split each worker of the fleet. */
  @Test
  void should_place_what_holds_its_room_on_workers_that_are_split_already() {
    List<WorkerSnapshot> fleet =
        List.of(
            worker("w1", "r1"),
            new WorkerBuilder("w2")
                .runs(WorkerBuilder.run("a.0.0.0", UrgencyRanks.GUARANTEED, SMALL, 1))
                .build());
    StepSpecification step = new StepBuilder(SMALL).build();
    StepSpecification lasting = new StepBuilder(SMALL).endless().build();
    PlacementRequest guaranteed =
        RequestBuilder.task("g.0.0.0", step).rank(UrgencyRanks.GUARANTEED).build();

    assertThat(plan(fleet, List.of(guaranteed)).placed())
        .containsExactly(new PlacedUnit("g.0.0.0", List.of("w2")));
    assertThat(plan(fleet, List.of(task("l.0.0.0", lasting))).placed())
        .containsExactly(new PlacedUnit("l.0.0.0", List.of("w2")));
  }

  @Test
  void should_make_the_last_attempt_elsewhere_if_proven_workers_could_never_run_it() {
    List<WorkerSnapshot> fleet =
        List.of(worker("w1", WorkerCondition.PROVEN), worker("w2", WorkerCondition.UNKNOWN));

    PlacementPlan plan = plan(fleet, List.of(lastAttempt("a.0.0", 2)));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("a.0.0", List.of("w1", "w2")));
  }

  @Test
  void should_preempt_the_run_with_the_lowest_preemption_cost() {
    StepSpecification urgent = new StepBuilder(WHOLE_WORKER).gang(1).build();
    WorkerSnapshot old = occupied("w1", run("old.0.0.0", 2, WHOLE_WORKER, 90_000));
    WorkerSnapshot young = occupied("w2", run("young.0.0.0", 2, WHOLE_WORKER, 10));

    PlacementPlan plan = plan(List.of(old, young), List.of(gang("urgent.0.0", urgent, 0)));

    assertThat(plan.preempted()).containsOnlyKeys("young.0.0.0");
  }

  @Test
  void should_reserve_resources_without_preempting_during_the_preemption_delay() {
    StepSpecification large = new StepBuilder(WHOLE_WORKER).gang(1).build();
    StepSpecification small = new StepBuilder(SMALL).build();
    Resources half = new Resources(16_000, 30_000, 4);
    WorkerSnapshot busy = occupied("w1", run("old.0.0.0", 2, half, 10));
    PlacementRequest waitingRequest =
        RequestBuilder.gang("large.0.0", large)
            .waitedMillis(500)
            .preemptionDelayMillis(2_000)
            .build();

    PlacementPlan plan = plan(List.of(busy), List.of(waitingRequest, task("small.0.0.0", small)));

    assertThat(plan.preempted()).isEmpty();
    assertThat(plan.placed()).isEmpty();
  }

  @Test
  void should_not_wait_for_a_rack_that_can_never_fit_the_gang() {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(2).singleRack().build();

    PlacementPlan plan =
        plan(List.of(worker("a1", "ra"), worker("b1", "rb")), List.of(gang("j.0.0", step, 0)));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("j.0.0", List.of("a1", "b1")));
  }

  @Test
  void should_search_a_full_fleet_once_for_many_identical_tasks() {
    StepSpecification step = new StepBuilder(SMALL).build();
    WorkerSnapshot full = occupied("w1", run("old.0.0.0", 0, WHOLE_WORKER, 0));
    List<PlacementRequest> tasks =
        IntStream.range(0, 500).mapToObj(index -> task("j.0.0." + index, step)).toList();

    PlacementPlan plan = plan(List.of(full), tasks);

    assertThat(plan.searches()).isEqualTo(1);
    assertThat(plan.waiting()).hasSize(500).containsValue(WaitCause.INSUFFICIENT_RESOURCES);
  }

  @Test
  void should_still_place_a_smaller_task_after_a_larger_task_did_not_fit() {
    StepSpecification large = new StepBuilder(WHOLE_WORKER).build();
    StepSpecification small = new StepBuilder(SMALL).build();
    WorkerSnapshot busy = occupied("w1", run("old.0.0.0", 0, SMALL, 0));

    PlacementPlan plan =
        plan(List.of(busy), List.of(task("large.0.0.0", large), task("small.0.0.0", small)));

    assertThat(plan.placed()).containsExactly(new PlacedUnit("small.0.0.0", List.of("w1")));
    assertThat(plan.waiting()).containsOnlyKeys("large.0.0.0");
  }

  @Test
  void should_place_a_task_of_another_step_after_a_step_reached_its_limit_on_each_worker() {
    StepSpecification limited = new StepBuilder(SMALL).maximumPerWorker(1).build();
    StepSpecification free = new StepBuilder(SMALL).build();

    PlacementPlan plan =
        plan(
            List.of(worker("w1", "r1")),
            List.of(
                task("a.0.0.0", limited),
                task("a.0.0.1", limited),
                task("b.0.0.0", limited),
                task("c.0.0.0", free)));

    assertThat(plan.placed())
        .extracting(PlacedUnit::unitKey)
        .containsExactly("a.0.0.0", "b.0.0.0", "c.0.0.0");
  }

  @Test
  void should_preempt_only_the_runs_whose_resources_are_needed() {
    StepSpecification urgent = new StepBuilder(new Resources(1_000, 1_000, 4)).gang(1).build();
    Resources noAccelerators = new Resources(1_000, 1_000, 0);
    Resources fourAccelerators = new Resources(1_000, 1_000, 4);
    WorkerSnapshot busy =
        occupied(
            "w1",
            run("idle.0.0.0", 2, noAccelerators, 1),
            run("small.0.0.0", 2, fourAccelerators, 5),
            run("other.0.0.0", 2, fourAccelerators, 9));

    PlacementPlan plan = plan(List.of(busy), List.of(gang("urgent.0.0", urgent, 0)));

    assertThat(plan.preempted()).containsOnlyKeys("small.0.0.0");
  }

  @Test
  void should_preempt_on_the_worker_with_the_lowest_preemption_cost() {
    StepSpecification urgent = new StepBuilder(new Resources(1_000, 1_000, 4)).gang(1).build();
    Resources fourAccelerators = new Resources(1_000, 1_000, 4);
    WorkerSnapshot one =
        occupied(
            "w1",
            run("cheap.0.0.0", 2, fourAccelerators, 1),
            run("dear.0.0.0", 2, fourAccelerators, 90));
    WorkerSnapshot two =
        occupied(
            "w2",
            run("even.0.0.0", 2, fourAccelerators, 20),
            run("even.0.0.1", 2, fourAccelerators, 20));

    PlacementPlan plan = plan(List.of(one, two), List.of(gang("urgent.0.0", urgent, 0)));

    assertThat(plan.preempted()).containsOnlyKeys("cheap.0.0.0");
  }

  private static PlacementPlan plan(List<WorkerSnapshot> fleet, List<PlacementRequest> requests) {
    return PlacementPlanner.plan(fleet, Set.of(), RequestQueue.inOrder(requests));
  }

  private static WorkerSnapshot worker(String id, String rack) {
    return new WorkerBuilder(id).rack(rack).build();
  }

  private static WorkerSnapshot worker(String id, WorkerCondition condition) {
    return new WorkerBuilder(id).condition(condition).build();
  }

  private static WorkerSnapshot occupied(String id, Allocation... allocations) {
    return new WorkerBuilder(id).runs(allocations).build();
  }

  private static PlacementRequest task(String key, StepSpecification step) {
    return RequestBuilder.task(key, step).build();
  }

  private static PlacementRequest lastAttempt(String key, int tasks) {
    StepSpecification step = new StepBuilder(WHOLE_WORKER).gang(tasks).build();
    return RequestBuilder.gang(key, step).rank(0).failedOn("w9").lastAttempt().build();
  }

  private static PlacementRequest gang(String key, StepSpecification step, long waitedMillis) {
    return RequestBuilder.gang(key, step).rank(0).waitedMillis(waitedMillis).build();
  }
}
