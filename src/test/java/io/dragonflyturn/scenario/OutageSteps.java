package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.Request;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Cucumber steps for requests during a log outage. */
public final class OutageSteps {
  private static final Duration CHOSEN_KEY_DEADLINE = Duration.ofSeconds(2);
  private static final long CHOSEN_KEY_QUIET_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final ScenarioWorld world;
  private final Deque<String> issuedIds = new ArrayDeque<>();
  private final List<Future<SentRequest>> issued = new ArrayList<>();
  private final List<Future<SentRequest>> chosen = new ArrayList<>();

  /** Creates the steps of one scenario. */
  public OutageSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Fetches issued ids in advance. */
  @When("a caller fetches {int} ids issued by instance {int}")
  public void fetch(int count, int instance) {
    issuedIds.addAll(world.deployment().customerAt(instance).issueRequestIds(count));
  }

  /** Sends bookings at a constant rate through all entries in turn. */
  @When(
      "callers send {int} bookings per second with issued ids and with chosen keys for {int}"
          + " seconds")
  public void sendAtConstantRate(int perSecond, int seconds) {
    List<Dragonflyturn> entries = world.deployment().customersAtEachEntry();
    final long start = System.nanoTime();
    long interval = TimeUnit.SECONDS.toNanos(1) / perSecond;
    long lastChosen = TimeUnit.SECONDS.toNanos(seconds) - CHOSEN_KEY_QUIET_NANOS;
    for (int number = 0; number < perSecond * seconds; number++) {
      Dragonflyturn entry = entries.get(number % entries.size());
      String id = issuedIds.remove();
      issued.add(world.send(entry, booking(id).withIssuedId(id)));
      if (number * interval < lastChosen) {
        chosen.add(world.send(entry, booking("own").withDeadline(CHOSEN_KEY_DEADLINE)));
      }
      pauseUntil(start + (number + 1) * interval);
    }
  }

  /** Checks the share of bookings with issued ids that succeeded. */
  @Then("at least {int} percent of the bookings with issued ids are served")
  public void served(int percent) {
    List<SentRequest> outcomes = outcomes(issued);
    assertThat(servedOf(outcomes).size() * 100)
        .as("served of %s", outcomes.stream().map(SentRequest::code).toList())
        .isGreaterThanOrEqualTo(percent * outcomes.size());
  }

  /** Checks that all bookings with chosen keys were refused as not run. */
  @Then("every booking with a key chosen by the caller is refused as not run")
  public void chosenRefused() {
    assertThat(outcomes(chosen))
        .isNotEmpty()
        .extracting(each -> each.code().certainty())
        .containsOnly(ResultCode.Certainty.NOT_RUN);
    world.checker().assertRefusedRequestsDidNotRun();
  }

  /** Repeats every successful booking through another entry, and checks all histories. */
  @Then("no booking is lost or duplicated, and repeating each one succeeds")
  public void keptExactlyOnce() {
    List<SentRequest> first = outcomes(issued);
    List<SentRequest> served = servedOf(first);
    final List<SentRequest> again = sendAgain(served);
    HistoryChecker checker = world.checker();
    checker.assertNoDuplicateRuns();
    checker.assertAnswersMatchRequests();
    checker.assertAnsweredRequestsRan();
    checker.assertRefusedRequestsDidNotRun();
    long kept = servedOf(again).size();
    long chosenRefused = outcomes(chosen).size();
    System.out.printf(
        "bookings during the log outage: %d with issued ids, %d served, %d refused, %d repeated;"
            + " %d with chosen keys refused%n",
        first.size(), served.size(), first.size() - served.size(), kept, chosenRefused);
    assertThat(first)
        .extracting(each -> each.code().certainty())
        .doesNotContain(ResultCode.Certainty.UNKNOWN);
    assertThat(again).extracting(SentRequest::code).containsOnly(ResultCode.OK);
  }

  /** Checks that a job still runs in its first attempt, without a restart. */
  @Then("the job {string} is still running its first attempt")
  public void stillRunsFirstAttempt(String id) {
    assertThat(world.operator().status(id).phase()).isEqualTo("RUNNING");
    assertThat(world.deployment().histories())
        .flatMap(history -> history.tasks())
        .filteredOn(run -> run.jobId().equals(id))
        .as("runs of %s", id)
        .hasSize(world.membersByJob().getOrDefault(id, 0))
        .allMatch(run -> run.attempt() == 1 && run.endMillis() == 0);
  }

  private List<SentRequest> sendAgain(List<SentRequest> served) {
    List<Dragonflyturn> entries = world.deployment().customersAtEachEntry();
    List<Future<SentRequest>> again = new ArrayList<>();
    for (int number = 0; number < served.size(); number++) {
      Dragonflyturn entry = entries.get((number + 1) % entries.size());
      again.add(world.send(entry, served.get(number).request()));
    }
    return outcomes(again);
  }

  private static Request booking(String locker) {
    return Request.booking(Instant.now(), "locker " + locker);
  }

  private static List<SentRequest> outcomes(List<Future<SentRequest>> requests) {
    return requests.stream().map(ScenarioWorld::outcome).toList();
  }

  private static List<SentRequest> servedOf(List<SentRequest> requests) {
    return requests.stream().filter(each -> each.code() == ResultCode.OK).toList();
  }

  private static void pauseUntil(long nanos) {
    for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
      LockSupport.parkNanos(left);
    }
  }
}
