package io.dragonflyturn.scenario;

import io.dragonflyturn.Dragonflyturn;
import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.JobStatus;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import io.dragonflyturn.model.Urgency;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Submits the jobs of a random fault run in the background, so that faults do not block it. */
final class FaultJobs implements AutoCloseable {
  /** Number of members of each gang. */
  static final int MEMBERS = 4;

  private final ExecutorService submitters = Executors.newVirtualThreadPerTaskExecutor();
  private final Set<String> accepted = ConcurrentHashMap.newKeySet();
  private int submitted;

  /** Submits a job in the background and returns its id immediately. */
  String submit(Dragonflyturn customer) {
    String id = "faults-" + submitted++;
    submitters.execute(() -> submit(customer, id));
    return id;
  }

  private void submit(Dragonflyturn customer, String id) {
    try {
      customer.submit(
          new JobSpecification(
              id,
              "derwent",
              new Shape(MEMBERS, 4, Span.REGION),
              Urgency.NORMAL,
              true,
              true,
              2,
              Map.of("work-seconds", "2")));
      accepted.add(id);
    } catch (DragonflyturnException refused) {
      // Only jobs whose submission was confirmed count as accepted.
      return;
    }
  }

  /** Returns the number of confirmed submissions. */
  int acceptedCount() {
    return accepted.size();
  }

  /** Returns the jobs that have not completed successfully, and accepted jobs that are missing. */
  Set<String> unfinished(List<JobStatus> known) {
    return unfinished(accepted, known);
  }

  static Set<String> unfinished(Set<String> accepted, List<JobStatus> known) {
    Set<String> unfinished = new HashSet<>(accepted);
    for (JobStatus job : known) {
      if (ResultCode.OK.name().equals(job.endName())) {
        unfinished.remove(job.jobId());
      } else {
        unfinished.add(job.jobId());
      }
    }
    return unfinished;
  }

  /** Waits until all submissions have ended. */
  @Override
  public void close() {
    submitters.close();
  }
}
