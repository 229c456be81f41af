package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.VersionedConfiguration;
import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.standin.WorkerFaults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Cucumber steps for operator commands. */
public final class OperatorSteps {
  private static final String LABEL = "round";

  private final ScenarioWorld world;
  private final Map<String, Long> takenOutAtMillis = new ConcurrentHashMap<>();
  private final Map<String, Long> broughtBackAtMillis = new ConcurrentHashMap<>();
  private final List<Long> acceptedVersions = new ArrayList<>();
  private int outcomes;
  private long leavingSinceMillis;

  /** Creates the steps of one scenario. */
  public OperatorSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Takes a failure domain out. */
  @When("operators take {string} out")
  public void takeOut(String domain) {
    world.operator().takeOut(domain, Duration.ofSeconds(1), false);
    recordTakenOut(domain);
  }

  /** Takes a failure domain out by an emergency take-out. */
  @When("operators take {string} out in an emergency")
  public void takeOutInEmergency(String domain) {
    world.operator().takeOut(domain, Duration.ofSeconds(1), true);
    recordTakenOut(domain);
  }

  /** Brings a failure domain back. */
  @When("operators bring {string} back")
  public void bringBack(String domain) {
    recordBroughtBack(domain);
    world.operator().bringBack(domain);
  }

  /** Checks that no task started in the failure domain after the given grace period. */
  @Then("no task started in {string} more than {int} seconds after it was taken out")
  public void noLateStart(String domain, int seconds) {
    long from = takenOutAtMillis.getOrDefault(domain, 0L) + seconds * 1000L;
    long until = broughtBackAtMillis.getOrDefault(domain, Long.MAX_VALUE);
    world.checker().assertNoTaskStarts(domain, from, until);
  }

  /** Announces that the workers of a failure domain are leaving. */
  @When("the workers of {string} are leaving")
  public void leave(String domain) {
    world.deployment().changeWorkers(domain, WorkerFaults.leaving(true));
    leavingSinceMillis = System.currentTimeMillis();
  }

  /** Records the current time as the take-out time of a failure domain. */
  void recordTakenOut(String domain) {
    broughtBackAtMillis.remove(domain);
    takenOutAtMillis.put(domain, System.currentTimeMillis());
  }

  /** Records the current time as the return time of a failure domain. */
  void recordBroughtBack(String domain) {
    broughtBackAtMillis.put(domain, System.currentTimeMillis());
  }

  /** Returns the take-out time of a failure domain, in milliseconds since the epoch. */
  long takenOutAtMillis(String domain) {
    return Objects.requireNonNull(takenOutAtMillis.get(domain), domain);
  }

  /** Returns the time at which workers began to leave, in milliseconds since the epoch. */
  long leavingSinceMillis() {
    return leavingSinceMillis;
  }

  /** Checks that no request reached the leaving workers after the given grace period. */
  @Then("no request reached the workers of {string} more than {int} seconds after")
  public void noLateRequest(String domain, int seconds) {
    world.checker().assertNoRequests(domain, leavingSinceMillis + seconds * 1000L);
  }

  /** Applies a configuration change that adds an instance label. */
  @When("an operator changes the configuration")
  public void change() {
    VersionedConfiguration current = world.operator().configuration();
    acceptedVersions.add(
        world.operator().apply(current.version(), marked(current.configuration(), "single")));
  }

  /** Applies two concurrent changes to the same version through two entries. */
  @When("two operators change the same version through instance {int} and instance {int}")
  public void race(int first, int second) {
    VersionedConfiguration current = world.operator().configuration();
    CompletableFuture<Boolean> one = applyAt(first, current, "first");
    CompletableFuture<Boolean> two = applyAt(second, current, "second");
    outcomes = (one.join() ? 1 : 0) + (two.join() ? 1 : 0);
    acceptedVersions.add(current.version() + 1);
  }

  /** Checks that exactly one of the two changes was accepted. */
  @Then("exactly one of them is accepted")
  public void oneWins() {
    assertThat(outcomes).isEqualTo(1);
  }

  /** Waits until the accepted version is active at every live instance. */
  @Then("the accepted configuration is active everywhere within {int} seconds")
  public void inForce(int seconds) {
    long accepted = acceptedVersions.getLast();
    ScenarioWorld.await(
        Duration.ofSeconds(seconds),
        "version " + accepted + " is active at every live instance",
        () ->
            world.everyInstance(
                summary -> summary.path("configurationVersion").asLong() >= accepted));
  }

  /** Checks that every live instance has at least the accepted version and its label. */
  @Then("no instance shows an older configuration")
  public void neverReverts() {
    long accepted = acceptedVersions.getLast();
    for (int number = 1; number <= world.deployment().instanceCount(); number++) {
      if (world.deployment().instance(number).isAlive()) {
        VersionedConfiguration shown = world.deployment().operatorAt(number).configuration();
        assertThat(shown.version()).isGreaterThanOrEqualTo(accepted);
        assertThat(shown.configuration().instanceLabels()).containsKey(LABEL);
      }
    }
  }

  /** Requests termination of an instance. */
  @When("instance {int} receives SIGTERM")
  public void stopInstance(int number) {
    world.deployment().instance(number).terminate();
  }

  /** Requests termination of the leader and waits for its exit. */
  @When("the leader receives SIGTERM and exits without an error")
  public void stopLeader() {
    int leader = world.leader();
    stopInstance(leader);
    ends(leader);
  }

  /** Waits until an instance has exited with status 0. */
  @Then("instance {int} exits without an error")
  public void ends(int number) {
    assertThat(world.deployment().instance(number).awaitEnd()).isZero();
  }

  private CompletableFuture<Boolean> applyAt(
      int number, VersionedConfiguration current, String mark) {
    Dragonflyturn client = world.deployment().operatorAt(number);
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            client.apply(current.version(), marked(current.configuration(), mark));
            return true;
          } catch (DragonflyturnException refused) {
            assertThat(refused.code()).isEqualTo(ResultCode.VERSION_CONFLICT);
            return false;
          }
        });
  }

  private static Configuration marked(Configuration configuration, String mark) {
    return new Configuration(
        configuration.customers(),
        configuration.failureDomains(),
        Map.of(LABEL, Map.of("mark", mark)),
        configuration.rules());
  }
}
