package io.dragonflyturn.internal.report;

import io.dragonflyturn.model.ReportPoint;
import io.dragonflyturn.model.ReportSeries;
import java.awt.Color;
import java.io.IOException;
import java.util.Base64;
import java.util.Date;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.time.Millisecond;
import org.jfree.data.time.TimeSeries;
import org.jfree.data.time.TimeSeriesCollection;

/** Plots one report series over time as a PNG image. */
final class SeriesPlot {
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 260;

  private SeriesPlot() {}

  /** Returns the plot as a base64-encoded PNG image. */
  static String base64Png(ReportSeries reportSeries) throws IOException {
    TimeSeries timeSeries = new TimeSeries(reportSeries.name());
    for (ReportPoint point : reportSeries.points()) {
      timeSeries.addOrUpdate(new Millisecond(new Date(point.atMillis())), point.value());
    }
    JFreeChart chart = createChart(reportSeries.name(), reportSeries.unit(), timeSeries);
    byte[] png = ChartUtils.encodeAsPNG(chart.createBufferedImage(WIDTH_PIXELS, HEIGHT_PIXELS));
    return Base64.getEncoder().encodeToString(png);
  }

  private static JFreeChart createChart(String title, String unit, TimeSeries series) {
    JFreeChart chart =
        ChartFactory.createTimeSeriesChart(
            title, "time", unit, new TimeSeriesCollection(series), false, false, false);
    chart.setBackgroundPaint(Color.WHITE);
    chart.getXYPlot().setBackgroundPaint(Color.WHITE);
    chart.getXYPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
    return chart;
  }
}
