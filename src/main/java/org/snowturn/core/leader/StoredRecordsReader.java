package org.snowturn.core.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.RangeReader.Range;
import org.snowturn.core.storage.StorageKeys;

/**
 * Reads all stored records at the begin of a term.
 *
 * <p>What only leaders write cannot change any more, since the leader key is ours: those ranges are
 * read concurrently. Users' records go on changing: chunks of submissions are read before the jobs,
 * so that no accepted job lacks its chunks.
 */
final class StoredRecordsReader {
  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final Term term;
  private final Consumer<StoredRecords> completed;

  /** The ranges by prefix; null for one that is still being read. */
  private final Map<String, Range> ranges = new LinkedHashMap<>();

  private long jobsReadAt;

  /**
   * Has read nothing yet.
   *
   * @param completed takes the records once all are read, unless the term has ended
   */
  StoredRecordsReader(LeaderDependencies node, Term term, Consumer<StoredRecords> completed) {
    this.runtime = node.runtime();
    this.gate = node.gate();
    this.term = term;
    this.completed = completed;
  }

  /** Starts to read. The gate comes first: it tells which format is to be written. */
  void start() {
    gate.refresh(
        () -> {
          if (!term.ended()) {
            readRanges();
          }
        });
  }

  private void readRanges() {
    read(StorageKeys.REGISTRY, () -> {});
    read(StorageKeys.SECOND_FORMAT_TASKS, () -> {});
    read(StorageKeys.FIRST_FORMAT_TASKS, () -> {});
    read(StorageKeys.RESTARTS, () -> {});
    read(
        StorageKeys.SUBMISSION_CHUNKS,
        () -> {
          jobsReadAt = runtime.now();
          read(StorageKeys.JOBS, () -> {});
        });
  }

  private void read(String prefix, Runnable next) {
    ranges.put(prefix, null);
    long sentAt = runtime.now();
    new RangeReader(runtime, term::ended)
        .read(
            prefix,
            range -> {
              if (term.ended()) {
                return;
              }
              log(prefix, range, sentAt);
              ranges.put(prefix, range);
              next.run();
              if (!ranges.containsValue(null)) {
                complete();
              }
            });
  }

  private void log(String prefix, Range range, long sentAt) {
    runtime
        .events()
        .info(LogEvent.RECORDS_READ)
        .with(LogField.PREFIX, prefix)
        .with(LogField.REVISION, range.oldestRevision())
        .with(LogField.RECORDS, range.entries().size())
        .with(LogField.TOOK_MS, runtime.now() - sentAt)
        .write();
  }

  private void complete() {
    StoredRecords records =
        new StoredRecords(
            ranges.get(StorageKeys.REGISTRY),
            ranges.get(StorageKeys.SECOND_FORMAT_TASKS),
            ranges.get(StorageKeys.FIRST_FORMAT_TASKS),
            ranges.get(StorageKeys.RESTARTS),
            ranges.get(StorageKeys.SUBMISSION_CHUNKS),
            ranges.get(StorageKeys.JOBS),
            jobsReadAt);
    ranges.clear();
    completed.accept(records);
  }
}
