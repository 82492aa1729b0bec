package org.snowturn.core.act;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.snowturn.core.Outcome;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.Slot;
import org.snowturn.core.records.StoredJob;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.JobView;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/** Moves jobs that are over from their live records to their short ones. */
final class JobFinisher {
  private final Calls calls;
  private final FormatGate gate;
  private final Writer writer;
  private final Ledger ledger;

  JobFinisher(Calls calls, FormatGate gate, Writer writer, Ledger ledger) {
    this.calls = calls;
    this.gate = gate;
    this.writer = writer;
    this.ledger = ledger;
  }

  /** Moves a job that is over to its short record, in one transaction that proves every result. */
  void finishIfOver(Job j) {
    boolean done = !j.cancelled && j.done == j.state.length;
    boolean aborted = j.cancelled && j.bound == 0;
    if (j.finishing || !(done || aborted) || ledger.job(j.spec.id()) != j) {
      return;
    }
    for (Slot s : j.chunks) {
      if (s != null && s.inFlight) {
        return; // retried when that write is settled
      }
    }
    j.finishing = true;
    String id = j.spec.id();
    JobView.Phase phase = done ? JobView.Phase.DONE : JobView.Phase.ABORTED;
    List<Change> apply = new ArrayList<>();
    apply.add(Change.put(Keys.over(id), StoredJob.over(phase, j.spec)));
    apply.add(Change.delete(Keys.job(id)));
    if (j.restarts > 0) {
      apply.add(Change.delete(Keys.restarts(id)));
    }
    List<Change> drops = new ArrayList<>();
    StoredJob.partKeys(id, j.submission, j.parts).forEach(k -> drops.add(Change.delete(k)));
    for (Slot s : j.chunks) {
      if (s != null) {
        writer.clear(s);
        dropIfStored(s, drops);
      }
    }
    j.olderChunks.forEach(s -> dropIfStored(s, drops));
    // Where many jobs end together, what is only to be cleared away leaves the rate to others.
    int most = writer.pressed() ? 0 : gate.limits().txnOps() - apply.size();
    int now = Math.min(drops.size(), Math.max(0, most));
    apply.addAll(drops.subList(0, now));
    List<Change> later = drops.subList(now, drops.size());
    // Others may wait for a result; an abortion has been told already.
    writer.whole(
        done ? Writer.Turn.NEXT : Writer.Turn.SPARE,
        List.of(new Condition(Keys.job(id), j.stamp)),
        apply,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            calls.note(id + " " + phase.wire() + outcome(j));
            ledger.remove(id);
            writer.drop(List.of(), later);
          } else {
            ledger.refresh(
                id,
                () -> {
                  j.finishing = false;
                  if (ledger.job(id) != j) {
                    // It was carried out, and only its answer was lost.
                    writer.drop(List.of(), later);
                  }
                });
          }
        });
  }

  private static void dropIfStored(Slot s, List<Change> drops) {
    if (s.stamp != 0) {
      drops.add(Change.delete(s.key));
    }
  }

  /** What an operator wants to know of a job that is over. */
  private String outcome(Job j) {
    double late = (calls.wall() - j.dueWall(1)) / 1000;
    String due = late < -1e9 ? "no deadline" : String.format(Locale.ROOT, "%.1f s late", late);
    return String.format(
        Locale.ROOT,
        ": %d tasks, estimate %.1f s, median %.1f s, last placed after %.1f s, done after %.1f s,"
            + " released after %.1f s, %s, %d restarts",
        j.state.length,
        j.spec.estimateS(),
        j.median(),
        Math.max(0, j.placedWall - j.submittedWall) / 1000.0,
        (calls.wall() - j.submittedWall) / 1000.0,
        (j.releasedWall - j.submittedWall) / 1000.0,
        due,
        j.restarts);
  }
}
