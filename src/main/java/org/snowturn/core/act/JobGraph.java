package org.snowturn.core.act;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.Purpose;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.LruMap;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.JobFinder;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.JobView;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Priority;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Which live jobs wait for which others. A job is released when all that it awaits are durably
 * done, cancelled when one of them is, and until then lends its priority and its deadline to those
 * it waits for. All of it follows from stored records, so every leader comes to the same.
 */
public final class JobGraph implements Ledger.Listener {
  private static final long LOOK_AGAIN_MS = 500;
  private static final long LOOK_WITHIN_MS = 10_000;
  private static final long RECOUNT_MS = 250;
  private static final int REMEMBERED = 5_000;

  /**
   * What a stage takes beside its estimate: image, start, result. It is not to be more than usual:
   * a job that seems late whatever is done goes last, and all behind it with it.
   */
  private static final double STAGE_S = 1;

  private final Calls calls;
  private final FormatGate gate;
  private final Ledger ledger;
  private final Writer writer;

  /** By the id of a job that is not known to be over: the jobs that wait for it. */
  private final Map<String, Set<Job>> waiting = new HashMap<>();

  private final Set<String> unknown = new LinkedHashSet<>();
  private final Map<String, JobView.Phase> over = new LruMap<>(REMEMBERED);
  private final ArrayDeque<Job> joined = new ArrayDeque<>();
  private final Set<Job> toCancel = new LinkedHashSet<>();
  private final Set<Job> cancelling = new HashSet<>();
  private boolean looking;
  private long lookAt;
  private boolean recount;
  private long recountAt;

  public JobGraph(Calls calls, FormatGate gate, Ledger ledger, Writer writer) {
    this.calls = calls;
    this.gate = gate;
    this.ledger = ledger;
    this.writer = writer;
  }

  /** How many jobs wait for others. */
  public int waitingJobs() {
    int n = 0;
    for (Job j : ledger.jobs()) {
      n += j.waits() ? 1 : 0;
    }
    return n;
  }

  @Override
  public void joined(Job j) {
    if (j.waits()) {
      joined.add(j); // looked at once all records that came together are known
    }
  }

  @Override
  public void cancelled(Job j) {
    leave(j);
    recount = true;
    aborted(j.spec.id());
  }

  @Override
  public void over(Job j, JobView.Phase phase) {
    leave(j);
    over(j.spec.id(), phase);
  }

  private void over(String id, JobView.Phase phase) {
    if (phase == null) {
      if (waiting.containsKey(id)) {
        unknown.add(id);
      }
      return;
    }
    over.put(id, phase);
    if (phase == JobView.Phase.DONE) {
      done(id);
    } else {
      aborted(id);
    }
  }

  /** Takes in new jobs, looks up what is not known, and writes what is to be cancelled. */
  public void step() {
    while (!joined.isEmpty()) {
      join(joined.poll());
    }
    if (!unknown.isEmpty() && !looking && calls.now() >= lookAt) {
      lookUp();
    }
    if (recount && calls.now() >= recountAt) {
      recount = false;
      recountAt = calls.now() + RECOUNT_MS;
      recount();
    }
    writeCancelled();
  }

  private boolean live(Job j) {
    return ledger.job(j.spec.id()) == j && !j.cancelled;
  }

  private void join(Job j) {
    if (!live(j)) {
      return;
    }
    for (String id : List.copyOf(j.unmet)) {
      Job needed = ledger.job(id);
      JobView.Phase phase =
          needed != null && needed.cancelled ? JobView.Phase.ABORTED : over.get(id);
      if (phase == JobView.Phase.DONE) {
        j.unmet.remove(id);
        continue;
      }
      waiting.computeIfAbsent(id, k -> new LinkedHashSet<>()).add(j);
      if (phase == JobView.Phase.ABORTED) {
        aborted(id);
        return;
      }
      if (needed == null) {
        unknown.add(id);
      }
    }
    if (j.waits()) {
      lend(j);
    } else {
      release(j);
    }
  }

  private void done(String id) {
    unknown.remove(id);
    Set<Job> freed = waiting.remove(id);
    if (freed == null) {
      return;
    }
    for (Job j : freed) {
      j.unmet.remove(id);
      if (!j.waits() && live(j)) {
        release(j);
      }
    }
  }

  private void release(Job j) {
    j.releasedWall = calls.wall();
    calls.note(
        j.spec.id()
            + " released "
            + Math.round((j.releasedWall - j.submittedWall) / 100.0) / 10.0
            + " s after its submission");
    ledger.somethingChanged();
  }

  /** All that need the job, directly or through others, are to be cancelled with it. */
  private void aborted(String id) {
    unknown.remove(id);
    ArrayDeque<String> ids = new ArrayDeque<>(List.of(id));
    while (!ids.isEmpty()) {
      for (Job j : waiting.getOrDefault(ids.poll(), Set.of())) {
        if (live(j) && !cancelling.contains(j) && toCancel.add(j)) {
          ids.add(j.spec.id());
        }
      }
    }
  }

