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
 * Records that are written in one transaction. The transaction succeeds only if the leader key,
 * every record and every guard still have their last known versions (compare-and-swap).
 */
final class RecordBatch {
  /** Maximum estimated size of a batch's changes. */
  private static final int MAX_BYTES = 40_000;

  /** Estimated size of a change without its value: the key, its version, and its guard. */
  private static final int CHANGE_OVERHEAD_BYTES = 250;

  /** Estimated size of the deletion of a record. */
  private static final int DELETION_BYTES = 50;

  /**
   * The write of one record.
   *
   * @param record the record that was sent
   * @param urgency the urgency with which it was queued
   * @param isDeletion whether the write deletes the key
   * @param onDurable actions to run once the sent content is durable
   */
  record Write(PendingRecord record, int urgency, boolean isDeletion, List<Runnable> onDurable) {}

  private final List<PendingRecord> records = new ArrayList<>();
  private final List<Condition> conditions = new ArrayList<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<String, Condition> guards = new LinkedHashMap<>();
  private final List<Write> writes = new ArrayList<>();
  private int bytes;

  private RecordBatch() {}

  /**
   * Collects the records to send next, without changing their states.
   *
   * @param queue the records to choose from
   * @param overdue the record to put first; may be null
   * @param maxRecords maximum number of records
   * @param maxIfDeferrable maximum number of records in a batch that contains deferrable ones
   */
  static RecordBatch collect(
      WriteQueue queue, PendingRecord overdue, int maxRecords, int maxIfDeferrable) {
    RecordBatch batch = new RecordBatch();
    if (overdue != null) {
      batch.addIfFits(overdue);
    }
    for (var records : queue.recordsByUrgency()) {
      for (PendingRecord record : records.values()) {
        boolean isDeferrable = record.urgency() >= RecordWriter.DEFERRABLE_URGENCY;
        int max = isDeferrable ? Math.min(maxRecords, maxIfDeferrable) : maxRecords;
        if (batch.size() >= max || batch.bytes > MAX_BYTES) {
          return batch;
        }
        if (!record.isInFlight() && record != overdue) {
          batch.addIfFits(record);
        }
      }
    }
    return batch;
  }

  /** Adds a record if the batch has room for it or is empty. */
  private void addIfFits(PendingRecord record) {
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

  /** Removes the records from the queue and marks them as sent. */
  void beginWrites(WriteQueue queue) {
    for (int i = 0; i < records.size(); i++) {
      PendingRecord record = records.get(i);
      int urgency = record.urgency();
      queue.remove(record);
      boolean isDeletion = changes.get(i).value() == null;
      writes.add(new Write(record, urgency, isDeletion, record.beginWrite()));
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

  /** Returns the writes of the batch; empty before {@link #beginWrites}. */
  List<Write> writes() {
    return writes;
  }

  /** Returns all conditions of the transaction, the leader key's first. */
  List<Condition> conditions(Condition leader) {
    List<Condition> allConditions = new ArrayList<>(1 + conditions.size() + guards.size());
    allConditions.add(leader);
    allConditions.addAll(conditions);
    allConditions.addAll(guards.values());
    return allConditions;
  }

  List<Change> changes() {
    return changes;
  }

  /** Returns whether the key belongs to a guard. */
  boolean isGuard(String key) {
    return guards.containsKey(key);
  }
}
