package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Records that are written in one transaction. It succeeds only if the leader key, every record and
 * every guard still have the versions that are known here (compare-and-swap).
 */
final class RecordBatch {
  private static final int MAX_BYTES = 40_000;

  /** Estimated size in a transaction beside the value: the key, its version, its guard. */
  private static final int CHANGE_OVERHEAD_BYTES = 250;

  private static final int DELETION_BYTES = 50;

  /** A record with what was sent of it. */
  record Write(PendingRecord record, int urgency, boolean isDeletion, List<Runnable> onDurable) {}

  private final List<PendingRecord> records = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<String, Condition> guards = new LinkedHashMap<>();
  private final List<Write> writes = new ArrayList<>();
  private int bytes;

  private RecordBatch() {}

  /**
   * Collects the records to send next; their states are left alone.
   *
   * @param overdue goes first; may be null
   * @param maxRecords the most records in all
   * @param maxIfDeferrable so many records at most before a deferrable one is added
   */
  static RecordBatch collect(
      WriteQueue queue, PendingRecord overdue, int maxRecords, int maxIfDeferrable) {
    RecordBatch batch = new RecordBatch();
    if (overdue != null) {
      batch.addIfItFits(overdue);
    }
    for (var records : queue.recordsByUrgency()) {
      for (PendingRecord record : records.values()) {
        boolean deferrable = record.urgency() >= RecordWriter.DEFERRABLE_URGENCY;
        int max = deferrable ? Math.min(maxRecords, maxIfDeferrable) : maxRecords;
        if (batch.size() >= max || batch.bytes > MAX_BYTES) {
          return batch;
        }
        if (!record.isInFlight() && record != overdue) {
          batch.addIfItFits(record);
        }
      }
    }
    return batch;
  }

  private void addIfItFits(PendingRecord record) {
    JsonNode value = record.content();
    int size = value == null ? DELETION_BYTES : Json.bytes(value).length + CHANGE_OVERHEAD_BYTES;
    if (!records.isEmpty() && bytes + size > MAX_BYTES) {
      return;
    }
    bytes += size;
    records.add(record);
    conditions.add(record.versionCondition());
    changes.add(new Change(record.key(), value, 0));
    Condition guard = record.guard();
    if (guard != null) {
      guards.put(guard.key(), guard);
    }
  }

  /** Takes the records out of the queue and marks them as sent. */
  void beginWrites(WriteQueue queue) {
    for (int i = 0; i < records.size(); i++) {
      PendingRecord record = records.get(i);
      int urgency = record.urgency();
      queue.remove(record);
      boolean deletion = changes.get(i).value() == null;
      writes.add(new Write(record, urgency, deletion, record.beginWrite()));
    }
  }

  boolean isEmpty() {
    return records.isEmpty();
  }

  int size() {
    return records.size();
  }

  PendingRecord first() {
    return records.get(0);
  }

  /** What was sent, once it has begun. */
  List<Write> writes() {
    return writes;
  }

  /** All conditions of the transaction, the leader key's first. */
  List<Condition> conditions(Condition leader) {
    List<Condition> all = new ArrayList<>(1 + conditions.size() + guards.size());
    all.add(leader);
    all.addAll(conditions);
    all.addAll(guards.values());
    return all;
  }

  List<Change> changes() {
    return changes;
  }

  /** Whether the key is that of a guard. */
  boolean isGuard(String key) {
    return guards.containsKey(key);
  }
}
