package io.dragonflyturn.internal.report;

import io.dragonflyturn.model.ReportData;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.Locale;

/** The words of the report. */
public final class ReportText {
  private static final double PERCENT_PER_UNIT = 100.0;

  private ReportText() {}

  /** Returns the one line for the director: was every promise kept, and was the work on time. */
  public static String headline(ReportData report) {
    return guaranteeSummary(report) + "; " + timelinessSummary(report) + ".";
  }

  /** Returns the period of the report as two dates, in UTC. */
  public static String period(ReportData report) {
    return date(report.fromMillis()) + " to " + date(report.toMillis());
  }

  /** Returns a share as a percentage with one decimal. */
  public static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * PERCENT_PER_UNIT);
  }

  /** Returns seconds with one decimal. */
  public static String seconds(double seconds) {
    return String.format(Locale.ROOT, "%.1f s", seconds);
  }

  private static String guaranteeSummary(ReportData report) {
    int shortfalls = report.shortfalls().size();
    return shortfalls == 0
        ? "Every customer's promised capacity can be had at once"
        : shortfalls + " promised shape(s) cannot be had at present";
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