  /** The job waits for nothing any more: it is cancelled. */
  private void leave(Job j) {
    toCancel.remove(j);
    for (String id : j.unmet) {
      Set<Job> others = waiting.get(id);
      if (others != null && others.remove(j) && others.isEmpty()) {
        waiting.remove(id);
        unknown.remove(id);
      }
    }
  }

  // --- what is over already ---

  private void lookUp() {
    looking = true;
    List<String> ids = List.copyOf(unknown);
    JobFinder.find(
        calls,
        Purpose.WORK,
        JobFinder.OVER_FIRST,
        ids,
        LOOK_WITHIN_MS,
        (found, complete) -> {
          looking = false;
          lookAt = complete ? calls.now() : calls.now() + LOOK_AGAIN_MS;
          for (String id : ids) {
            if (complete || found.containsKey(id)) {
              found(id, found.get(id));
            }
          }
        });
  }

  private void found(String id, JobFinder.Fact fact) {
    if (!unknown.contains(id)) {
      return; // known by now
    }
    if (fact == null) {
      // Accepted before the job that names it, so it must be there.
      lookAt = calls.now() + LOOK_AGAIN_MS;
      calls.note(id + " is awaited and not found");
    } else if (!fact.live()) {
      over(id, fact.phase());
    } else if (ledger.job(id) != null) {
      unknown.remove(id);
    } else {
      ledger.refresh(id);
      lookAt = calls.now() + LOOK_AGAIN_MS;
    }
  }

  // --- cancelling what needs a cancelled job ---

  private void writeCancelled() {
    while (!toCancel.isEmpty()) {
      List<Job> batch = new ArrayList<>();
      int most = gate.limits().txnOps();
      for (Job j : toCancel) {
        if (batch.size() < most) {
          batch.add(j);
        }
      }
      batch.forEach(toCancel::remove);
      cancelling.addAll(batch);
      writeCancelled(batch);
    }
  }

  /**
   * One transaction; where it fails, what is still to be cancelled is read again and tried anew.
   */
  private void writeCancelled(Collection<Job> batch) {
    List<Condition> when = new ArrayList<>();
    List<Change> apply = new ArrayList<>();
    for (Job j : batch) {
      String key = Keys.job(j.spec.id());
      when.add(new Condition(key, j.stamp));
      apply.add(Change.put(key, j.cancelledRecord().live()));
    }
    writer.whole(
        Writer.Turn.FIRST,
        when,
        apply,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            batch.forEach(cancelling::remove);
            batch.forEach(j -> cancelled(j, body));
          } else {
            batch.forEach(j -> ledger.refresh(j.spec.id(), () -> retryCancel(j)));
          }
        });
  }

  private void cancelled(Job j, JsonNode body) {
    try {
      ledger.record(j.spec.id(), j.cancelledRecord(), StateMessage.epoch(body));
    } catch (MalformedException e) {
      ledger.refresh(j.spec.id());
    }
  }

  private void retryCancel(Job j) {
    cancelling.remove(j);
    if (live(j) && j.waits()) {
      toCancel.add(j);
    }
  }

  // --- priorities and deadlines ---

  private void recount() {
    for (Job j : ledger.jobs()) {
      ledger.reprioritize(j, j.spec.priority());
      j.inheritedDue = Double.MAX_VALUE;
      j.inheritedLateDue = Double.MAX_VALUE;
    }
    for (Job j : List.copyOf(ledger.jobs())) {
      if (j.waits() && live(j)) {
        lend(j);
      }
    }
  }

  /** Hands the job's priority and what it leaves of its deadline on to those that it needs. */
  private void lend(Job from) {
    ArrayDeque<Job> lenders = new ArrayDeque<>(List.of(from));
    while (!lenders.isEmpty()) {
      Job j = lenders.poll();
      double takesMs = 1000 * (STAGE_S + j.spec.estimateS());
      double due = j.dueWall(1) - takesMs;
      double lateDue = j.dueWall(1.5) - takesMs;
      for (String id : j.unmet) {
        Job needed = ledger.job(id);
        if (needed != null && lendTo(needed, j.priority, due, lateDue)) {
          lenders.add(needed);
        }
      }
    }
  }

  private boolean lendTo(Job needed, Priority priority, double due, double lateDue) {
    boolean more =
        priority.compareTo(needed.priority) < 0
            || due < needed.inheritedDue
            || lateDue < needed.inheritedLateDue;
    if (priority.compareTo(needed.priority) < 0) {
      ledger.reprioritize(needed, priority);
    }
    needed.inheritedDue = Math.min(needed.inheritedDue, due);
    needed.inheritedLateDue = Math.min(needed.inheritedLateDue, lateDue);
    return more;
  }
}
