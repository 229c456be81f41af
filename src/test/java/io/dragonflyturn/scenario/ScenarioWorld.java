package io.dragonflyturn.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.Request;
import io.dragonflyturn.RequestAnswer;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** State shared by the step classes of one scenario: deployment, clients, and sent requests. */
public final class ScenarioWorld implements AutoCloseable {
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final Duration START_LIMIT = Duration.ofSeconds(60);

  private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
  private final List<Future<SentRequest>> requests = new ArrayList<>();
  private final Map<String, Integer> membersByJob = new HashMap<>();
  private @Nullable Deployment deployment;
  private @Nullable Dragonflyturn customer;
  private @Nullable Dragonflyturn operator;

  /** Starts a deployment with short leases and waits until its configuration is active. */
  void deploy(int instances, int workersPerDomain, List<String> domains, int guaranteedMembers) {
    awaitReady(
        new Deployment(instances, workersPerDomain, domains, Deployment.SHORT_LEASES),
        workersPerDomain * domains.size(),
        guaranteedMembers);
  }

  /** Starts a deployment with default leases and waits until its configuration is active. */
  void deployWithUsualLeases(int instances, int workersPerDomain, List<String> domains) {
    awaitReady(
        new Deployment(instances, workersPerDomain, domains, List.of()),
        workersPerDomain * domains.size(),
        0);
  }

  private void awaitReady(Deployment started, int workers, int guaranteedMembers) {
    deployment = started;
    customer = started.customer();
    operator = started.operator();
    await(
        START_LIMIT,
        "all workers are known at every instance",
        () -> everyInstance(summary -> summary.path("workers").asInt() == workers));
    await(START_LIMIT, "the configuration is accepted", () -> applied(started, guaranteedMembers));
    await(
        START_LIMIT,
        "the configuration is active everywhere",
        () -> everyInstance(summary -> summary.path("configurationVersion").asLong() >= 1));
  }

  private boolean applied(Deployment started, int guaranteedMembers) {
    try {
      long version = operator().configuration().version();
      return version >= 1
          || operator().apply(version, started.configuration(guaranteedMembers)) >= 1;
    } catch (DragonflyturnException notYet) {
      return false;
    }
  }

  Deployment deployment() {
    return Objects.requireNonNull(deployment);
  }

  Dragonflyturn customer() {
    return Objects.requireNonNull(customer);
  }

  Dragonflyturn operator() {
    return Objects.requireNonNull(operator);
  }

  Map<String, Integer> membersByJob() {
    return membersByJob;
  }

  /** Sends a request in the background. */
  Future<SentRequest> send(Dragonflyturn through, Request request) {
    Future<SentRequest> sent = callers.submit(() -> sendNow(through, request));
    requests.add(sent);
    return sent;
  }

  /** Waits for all requests and returns their results. */
  List<SentRequest> sent() {
    List<SentRequest> all = new ArrayList<>();
    requests.forEach(request -> all.add(outcome(request)));
    return all;
  }

  /** Waits for a request and returns its result. */
  static SentRequest outcome(Future<SentRequest> request) {
    try {
      return request.get(60, TimeUnit.SECONDS);
    } catch (Exception failure) {
      throw new IllegalStateException("A request did not end before the timeout.", failure);
    }
  }

  /** Clears all faults and checks the log, after the steps of the scenario. */
  void checkLog() {
    if (deployment != null) {
      deployment.clearFaults();
      logChecker().check();
    }
  }

  /** Clears all faults and returns a checker of all requests sent so far. */
  HistoryChecker checker() {
    return checkerOf(sent());
  }

  /** Clears all faults and returns a checker of the given requests. */
  HistoryChecker checkerOf(List<SentRequest> requestsOfCallers) {
    deployment().clearFaults();
    return new HistoryChecker(requestsOfCallers, deployment().histories());
  }

  /** Returns a checker of the log against the current worker histories. */
  LogChecker logChecker() {
    return new LogChecker(deployment().logHistory(), deployment().histories());
  }

  /** Waits for a leader and returns its instance number, from 1. */
  int leader() {
    int[] number = {0};
    await(
        START_LIMIT,
        "an instance is the leader",
        () -> {
          number[0] = findLeader();
          return number[0] > 0;
        });
    return number[0];
  }

  private int findLeader() {
    for (int number = 1; number <= deployment().instanceCount(); number++) {
      JsonNode summary = summary(number);
      if (summary != null && summary.path("leads").asBoolean()) {
        return number;
      }
    }
    return 0;
  }

  /** Returns whether the status summary of every live instance matches a condition. */
  boolean everyInstance(java.util.function.Predicate<JsonNode> condition) {
    for (int number = 1; number <= deployment().instanceCount(); number++) {
      if (deployment().instance(number).isAlive()) {
        JsonNode summary = summary(number);
        if (summary == null || !condition.test(summary)) {
          return false;
        }
      }
    }
    return true;
  }

  @Nullable JsonNode summary(int number) {
    if (!deployment().instance(number).isAlive()) {
      return null;
    }
    try {
      return deployment().operatorAt(number).summary();
    } catch (DragonflyturnException unavailable) {
      return null;
    }
  }

  /**
   * Polls a condition until it holds.
   *
   * @throws AssertionError if the condition does not hold within the limit
   */
  static void await(Duration limit, String what, BooleanSupplier condition) {
    long until = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("Timed out after " + limit.toSeconds() + " s: " + what);
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  @Override
  public void close() {
    callers.shutdownNow();
    if (deployment != null) {
      deployment.close();
    }
  }

  /** Sends a request and waits for its result. */
  static SentRequest sendNow(Dragonflyturn through, Request request) {
    try {
      RequestAnswer answer = through.send(request);
      return new SentRequest(request, ResultCode.OK, answer.requestId(), answer.answer());
    } catch (DragonflyturnException refused) {
      return new SentRequest(request, refused.code(), "", "");
    }
  }
}
