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
 * Reads whole ranges of the state service, page by page, until it has them. A page that fails is
 * read again with exponential backoff.
 */
public final class RangeReader {
  private static final int TIMEOUT_MS = 2_500;
  private static final int PAGE_KEYS = 500;

  private final CoreRuntime runtime;
  private final RequestClass purpose;
  private final Backoff backoff;
  private final BooleanSupplier over;

  /** Reads for a term. */
  public RangeReader(CoreRuntime runtime, BooleanSupplier over) {
    this(runtime, RequestClass.WORK, over);
  }

  /**
   * Has read nothing yet.
   *
   * @param purpose what the reads are for
   * @param over whether nobody wants to know any more: nothing is tried again then
   */
  public RangeReader(CoreRuntime runtime, RequestClass purpose, BooleanSupplier over) {
    this.purpose = purpose;
    this.over = over;
    this.runtime = runtime;
    this.backoff = runtime.backoff();
  }

  /** All keys of a range; {@code epoch} is the oldest revision that any page showed. */
  public record Range(List<StateMessage.Entry> entries, long epoch) {}

  /** Reads all keys with a prefix; {@code then} is called once all pages are there. */
  public void read(String prefix, Consumer<Range> then) {
    page(prefix, null, new ArrayList<>(), Long.MAX_VALUE, then);
  }

  private void page(
      String prefix,
      String after,
      List<StateMessage.Entry> entriesBefore,
      long revision,
      Consumer<Range> then) {
    StateMessage.RangePath path = new StateMessage.RangePath(prefix).limit(PAGE_KEYS);
    if (after != null) {
      path.after(after);
    }
    runtime.readState(
        purpose,
        path.toString(),
        TIMEOUT_MS,
        reply -> {
          if (reply.isOk()) {
            try {
              take(prefix, reply.body(), entriesBefore, revision, then);
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
          if (!over.getAsBoolean()) {
            runtime.retry(backoff, () -> page(prefix, after, entriesBefore, revision, then));
          }
        });
  }

  private void take(
      String prefix,
      JsonNode body,
      List<StateMessage.Entry> entriesBefore,
      long revision,
      Consumer<Range> then)
      throws MalformedException {
    List<StateMessage.Entry> got = StateMessage.entries(body);
    long oldest = Math.min(revision, StateMessage.revision(body));
    backoff.reset();
    entriesBefore.addAll(got);
    if (StateMessage.more(body) && !got.isEmpty()) {
      page(prefix, got.get(got.size() - 1).key(), entriesBefore, oldest, then);
    } else {
      then.accept(new Range(entriesBefore, oldest));
    }
  }
}
