package io.dragonflyturn.internal.report;

import io.dragonflyturn.model.ReportData;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.Locale;

/**
 * Formats the texts of the quarterly report that are shared by the command line and the HTML file.
 */
public final class ReportText {
  private static final double PERCENT_PER_UNIT = 100.0;

  private ReportText() {}

  /**
   * Returns a one-line summary: whether all guarantees can be met, and how much work was on time.
   */
  public static String headline(ReportData report) {
    return guaranteeSummary(report) + "; " + timelinessSummary(report) + ".";
  }

  /** Formats the period of the report as two dates, in UTC. */
  public static String period(ReportData report) {
    return date(report.fromMillis()) + " to " + date(report.toMillis());
  }

  /** Formats a fraction as a percentage with one decimal. */
  public static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * PERCENT_PER_UNIT);
  }

  /** Formats seconds with one decimal. */
  public static String seconds(double seconds) {
    return String.format(Locale.ROOT, "%.1f s", seconds);
  }

  private static String guaranteeSummary(ReportData report) {
    int shortfalls = report.shortfalls().size();
    return shortfalls == 0
        ? "Every customer's promised capacity is available at the same time"
        : shortfalls + " promised shape(s) are not available at present";
  }

  private static String timelinessSummary(ReportData report) {
    if (report.completedJobs() == 0) {
      return "no job was completed";
    }
    return percent(report.finishedOnTimeShare())
        + " of "
        + report.completedJobs()
        + " completed jobs finished on time";
  }

  private static LocalDate date(long millis) {
    return LocalDate.ofInstant(Instant.ofEpochMilli(millis), ZoneOffset.UTC);
  }
}
