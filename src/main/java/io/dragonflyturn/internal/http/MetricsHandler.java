package io.dragonflyturn.internal.http;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves all metrics as JSON at {@code /metrics}, and the health check at {@code /health}. */
public final class MetricsHandler extends Handler.Abstract {
  private final MetricRegistry metrics;
  private final Supplier<Health> health;

  /** Creates a handler for the metrics of a registry and the current health. */
  public MetricsHandler(MetricRegistry metrics, Supplier<Health> health) {
    super(InvocationType.NON_BLOCKING);
    this.metrics = metrics;
    this.health = health;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    switch (Request.getPathInContext(request)) {
      case "/metrics" -> write(response, callback, values());
      case "/health" -> writeHealth(response, callback);
      default -> {
        return false;
      }
    }
    return true;
  }

  private void writeHealth(Response response, Callback callback) {
    Health current = health.get();
    response.setStatus(current.httpStatus());
    write(response, callback, Map.of("status", current.name().toLowerCase(Locale.ROOT)));
  }

  private static void write(Response response, Callback callback, Map<String, ?> values) {
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(JsonCodec.write(values)), callback);
  }

  private Map<String, Object> values() {
    Map<String, Object> values = new TreeMap<>();
    metrics.getMetrics().forEach((name, metric) -> add(values, name, metric));
    return values;
  }

  private static void add(Map<String, Object> values, String name, Metric metric) {
    if (metric instanceof Gauge<?> gauge) {
      values.put(name, String.valueOf(gauge.getValue()));
    }
    if (metric instanceof Counting counting) {
      values.put(name + ".count", counting.getCount());
    }
    if (metric instanceof Sampling sampling) {
      addQuantiles(values, name, sampling.getSnapshot());
    }
  }

  private static void addQuantiles(Map<String, Object> values, String name, Snapshot snapshot) {
    values.put(name + ".p50", snapshot.getMedian());
    values.put(name + ".p99", snapshot.get99thPercentile());
    values.put(name + ".maximum", snapshot.getMax());
  }
}
