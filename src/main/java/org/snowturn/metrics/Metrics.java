package org.snowturn.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/**
 * Metrics of this process: Micrometer counters and gauges, and HdrHistogram latencies. Counters can
 * be used on any thread; latencies have to be recorded and formatted on the same thread.
 */
public final class Metrics {
  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final long NANOS_PER_MICRO = 1000;
  private static final double MICROS_PER_S = 1e6;
  private static final int INITIAL_TEXT_CAPACITY = 2048;
  private static final double[] PERCENTILES = {50, 99, 99.9};

  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, Histogram> latencies = new TreeMap<>();

  /** Increments the counter with this name and value of the tag {@code kind}. */
  public void count(String name, String kind) {
    counters
        .computeIfAbsent(
            name + "/" + kind, key -> Counter.builder(name).tag("kind", kind).register(registry))
        .increment();
  }

  /** Adds the duration of one operation, in nanoseconds, to the latencies with this name. */
  public void recordLatency(String name, long nanos) {
    latencies
        .computeIfAbsent(name, key -> new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS))
        .recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, nanos / NANOS_PER_MICRO)));
  }

  /** Registers a gauge whose value is supplied each time the metrics are formatted. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /**
   * Returns all metrics in text form, one per line.
   *
   * @param additionalValues values of further metrics by name
   */
  public String toText(Map<String, Double> additionalValues) {
    StringBuilder out = new StringBuilder(INITIAL_TEXT_CAPACITY);
    TreeMap<String, Double> lines = new TreeMap<>();
    for (Meter meter : registry.getMeters()) {
      String kind = meter.getId().getTag("kind");
      String name =
          meter.getId().getName().replace('.', '_')
              + (kind == null ? "" : "{kind=\"" + kind + "\"}");
      meter.measure().forEach(measurement -> lines.put(name, measurement.getValue()));
    }
    additionalValues.forEach((metric, value) -> lines.put(metric.replace('.', '_'), value));
    latencies.forEach(
        (metric, histogram) -> {
          String name = metric.replace('.', '_') + "_seconds";
          for (double percentile : PERCENTILES) {
            lines.put(
                name + "{quantile=\"" + percentile / 100 + "\"}",
                histogram.getValueAtPercentile(percentile) / MICROS_PER_S);
          }
          lines.put(name + "_count", (double) histogram.getTotalCount());
        });
    lines.forEach((metric, value) -> out.append(metric).append(' ').append(value).append('\n'));
    return out.toString();
  }
}
