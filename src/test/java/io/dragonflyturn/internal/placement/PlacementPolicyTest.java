package io.dragonflyturn.internal.placement;

import static io.dragonflyturn.internal.placement.PlacementFixture.NOW;
import static io.dragonflyturn.internal.placement.PlacementFixture.allocated;
import static io.dragonflyturn.internal.placement.PlacementFixture.configuration;
import static io.dragonflyturn.internal.placement.PlacementFixture.customer;
import static io.dragonflyturn.internal.placement.PlacementFixture.domain;
import static io.dragonflyturn.internal.placement.PlacementFixture.inService;
import static io.dragonflyturn.internal.placement.PlacementFixture.job;
import static io.dragonflyturn.internal.placement.PlacementFixture.nonStoppable;
import static io.dragonflyturn.internal.placement.PlacementFixture.queued;
import static io.dragonflyturn.internal.placement.PlacementFixture.singleMember;
import static io.dragonflyturn.internal.placement.PlacementFixture.urgent;
import static io.dragonflyturn.internal.placement.PlacementFixture.view;
import static io.dragonflyturn.internal.placement.PlacementFixture.wholeWorker;
import static io.dragonflyturn.internal.placement.PlacementFixture.withRules;
import static io.dragonflyturn.internal.placement.PlacementFixture.workers;
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
  private static final Configuration NO_GUARANTEES =
      configuration(List.of(customer("gold"), customer("silver")), inService("a"));
  private static final Configuration THREE_DOMAINS =
      configuration(
          List.of(customer("gold", singleMember(8)), customer("silver")), inService("a", "b", "c"));

  private final PlacementPolicy policy = new PlacementPolicy();

  @Test
  void should_start_a_whole_gang_on_adjacent_accelerators() {
    Plan plan =
        policy.plan(
            view(NO_GUARANTEES, TWO_WORKERS, queued(job("j", "gold", new Shape(2, 8, Span.RACK)))),
            NOW);

    assertStartedAt(plan, wholeWorker(0, "a0-0"), wholeWorker(1, "a0-1"));
  }

  @Test
  void should_use_the_smallest_free_region_that_fits() {
    Plan plan =
        policy.plan(
            view(
                NO_GUARANTEES,
                TWO_WORKERS,
                queued(job("first", "gold", singleMember(4))),
                queued(job("second", "gold", singleMember(4)))),
            NOW);

    assertThat(plan.decisions())
        .extracting(decision -> ((StartGang) decision).placements().get(0).worker())
        .containsExactly("a0-0", "a0-0");
  }

  @Test
  void should_not_refuse_a_job_that_may_fit_when_a_missing_failure_domain_returns() {
    Configuration twoDomains = configuration(List.of(customer("gold")), inService("a", "b"));
    Plan plan =
        policy.plan(
            view(twoDomains, TWO_WORKERS, queued(job("j", "gold", new Shape(3, 8, Span.REGION)))),
            NOW);

    assertThat(plan.decisions()).isEmpty();
  }

  @Test
  void should_not_refuse_a_job_that_was_placed_before() {
    JobView queued = queued(job("j", "gold", new Shape(3, 8, Span.REGION)));
    JobView requeued =
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

    assertThat(policy.plan(view(NO_GUARANTEES, TWO_WORKERS, requeued), NOW).decisions()).isEmpty();
  }

  @Test
  void should_refuse_a_job_that_fits_nowhere_and_report_how_many_members_fit() {
    Plan plan =
        policy.plan(
            view(NO_GUARANTEES, TWO_WORKERS, queued(job("j", "gold", new Shape(5, 8, Span.RACK)))),
            NOW);

    assertRefused(
        plan,
        ResultCode.IMPOSSIBLE_SHAPE,
        "at most 2 members of 8 accelerators within one rack would fit");
  }

  @Test
  void should_not_refuse_a_job_that_fits_with_recently_listed_workers() {
    policy.plan(view(NO_GUARANTEES, TWO_WORKERS), NOW);

    Plan plan = policy.plan(viewWithoutOneWorker(), NOW.plus(Duration.ofHours(1)));

    assertThat(plan.decisions()).isEmpty();
  }

  @Test
  void should_refuse_a_job_that_fits_only_with_workers_listed_long_ago() {
    policy.plan(view(NO_GUARANTEES, TWO_WORKERS), NOW);
    policy.plan(viewWithoutOneWorker(), NOW);

    Plan plan = policy.plan(viewWithoutOneWorker(), NOW.plus(Duration.ofHours(25)));

    assertRefused(plan, ResultCode.IMPOSSIBLE_SHAPE, "at most 1 members");
  }

  private static FleetView viewWithoutOneWorker() {
    Shape bothWorkers = new Shape(2, 8, Span.RACK);
    return view(NO_GUARANTEES, TWO_WORKERS.subList(0, 1), queued(job("j", "gold", bothWorkers)));
  }

  @Test
  void should_refuse_a_member_that_fits_nowhere_and_report_the_largest_that_fits() {
    Plan plan =
        policy.plan(
            view(NO_GUARANTEES, TWO_WORKERS, queued(job("j", "gold", singleMember(12)))), NOW);

    assertRefused(
        plan,
        ResultCode.IMPOSSIBLE_SHAPE,
        "at most 1 members of 8 accelerators within one worker would fit");
  }

  @Test
  void should_report_what_fits_on_the_workers_that_rules_allow() {
    Configuration withRule = withRules(NO_GUARANTEES, mustNot("name=a0-0"));
    Plan plan =
        policy.plan(
            view(withRule, TWO_WORKERS, queued(job("j", "gold", new Shape(2, 8, Span.RACK)))), NOW);

    assertRefused(
        plan,
        ResultCode.IMPOSSIBLE_SHAPE,
        "at most 1 members of 8 accelerators within one rack would fit on the workers that the"
            + " placement rules allow");
  }

  @Test
  void should_report_that_rules_allow_no_worker() {
    Configuration withRule = withRules(NO_GUARANTEES, mustNot(""));
    Plan plan =
        policy.plan(view(withRule, TWO_WORKERS, queued(job("j", "gold", singleMember(2)))), NOW);

    assertRefused(plan, ResultCode.IMPOSSIBLE_SHAPE, "the placement rules allow no worker");
  }

  @Test
  void should_stop_a_borrower_for_a_guarantee() {
    Configuration withGuarantee =
        configuration(
            List.of(customer("gold", singleMember(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(
                withGuarantee,
                workers(2, 1, 1),
                allocated(job("borrower", "silver", singleMember(8)), 100, wholeWorker(0, "a0-0")),
                allocated(job("other", "silver", singleMember(8)), 9_000, wholeWorker(0, "b0-0")),
                queued(job("j", "gold", singleMember(8)))),
            NOW);

    assertThat(plan.decisions()).singleElement().isInstanceOf(StopGang.class);
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_refuse_a_non_stoppable_job_that_never_fits_beside_the_guarantees() {
    Configuration withGuarantee =
        configuration(
            List.of(customer("gold", singleMember(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(
                withGuarantee,
                workers(2, 1, 1),
                queued(nonStoppable("j", "silver", singleMember(2)))),
            NOW);

    assertRefused(plan, ResultCode.BLOCKED_BY_GUARANTEES, "no job that cannot be stopped fits");
  }

  @Test
  void should_report_the_largest_non_stoppable_shape_that_fits_beside_the_guarantees() {
    Plan plan =
        policy.plan(
            view(
                THREE_DOMAINS,
                workers(3, 1, 1),
                queued(nonStoppable("j", "silver", new Shape(2, 8, Span.REGION)))),
            NOW);

    assertRefused(
        plan,
        ResultCode.BLOCKED_BY_GUARANTEES,
        "up to 1 members of 8 accelerators within one region");
  }

  @Test
  void should_queue_a_non_stoppable_job_that_fits_later_and_report_the_guarantees() {
    Plan plan =
        policy.plan(
            view(
                THREE_DOMAINS,
                workers(3, 1, 1),
                allocated(
                    nonStoppable("earlier", "silver", singleMember(8)),
                    100,
                    wholeWorker(0, "a0-0")),
                queued(nonStoppable("j", "silver", singleMember(8)))),
            NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons().get("j"))
        .isEqualTo(
            new WaitReason(
                "the free accelerators for 1 members of 8 accelerators within one worker are needed"
                    + " for guarantees, and a job that cannot be stopped may not use them",
                "the end of other jobs that cannot be stopped, or the return of workers that are"
                    + " out of service"));
  }

  @Test
  void should_queue_a_non_stoppable_job_while_a_failure_domain_is_out() {
    Configuration domainOut =
        configuration(
            List.of(customer("gold", singleMember(8)), customer("silver")),
            List.of(
                domain("a", ServiceState.IN_SERVICE),
                domain("b", ServiceState.IN_SERVICE),
                domain("c", ServiceState.TAKEN_OUT)));

    Plan plan =
        policy.plan(
            view(domainOut, workers(3, 1, 1), queued(nonStoppable("j", "silver", singleMember(8)))),
            NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_queue_a_non_stoppable_job_while_a_failure_domain_is_missing() {
    Plan plan =
        policy.plan(
            view(
                THREE_DOMAINS,
                workers(2, 1, 1),
                queued(nonStoppable("j", "silver", singleMember(8)))),
            NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_queue_a_non_stoppable_job_while_too_few_workers_are_listed_for_the_guarantees() {
    Configuration withGuarantee =
        configuration(
            List.of(customer("gold", singleMember(8), singleMember(8)), customer("silver")),
            inService("a", "b"));

    Plan plan =
        policy.plan(
            view(
                withGuarantee,
                workers(2, 1, 1),
                queued(nonStoppable("j", "silver", singleMember(8)))),
            NOW);

    assertThat(plan.decisions()).isEmpty();
    assertThat(plan.waitReasons()).containsKey("j");
  }

  @Test
  void should_start_a_non_stoppable_job_that_a_guarantee_covers() {
    Plan plan =
        policy.plan(
            view(
                THREE_DOMAINS,
                workers(3, 1, 1),
                queued(nonStoppable("j", "gold", singleMember(8)))),
            NOW);

    assertThat(plan.decisions()).singleElement().isInstanceOf(StartGang.class);
  }

  @Test
  void should_spread_a_non_stoppable_job_if_only_that_keeps_the_guarantees() {
    Configuration withGuarantee =
        configuration(
            List.of(customer("gold", singleMember(8)), customer("silver")), inService("a", "b"));

    Plan plan =
        policy.plan(
            view(
                withGuarantee,
                workers(2, 1, 2),
                queued(nonStoppable("j", "silver", new Shape(2, 8, Span.REGION)))),
            NOW);

    assertStartedAt(plan, wholeWorker(0, "a0-1"), wholeWorker(1, "b0-1"));
  }

  @Test
  void should_not_report_that_waiting_starts_a_non_stoppable_job() {
    Plan plan =
        policy.plan(
            view(
                NO_GUARANTEES,
                TWO_WORKERS,
                allocated(job("first", "silver", singleMember(8)), 900, wholeWorker(0, "a0-0")),
                allocated(job("second", "silver", singleMember(8)), 900, wholeWorker(0, "a0-1")),
                queued(nonStoppable("j", "gold", singleMember(8)))),
            NOW);

    assertThat(plan.waitReasons().get("j"))
        .extracting(WaitReason::startCondition)
        .isEqualTo("the end of running jobs");
  }

  @Test
  void should_stop_the_job_with_the_least_loss_for_an_urgent_job() {
    Plan plan =
        policy.plan(
            view(
                NO_GUARANTEES,
                TWO_WORKERS,
                allocated(job("dear", "silver", singleMember(8)), 900, wholeWorker(0, "a0-0")),
                allocated(job("cheap", "silver", singleMember(4)), 900, wholeWorker(0, "a0-1")),
                queued(urgent("j", "gold", singleMember(8)))),
            NOW);

    assertThat(plan.decisions())
        .singleElement()
        .isInstanceOfSatisfying(
            StopGang.class, stop -> assertThat(stop.jobId()).isEqualTo("cheap"));
  }

  @Test
  void should_not_start_in_a_domain_that_is_out() {
    Configuration domainOut =
        configuration(List.of(customer("gold")), List.of(domain("a", ServiceState.TAKEN_OUT)));

    Plan plan =
        policy.plan(view(domainOut, TWO_WORKERS, queued(job("j", "gold", singleMember(1)))), NOW);

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

    Plan plan = policy.plan(new FleetView(NO_GUARANTEES, List.of(failing), List.of()), NOW);

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
