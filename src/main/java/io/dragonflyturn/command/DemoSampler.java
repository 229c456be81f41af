package io.dragonflyturn.command;

import io.dragonflyturn.JobStatus;
import io.dragonflyturn.model.JobSpecification;
import io.dragonflyturn.model.MemberPlacement;
import io.dragonflyturn.model.Shape;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Samples accelerator fragmentation and utilization while the demo runs. */
final class DemoSampler {
  private final Map<String, Shape> shapes = new HashMap<>();
  private double fragmentationSum;
  private int fragmentationSamples;
  private double usedDuringChange;
  private double usableDuringChange;

  void recordSubmission(JobSpecification job) {
    shapes.put(job.id(), job.shape());
  }

  /**
   * Takes one sample.
   *
   * @param jobs the current state of all jobs
   * @param takenOutDomain the failure domain that is out of service; empty if there is none
   */
  void sample(List<JobStatus> jobs, String takenOutDomain) {
    Map<String, Integer> used = usedByWorker(jobs);
    Shape largest = largestWaiting(jobs);
    if (largest != null && largest.acceleratorsPerMember() > 0) {
      sampleFragmentation(used, largest, takenOutDomain);
    }
    if (!takenOutDomain.isEmpty()) {
      sampleChange(jobs, used, takenOutDomain);
    }
  }

  double fragmentation() {
    return fragmentationSamples == 0 ? 0 : fragmentationSum / fragmentationSamples;
  }

  double utilizationDuringChange() {
    return usableDuringChange == 0 ? 1 : Math.min(1, usedDuringChange / usableDuringChange);
  }

  private void sampleFragmentation(
      Map<String, Integer> used, Shape largest, String takenOutDomain) {
    int total = 0;
    int unusable = 0;
    for (String worker : availableWorkers(takenOutDomain)) {
      int free = DemoDeployment.ACCELERATORS_PER_WORKER - used.getOrDefault(worker, 0);
      total += DemoDeployment.ACCELERATORS_PER_WORKER;
      unusable += free % largest.acceleratorsPerMember();
    }
    fragmentationSum += (double) unusable / total;
    fragmentationSamples++;
  }

  private void sampleChange(
      List<JobStatus> jobs, Map<String, Integer> used, String takenOutDomain) {
    int usedAvailable = 0;
    Set<String> available = availableWorkers(takenOutDomain);
    for (String worker : available) {
      usedAvailable += used.getOrDefault(worker, 0);
    }
    int waitingAccelerators = 0;
    for (JobStatus job : jobs) {
      Shape shape = shapes.get(job.jobId());
      if (shape != null && job.phase().equals("QUEUED")) {
        waitingAccelerators += shape.accelerators();
      }
    }
    int capacity = available.size() * DemoDeployment.ACCELERATORS_PER_WORKER;
    usedDuringChange += usedAvailable;
    usableDuringChange += Math.min(capacity, usedAvailable + waitingAccelerators);
  }

  private static Set<String> availableWorkers(String takenOutDomain) {
    Set<String> workers = new HashSet<>();
    for (String domain : List.of(DemoDeployment.FIRST_DOMAIN, DemoDeployment.SECOND_DOMAIN)) {
      for (int index = 1; index <= DemoDeployment.WORKERS_PER_DOMAIN; index++) {
        if (!domain.equals(takenOutDomain)) {
          workers.add(domain + "-worker-" + index);
        }
      }
    }
    return workers;
  }

  private static Map<String, Integer> usedByWorker(List<JobStatus> jobs) {
    Map<String, Integer> used = new HashMap<>();
    for (JobStatus job : jobs) {
      for (MemberPlacement placement : job.placements()) {
        used.merge(placement.worker(), placement.accelerators().size(), Integer::sum);
      }
    }
    return used;
  }

  private @Nullable Shape largestWaiting(List<JobStatus> jobs) {
    return jobs.stream()
        .filter(job -> job.phase().equals("QUEUED") && shapes.containsKey(job.jobId()))
        .map(job -> shapes.get(job.jobId()))
        .max(Comparator.comparingInt(Shape::accelerators))
        .orElse(null);
  }
}
