package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.Request;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Cucumber steps that send requests and check their results. */
public final class RequestSteps {
  private static final Duration RUN_LIMIT = Duration.ofSeconds(20);

  private final ScenarioWorld world;

  /** Creates the steps of one scenario. */
  public RequestSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Sends bookings in the background. */
  @When("callers send {int} bookings")
  public void sendBookings(int count) {
    for (int number = 0; number < count; number++) {
      world.send(world.customer(), Request.booking(Instant.now(), "locker " + number));
    }
  }

  /** Sends inspections in the background. */
  @When("callers send {int} inspections")
  public void sendInspections(int count) {
    for (int number = 0; number < count; number++) {
      world.send(world.customer(), Request.inspection(Instant.now(), "blank " + number));
    }
  }

  /** Sends readings in the background. */
  @When("callers send {int} readings")
  public void sendReadings(int count) {
    for (int number = 0; number < count; number++) {
      world.send(world.customer(), Request.reading(Instant.now(), "slab " + number));
    }
  }

  /** Sends each booking through two entries concurrently. */
  @When("callers send each of {int} bookings through instance {int} and instance {int}")
  public void sendTwice(int count, int first, int second) {
    Dragonflyturn throughFirst = world.deployment().customerAt(first);
    Dragonflyturn throughSecond = world.deployment().customerAt(second);
    for (int number = 0; number < count; number++) {
      Request booking = Request.booking(Instant.now(), "locker " + number);
      world.send(throughFirst, booking);
      world.send(throughSecond, booking);
    }
  }

  /** Sends bookings through one entry. */
  @When("callers send {int} bookings through instance {int}")
  public void sendThrough(int count, int instance) {
    Dragonflyturn client = world.deployment().customerAt(instance);
    for (int number = 0; number < count; number++) {
      world.send(client, Request.booking(Instant.now(), "locker " + number));
    }
  }

  /** Sends bookings with ids issued by an entry. */
  @When("callers send {int} bookings with issued ids")
  public void sendIssued(int count) {
    List<String> ids = world.customer().issueRequestIds(count);
    for (String id : ids) {
      Request booking = Request.booking(Instant.now(), "locker " + id).withIssuedId(id);
      world.send(world.customer(), booking);
    }
  }

  /** Checks that every request succeeded with the correct answer. */
  @Then("every caller receives the complete response to its own request")
  public void allAnswered() {
    HistoryChecker checker = world.checker();
    assertThat(world.sent())
        .as("result codes")
        .extracting(SentRequest::code)
        .containsOnly(ResultCode.OK);
    checker.assertAnswersMatchRequests();
    checker.assertAnsweredRequestsRan();
  }

  /** Checks that each answer belongs to its request and that each answered request ran. */
  @Then("every response is complete and belongs to its request")
  public void ownAnswers() {
    HistoryChecker checker = world.checker();
    checker.assertAnswersMatchRequests();
    checker.assertAnsweredRequestsRan();
  }

  /** Checks that requests refused as not run did not run. */
  @Then("no request that was refused as not run was executed")
  public void refusalsTrue() {
    world.checker().assertRefusedRequestsDidNotRun();
  }

  /** Checks that no non-idempotent request ran more than once. */
  @Then("no booking or inspection ran twice")
  public void noneRanTwice() {
    world.checker().assertNoDuplicateRuns();
  }

  /** Waits until the given number of requests have reached workers. */
  @When("at least {int} requests run")
  public void awaitRuns(int count) {
    ScenarioWorld.await(
        RUN_LIMIT,
        count + " requests run",
        () ->
            world.deployment().histories().stream()
                    .mapToInt(history -> history.requests().size())
                    .sum()
                >= count);
  }

  /** Checks that no request has an unknown outcome and that refused requests did not run. */
  @Then("no executed request lost its response")
  public void noneCutOff() {
    HistoryChecker checker = world.checker();
    assertThat(world.sent())
        .extracting(each -> each.code().certainty())
        .doesNotContain(ResultCode.Certainty.UNKNOWN);
    checker.assertRefusedRequestsDidNotRun();
  }

  /** Checks that enough requests were answered for the scenario to be meaningful. */
  @Then("at least {int} requests are answered")
  public void answered(int count) {
    assertThat(world.sent().stream().filter(each -> each.code() == ResultCode.OK).count())
        .as("answered of %s", world.sent().stream().map(SentRequest::code).toList())
        .isGreaterThanOrEqualTo(count);
  }

  /** Checks that enough requests were refused for the scenario to be meaningful. */
  @Then("at least {int} requests are refused as not run")
  public void refused(int count) {
    assertThat(
            world.sent().stream()
                .filter(each -> each.code().certainty() == ResultCode.Certainty.NOT_RUN)
                .count())
        .as("refused of %s", world.sent().stream().map(SentRequest::code).toList())
        .isGreaterThanOrEqualTo(count);
  }
}
