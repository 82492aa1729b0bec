package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Reads and deletes the chunks of submissions that are too long for a single value of the state
 * service.
 */
public final class SubmissionChunks {
  private static final int OK = 200;

  private final CoreRuntime runtime;
  private final RecordWriter writer;

  /** Versions of the job records whose chunks are being read, by job id. */
  private final Map<String, Long> pendingReads = new HashMap<>();

  /** Creates a reader and deleter of chunks that writes with the term's writer. */
  public SubmissionChunks(CoreRuntime runtime, RecordWriter writer) {
    this.runtime = runtime;
    this.writer = writer;
  }

  /**
   * Reads the chunks of a job record. Without them the job would seem to have no dependencies. The
   * result is dropped if the job is cancelled or ends in the meantime.
   *
   * @param onTexts receives the chunks by key
   */
  void read(String id, JobRecord stored, long version, Consumer<Map<String, String>> onTexts) {
    if (pendingReads.getOrDefault(id, 0L) >= version) {
      return;
    }
    pendingReads.put(id, version);
    new RangeReader(runtime, () -> false)
        .read(
            StorageKeys.submissionChunks(id, stored.submissionHash()),
            range -> {
              // The entry is gone if the job was cancelled or ended in the meantime.
              if (pendingReads.remove(id, version)) {
                onTexts.accept(JobRecord.chunkTexts(range.entries()));
              }
            });
  }

  /** Discards the read of a job whose record is complete or no longer live. */
  void cancelRead(String id) {
    pendingReads.remove(id);
  }

  /**
   * Deletes the chunks of submissions that were never accepted. The first chunk is deleted first: a
   * late transaction that would still accept the submission is conditional on the version of that
   * chunk and fails from then on. The other chunks are deleted only while the first one is absent,
   * since a new attempt of the user to submit the job relies on them.
   *
   * @param chunks all stored chunks
   * @param used the keys of the chunks that belong to a job record
   */
  public void deleteUnused(List<StateMessage.Entry> chunks, Set<String> used) {
    Map<String, List<StateMessage.Entry>> bySubmission = new LinkedHashMap<>();
    for (StateMessage.Entry entry : chunks) {
      if (!used.contains(entry.key())) {
        String prefix = entry.key().substring(0, entry.key().lastIndexOf('/') + 1);
        bySubmission.computeIfAbsent(prefix, key -> new ArrayList<>()).add(entry);
      }
    }
    bySubmission.forEach(this::deleteSubmission);
  }

  private void deleteSubmission(String prefix, List<StateMessage.Entry> entries) {
    String id =
        prefix.substring(
            StorageKeys.SUBMISSION_CHUNKS.length(),
            prefix.indexOf('/', StorageKeys.SUBMISSION_CHUNKS.length()));
    String firstKey = prefix + "0";
    long firstVersion = 0;
    for (StateMessage.Entry entry : entries) {
      firstVersion = entry.key().equals(firstKey) ? entry.version() : firstVersion;
    }
    writer.submit(
        RecordWriter.TransactionPriority.BACKGROUND,
        List.of(new Condition(StorageKeys.job(id), 0), new Condition(firstKey, firstVersion)),
        List.of(Change.delete(firstKey)),
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == OK) {
            writer.deleteLater(
                List.of(new Condition(firstKey, 0)),
                entries.stream().map(entry -> Change.delete(entry.key())).toList());
          }
        });
  }
}
