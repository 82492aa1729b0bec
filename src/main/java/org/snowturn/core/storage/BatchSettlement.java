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
 * Handles the replies to {@linkplain RecordBatch batches}. A record whose write may or may not have
 * been executed stays in flight until its current version has been read.
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

  /** Handles the reply to a batch that was sent. */
  void onReply(RecordBatch batch, StateReply reply) {
    if (reply.isOk() && endSuccessfulWrites(batch, reply)) {
      return;
    }
    if (reply.isRejected() && batch.size() == 1) {
      onRecordRejected(batch.writes().get(0), reply);
      return;
    }
    requeue(batch);
    if (reply.isRejected()) {
      onBatchRejected(batch, reply);
    } else if (reply.isRefused()) {
      endWrites(batch);
      budget.pauseUntil(runtime.now() + PAUSE_AFTER_REFUSAL_MS);
    } else {
      onConflictOrUnknownOutcome(batch, reply.failedKeys());
    }
  }

  /**
   * Ends the writes of an executed batch and runs their actions.
   *
   * @return whether the reply contains the revision; if not, nothing is changed
   */
  private boolean endSuccessfulWrites(RecordBatch batch, StateReply reply) {
    long revision;
    try {
      revision = StateMessage.revision(reply.body());
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.REQUEST, "transaction", e);
      return false;
    }
    for (RecordBatch.Write write : batch.writes()) {
      write.record().endWrite(write.isDeletion() ? 0 : revision);
    }
    batch.writes().forEach(write -> write.onDurable().forEach(Runnable::run));
    return true;
  }

  /**
   * Ends the write of a rejected record. The service would reject the same content again, so the
   * record is written again only after it has changed.
   */
  private void onRecordRejected(RecordBatch.Write write, StateReply reply) {
    PendingRecord record = write.record();
    record.restoreDurableActions(write.onDurable());
    record.endWrite();
    budget.removeBatchSizeLimit(); // the value was rejected, not the number of changes
    runtime
        .events()
        .info(LogEvent.RECORD_REJECTED)
        .with(LogField.KEY, record.key())
        .with(LogField.BODY, String.valueOf(reply.body()))
        .write();
    host.onRecordRejected(record.key());
  }

  private void requeue(RecordBatch batch) {
    for (RecordBatch.Write write : batch.writes()) {
      write.record().restoreDurableActions(write.onDurable());
      queue.add(write.record(), write.urgency(), runtime.now());
    }
  }

  /**
   * Halves the batch size. The batch has too many changes or one of its values is too long; smaller
   * batches find out which.
   */
  private void onBatchRejected(RecordBatch batch, StateReply reply) {
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

  /**
   * Handles a batch whose conditions failed, or whose outcome is unknown.
   *
   * @param failedKeys keys of the conditions that failed; empty if the outcome is unknown
   */
  private void onConflictOrUnknownOutcome(RecordBatch batch, List<String> failedKeys) {
    if (failedKeys.contains(StorageKeys.LEADER)) {
      host.onLeaderKeyLost();
      return;
    }
    for (String key : failedKeys) {
      if (batch.isGuard(key)) {
        host.onGuardFailed(key);
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

  /** Reads a key's current version, with retries; the record stays in flight until then. */
  private void reread(PendingRecord record, Backoff backoff) {
    runtime.readState(
        StateMessage.keyPath(record.key()),
        RecordWriter.TIMEOUT_MS,
        reply -> {
          if (!endWriteAtVersionRead(record, reply) && !host.isTermOver()) {
            runtime.retry(backoff, () -> reread(record, backoff));
          }
        });
  }

  /**
   * Ends a write with the version that was read.
   *
   * @return whether the reply contains the version, or says that the key does not exist
   */
  private boolean endWriteAtVersionRead(PendingRecord record, StateReply reply) {
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
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.KEY, record.key(), e);
      return false;
    }
  }
}
