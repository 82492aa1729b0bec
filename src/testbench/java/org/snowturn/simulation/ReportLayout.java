package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.snowturn.wire.Json;
import org.snowturn.wire.ListedTaskSize;

/** The ways in which workers write their reports; PROTOCOL leaves the layout open. */
enum ReportLayout {
  /** Without white space. */
  COMPACT(ListedTaskSize.SPACED_LAYOUT_BYTES) {
    @Override
    byte[] write(JsonNode report) {
      return Json.bytes(report);
    }
  },
  /** With each field on a line of its own. */
  INDENTED(ListedTaskSize.INDENTED_LAYOUT_BYTES) {
    @Override
    byte[] write(JsonNode report) {
      return report.toPrettyString().getBytes(StandardCharsets.UTF_8);
    }
  },
  /** With a field in each entry that receivers have to ignore. */
  ANNOTATED(ListedTaskSize.INDENTED_LAYOUT_BYTES) {
    @Override
    byte[] write(JsonNode report) {
      JsonNode copy = report.deepCopy();
      copy.path("flakes").forEach(task -> ((ObjectNode) task).put("pulled_ms", 12_345));
      return Json.bytes(copy);
    }
  };

  /** Number of tasks up to which a report is within the limit in every layout. */
  private static final int MAX_TASKS_OF_SHORT_REPORT = 64;

  /** Bytes by which an entry may exceed the most compact layout. */
  final int extraEntryBytes;

  ReportLayout(int extraEntryBytes) {
    this.extraEntryBytes = extraEntryBytes;
  }

  /** Returns a report as it is sent. */
  abstract byte[] write(JsonNode report);

  /** Returns the size of a report; 0 for one that is short in every layout. */
  int bytes(JsonNode report) {
    return report.path("flakes").size() <= MAX_TASKS_OF_SHORT_REPORT ? 0 : write(report).length;
  }

  /** Returns a layout that depends on the seed and the machine only. */
  static ReportLayout draw(long seed, String machine) {
    return values()[Math.floorMod(31 * Long.hashCode(seed) + machine.hashCode(), values().length)];
  }
}
