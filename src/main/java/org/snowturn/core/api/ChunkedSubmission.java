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

/**
 * Writes the chunks of a submission that is too long for one value, the first one first. All else
 * names its version, so that whoever removes it makes sure that the rest never counts. The chunks
 * are named by their content: where the state service takes only some of them at a time, the user's
 * next try goes on from there, on whichever node.
 */
final class ChunkedSubmission {
  /** Takes the result, once. */
  interface Listener {
    /** All chunks are stored; the job's record counts only while the first one is the same. */
    void stored(ObjectNode record, Condition firstChunkUnchanged);

    /** It could not be found out which chunks are stored already. */
    void unreadable();

    /** A chunk was not stored, perhaps since the job has been accepted by another try. */
    void failed();
  }

  private final CoreRuntime runtime;
  private final JobApi.Services services;
  private final JobSpec spec;
  private final JobRecord job;
  private final List<ObjectNode> chunks;
  private final Listener listener;
  private final String prefix;
  private final BitSet stored = new BitSet();
  private long firstVersion;

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
    this.prefix = StorageKeys.submissionParts(spec.id(), job.submission());
  }

  /** Reads which chunks an earlier try has stored, and writes the others. */
  void start() {
    services
        .relay()
        .callState(
            RequestClass.USERS,
            "GET",
            "/kv?prefix=" + prefix + "&most=1000",
            null,
            JobStatusReader.TIMEOUT_MS,
            (outcome, status, body) -> {
              try {
                if (outcome.succeeded(status)) {
                  StateMessage.entries(body).forEach(this::addStored);
                  if (!stored.get(0)) {
                    stored.clear(); // without the first the others may be about to be removed
                  }
                  writeNext();
                  return;
                }
              } catch (MalformedException e) {
                logMalformed("read chunks", e);
              }
              listener.unreadable();
            });
  }

  private void addStored(StateMessage.Entry entry) {
    int index = Integer.parseInt(entry.key().substring(prefix.length()));
    stored.set(index);
    if (index == 0) {
      firstVersion = entry.version();
    }
  }

  private void writeNext() {
    Condition firstUnchanged = new Condition(prefix + 0, firstVersion);
    BitSet written = nextToWrite();
    services.admission().charge(written.cardinality(), runtime.now());
    if (written.isEmpty()) {
      listener.stored(job.live(), firstUnchanged);
      return;
    }
    List<Condition> conditions = new ArrayList<>(JobSubmission.isNew(spec.id()));
    conditions.add(firstUnchanged);
    List<Change> changes = new ArrayList<>();
    written.stream().forEach(i -> changes.add(Change.put(prefix + i, chunks.get(i))));
    services
        .relay()
        .callState(
            RequestClass.USERS,
            "POST",
            "/txn",
            StateMessage.transaction(conditions, changes),
            JobStatusReader.TIMEOUT_MS,
            (outcome, status, reply) -> {
              try {
                if (outcome.succeeded(status)) {
                  firstVersion = written.get(0) ? StateMessage.revision(reply) : firstVersion;
                  stored.or(written);
                  writeNext();
                  return;
                }
              } catch (MalformedException e) {
                logMalformed("write chunks", e);
              }
              listener.failed();
            });
  }

  /** The first chunk alone, then as many of the others as a transaction takes. */
  private BitSet nextToWrite() {
    int max = stored.get(0) ? services.format().limits().maxTransactionOps() : 1;
    BitSet next = new BitSet();
    int index = stored.nextClearBit(0);
    for (int count = 0; index < chunks.size() && count < max; count++) {
      next.set(index);
      index = stored.nextClearBit(index + 1);
    }
    return next;
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
