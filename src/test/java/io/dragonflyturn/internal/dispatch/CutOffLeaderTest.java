package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.dispatch.DispatchFixture.Instance;
import io.dragonflyturn.internal.workload.JobState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Replays a partition with the leader and one worker on one side, and the store, the other
 * instance, and the other worker on the other side.
 */
class CutOffLeaderTest {
  private static final long LONGEST_LEASE_MILLIS = 18_000;

  private final DispatchFixture fixture = new DispatchFixture();
  private Instance leader;
  private Instance successor;
  private String worker;

  @BeforeEach
  void startOneTask() {
    fixture.workers.add("w1");
    fixture.workers.add("w2");
    Instance first = fixture.instance("first");
    final Instance second = fixture.instance("second");
    fixture.advance(2_500);
    leader = fixture.leader();
    successor = leader == first ? second : first;
    fixture.workers.setWorkMillis(60_000);
    fixture.submit("a", 1, DispatchFixture.longTask(60_000));
    fixture.advance(1_000);
    worker = fixture.workers.workerOf("a.0.0.0");
  }

  /** A leader without the store renewed leases for longer than its successor waited. */
  @Test
  void should_not_run_a_task_twice_while_a_leader_without_the_store_renews_its_lease() {
    cutOff();

    fixture.advance(LONGEST_LEASE_MILLIS);

    assertThat(successor.dispatcher.isLeading()).isTrue();
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Test
  void should_restart_a_task_on_the_other_side_once_all_leases_have_ended() {
    cutOff();

    fixture.advance(LONGEST_LEASE_MILLIS);

    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(2);
    assertThat(fixture.workers.workerOf("a.0.0.0")).isNotEmpty().isNotEqualTo(worker);
  }

  /** A task that was done behind the partition was started again, and its end was acknowledged. */
  @Test
  void should_not_restart_a_task_that_is_done_before_its_lease_ends() {
    fixture.workers.setWorkMillis(8_000);
    fixture.submit("b", 1, DispatchFixture.gang(8));
    fixture.advance(500);
    fixture.workers.ids().forEach(id -> successor.disconnectFromWorkers(id));
    leader.disconnectFromStore();
    fixture.advance(11_000);

    leader.reconnect();
    successor.reconnect();
    fixture.advance(6_000);

    assertThat(successor.state("b")).isEqualTo(JobState.COMPLETED);
    assertThat(fixture.workers.starts("b.0.0.0")).isEqualTo(1);
  }

  @Test
  void should_keep_a_run_through_an_outage_of_the_store_for_all_instances() {
    fixture.store.setDown(true);
    fixture.advance(8_000);
    fixture.store.setDown(false);
    fixture.advance(10_000);

    assertThat(fixture.workers.starts("a.0.0.0")).isEqualTo(1);
    assertThat(fixture.workers.runningTasks()).contains("a.0.0.0");
  }

  private void cutOff() {
    leader.disconnectFromStore();
    successor.disconnectFromWorkers(worker);
    fixture.workers.ids().stream()
        .filter(id -> !id.equals(worker))
        .forEach(id -> leader.disconnectFromWorkers(id));
  }
}
