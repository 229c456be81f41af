package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Cucumber steps that measure the failover time: from the kill of the leader to a decision. */
public final class FailoverSteps {
  private static final Duration ROUND_LIMIT = Duration.ofSeconds(60);
  private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final ScenarioWorld world;

  /** Creates the steps of one scenario. */
  public FailoverSteps(ScenarioWorld world) {
    this.world = world;
  }

  /** Kills the leader repeatedly and submits a job immediately after each kill. */
  @Then("the leader is killed {int} times and each time the next decision follows within {int} ms")
  public void killAndMeasure(int rounds, int limitMillis) {
    List<Long> millis = new ArrayList<>();
    for (int round = 1; round <= rounds; round++) {
      int leader = world.leader();
      millis.add(decisionAfterKill(leader, "after-kill-" + round));
      world.deployment().replace(leader);
      awaitLeaderKnown();
    }
    System.out.printf("failover times: %s ms, maximum %d ms%n", millis, Collections.max(millis));
    assertThat(millis).allMatch(each -> each < limitMillis);
  }

  private long decisionAfterKill(int leader, String job) {
    int survivor = leader % world.deployment().instanceCount() + 1;
    Dragonflyturn operator = world.deployment().operatorAt(survivor);
    final long killed = System.nanoTime();
    world.deployment().instance(leader).kill();
    operator.submit(ScenarioJobs.gang("derwent", job, 1, 0.5, Urgency.NORMAL, true));
    long until = killed + ROUND_LIMIT.toNanos();
    while (!isPlaced(operator, job)) {
      assertThat(System.nanoTime()).as("time to place %s", job).isLessThan(until);
      LockSupport.parkNanos(POLL_NANOS);
    }
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - killed);
  }

  private void awaitLeaderKnown() {
    ScenarioWorld.await(
        ROUND_LIMIT,
        "every instance reports a leader",
        () -> world.everyInstance(summary -> !summary.path("leader").asText().isEmpty()));
  }

  private static boolean isPlaced(Dragonflyturn operator, String job) {
    try {
      return operator.status(job).attempt() > 0;
    } catch (DragonflyturnException unavailable) {
      return false;
    }
  }
}
