package io.dragonflyturn.scenario;

import io.cucumber.java.en.Given;
import java.util.List;

/** Cucumber steps that start deployments. */
public final class DeploymentSteps {
  private static final List<String> DOMAINS = List.of("salamanca", "glenorchy", "kingston");

  private final ScenarioWorld world;

  /** Creates the steps of one scenario. */
  public DeploymentSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Starts instances and workers in three failure domains. */
  @Given("{int} instances and {int} workers in each of 3 failure domains")
  public void deploy(int instances, int workersPerDomain) {
    world.deploy(instances, workersPerDomain, DOMAINS, 0);
  }

  /** Starts the deployment with the default lease and heartbeat settings. */
  @Given("{int} instances with default leases and {int} workers in each of 3 failure domains")
  public void deployWithUsualLeases(int instances, int workersPerDomain) {
    world.deployWithUsualLeases(instances, workersPerDomain, DOMAINS);
  }

  /** Starts the deployment with a guarantee of whole workers for the customer. */
  @Given(
      "{int} instances and {int} workers in each of 3 failure domains, and {int} whole workers"
          + " guaranteed")
  public void deployWithGuarantee(int instances, int workersPerDomain, int members) {
    world.deploy(instances, workersPerDomain, DOMAINS, members);
  }
}
