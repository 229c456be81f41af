package io.dragonflyturn.internal.gang;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.standin.WorkerHistory.TaskRun;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new leader takes over a gang attempt while the deposed leader may still send commands. */
class GangAdoptionTest {
  private static final long SEED = 4001;
  private static final int TICK_MILLIS = 50;
  private static final int TIMEOUT_MILLIS = 60_000;
  private static final int DEPOSED_LEADER_MILLIS = 1_000;
  private static final double WORK_SECONDS = 10;

  private SimulatedWorkers workers = new SimulatedWorkers(new Random(SEED), 2, 0);
  private SimulatedLeader leader = new SimulatedLeader(workers, new Random(SEED));

  @Test
  void should_not_restart_a_member_of_an_adopted_attempt_that_has_run() {
    leader.submit("job-0", 2, WORK_SECONDS, true);
    runUntilBothMembersRun();
    Runnable deposedLeader = leader.handOver();
    long endMillis = workers.nowMillis() + DEPOSED_LEADER_MILLIS;
    while (workers.nowMillis() < endMillis) {
      deposedLeader.run();
      advanceOneTick();
    }
    workers.restart("worker-1");
    runUntilCompleted();

    assertThat(runsOfAttempt(1)).as("runs of attempt 1").hasSize(2);
    assertThat(leader.completed()).containsExactly("job-0");
  }

  @Test
  void should_resume_an_adopted_attempt_when_all_members_run() {
    leader.submit("job-0", 2, WORK_SECONDS, true);
    runUntilBothMembersRun();
    leader.handOver();
    runUntilCompleted();

    assertThat(workers.runs()).extracting(TaskRun::attempt).containsOnly(1);
  }

  @Test
  void should_resume_an_adopted_attempt_that_no_worker_knows() {
    leader.submit("job-0", 2, WORK_SECONDS, true);
    leader.tick();
    leader.handOver();
    workers.names().forEach(workers::restart);
    runUntilCompleted();

    assertThat(workers.runs()).extracting(TaskRun::attempt).containsOnly(1);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void should_end_an_adopted_attempt_only_after_the_deposed_leader_has_stopped(long seed) {
    workers = new SimulatedWorkers(new Random(seed), 2, 0);
    leader = new SimulatedLeader(workers, new Random(seed));
    workers.names().forEach(worker -> workers.failTasks(worker, true));
    leader.submit("job-0", 1, WORK_SECONDS, true);
    leader.tick();
    Runnable deposedLeader = leader.handOver();
    runWithDeposedLeader(deposedLeader, DEPOSED_LEADER_MILLIS / 2);
    workers.names().forEach(workers::restart);
    runWithDeposedLeader(deposedLeader, DEPOSED_LEADER_MILLIS);
    workers.names().forEach(worker -> workers.failTasks(worker, false));
    runUntilCompleted();

    List<TaskRun> secondAttempt = runsOfAttempt(2);
    assertThat(secondAttempt).hasSize(1);
    assertThat(runsOfAttempt(1))
        .allMatch(run -> run.endMillis() <= secondAttempt.getFirst().startMillis());
  }

  private void runWithDeposedLeader(Runnable deposedLeader, int durationMillis) {
    long endMillis = workers.nowMillis() + durationMillis;
    while (workers.nowMillis() < endMillis) {
      leader.tick();
      deposedLeader.run();
      advanceOneTick();
    }
  }

  private List<TaskRun> runsOfAttempt(int attempt) {
    return workers.runs().stream().filter(run -> run.attempt() == attempt).toList();
  }

  private void runUntilBothMembersRun() {
    while (workers.runs().size() < 2 && workers.nowMillis() < TIMEOUT_MILLIS) {
      leader.tick();
      workers.runUntil(workers.nowMillis() + 1);
    }
  }

  private void runUntilCompleted() {
    while (leader.completed().isEmpty() && workers.nowMillis() < TIMEOUT_MILLIS) {
      leader.tick();
      advanceOneTick();
    }
  }

  private void advanceOneTick() {
    workers.runUntil(workers.nowMillis() + TICK_MILLIS);
  }
}
