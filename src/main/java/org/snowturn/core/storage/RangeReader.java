package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Reads all keys with a prefix from the state service, page by page. A read that fails is retried
 * with exponential backoff.
 */
public final class RangeReader {
  private static final int TIMEOUT_MS = 2_500;
  private static final int PAGE_KEYS = 500;

  private final CoreRuntime runtime;
  private final RequestClass requestClass;
  private final Backoff backoff;
  private final BooleanSupplier shouldStop;

  /**
   * Creates a reader for a leader's term.
   *
   * @param shouldStop supplies whether to stop retrying failed reads
   */
  public RangeReader(CoreRuntime runtime, BooleanSupplier shouldStop) {
    this(runtime, RequestClass.WORK, shouldStop);
  }

  /**
   * Creates a reader.
   *
   * @param requestClass the request class that the reads are budgeted under
   * @param shouldStop supplies whether to stop retrying failed reads
   */
  public RangeReader(CoreRuntime runtime, RequestClass requestClass, BooleanSupplier shouldStop) {
    this.requestClass = requestClass;
    this.shouldStop = shouldStop;
    this.runtime = runtime;
    this.backoff = runtime.backoff();
  }

  /**
   * All keys with a prefix.
   *
   * @param entries the keys, with their values and versions
   * @param oldestRevision the oldest revision of the state service among the pages
   */
  public record Range(List<StateMessage.Entry> entries, long oldestRevision) {}

  /**
   * Reads all keys with a prefix.
   *
   * @param prefix the common prefix of the keys
   * @param onRange called once all pages have been read
   */
  public void read(String prefix, Consumer<Range> onRange) {
    List<StateMessage.Entry> entries = new ArrayList<>();
    readPages(
        prefix,
        entries::addAll,
        oldestRevision -> onRange.accept(new Range(entries, oldestRevision)));
  }

  /**
   * Reads all keys with a prefix without keeping them: the parsed values take several times the
   * memory of what callers need of them.
   *
   * @param prefix the common prefix of the keys
   * @param onPage called with the keys of each page, in order
   * @param onComplete called after the last page with the oldest revision of the state service
   *     among the pages
   */
  public void readPages(
      String prefix, Consumer<List<StateMessage.Entry>> onPage, LongConsumer onComplete) {
    readPage(new PagedRead(prefix, onPage, onComplete), null, Long.MAX_VALUE);
  }

  /** What a caller has asked to read. */
  private record PagedRead(
      String prefix, Consumer<List<StateMessage.Entry>> onPage, LongConsumer onComplete) {}

  private void readPage(PagedRead read, String after, long oldestRevision) {
    String prefix = read.prefix;
    StateMessage.RangePath path = new StateMessage.RangePath(prefix).limit(PAGE_KEYS);
    if (after != null) {
      path.after(after);
    }
    runtime.readState(
        requestClass,
        path.toString(),
        TIMEOUT_MS,
        reply -> {
          if (reply.isOk()) {
            try {
              onPage(read, reply.body(), oldestRevision);
              return;
            } catch (MalformedException e) {
              runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.PREFIX, prefix, e);
            }
          }
          if (!shouldStop.getAsBoolean()) {
            runtime.retry(backoff, () -> readPage(read, after, oldestRevision));
          }
        });
  }

  private void onPage(PagedRead read, JsonNode body, long oldestRevision)
      throws MalformedException {
    List<StateMessage.Entry> page = StateMessage.entries(body);
    long newOldestRevision = Math.min(oldestRevision, StateMessage.revision(body));
    backoff.reset();
    read.onPage.accept(page);
    if (StateMessage.isTruncated(body) && !page.isEmpty()) {
      readPage(read, page.get(page.size() - 1).key(), newOldestRevision);
    } else {
      read.onComplete.accept(newOldestRevision);
    }
  }
}
