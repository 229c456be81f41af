package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.Request;
import io.dragonflyturn.model.ServiceState;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Cucumber steps for an emergency take-out during a log outage. */
public final class EmergencySteps {
  private static final Duration LEAVE_WITHIN = Duration.ofSeconds(1);
  private static final long LOAD_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final ScenarioWorld world;
  private long takenOutAtMillis;

  /** Creates the steps of one scenario. */
  public EmergencySteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Requests the emergency take-out through each entry. */
  @When("operators take {string} out in an emergency through every entry")
  public void takeOutEverywhere(String domain) {
    for (int number = 1; number <= world.deployment().instanceCount(); number++) {
      world.deployment().operatorAt(number).takeOut(domain, LEAVE_WITHIN, true);
    }
    takenOutAtMillis = System.currentTimeMillis();
  }

  /** Sends readings at a constant rate for the given time. */
  @When("callers send readings for {int} seconds")
  public void sendReadings(int seconds) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int number = 0; System.nanoTime() < until; number++) {
      world.send(world.customer(), Request.reading(Instant.now(), "slab " + number));
      LockSupport.parkNanos(LOAD_PAUSE_NANOS);
    }
  }

  /** Checks in the worker histories that nothing arrived after the given grace period. */
  @Then("no request or task reached {string} more than {int} seconds after the take-out")
  public void nothingThere(String domain, int seconds) {
    long from = takenOutAtMillis + TimeUnit.SECONDS.toMillis(seconds);
    HistoryChecker checker = world.checker();
    checker.assertNoRequests(domain, from);
    checker.assertNoTaskStarts(domain, from, Long.MAX_VALUE);
  }

  /** Waits until every instance has read the take-out from the log. */
  @Then("the log shows within {int} seconds that {string} is taken out")
  public void inLog(int seconds, String domain) {
    ScenarioWorld.await(
        Duration.ofSeconds(seconds),
        domain + " is taken out at every instance",
        () -> isTakenOutEverywhere(domain));
    assertThat(world.operator().audit(0, 100)).anyMatch(each -> each.summary().contains(domain));
  }

  private boolean isTakenOutEverywhere(String domain) {
    for (int number = 1; number <= world.deployment().instanceCount(); number++) {
      if (!isTakenOutAt(number, domain)) {
        return false;
      }
    }
    return true;
  }

  private boolean isTakenOutAt(int number, String domain) {
    try {
      return world
          .deployment()
          .operatorAt(number)
          .configuration()
          .configuration()
          .failureDomains()
          .stream()
          .anyMatch(
              each -> each.name().equals(domain) && each.serviceState() == ServiceState.TAKEN_OUT);
    } catch (DragonflyturnException unavailable) {
      return false;
    }
  }
}
