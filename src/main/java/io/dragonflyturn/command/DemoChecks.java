package io.dragonflyturn.command;

import io.dragonflyturn.JobStatus;
import io.dragonflyturn.standin.WorkerHistory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects violations of guarantees from job results, request answers, and worker histories. */
final class DemoChecks {
  /** Time during which tasks may still start in a failure domain after it is taken out. */
  private static final long TAKE_OUT_GRACE_MILLIS = 3_000;

  private final List<String> violations = new ArrayList<>();

  List<String> violations() {
    return List.copyOf(violations);
  }

  /** Checks that the answer belongs to its request. */
  void checkAnswer(String requestId, String answer) {
    if (!answer.contains(requestId)) {
      violations.add(
          "The answer to request " + requestId + " belongs to another request: " + answer);
    }
  }

  /** Checks that every job completed successfully. */
  void checkJobs(List<JobStatus> jobs) {
    for (JobStatus job : jobs) {
      if (job.endCode() == null || job.endCode() != 0) {
        violations.add("Job " + job.jobId() + " ended with " + job.endName() + ": " + job.reason());
      }
    }
  }

  /** Checks that each non-idempotent request ran exactly once. */
  void checkSingleExecution(List<WorkerHistory> histories, Set<String> nonIdempotentRequestIds) {
    Map<String, Integer> runs = new HashMap<>();
    for (WorkerHistory history : histories) {
      for (WorkerHistory.RequestRun run : history.requests()) {
        if (run.run() && nonIdempotentRequestIds.contains(run.requestId())) {
          runs.merge(run.requestId(), 1, Integer::sum);
        }
      }
    }
    for (String requestId : nonIdempotentRequestIds) {
      int count = runs.getOrDefault(requestId, 0);
      if (count != 1) {
        violations.add("Request " + requestId + " ran " + count + " times instead of once.");
      }
    }
  }

  /** Checks that no task started in a failure domain while it was taken out of service. */
  void checkNoStartWhileTakenOut(
      List<WorkerHistory> histories,
      String domain,
      long takenOutAtMillis,
      long broughtBackAtMillis) {
    for (WorkerHistory history : histories) {
      if (!history.failureDomain().equals(domain)) {
        continue;
      }
      for (WorkerHistory.TaskRun task : history.tasks()) {
        boolean afterGracePeriod = task.startMillis() > takenOutAtMillis + TAKE_OUT_GRACE_MILLIS;
        if (afterGracePeriod && task.startMillis() < broughtBackAtMillis) {
          violations.add(
              "Job "
                  + task.jobId()
                  + " started in "
                  + domain
                  + " while it was taken out of service.");
        }
      }
    }
  }
}
