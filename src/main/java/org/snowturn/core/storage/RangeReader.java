package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * Reads whole ranges of the state service, page by page, until it has them. What fails is tried
 * again ever later: at once, a refusal (429, 503) would become a loop at the network's speed.
 */
public final class RangeReader {
  private static final int TIMEOUT_MS = 2_500;
  private static final int PAGE = 500;

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

  public void read(String prefix, Consumer<Range> then) {
    page(prefix, null, new ArrayList<>(), Long.MAX_VALUE, then);
  }

  private void page(
      String prefix,
      String since,
      List<StateMessage.Entry> sofar,
      long epoch,
      Consumer<Range> then) {
    String path =
        "/kv?prefix=" + prefix + "&most=" + PAGE + (since == null ? "" : "&since=" + since);
    runtime.callState(
        purpose,
        "GET",
        path,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              take(prefix, body, sofar, epoch, then);
              return;
            } catch (MalformedException e) {
              runtime.note("unusable page of " + prefix + ": " + e.getMessage());
            }
          }
          if (!over.getAsBoolean()) {
            runtime.retry(backoff, () -> page(prefix, since, sofar, epoch, then));
          }
        });
  }

  private void take(
      String prefix,
      JsonNode body,
      List<StateMessage.Entry> sofar,
      long epoch,
      Consumer<Range> then)
      throws MalformedException {
    List<StateMessage.Entry> got = StateMessage.entries(body);
    long oldest = Math.min(epoch, StateMessage.epoch(body));
    backoff.reset();
    sofar.addAll(got);
    if (StateMessage.more(body) && !got.isEmpty()) {
      page(prefix, got.get(got.size() - 1).key(), sofar, oldest, then);
    } else {
      then.accept(new Range(sofar, oldest));
    }
  }
}
