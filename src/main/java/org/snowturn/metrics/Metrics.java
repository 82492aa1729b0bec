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
 * The process's own figures: Micrometer meters, with HdrHistogram behind the latencies. Any thread
 * may count; latencies are recorded and shown on one.
 */
public final class Metrics {
  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, Histogram> latencies = new TreeMap<>();

  /** Counts one event. */
  public void count(String name, String kind) {
    counters
        .computeIfAbsent(
            name + "/" + kind, k -> Counter.builder(name).tag("kind", kind).register(registry))
        .increment();
  }

  /** Records how long something took. */
  public void recordLatency(String name, long nanos) {
    latencies
        .computeIfAbsent(name, n -> new Histogram(MAX_LATENCY_MICROS, 2))
        .recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, nanos / 1000)));
  }

  /** Shows a value that is read when asked for. */
  public void registerGauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** All figures as text, one a line. */
  public String toText(Map<String, Double> more) {
    StringBuilder out = new StringBuilder(2048);
    TreeMap<String, Double> lines = new TreeMap<>();
    for (Meter m : registry.getMeters()) {
      String kind = m.getId().getTag("kind");
      String name =
          m.getId().getName().replace('.', '_') + (kind == null ? "" : "{kind=\"" + kind + "\"}");
      m.measure().forEach(v -> lines.put(name, v.getValue()));
    }
    more.forEach((n, v) -> lines.put(n.replace('.', '_'), v));
    latencies.forEach(
        (n, h) -> {
          String name = n.replace('.', '_') + "_seconds";
          for (double q : new double[] {50, 99, 99.9}) {
            lines.put(name + "{quantile=\"" + q / 100 + "\"}", h.getValueAtPercentile(q) / 1e6);
          }
          lines.put(name + "_count", (double) h.getTotalCount());
        });
    lines.forEach((n, v) -> out.append(n).append(' ').append(v).append('\n'));
    return out.toString();
  }
}
