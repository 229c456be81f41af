package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.JobStatus;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Cucumber steps that submit jobs and check their progress. */
public final class JobSteps {

  private final ScenarioWorld world;

  /** Creates the steps of one scenario. */
  public JobSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Submits a gang that occupies whole workers and may be stopped. */
  @When("the job {string} of {int} whole workers and {double} seconds of work is submitted")
  public void submit(String id, int members, double seconds) {
    submitFor("derwent", id, members, seconds, Urgency.NORMAL);
  }

  /** Submits a gang on behalf of a customer, as the operator. */
  @When("{string} submits the job {string} of {int} whole workers and {double} seconds of work")
  public void submitAs(String customer, String id, int members, double seconds) {
    submitFor(customer, id, members, seconds, Urgency.NORMAL);
  }

  /** Submits an urgent gang. */
  @When("the urgent job {string} of {int} whole workers and {double} seconds of work is submitted")
  public void submitUrgent(String id, int members, double seconds) {
    submitFor("derwent", id, members, seconds, Urgency.URGENT);
  }

  /** Waits until the job runs. */
  @Then("the job {string} runs within {int} seconds")
  public void runs(String id, int seconds) {
    ScenarioWorld.await(
        Duration.ofSeconds(seconds), id + " runs", () -> phase(id).equals("RUNNING"));
  }

  /** Waits until the job has completed successfully. */
  @Then("the job {string} completes within {int} seconds")
  public void completes(String id, int seconds) {
    ScenarioWorld.await(Duration.ofSeconds(seconds), id + " completes", () -> ended(id));
    assertThat(world.operator().status(id).endName()).as("end of %s", id).isEqualTo("OK");
  }

  /** Waits until the job has ended with a result code. */
  @Then("the job {string} ends with {word} within {int} seconds")
  public void endsWith(String id, String code, int seconds) {
    ScenarioWorld.await(
        Duration.ofSeconds(seconds), id + " ends with " + code, () -> code.equals(endName(id)));
  }

  /** Checks that the job does not run. */
  @Then("the job {string} does not run")
  public void doesNotRun(String id) {
    assertThat(phase(id)).isNotEqualTo("RUNNING");
  }

  /** Checks in the worker histories that gangs ran completely and attempts did not overlap. */
  @Then("no gang ran with missing members")
  public void wholeGangs() {
    HistoryChecker checker = world.checker();
    checker.assertNoIncompleteGangs(world.membersByJob());
    checker.assertAttemptsDoNotOverlap();
  }

  private void submitFor(String customer, String id, int members, double seconds, Urgency urgency) {
    world.membersByJob().put(id, members);
    world.operator().submit(ScenarioJobs.gang(customer, id, members, seconds, urgency, true));
  }

  private boolean ended(String id) {
    try {
      return world.operator().status(id).ended();
    } catch (DragonflyturnException unavailable) {
      return false;
    }
  }

  private @Nullable String endName(String id) {
    try {
      return world.operator().status(id).endName();
    } catch (DragonflyturnException unavailable) {
      return null;
    }
  }

  private String phase(String id) {
    try {
      JobStatus status = world.operator().status(id);
      return status.phase();
    } catch (DragonflyturnException unavailable) {
      return "";
    }
  }
}
