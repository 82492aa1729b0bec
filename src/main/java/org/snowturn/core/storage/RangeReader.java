package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
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
    readPage(prefix, null, new ArrayList<>(), Long.MAX_VALUE, onRange);
  }

  private void readPage(
      String prefix,
      String after,
      List<StateMessage.Entry> entries,
      long oldestRevision,
      Consumer<Range> onRange) {
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
              onPage(prefix, reply.body(), entries, oldestRevision, onRange);
              return;
            } catch (MalformedException e) {
              runtime
                  .events()
                  .info(LogEvent.REPLY_MALFORMED)
                  .with(LogField.PREFIX, prefix)
                  .with(LogField.ERROR, e.getMessage())
                  .write();
            }
          }
          if (!shouldStop.getAsBoolean()) {
            runtime.retry(backoff, () -> readPage(prefix, after, entries, oldestRevision, onRange));
          }
        });
  }

  private void onPage(
      String prefix,
      JsonNode body,
      List<StateMessage.Entry> entries,
      long oldestRevision,
      Consumer<Range> onRange)
      throws MalformedException {
    List<StateMessage.Entry> page = StateMessage.entries(body);
    long newOldestRevision = Math.min(oldestRevision, StateMessage.revision(body));
    backoff.reset();
    entries.addAll(page);
    if (StateMessage.isTruncated(body) && !page.isEmpty()) {
      readPage(prefix, page.get(page.size() - 1).key(), entries, newOldestRevision, onRange);
    } else {
      onRange.accept(new Range(entries, newOldestRevision));
    }
  }
}
