package org.snowturn.core.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
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
 * Reads all stored records at the start of a term.
 *
 * <p>Records that only leaders write cannot change while this node owns the leader key, so their
 * ranges are read concurrently. Records of users may still change: the chunks of submissions are
 * read before the jobs, so that no accepted job lacks its chunks.
 */
final class StoredRecordsReader {
  private final CoreRuntime runtime;
  private final FormatGate formatGate;
  private final Term term;
  private final Consumer<StoredRecords> onComplete;

  /** Ranges that have been read, by key prefix. */
  private final Map<String, Range> ranges = new HashMap<>();

  private List<StoredJob> jobs = new ArrayList<>();
  private long jobsRevision;
  private long jobsReadAt;

  /** Number of ranges that are still being read. */
  private int openReads;

  /**
   * Creates a reader for one term.
   *
   * @param onComplete receives the records once all are read, unless the term has ended
   */
  StoredRecordsReader(LeaderDependencies shared, Term term, Consumer<StoredRecords> onComplete) {
    this.runtime = shared.runtime();
    this.formatGate = shared.formatGate();
    this.term = term;
    this.onComplete = onComplete;
  }

  /** Checks the format gate, which tells the format to write, and then reads all records. */
  void start() {
    formatGate.refresh(
        () -> {
          if (!term.hasEnded()) {
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
          readJobs();
        });
  }

  private void read(String prefix, Runnable onRead) {
    openReads++;
    long sentAt = runtime.now();
    new RangeReader(runtime, term::hasEnded)
        .read(
            prefix,
            range -> {
              if (!term.hasEnded()) {
                log(prefix, range.oldestRevision(), range.entries().size(), sentAt);
                ranges.put(prefix, range);
                onRead.run();
                endRead();
              }
            });
  }

  /** Reads the jobs, of which there may be thousands, and parses them page by page. */
  private void readJobs() {
    openReads++;
    long sentAt = runtime.now();
    new RangeReader(runtime, term::hasEnded)
        .readPages(
            StorageKeys.JOBS,
            page -> page.forEach(entry -> jobs.add(StoredJob.parse(entry))),
            oldestRevision -> {
              if (!term.hasEnded()) {
                log(StorageKeys.JOBS, oldestRevision, jobs.size(), sentAt);
                jobsRevision = oldestRevision;
                endRead();
              }
            });
  }

  private void endRead() {
    openReads--;
    if (openReads == 0) {
      complete();
    }
  }

  private void log(String prefix, long revision, int records, long sentAt) {
    runtime
        .events()
        .info(LogEvent.RECORDS_READ)
        .with(LogField.PREFIX, prefix)
        .with(LogField.REVISION, revision)
        .with(LogField.RECORDS, records)
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
            jobs,
            jobsRevision,
            jobsReadAt);
    ranges.clear();
    jobs = new ArrayList<>();
    onComplete.accept(records);
  }
}
