package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.List;
import org.snowturn.wire.Json;
import org.snowturn.wire.MessageSize;

/**
 * The size of a worker's messages. A worker sends no report that is longer than PROTOCOL allows,
 * and refuses such messages; both are violations.
 */
final class WorkerMessages {
  /** Number of commands up to which a message is within the limit. */
  private static final int MAX_COMMANDS_OF_SHORT_MESSAGE = 200;

  /** Limit on reports of the deliberate bug {@code small_bodies}. */
  private static final int SMALL_BODY_BYTES = 4_096;

  private final SimulatedCluster cluster;
  private final String machine;
  private final DrawnOrder order;

  WorkerMessages(SimulatedCluster cluster, String machine) {
    this.cluster = cluster;
    this.machine = machine;
    this.order = new DrawnOrder(31 * cluster.seed + machine.hashCode());
  }

  /** Returns the layout of the worker's reports. */
  ReportLayout layout() {
    return cluster.drawsReportLayouts
        ? ReportLayout.draw(cluster.seed, machine)
        : ReportLayout.COMPACT;
  }

  /**
   * Returns the tasks in the order in which the next report lists them, which PROTOCOL leaves open.
   */
  List<SimulatedTask> inListedOrder(Collection<SimulatedTask> tasks) {
    return order.apply(tasks);
  }

  /** Returns whether a report of the worker is longer than allowed. */
  boolean isReportTooLong(JsonNode report) {
    int maxBytes =
        cluster.seededBugs.contains("small_bodies") ? SMALL_BODY_BYTES : MessageSize.MAX_BYTES;
    if (layout().bytes(report) <= maxBytes) {
      return false;
    }
    int tasks = report.path("flakes").size();
    cluster.invariants.reportViolation(
        "message_size", machine + " cannot report its " + tasks + " tasks");
    return true;
  }

  /** Returns whether a message with commands for the worker is longer than allowed. */
  boolean isTooLong(JsonNode message) {
    int commands = message.path("orders").size();
    if (commands <= MAX_COMMANDS_OF_SHORT_MESSAGE
        || Json.bytes(message).length <= MessageSize.MAX_BYTES) {
      return false;
    }
    cluster.invariants.reportViolation(
        "message_size", commands + " commands for " + machine + " in one message");
    return true;
  }
}
