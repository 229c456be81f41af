package io.dragonflyturn.internal.placement;

import static io.dragonflyturn.internal.placement.Fleets.NOW;
import static io.dragonflyturn.internal.placement.Fleets.configuration;
import static io.dragonflyturn.internal.placement.Fleets.customer;
import static io.dragonflyturn.internal.placement.Fleets.domain;
import static io.dragonflyturn.internal.placement.Fleets.held;
import static io.dragonflyturn.internal.placement.Fleets.inService;
import static io.dragonflyturn.internal.placement.Fleets.job;
import static io.dragonflyturn.internal.placement.Fleets.one;
import static io.dragonflyturn.internal.placement.Fleets.queued;
import static io.dragonflyturn.internal.placement.Fleets.unstoppable;
import static io.dragonflyturn.internal.placement.Fleets.urgent;
import static io.dragonflyturn.internal.placement.Fleets.view;
import static io.dragonflyturn.internal.placement.Fleets.whole;
import static io.dragonflyturn.internal.placement.Fleets.withRules;
import static io.dragonflyturn.internal.placement.Fleets.workers;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.placement.PlacementDecision.QuarantineWorker;
import io.dragonflyturn.internal.placement.PlacementDecision.RefuseJob;
import io.dragonflyturn.internal.placement.PlacementDecision.StartGang;
import io.dragonflyturn.internal.placement.PlacementDecision.StopGang;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.PlacementRule;
import io.dragonflyturn.model.RuleEffect;
import io.dragonflyturn.model.ServiceState;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Worker;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class PlacementPolicyTest {
  private static final List<Worker> TWO_WORKERS = workers(1, 1, 2);
  private static final Configuration PLAIN =
      configuration(List.of(customer("gold"), customer("silver")), inService("a"));
  private static final Configuration THREE_DOMAINS =
      configuration(
          List.of(customer("gold", one(8)), customer("silver")), inService("a", "b", "c"));

  private final PlacementPolicy policy = new PlacementPolicy();

  @Test
  void should_start_a_whole_gang_on_adjacent_accelerators() {
    Plan plan =
        policy.plan(
            view(PLAIN, TWO_WORKERS, queued(job("j", "gold", new Shape(2, 8, Span.RACK)))), NOW);

    assertStartedAt(plan, whole(0, "a0-0"), whole(1, "a0-1"));
  }

  @Test
  void should_use_the_smallest_block_that_fits() {
    Plan plan =
        policy.plan(
            view(
                PLAIN,
                TWO_WORKERS,
                queued(job("first", "gold", one(4))),
                queued(job("second", "gold", one(4)))),
            NOW);

    assertThat(plan.decisions())
        .extracting(decision -> ((StartGang) decision).placements().get(0).worker())
        .containsExactly("a0-0", "a0-0");
  }

  @Test
  void should_keep_a_job_that_may_fit_when_a_silent_failure_domain_returns() {
    Configuration two = configuration(List.of(customer("gold")), inService("a", "b"));
    Plan plan =
        policy.plan(
            view(two, TWO_WORKERS, queued(job("j", "gold", new Shape(3, 8, Span.REGION)))), NOW);

    assertThat(plan.decisions()).isEmpty();
  }

  @Test
  void should_keep_a_job_that_has_held_places_before() {
    JobView queued = queued(job("j", "gold", new Shape(3, 8, Span.REGION)));
    JobView again =
        new JobView(
            queued.specification(),
            queued.phase(),
            1,
            List.of(),
            queued.submittedAt(),
            null,
            0,
            0,
            0,
            List.of());

    assertThat(policy.plan(view(PLAIN, TWO_WORKERS, again), NOW).decisions()).isEmpty();
  }

  @Test
  void should_refuse_a_job_that_fits_nowhere_and_say_how_many_members_fit() {
    Plan plan =
        policy.plan(
            view(PLAIN, TWO_WORKERS, queued(job("j", "gold", new Shape(5, 8, Span.RACK)))), NOW);

    assertRefused(
        plan,
        ResultCode.IMPOSSIBLE_SHAPE,
        "at most 2 members of 8 accelerators within one rack would fit");
  }

  @Test
  void should_keep_a_job_that_fits_with_workers_that_were_listed_lately() {
    policy.plan(view(PLAIN, TWO_WORKERS), NOW);

    Plan plan = policy.plan(withoutOneWorker(), NOW.plus(Duration.ofHours(1)));

    assertThat(plan.decisions()).isEmpty();
  }

  @Test
  void should_end_a_job_that_fits_only_with_workers_that_were_listed_long_ago() {
    policy.plan(view(PLAIN, TWO_WORKERS), NOW);
    policy.plan(withoutOneWorker(), NOW);

    Plan plan = policy.plan(withoutOneWorker(), NOW.plus(Duration.ofHours(25)));

    assertRefused(plan, ResultCode.IMPOSSIBLE_SHAPE, "at most 1 members");
  }

  private static FleetView withoutOneWorker() {
    Shape both = new Shape(2, 8, Span.RACK);
    return view(PLAIN, TWO_WORKERS.subList(0, 1), queued(job("j", "gold", both)));
  }

  @Test
  void should_refuse_a_block_that_fits_nowhere_and_say_which_fits() {
    Plan plan = policy.plan(view(PLAIN, TWO_WORKERS, queued(job("j", "gold", one(12)))), NOW);

    assertRefused(
        plan,
        ResultCode.IMPOSSIBLE_SHAPE,
        "at most 1 members of 8 accelerators within one worker would fit");
  }

  @Test
  void should_say_what_fits_on_the_workers_that_rules_allow() {
    Configuration ruled = withRules(PLAIN, mustNot("name=a0-0"));
    Plan plan =
        policy.plan(
            view(ruled, TWO_WORKERS, queued(job("j", "gold", new Shape(2, 8, Span.RACK)))), NOW);

    assertRefused(
        plan,
        ResultCode.IMPOSSIBLE_SHAPE,
        "at most 1 members of 8 accelerators within one rack would fit on the workers that the"
            + " placement rules allow");
  }

  @Test
  void should_say_that_rules_allow_no_worker() {
    Configuration ruled = withRules(PLAIN, mustNot(""));
    Plan plan = policy.plan(view(ruled, TWO_WORKERS, queued(job("j", "gold", one(2)))), NOW);

    assertRefused(plan, ResultCode.IMPOSSIBLE_SHAPE, "the placement rules allow no worker");
  }

  @Test
  void should_stop_a_borrower_for_a_guarantee() {
    Configuration guaranteed =
        configuration(List.of(customer("gold", one(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(
                guaranteed,
                workers(2, 1, 1),
                held(job("borrower", "silver", one(8)), 100, whole(0, "a0-0")),
                held(job("other", "silver", one(8)), 9_000, whole(0, "b0-0")),
                queued(job("j", "gold", one(8)))),
            NOW);

    assertThat(plan.decisions()).singleElement().isInstanceOf(StopGang.class);
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_end_unstoppable_work_that_never_fits_beside_the_guarantees() {
    Configuration guaranteed =
        configuration(List.of(customer("gold", one(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(guaranteed, workers(2, 1, 1), queued(unstoppable("j", "silver", one(2)))), NOW);

    assertRefused(plan, ResultCode.BLOCKED_BY_GUARANTEES, "no work that cannot be stopped fits");
  }

  @Test
  void should_say_how_much_unstoppable_work_fits_beside_the_guarantees() {
    Plan plan =
        policy.plan(
            view(
                THREE_DOMAINS,
                workers(3, 1, 1),
                queued(unstoppable("j", "silver", new Shape(2, 8, Span.REGION)))),
            NOW);

    assertRefused(
        plan,
        ResultCode.BLOCKED_BY_GUARANTEES,
        "up to 1 members of 8 accelerators within one region");
  }

  @Test
  void should_keep_unstoppable_work_that_fits_later_and_name_the_guarantees() {
    Plan plan =
        policy.plan(
            view(
                THREE_DOMAINS,
                workers(3, 1, 1),
                held(unstoppable("earlier", "silver", one(8)), 100, whole(0, "a0-0")),
                queued(unstoppable("j", "silver", one(8)))),
            NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons().get("j"))
        .isEqualTo(
            new WaitReason(
                "the free places for 1 members of 8 accelerators within one worker are needed for"
                    + " guarantees, and work that cannot be stopped may not hold those",
                "the end of other work that cannot be stopped, or the return of workers that are"
                    + " out of service"));
  }

  @Test
  void should_keep_unstoppable_work_while_a_failure_domain_is_out() {
    Configuration out =
        configuration(
            List.of(customer("gold", one(8)), customer("silver")),
            List.of(
                domain("a", ServiceState.IN_SERVICE),
                domain("b", ServiceState.IN_SERVICE),
                domain("c", ServiceState.TAKEN_OUT)));

    Plan plan =
        policy.plan(view(out, workers(3, 1, 1), queued(unstoppable("j", "silver", one(8)))), NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_keep_unstoppable_work_while_a_failure_domain_is_silent() {
    Plan plan =
        policy.plan(
            view(THREE_DOMAINS, workers(2, 1, 1), queued(unstoppable("j", "silver", one(8)))), NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_keep_unstoppable_work_while_too_few_workers_are_listed_for_the_guarantees() {
    Configuration guaranteed =
        configuration(
            List.of(customer("gold", one(8), one(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(guaranteed, workers(2, 1, 1), queued(unstoppable("j", "silver", one(8)))), NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_start_unstoppable_work_that_its_own_guarantee_covers() {
    Plan plan =
        policy.plan(
            view(THREE_DOMAINS, workers(3, 1, 1), queued(unstoppable("j", "gold", one(8)))), NOW);

    assertThat(plan.decisions()).singleElement().isInstanceOf(StartGang.class);
  }

  @Test
  void should_spread_unstoppable_work_where_guarantees_hold_only_so() {
    Configuration guaranteed =
        configuration(List.of(customer("gold", one(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(
                guaranteed,
                workers(2, 1, 2),
                queued(unstoppable("j", "silver", new Shape(2, 8, Span.REGION)))),
            NOW);

    assertStartedAt(plan, whole(0, "a0-1"), whole(1, "b0-1"));
  }

  @Test
  void should_not_promise_unstoppable_work_a_start_after_long_waiting() {
    Plan plan =
        policy.plan(
            view(
                PLAIN,
                TWO_WORKERS,
                held(job("first", "silver", one(8)), 900, whole(0, "a0-0")),
                held(job("second", "silver", one(8)), 900, whole(0, "a0-1")),
                queued(unstoppable("j", "gold", one(8)))),
            NOW);

    assertThat(plan.waitReasons().get("j"))
        .extracting(WaitReason::startCondition)
        .isEqualTo("the end of running work");
  }

  @Test
  void should_stop_the_work_with_the_least_loss_for_urgent_work() {
    Plan plan =
        policy.plan(
            view(
                PLAIN,
                TWO_WORKERS,
                held(job("dear", "silver", one(8)), 900, whole(0, "a0-0")),
                held(job("cheap", "silver", one(4)), 900, whole(0, "a0-1")),
                queued(urgent("j", "gold", one(8)))),
            NOW);

    assertThat(plan.decisions())
        .singleElement()
        .isInstanceOfSatisfying(
            StopGang.class, stop -> assertThat(stop.jobId()).isEqualTo("cheap"));
  }

  @Test
  void should_not_start_in_a_domain_that_is_out() {
    Configuration out =
        configuration(List.of(customer("gold")), List.of(domain("a", ServiceState.TAKEN_OUT)));

    Plan plan = policy.plan(view(out, TWO_WORKERS, queued(job("j", "gold", one(1)))), NOW);

    assertThat(plan.decisions()).isEmpty();
  }

  @Test
  void should_quarantine_a_worker_on_which_different_jobs_failed() {
    WorkerView failing =
        new WorkerView(
            TWO_WORKERS.get(0),
            false,
            null,
            List.of(
                new TaskFailure("x", NOW.minusSeconds(5)),
                new TaskFailure("y", NOW.minusSeconds(4))),
            null);

    Plan plan = policy.plan(new FleetView(PLAIN, List.of(failing), List.of()), NOW);

    assertThat(plan.decisions()).singleElement().isInstanceOf(QuarantineWorker.class);
  }

  private static PlacementRule mustNot(String instances) {
    return new PlacementRule("keep-off", RuleEffect.MUST_NOT, "", "", "", instances);
  }

  private static void assertStartedAt(Plan plan, MemberPlacement... places) {
    assertThat(plan.decisions())
        .singleElement()
        .isInstanceOfSatisfying(
            StartGang.class, start -> assertThat(start.placements()).containsExactly(places));
  }

  private static void assertRefused(Plan plan, ResultCode code, String message) {
    assertThat(plan.decisions())
        .singleElement()
        .isInstanceOfSatisfying(
            RefuseJob.class,
            refuse -> {
              assertThat(refuse.code()).isEqualTo(code);
              assertThat(refuse.reason()).contains(message);
            });
  }
}
