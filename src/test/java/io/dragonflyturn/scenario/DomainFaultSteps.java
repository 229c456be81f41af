package io.dragonflyturn.scenario;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.Request;
import io.dragonflyturn.model.Urgency;
import io.dragonflyturn.standin.WorkerHistory;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Cucumber steps for concurrent changes of failure domains and for work that has to wait. */
public final class DomainFaultSteps {
  private static final Duration LEAVE_WITHIN = Duration.ofSeconds(1);
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ScenarioWorld world;
  private final OperatorSteps operators;

  /** Creates the steps of one scenario. */
  public DomainFaultSteps(ScenarioWorld world, OperatorSteps operators) {
    this.world = world;
    this.operators = operators;
  }

  /** Takes two failure domains out concurrently, through two entries. */
  @When("operators take {string} and {string} out concurrently")
  public void takeBothOut(String first, String second) {
    inParallel(() -> takeOut(1, first), () -> takeOut(2, second));
  }

  /** Takes a failure domain out and brings another one back concurrently, through two entries. */
  @When("operators take {string} out and bring {string} back concurrently")
  public void swap(String leaving, String returning) {
    inParallel(() -> takeOut(1, leaving), () -> bringBack(2, returning));
  }

  /** Waits until a failure domain has been out of service for the given time. */
  @When("{string} has been out for {int} seconds")
  public void awaitOut(String domain, int seconds) {
    awaitMillis(operators.takenOutAtMillis(domain) + seconds * MILLIS_PER_SECOND);
  }

  /** Waits until workers have been leaving for the given time. */
  @When("they have been leaving for {int} seconds")
  public void awaitLeaving(int seconds) {
    awaitMillis(operators.leavingSinceMillis() + seconds * MILLIS_PER_SECOND);
  }

  /** Sends readings through one entry. */
  @When("callers send {int} readings through instance {int}")
  public void sendReadings(int count, int instance) {
    Dragonflyturn client = world.deployment().customerAt(instance);
    for (int number = 0; number < count; number++) {
      world.send(client, Request.reading(Instant.now(), "slab " + number));
    }
  }

  /** Submits a gang that occupies whole workers and may not be stopped. */
  @When("{string} submits the unstoppable job {string} of {int} whole workers and {double} seconds")
  public void submitUnstoppable(String customer, String id, int members, double seconds) {
    submit(customer, id, members, seconds, false);
  }

  /** Submits several jobs of the same shape. */
  @When("{int} jobs of {int} whole workers and {double} seconds of work are submitted")
  public void submitMany(int count, int members, double seconds) {
    for (int number = 1; number <= count; number++) {
      submit("derwent", "job-" + number, members, seconds, true);
    }
  }

  /** Waits until every job has completed successfully. */
  @Then("every job completes within {int} seconds")
  public void allComplete(int seconds) {
    ScenarioWorld.await(
        Duration.ofSeconds(seconds),
        "every job completes",
        () -> world.membersByJob().keySet().stream().allMatch(this::completed));
  }

  /** Waits until all workers of a failure domain are quarantined. */
  @Then("the workers of {string} are quarantined within {int} seconds")
  public void quarantined(String domain, int seconds) {
    ScenarioWorld.await(
        Duration.ofSeconds(seconds),
        "the workers of " + domain + " are quarantined",
        () -> world.logChecker().quarantined().containsAll(workersOf(domain)));
  }

  /** Checks that no task started on leaving workers after the given grace period. */
  @Then("no task started on the workers of {string} more than {int} seconds after")
  public void noLateTask(String domain, int seconds) {
    long from = operators.leavingSinceMillis() + seconds * MILLIS_PER_SECOND;
    world.checker().assertNoTaskStarts(domain, from, Long.MAX_VALUE);
  }

  private void submit(String customer, String id, int members, double seconds, boolean stoppable) {
    world.membersByJob().put(id, members);
    world
        .operator()
        .submit(ScenarioJobs.gang(customer, id, members, seconds, Urgency.NORMAL, stoppable));
  }

  private List<String> workersOf(String domain) {
    return world.deployment().histories().stream()
        .filter(history -> history.failureDomain().equals(domain))
        .map(WorkerHistory::worker)
        .toList();
  }

  private boolean completed(String id) {
    try {
      return "OK".equals(world.operator().status(id).endName());
    } catch (DragonflyturnException unavailable) {
      return false;
    }
  }

  private void takeOut(int instance, String domain) {
    world.deployment().operatorAt(instance).takeOut(domain, LEAVE_WITHIN, false);
    operators.recordTakenOut(domain);
  }

  private void bringBack(int instance, String domain) {
    operators.recordBroughtBack(domain);
    world.deployment().operatorAt(instance).bringBack(domain);
  }

  private static void inParallel(Runnable first, Runnable second) {
    CompletableFuture.allOf(CompletableFuture.runAsync(first), CompletableFuture.runAsync(second))
        .join();
  }

  private static void awaitMillis(long atMillis) {
    Duration limit = Duration.ofMillis(Math.max(0, atMillis - System.currentTimeMillis()));
    ScenarioWorld.await(
        limit.plusSeconds(10), "time passes", () -> System.currentTimeMillis() >= atMillis);
  }
}
