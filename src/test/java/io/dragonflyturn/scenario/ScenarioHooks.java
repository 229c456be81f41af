package io.dragonflyturn.scenario;

import io.cucumber.java.After;
import io.cucumber.java.Scenario;

/** Cucumber hooks that check the log and clean up after each scenario. */
public final class ScenarioHooks {
  private final ScenarioWorld world;

  /** Creates the hooks of one scenario. */
  public ScenarioHooks(ScenarioWorld world) {
    this.world = world;
  }

  /** Checks the log if the scenario has not failed. */
  @After(order = 20_000)
  public void checkLog(Scenario scenario) {
    if (!scenario.isFailed()) {
      world.checkLog();
    }
  }

  /** Stops all processes of the scenario. */
  @After
  public void closeWorld() {
    world.close();
  }
}
