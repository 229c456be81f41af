package io.dragonflyturn.model;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The data of the quarterly report, as far back as ended jobs are kept.
 *
 * @param fromMillis the first submission of a job, in milliseconds since the epoch
 * @param toMillis the end of the period, in milliseconds since the epoch
 * @param shortfalls a message for each guaranteed shape that cannot be reclaimed at the end of the
 *     period
 * @param customers a row for each customer
 * @param series metrics over time
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ReportData(
    long fromMillis,
    long toMillis,
    List<String> shortfalls,
    List<ReportRow> customers,
    List<ReportSeries> series) {
  /** Copies the lists; null becomes an empty list. */
  public ReportData {
    shortfalls = Fields.copy(shortfalls);
    customers = Fields.copy(customers);
    series = Fields.copy(series);
  }

  /** Returns the number of jobs that completed successfully. */
  public long completedJobs() {
    return customers.stream().mapToLong(ReportRow::completedJobs).sum();
  }

  /** Returns the fraction of completed jobs that finished on time, 0 to 1; 1 if there are none. */
  public double finishedOnTimeShare() {
    long onTime = customers.stream().mapToLong(ReportRow::finishedOnTime).sum();
    return completedJobs() == 0 ? 1.0 : (double) onTime / completedJobs();
  }
}
