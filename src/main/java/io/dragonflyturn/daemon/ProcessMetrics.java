package io.dragonflyturn.daemon;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.time.Duration;

/** Registers gauges for the memory and the CPU time of the process. */
final class ProcessMetrics {
  private ProcessMetrics() {}

  static void register(MetricRegistry metrics) {
    MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
    metrics.registerGauge(
        "process.heap.bytes", (Gauge<Long>) () -> memory.getHeapMemoryUsage().getUsed());
    metrics.registerGauge(
        "process.nonheap.bytes", (Gauge<Long>) () -> memory.getNonHeapMemoryUsage().getUsed());
    metrics.registerGauge(
        "process.cpu.milliseconds", (Gauge<Long>) ProcessMetrics::processorTimeMillis);
  }

  private static long processorTimeMillis() {
    return ProcessHandle.current().info().totalCpuDuration().map(Duration::toMillis).orElse(-1L);
  }
}
