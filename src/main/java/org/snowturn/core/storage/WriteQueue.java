package org.snowturn.core.storage;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A queue of the records to write, ordered by urgency and then first in, first out. A record that
 * waits too long behind more urgent ones becomes overdue and goes first; otherwise a steady stream
 * of urgent records would starve the less urgent ones.
 */
final class WriteQueue {
  private static final long MAX_WAIT_MS = 1_500;
  private static final long MAX_DEFERRABLE_WAIT_MS = 15_000;

  /** At most one in this many records is sent first because it is overdue. */
  private static final int RECORDS_PER_OVERDUE = 5;

  private final TreeMap<Integer, LinkedHashMap<String, PendingRecord>> queues = new TreeMap<>();
  private int sentSinceOverdue;

  /**
   * Queues a record, or moves it forward if it is queued with a greater urgency number. A record
   * that moves keeps its waiting time.
   */
  void add(PendingRecord record, int urgency, long nowMs) {
    if (!record.isQueued() || urgency < record.urgency()) {
      long sinceMs = record.isQueued() ? record.queuedSinceMs() : nowMs;
      remove(record);
      record.enqueue(urgency, sinceMs);
      queues.computeIfAbsent(urgency, u -> new LinkedHashMap<>()).put(record.key(), record);
    }
  }

  /** Removes a record if it is queued. */
  void remove(PendingRecord record) {
    if (record.isQueued()) {
      LinkedHashMap<String, PendingRecord> queue = queues.get(record.urgency());
      queue.remove(record.key());
      if (queue.isEmpty()) {
        queues.remove(record.urgency());
      }
      record.dequeue();
    }
  }

  /** Returns whether the queue contains a record that is not deferrable. */
  boolean hasUrgent() {
    return !queues.isEmpty() && queues.firstKey() < RecordWriter.DEFERRABLE_URGENCY;
  }

  int size() {
    int total = 0;
    for (var queue : queues.values()) {
      total += queue.size();
    }
    return total;
  }

  /** Returns the queued records of each urgency, the most urgent first. */
  Collection<? extends Map<String, PendingRecord>> recordsByUrgency() {
    return queues.values();
  }

  /**
   * Counts records that were sent, which decides when an overdue record may go first again.
   *
   * @param count number of records that were sent
   * @param isOverdueFirst whether the first of them was sent because it was overdue
   */
  void countSent(int count, boolean isOverdueFirst) {
    sentSinceOverdue = isOverdueFirst ? 0 : sentSinceOverdue + count;
  }

  /**
   * Returns the record that exceeds its maximum wait by the greatest factor. The most urgent
   * records are never overdue, since no others go before them.
   *
   * @return the record; null if none is overdue, or if an overdue one has been sent too recently
   */
  PendingRecord findOverdue(long nowMs) {
    if (sentSinceOverdue < RECORDS_PER_OVERDUE - 1) {
      return null;
    }
    PendingRecord mostOverdue = null;
    double greatestFactor = 1;
    boolean isMostUrgent = true;
    for (var queue : queues.entrySet()) {
      PendingRecord head = firstSendable(queue.getValue().values());
      if (!isMostUrgent && head != null) {
        boolean isDeferrable = queue.getKey() >= RecordWriter.DEFERRABLE_URGENCY;
        double maxWaitMs = isDeferrable ? MAX_DEFERRABLE_WAIT_MS : MAX_WAIT_MS;
        double factor = (nowMs - head.queuedSinceMs()) / maxWaitMs;
        if (factor > greatestFactor) {
          greatestFactor = factor;
          mostOverdue = head;
        }
      }
      isMostUrgent = false;
    }
    return mostOverdue;
  }

  private static PendingRecord firstSendable(Collection<PendingRecord> records) {
    for (PendingRecord record : records) {
      if (!record.isInFlight()) {
        return record;
      }
    }
    return null;
  }
}
