package org.snowturn.core.storage;

import java.util.List;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.effects.StateReply;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Settles the replies to {@linkplain RecordBatch batches}. A record whose write has an unknown
 * effect stays in flight until its present version has been read.
 */
final class BatchSettlement {
  private static final long PAUSE_AFTER_REFUSAL_MS = 200;
  private static final long PAUSE_AFTER_UNKNOWN_MS = 100;

  private final CoreRuntime runtime;
  private final RecordWriter.Host host;
  private final WriteQueue queue;
  private final WriteBudget budget;

  BatchSettlement(
      CoreRuntime runtime, RecordWriter.Host host, WriteQueue queue, WriteBudget budget) {
    this.runtime = runtime;
    this.host = host;
    this.queue = queue;
    this.budget = budget;
  }

  /** Handles the reply to a batch that has been sent. */
  void settle(RecordBatch batch, StateReply reply) {
    if (reply.isOk() && succeeded(batch, reply)) {
      return;
    }
    if (reply.isRejected() && batch.size() == 1) {
      recordRejected(batch.writes().get(0), reply);
      return;
    }
    requeue(batch);
    if (reply.isRejected()) {
      batchRejected(batch, reply);
    } else if (reply.isNotExecuted()) {
      endWrites(batch);
      budget.pauseUntil(runtime.now() + PAUSE_AFTER_REFUSAL_MS);
    } else {
      conflictOrUnknown(batch, reply.failedKeys());
    }
  }

  private boolean succeeded(RecordBatch batch, StateReply reply) {
    long revision;
    try {
      revision = StateMessage.revision(reply.body());
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.REQUEST, "transaction")
          .with(LogField.ERROR, e.getMessage())
          .write();
      return false;
    }
    for (RecordBatch.Write write : batch.writes()) {
      write.record().endWrite(write.deletion() ? 0 : revision);
    }
    batch.writes().forEach(write -> write.onDurable().forEach(Runnable::run));
    return true;
  }

  /** The same again would be rejected for ever: it waits until there is something else to write. */
  private void recordRejected(RecordBatch.Write write, StateReply reply) {
    PendingRecord record = write.record();
    record.restoreDurableActions(write.onDurable());
    record.endWrite();
    budget.unlimitBatchSize(); // it was this value, not the number of changes
    runtime
        .events()
        .info(LogEvent.RECORD_REJECTED)
        .with(LogField.KEY, record.key())
        .with(LogField.BODY, String.valueOf(reply.body()))
        .write();
    host.recordRejected(record.key());
  }

  private void requeue(RecordBatch batch) {
    for (RecordBatch.Write write : batch.writes()) {
      write.record().restoreDurableActions(write.onDurable());
      queue.add(write.record(), write.urgency(), runtime.now());
    }
  }

  /** Too many changes, or one of them too long: smaller batches tell which. */
  private void batchRejected(RecordBatch batch, StateReply reply) {
    budget.limitBatchSize(Math.max(1, batch.size() / 2));
    runtime
        .events()
        .info(LogEvent.TRANSACTION_REJECTED)
        .with(LogField.RECORDS, batch.size())
        .with(LogField.BODY, String.valueOf(reply.body()))
        .write();
    endWrites(batch);
  }

  private static void endWrites(RecordBatch batch) {
    batch.writes().forEach(write -> write.record().endWrite());
  }

  private void conflictOrUnknown(RecordBatch batch, List<String> failedKeys) {
    if (failedKeys.contains(StorageKeys.LEADER)) {
      host.leaderKeyLost();
      return;
    }
    for (String key : failedKeys) {
      if (batch.isGuard(key)) {
        host.guardFailed(key);
      }
    }
    if (failedKeys.isEmpty()) {
      budget.pauseUntil(runtime.now() + PAUSE_AFTER_UNKNOWN_MS);
    }
    for (RecordBatch.Write write : batch.writes()) {
      PendingRecord record = write.record();
      if (failedKeys.isEmpty() || failedKeys.contains(record.key())) {
        reread(record, runtime.backoff());
      } else {
        record.endWrite();
      }
    }
  }

  /** Learns a key's present version; the record stays in flight until then. */
  private void reread(PendingRecord record, Backoff backoff) {
    runtime.readState(
        StateMessage.keyPath(record.key()),
        RecordWriter.TIMEOUT_MS,
        reply -> {
          if (!versionRead(record, reply) && !host.over()) {
            runtime.retry(backoff, () -> reread(record, backoff));
          }
        });
  }

  private boolean versionRead(PendingRecord record, StateReply reply) {
    if (reply.isNotFound()) {
      record.endWrite(0);
      return true;
    }
    if (!reply.isOk()) {
      return false;
    }
    try {
      record.endWrite(StateMessage.entry(reply.body()).version());
      return true;
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.KEY, record.key())
          .with(LogField.ERROR, e.getMessage())
          .write();
      return false;
    }
  }
}
