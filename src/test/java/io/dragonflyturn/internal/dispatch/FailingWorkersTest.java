package io.dragonflyturn.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.internal.dispatch.DispatchFixture.Instance;
import io.dragonflyturn.internal.workload.JobState;
import io.dragonflyturn.internal.workload.Resources;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Replays a load of gangs with two attempts each, while a tenth of the workers start to fail
 * everything.
 */
class FailingWorkersTest {
  private static final int WORKERS = 40;
  private static final int FAILING_WORKERS = 4;
  private static final int JOBS = 60;
  private static final long SUBMISSION_INTERVAL_MILLIS = 100;
  private static final Resources HALF_WORKER = new Resources(16_000, 32_000, 4);

  private final DispatchFixture fixture = new DispatchFixture();

  @Test
  void should_complete_all_jobs_while_a_tenth_of_the_workers_fail_all_that_they_start() {
    for (int worker = 0; worker < WORKERS; worker++) {
      fixture.workers.add("w" + worker);
    }
    final Instance instance = fixture.instance("leader");
    fixture.advance(2_500);
    fixture.workers.setWorkMillis(2_500);
    submitJobs("warm-up-");
    for (int worker = 0; worker < FAILING_WORKERS; worker++) {
      fixture.workers.failRuns("w" + worker * WORKERS / FAILING_WORKERS);
    }

    List<String> jobs = submitJobs("job-");
    fixture.advance(20_000);

    assertThat(jobs).allMatch(job -> instance.state(job) == JobState.COMPLETED);
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private List<String> submitJobs(String prefix) {
    List<String> jobs = new ArrayList<>();
    for (int job = 0; job < JOBS; job++) {
      fixture.submit(prefix + job, 0, DispatchFixture.step(2, true, HALF_WORKER));
      fixture.advance(SUBMISSION_INTERVAL_MILLIS);
      jobs.add(prefix + job);
    }
    return jobs;
  }
}
