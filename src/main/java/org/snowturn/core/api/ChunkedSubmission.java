package org.snowturn.core.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;
import org.snowturn.wire.TransactionChanges;

/**
 * Writes the chunks of a submission that is too long for a single value, starting with the first
 * chunk. All later writes depend on the version of the first chunk, so removing that chunk
 * invalidates the rest of the submission. The chunks' keys are derived from their content: if the
 * state service accepts only some of the chunks, the user's next try continues from there on any
 * node.
 */
final class ChunkedSubmission {
  /** Handler of the result, of which exactly one method is called, once. */
  interface Listener {
    /**
     * Called when all chunks are stored.
     *
     * @param record the job's live record, to be written next
     * @param firstChunkUnchanged condition under which the record may be written
     */
    void onStored(ObjectNode record, Condition firstChunkUnchanged);

    /** Called if the chunks that are stored already could not be read. */
    void onUnreadable();

    /** Called if a chunk was not stored, possibly because another try was accepted. */
    void onFailed();
  }

  private final CoreRuntime runtime;
  private final JobApi.Services services;
  private final JobSpec spec;
  private final JobRecord job;
  private final List<ObjectNode> chunks;
  private final Listener listener;
  private final String keyPrefix;
  private final BitSet storedChunks = new BitSet();
  private long firstChunkVersion;

  ChunkedSubmission(
      CoreRuntime runtime,
      JobApi.Services services,
      JobSpec spec,
      JobRecord job,
      List<ObjectNode> chunks,
      Listener listener) {
    this.runtime = runtime;
    this.services = services;
    this.spec = spec;
    this.job = job;
    this.chunks = chunks;
    this.listener = listener;
    this.keyPrefix = StorageKeys.submissionChunks(spec.id(), job.submissionHash());
  }

  /** Reads which chunks earlier tries have stored, and writes the others. */
  void start() {
    services
        .relay()
        .callState(
            RequestClass.USERS,
            "GET",
            "/kv?prefix=" + keyPrefix + "&most=1000",
            null,
            JobStatusReader.STATE_REQUEST_TIMEOUT_MS,
            (outcome, status, body) -> {
              try {
                if (outcome.isSuccess(status)) {
                  StateMessage.entries(body).forEach(this::addStored);
                  if (!storedChunks.get(0)) {
                    // Without the first chunk, the others may be about to be removed.
                    storedChunks.clear();
                  }
                  writeNext();
                  return;
                }
              } catch (MalformedException e) {
                logMalformed("read chunks", e);
              }
              listener.onUnreadable();
            });
  }

  private void addStored(StateMessage.Entry entry) {
    int index = Integer.parseInt(entry.key().substring(keyPrefix.length()));
    storedChunks.set(index);
    if (index == 0) {
      firstChunkVersion = entry.version();
    }
  }

  private void writeNext() {
    Condition firstChunkUnchanged = new Condition(keyPrefix + 0, firstChunkVersion);
    List<Condition> conditions = new ArrayList<>(JobSubmission.newJobConditions(spec.id()));
    conditions.add(firstChunkUnchanged);
    BitSet written = new BitSet();
    List<Change> changes = nextChanges(conditions, written);
    services.admission().charge(changes.size(), runtime.now());
    if (changes.isEmpty()) {
      listener.onStored(job.liveJson(), firstChunkUnchanged);
      return;
    }
    services
        .relay()
        .callState(
            RequestClass.USERS,
            "POST",
            "/txn",
            StateMessage.transaction(conditions, changes),
            JobStatusReader.STATE_REQUEST_TIMEOUT_MS,
            (outcome, status, reply) -> {
              try {
                if (outcome.isSuccess(status)) {
                  firstChunkVersion =
                      written.get(0) ? StateMessage.revision(reply) : firstChunkVersion;
                  storedChunks.or(written);
                  writeNext();
                  return;
                }
              } catch (MalformedException e) {
                logMalformed("write chunks", e);
              }
              listener.onFailed();
            });
  }

  /**
   * Returns the changes that write the next chunks: the first alone, then as many as a transaction
   * can hold, by their number and by its size.
   *
   * @param conditions the conditions of the transaction
   * @param written receives the indexes of the chunks
   */
  private List<Change> nextChanges(List<Condition> conditions, BitSet written) {
    int maxChunks = storedChunks.get(0) ? services.formatGate().limits().maxTransactionOps() : 1;
    TransactionChanges changes = new TransactionChanges(conditions, maxChunks);
    int index = storedChunks.nextClearBit(0);
    while (index < chunks.size() && changes.add(Change.put(keyPrefix + index, chunks.get(index)))) {
      written.set(index);
      index = storedChunks.nextClearBit(index + 1);
    }
    return changes.list();
  }

  private void logMalformed(String request, MalformedException cause) {
    runtime
        .events()
        .info(LogEvent.REPLY_MALFORMED)
        .with(LogField.REQUEST, request)
        .with(LogField.JOB, spec.id())
        .with(LogField.ERROR, cause.getMessage())
        .write();
  }
}
