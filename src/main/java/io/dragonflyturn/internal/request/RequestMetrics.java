package io.dragonflyturn.internal.request;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.dragonflyturn.ResultCode;
import io.dragonflyturn.model.Urgency;
import java.time.Duration;
import java.util.Locale;

/** Publishes the metrics of request handling. */
final class RequestMetrics {
  private final MetricRegistry registry;
  private final Meter retries;
  private final Meter hedges;
  private final Meter lostAnswers;
  private final Meter forwarded;

  RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.retries = registry.meter("requests.retries");
    this.hedges = registry.meter("requests.hedges");
    this.lostAnswers = registry.meter("requests.answers.lost");
    this.forwarded = registry.meter("requests.forwarded");
  }

  Meter retries() {
    return retries;
  }

  Meter hedges() {
    return hedges;
  }

  Meter lostAnswers() {
    return lostAnswers;
  }

  Meter forwarded() {
    return forwarded;
  }

  /** Records a response to a caller and its latency. */
  void recordResponse(Urgency urgency, ResultCode code, Duration latency) {
    String urgencyName = urgency.name().toLowerCase(Locale.ROOT);
    registry.meter("requests.codes." + code.name()).mark();
    Timer timer = registry.timer("requests.latency." + urgencyName);
    timer.update(latency);
  }
}
