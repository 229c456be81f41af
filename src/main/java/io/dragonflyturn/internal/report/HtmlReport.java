package io.dragonflyturn.internal.report;

import io.dragonflyturn.model.ReportData;
import io.dragonflyturn.model.ReportRow;
import io.dragonflyturn.model.ReportSeries;
import java.io.IOException;
import java.util.List;

/**
 * Writes the quarterly report as one self-contained HTML file: a headline, a table with a row for
 * each customer, and plots.
 */
public final class HtmlReport {
  private static final String HEADLESS = "java.awt.headless";
  private static final String STYLE =
      "body{font-family:sans-serif;max-width:60em;margin:2em auto}"
          + "h1{font-size:1.4em}"
          + ".headline{font-size:1.2em;font-weight:bold}"
          + "table{border-collapse:collapse}"
          + "td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}"
          + "td:first-child,th:first-child{text-align:left}";

  private final ReportData report;
  private final StringBuilder html = new StringBuilder();

  private HtmlReport(ReportData report) {
    this.report = report;
  }

  /**
   * Returns the report as an HTML document.
   *
   * @throws IOException if a plot cannot be encoded
   */
  public static String of(ReportData report) throws IOException {
    System.setProperty(HEADLESS, "true");
    return new HtmlReport(report).write();
  }

  private String write() throws IOException {
    html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    html.append("<title>dragonflyturn report</title><style>").append(STYLE);
    html.append("</style></head><body>\n<h1>Accelerator report, ");
    html.append(ReportText.period(report)).append("</h1>\n<p class=\"headline\">");
    html.append(escape(ReportText.headline(report))).append("</p>\n");
    writeShortfalls();
    writeTable();
    writePlots();
    html.append("</body></html>\n");
    return html.toString();
  }

  private void writeTable() {
    html.append("<table>\n");
    writeRow(
        "th",
        List.of(
            "Customer",
            "Promised accelerators",
            "Held accelerators",
            "Waiting jobs",
            "Ended jobs",
            "Completed jobs",
            "Finished on time",
            "Mean completion time"));
    for (ReportRow row : report.customers()) {
      writeRow("td", cells(row));
    }
    html.append("</table>\n");
  }

  private static List<String> cells(ReportRow row) {
    return List.of(
        row.customer(),
        String.valueOf(row.promisedAccelerators()),
        String.valueOf(row.heldAccelerators()),
        String.valueOf(row.waitingJobs()),
        String.valueOf(row.endedJobs()),
        String.valueOf(row.completedJobs()),
        String.valueOf(row.finishedOnTime()),
        ReportText.seconds(row.meanCompletionSeconds()));
  }

  private void writeRow(String tag, List<String> cells) {
    html.append("<tr>");
    for (String cell : cells) {
      html.append('<').append(tag).append('>').append(escape(cell));
      html.append("</").append(tag).append('>');
    }
    html.append("</tr>\n");
  }

  private void writePlots() throws IOException {
    for (ReportSeries series : report.series()) {
      html.append("<p><img alt=\"").append(escape(series.name()));
      html.append("\" src=\"data:image/png;base64,");
      html.append(SeriesPlot.base64Png(series)).append("\"></p>\n");
    }
  }

  private void writeShortfalls() {
    for (String shortfall : report.shortfalls()) {
      html.append("<p>").append(escape(shortfall)).append("</p>\n");
    }
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
