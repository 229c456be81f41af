package io.dragonflyturn.internal.scheduler;

import io.dragonflyturn.ResultCode;
import io.dragonflyturn.internal.state.ControlState;
import io.dragonflyturn.internal.state.JobPhase;
import io.dragonflyturn.internal.state.JobRecord;
import io.dragonflyturn.model.Customer;
import io.dragonflyturn.model.ReportData;
import io.dragonflyturn.model.ReportPoint;
import io.dragonflyturn.model.ReportRow;
import io.dragonflyturn.model.ReportSeries;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Builds the data of the operator report from the control state. */
final class ReportDataFactory {
  private static final double MILLIS_PER_SECOND = 1_000.0;

  /** The maximum ratio of completion time to own work of a job that finished on time. */
  private static final double MAXIMUM_ON_TIME_SLOWDOWN = 2.0;

  /**
   * The minimum work used in the on-time check, so that start latency does not make short jobs
   * late.
   */
  private static final double MINIMUM_WORK_SECONDS = 10.0;

  private ReportDataFactory() {}

  /**
   * Returns the report data of a state.
   *
   * @param shortfalls a sentence for each guaranteed shape that cannot currently be reclaimed
   */
  static ReportData of(ControlState state, List<String> shortfalls) {
    List<JobRecord> jobs = state.jobs();
    List<ReportRow> rows = new ArrayList<>();
    for (Customer customer : state.configuration().customers()) {
      rows.add(row(customer, ofCustomer(jobs, customer.name())));
    }
    long end = state.stateMillis();
    long start = jobs.stream().mapToLong(JobRecord::submittedAtMillis).min().orElse(end);
    return new ReportData(start, end, shortfalls, rows, series(completed(jobs)));
  }

  private static List<JobRecord> ofCustomer(List<JobRecord> jobs, String customer) {
    return jobs.stream().filter(job -> job.specification().customer().equals(customer)).toList();
  }

  private static ReportRow row(Customer customer, List<JobRecord> jobs) {
    List<JobRecord> completed = completed(jobs);
    return new ReportRow(
        customer.name(),
        customer.guaranteedAccelerators(),
        jobs.stream()
            .filter(ReportDataFactory::isActive)
            .mapToInt(ReportDataFactory::accelerators)
            .sum(),
        jobs.stream().filter(job -> job.phase() == JobPhase.QUEUED).count(),
        jobs.stream().filter(job -> job.phase() == JobPhase.ENDED).count(),
        completed.size(),
        completed.stream().filter(ReportDataFactory::isOnTime).count(),
        completed.stream().mapToDouble(ReportDataFactory::completionSeconds).average().orElse(0.0));
  }

  private static List<JobRecord> completed(List<JobRecord> jobs) {
    return jobs.stream()
        .filter(job -> job.phase() == JobPhase.ENDED && job.endCode() == ResultCode.OK)
        .sorted(Comparator.comparingLong(JobRecord::endedAtMillis))
        .toList();
  }

  private static List<ReportSeries> series(List<JobRecord> completed) {
    List<ReportPoint> completion = new ArrayList<>();
    List<ReportPoint> work = new ArrayList<>();
    double completionSum = 0;
    double workSum = 0;
    for (JobRecord job : completed) {
      completionSum += completionSeconds(job);
      workSum += job.completedSeconds() * accelerators(job);
      completion.add(new ReportPoint(job.endedAtMillis(), completionSum / (completion.size() + 1)));
      work.add(new ReportPoint(job.endedAtMillis(), workSum));
    }
    return List.of(
        new ReportSeries("Mean completion time", "seconds", completion),
        new ReportSeries("Work done", "accelerator seconds", work));
  }

  private static boolean isActive(JobRecord job) {
    return job.phase() != JobPhase.QUEUED && job.phase() != JobPhase.ENDED;
  }

  private static int accelerators(JobRecord job) {
    return job.specification().shape().accelerators();
  }

  private static double completionSeconds(JobRecord job) {
    return (job.endedAtMillis() - job.submittedAtMillis()) / MILLIS_PER_SECOND;
  }

  private static boolean isOnTime(JobRecord job) {
    double work = Math.max(job.completedSeconds(), MINIMUM_WORK_SECONDS);
    return completionSeconds(job) <= MAXIMUM_ON_TIME_SLOWDOWN * work;
  }
}
