package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Cucumber steps for a rolling replacement of all instances under load. */
public final class ReplacementSteps {
  private static final Duration HEALTH_LIMIT = Duration.ofSeconds(60);
  private static final long SETTLE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final ScenarioWorld world;
  private List<SentRequest> answered = List.of();
  private Map<ResultCode, Integer> firstAnswers = Map.of();

  /** Creates the steps of one scenario. */
  public ReplacementSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Shuts down and replaces each instance in turn while callers send requests. */
  @When("every instance is replaced in turn under load")
  public void replaceAll() {
    try (LoadBalancedCallers callers = new LoadBalancedCallers(world.deployment())) {
      callers.start();
      LockSupport.parkNanos(SETTLE_NANOS);
      for (int number = 1; number <= world.deployment().instanceCount(); number++) {
        replace(number);
      }
      LockSupport.parkNanos(SETTLE_NANOS);
      answered = callers.stop();
      firstAnswers = callers.firstAnswers();
      System.out.printf(
          "requests during the rolling replacement: %d; results of first attempts %s%n",
          answered.size(), firstAnswers);
    }
  }

  /** Checks that every request succeeded in the end, ran once, and got its own answer. */
  @Then("all of their requests are answered, and none ran twice")
  public void allAnswered() {
    assertThat(answered)
        .filteredOn(each -> each.code() != ResultCode.OK)
        .as("requests that were not answered")
        .isEmpty();
    HistoryChecker checker = world.checkerOf(answered);
    checker.assertAnswersMatchRequests();
    checker.assertAnsweredRequestsRan();
    checker.assertNoDuplicateRuns();
  }

  /** Checks the share of requests that succeeded on their first attempt. */
  @Then("at least {int} percent of them succeed on the first attempt, and no outcome is unknown")
  public void servedAtOnce(int percent) {
    assertThat(firstAnswers.getOrDefault(ResultCode.OK, 0) * 100)
        .as("results of first attempts %s", firstAnswers)
        .isGreaterThanOrEqualTo(percent * answered.size());
    assertThat(firstAnswers.keySet())
        .extracting(ResultCode::certainty)
        .doesNotContain(ResultCode.Certainty.UNKNOWN);
  }

  private void replace(int number) {
    world.deployment().instance(number).terminate();
    assertThat(world.deployment().instance(number).awaitEnd()).isZero();
    world.deployment().replace(number);
    ScenarioWorld.await(
        HEALTH_LIMIT,
        "instance " + number + " is healthy",
        () -> world.deployment().isHealthy(number));
  }
}
