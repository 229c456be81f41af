package io.dragonflyturn.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.JobStatus;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Tests which jobs {@link FaultJobs} reports as unfinished. */
class FaultJobsTest {
  @Test
  void should_accept_jobs_that_completed() {
    assertThat(FaultJobs.unfinished(Set.of("one"), List.of(job("one", "OK")))).isEmpty();
  }

  @Test
  void should_report_a_job_that_did_not_complete() {
    assertThat(FaultJobs.unfinished(Set.of(), List.of(job("one", null), job("two", "CANCELLED"))))
        .containsExactlyInAnyOrder("one", "two");
  }

  @Test
  void should_report_an_accepted_job_that_is_missing() {
    assertThat(FaultJobs.unfinished(Set.of("one", "two"), List.of(job("one", "OK"))))
        .containsExactly("two");
  }

  private static JobStatus job(String id, @Nullable String endName) {
    return new JobStatus(id, "derwent", "", 1, List.of(), 1, 1, 1, 0, endName, "");
  }
}
