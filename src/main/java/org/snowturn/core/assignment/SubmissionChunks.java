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

/** The parts of submissions that are longer than a value: what reads them and clears them away. */
public final class SubmissionChunks {
  private final CoreRuntime runtime;
  private final RecordWriter writer;

  /** Records whose parts are being read, with their versions. */
  private final Map<String, Long> wanted = new HashMap<>();

  /** Reads and removes chunks for a term; the writer is the term's. */
  public SubmissionChunks(CoreRuntime runtime, RecordWriter writer) {
    this.runtime = runtime;
    this.writer = writer;
  }

  /** Reads a record's parts. Without them the job would seem to await nothing. */
  void read(String id, JobRecord stored, long stamp, Consumer<Map<String, String>> then) {
    if (wanted.getOrDefault(id, 0L) >= stamp) {
      return;
    }
    wanted.put(id, stamp);
    new RangeReader(runtime, () -> false)
        .read(
            StorageKeys.submissionChunks(id, stored.submissionHash()),
            range -> {
              // Not if it has been cancelled or has ended meanwhile.
              if (wanted.remove(id, stamp)) {
                then.accept(JobRecord.chunkTexts(range.entries()));
              }
            });
  }

  /** The record is known as a whole, or is no longer live. */
  void forget(String id) {
    wanted.remove(id);
  }

  /**
   * Removes parts of submissions that were never accepted. The first part goes first: a late
   * transaction that would still accept one names that part's version, and fails from then on. The
   * others go only while the first is not there again: else the user's next try counts on them.
   */
  public void dropUnused(List<StateMessage.Entry> parts, Set<String> used) {
    Map<String, List<StateMessage.Entry>> bySubmission = new LinkedHashMap<>();
    for (StateMessage.Entry entry : parts) {
      if (!used.contains(entry.key())) {
        String name = entry.key().substring(0, entry.key().lastIndexOf('/') + 1);
        bySubmission.computeIfAbsent(name, n -> new ArrayList<>()).add(entry);
      }
    }
    bySubmission.forEach(this::dropSubmission);
  }

  private void dropSubmission(String name, List<StateMessage.Entry> entries) {
    String id =
        name.substring(
            StorageKeys.SUBMISSION_CHUNKS.length(),
            name.indexOf('/', StorageKeys.SUBMISSION_CHUNKS.length()));
    String first = name + "0";
    long version = 0;
    for (StateMessage.Entry entry : entries) {
      version = entry.key().equals(first) ? entry.version() : version;
    }
    writer.submit(
        RecordWriter.TransactionPriority.BACKGROUND,
        List.of(new Condition(StorageKeys.job(id), 0), new Condition(first, version)),
        List.of(Change.delete(first)),
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            writer.deleteLater(
                List.of(new Condition(first, 0)),
                entries.stream().map(entry -> Change.delete(entry.key())).toList());
          }
        });
  }
}
