package io.dragonflyturn.internal.protocol;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.LongAdder;

/** The metrics of the protocol between processes. */
final class ProtocolMetrics {
  private static final String BYTES = "protocol.bytes";

  private ProtocolMetrics() {}

  /**
   * Returns the counter of bytes sent and received, which all clients and servers of the registry
   * share.
   */
  static LongAdder transferredBytes(MetricRegistry metrics) {
    ByteGauge gauge = (ByteGauge) metrics.gauge(BYTES, ByteGauge::new);
    return gauge.adder;
  }

  private static final class ByteGauge implements Gauge<Long> {
    private final LongAdder adder = new LongAdder();

    @Override
    public Long getValue() {
      return adder.sum();
    }
  }
}
