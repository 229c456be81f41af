package io.dragonflyturn.model;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * A time series of one metric.
 *
 * @param name the name of the metric
 * @param unit the unit of the values
 * @param points the values, oldest first
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record ReportSeries(String name, String unit, List<ReportPoint> points) {
  /** Copies the points; null becomes an empty list. */
  public ReportSeries {
    points = Fields.copy(points);
  }
}
