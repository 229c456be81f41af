package io.dragonflyturn.scenario;

import io.cucumber.java.en.When;
import io.dragonflyturn.standin.PlatformFaults;
import io.dragonflyturn.standin.WorkerFaults;
import java.time.Duration;
import java.util.List;

/** Cucumber steps that inject and clear faults. */
public final class FaultSteps {
  private static final List<String> DOMAINS = List.of("salamanca", "glenorchy", "kingston");
  private static final Duration FAILOVER_LIMIT = Duration.ofSeconds(30);

  private final ScenarioWorld world;
  private int faultyInstance;

  /** Creates the steps of one scenario. */
  public FaultSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Makes the log reject every call. */
  @When("the log stops")
  public void stopLog() {
    world.deployment().platform().change(PlatformFaults.stop(true));
  }

  /** Makes the log accept calls without responding. */
  @When("the log hangs")
  public void hangLog() {
    world.deployment().platform().change(PlatformFaults.hang(true));
  }

  /** Delays every call to the log. */
  @When("the log is slow by {int} ms")
  public void slowLog(int millis) {
    world.deployment().platform().change(PlatformFaults.delay(millis));
  }

  /** Clears the faults of the log. */
  @When("the log recovers")
  public void restoreLog() {
    world.deployment().platform().change(PlatformFaults.heal());
  }

  /** Drops the responses to appends that take effect. */
  @When("the responses to the next {int} appends are lost")
  public void loseAnswers(int count) {
    world.deployment().platform().change(PlatformFaults.loseAnswers(count));
  }

  /** Drops appends before they take effect. */
  @When("the next {int} appends are lost")
  public void loseAppends(int count) {
    world.deployment().platform().change(PlatformFaults.loseAppends(count));
  }

  /** Kills the leader and waits for a new one. */
  @When("the leader is killed")
  public void killLeader() {
    int leader = world.leader();
    world.deployment().instance(leader).kill();
    ScenarioWorld.await(FAILOVER_LIMIT, "another instance leads", () -> world.leader() != leader);
  }

  /** Freezes the leader. */
  @When("the leader is suspended")
  public void suspendLeader() {
    faultyInstance = world.leader();
    world.deployment().instance(faultyInstance).freeze();
  }

  /** Resumes the suspended instance. */
  @When("the suspended instance resumes")
  public void resumeInstance() {
    world.deployment().instance(faultyInstance).thaw();
  }

  /** Disconnects the leader from the log in both directions. */
  @When("the leader is disconnected from the log")
  public void disconnectLeader() {
    faultyInstance = world.leader();
    world.deployment().relay(faultyInstance).set(Relay.Mode.CUT);
  }

  /** Disconnects an instance from the log in both directions. */
  @When("instance {int} is disconnected from the log")
  public void disconnectInstance(int number) {
    faultyInstance = number;
    world.deployment().relay(number).set(Relay.Mode.CUT);
  }

  /** Forwards the calls of the leader to the log, but drops the responses. */
  @When("the leader receives no responses from the log")
  public void dropResponsesToLeader() {
    faultyInstance = world.leader();
    world.deployment().relay(faultyInstance).set(Relay.Mode.ANSWERS_CUT);
  }

  /** Reconnects the disconnected instance. */
  @When("the connection to the log is restored")
  public void reconnect() {
    world.deployment().relay(faultyInstance).set(Relay.Mode.OPEN);
  }

  /** Kills an instance. */
  @When("instance {int} is killed")
  public void killInstance(int number) {
    world.deployment().instance(number).kill();
  }

  /** Suspends an instance. */
  @When("instance {int} is suspended")
  public void suspendInstance(int number) {
    faultyInstance = number;
    world.deployment().instance(number).freeze();
  }

  /** Suspends the workers of a failure domain. */
  @When("the workers of {string} are suspended")
  public void suspendWorkers(String domain) {
    world.deployment().workersOf(domain).freeze();
  }

  /** Resumes the workers of a failure domain. */
  @When("the workers of {string} resume")
  public void resumeWorkers(String domain) {
    world.deployment().workersOf(domain).thaw();
  }

  /** Kills the workers of a failure domain. */
  @When("the workers of {string} are killed")
  public void killWorkers(String domain) {
    world.deployment().workersOf(domain).kill();
  }

  /** Makes every task in a failure domain fail. */
  @When("the workers of {string} fail every task")
  public void failTasks(String domain) {
    world.deployment().changeWorkers(domain, WorkerFaults.failTasks(true));
  }

  /** Drops the responses to requests that have run. */
  @When("each worker loses the responses to its next {int} requests")
  public void loseRequestAnswers(int count) {
    changeAll(WorkerFaults.loseRequestAnswers(count));
  }

  /** Answers requests with the response to an earlier request. */
  @When("each worker swaps the responses to its next {int} requests")
  public void crossAnswers(int count) {
    changeAll(WorkerFaults.crossAnswers(count));
  }

  /** Sets the service time of requests. */
  @When("each request takes {int} ms")
  public void slowRequests(int millis) {
    changeAll(WorkerFaults.serviceTime(millis));
  }

  /** Drops the responses to control exchanges that have taken effect. */
  @When("each worker loses the responses to its next {int} exchanges")
  public void loseControlAnswers(int count) {
    changeAll(WorkerFaults.loseControlAnswers(count));
  }

  private void changeAll(WorkerFaults faults) {
    DOMAINS.forEach(domain -> world.deployment().changeWorkers(domain, faults));
  }
}
