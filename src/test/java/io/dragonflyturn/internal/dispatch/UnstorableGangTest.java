package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Replays gangs whose placement is longer than a record of the store may be. */
class UnstorableGangTest {
  private static final int WORKERS = 200;
  private static final int RECORD_BYTES = 2_048;
  private static final Resources WHOLE_WORKER = new Resources(32_000, 65_536, 8);

  private final DispatchFixture fixture = new DispatchFixture();

  @BeforeEach
  void startInstances() {
    for (int worker = 0; worker < WORKERS; worker++) {
      fixture.workers.add("worker-" + worker);
    }
    fixture.instance("first");
    fixture.instance("second");
    fixture.advance(2_500);
  }

  /** The leader repeated the append of the placement for ever, and placed nothing any more. */
  @Test
  void should_run_other_jobs_beside_a_gang_whose_placement_is_too_long() {
    fixture.store.setRecordBytes(RECORD_BYTES);

    fixture.submit("wide", 0, DispatchFixture.step(WORKERS, true, WHOLE_WORKER));
    fixture.submit("small", 1, DispatchFixture.tasks(4));
    fixture.advance(5_000);

    assertThat(fixture.leader().state("small")).isEqualTo(JobState.COMPLETED);
  }

  @Test
  void should_fail_a_gang_whose_placement_is_too_long() {
    fixture.store.setRecordBytes(RECORD_BYTES);

    fixture.submit("wide", 0, DispatchFixture.step(WORKERS, true, WHOLE_WORKER));
    fixture.advance(1_000);

    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.FAILED);
    assertThat(fixture.workers.starts("wide.0.0.0")).isZero();
  }

  /** The limit that the store keeps may be lower than the one that it names. */
  @Test
  void should_run_other_jobs_while_the_store_does_not_accept_a_placement() {
    fixture.store.setAcceptedRecordBytes(RECORD_BYTES);

    fixture.submit("wide", 0, DispatchFixture.step(WORKERS, true, WHOLE_WORKER));
    fixture.submit("small", 1, DispatchFixture.tasks(4));
    fixture.advance(8_000);

    assertThat(fixture.leader().state("small")).isEqualTo(JobState.COMPLETED);
    assertThat(fixture.workers.starts("wide.0.0.0")).isZero();
  }

  /** The leader cannot go on where it cannot record what has happened; its successor can. */
  @Test
  void should_lose_no_end_while_the_store_accepts_no_record() {
    fixture.submit("small", 1, DispatchFixture.tasks(1));
    fixture.advance(1_000);
    DispatchFixture.Instance leader = fixture.leader();
    fixture.store.setAcceptedRecordBytes(1);
    fixture.advance(4_000);
    final boolean wasLeading = leader.dispatcher.isLeading();

    fixture.store.setAcceptedRecordBytes(RECORD_BYTES);
    fixture.advance(8_000);

    assertThat(wasLeading).isFalse();
    assertThat(fixture.leader().state("small")).isEqualTo(JobState.COMPLETED);
    assertThat(fixture.workers.starts("small.0.0.0")).isEqualTo(1);
  }

  /** A worker may name checkpoints of any length, and each is part of the record of its run. */
  @Test
  void should_run_other_jobs_beside_a_task_with_a_checkpoint_that_is_too_long_to_be_stored() {
    fixture.workers.setCheckpoint("x".repeat(300_000));
    fixture.submit("long", 1, DispatchFixture.checkpointedTask());
    fixture.advance(1_000);
    fixture.drain(fixture.workers.workerOf("long.0.0.0"), 100);
    fixture.advance(500);

    fixture.submit("small", 1, DispatchFixture.tasks(4));
    fixture.advance(8_000);

    assertThat(fixture.leader().state("small")).isEqualTo(JobState.COMPLETED);
    assertThat(fixture.leader().state("long")).isEqualTo(JobState.COMPLETED);
  }

  @Test
  void should_run_a_gang_whose_placement_can_be_stored() {
    fixture.submit("wide", 0, DispatchFixture.step(WORKERS, true, WHOLE_WORKER));
    fixture.advance(5_000);

    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.COMPLETED);
  }

  /** A job that an earlier build accepted is met by each new leader. */
  @Test
  void should_run_other_jobs_when_a_new_leader_finds_a_gang_whose_placement_is_too_long() {
    fixture.instance("third");
    fixture.submit("wide", 0, DispatchFixture.step(WORKERS + 1, true, WHOLE_WORKER));
    fixture.advance(1_000);
    fixture.leader().disconnect();
    fixture.store.setRecordBytes(RECORD_BYTES);
    fixture.workers.add("worker-" + WORKERS);
    fixture.advance(4_000);
    fixture.reportWorkers();

    fixture.submit("small", 1, DispatchFixture.tasks(4));
    fixture.advance(5_000);

    assertThat(fixture.leader().state("wide")).isEqualTo(JobState.FAILED);
    assertThat(fixture.leader().state("small")).isEqualTo(JobState.COMPLETED);
  }
}
