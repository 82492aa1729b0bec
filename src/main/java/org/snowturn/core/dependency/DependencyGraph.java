package org.snowturn.core.dependency;

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
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.assignment.JobListener;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobLookup;
import org.snowturn.core.storage.LruMap;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
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
public final class DependencyGraph implements JobListener {
  private static final long LOOKUP_RETRY_MS = 500;
  private static final long LOOKUP_TIMEOUT_MS = 10_000;
  private static final long RECOMPUTE_MS = 250;
  private static final int MAX_FINISHED = 5_000;

  /**
   * What a stage takes beside its estimate: image, start, result. It is not to be more than usual:
   * a job that seems late whatever is done goes last, and all behind it with it.
   */
  private static final double STAGE_OVERHEAD_S = 1;

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final TaskAssignments assignments;
  private final RecordWriter writer;

  /** By the id of a job that is not known to be over: the jobs that wait for it. */
  private final Map<String, Set<Job>> waiting = new HashMap<>();

  private final Set<String> unknown = new LinkedHashSet<>();
  private final Map<String, JobStatus.Phase> over = new LruMap<>(MAX_FINISHED);
  private final ArrayDeque<Job> joined = new ArrayDeque<>();
  private final Set<Job> toCancel = new LinkedHashSet<>();
  private final Set<Job> cancelling = new HashSet<>();
  private boolean lookupInProgress;
  private long lookupAt;
  private boolean recompute;
  private long recomputeAt;

  /** No job is known yet; it is to be told of all jobs as a listener. */
  public DependencyGraph(
      CoreRuntime runtime, FormatGate gate, TaskAssignments assignments, RecordWriter writer) {
    this.runtime = runtime;
    this.gate = gate;
    this.assignments = assignments;
    this.writer = writer;
  }

  /** How many jobs wait for others. */
  public int waitingJobCount() {
    int count = 0;
    for (Job job : assignments.jobs()) {
      count += job.awaitsDependencies() ? 1 : 0;
    }
    return count;
  }

  @Override
  public void joined(Job job) {
    if (job.awaitsDependencies()) {
      joined.add(job); // looked at once all records that came together are known
    }
  }

  @Override
  public void cancelled(Job job) {
    leave(job);
    recompute = true;
    aborted(job.spec.id());
  }

  @Override
  public void over(Job job, JobStatus.Phase phase) {
    leave(job);
    over(job.spec.id(), phase);
  }

  private void over(String id, JobStatus.Phase phase) {
    if (phase == null) {
      if (waiting.containsKey(id)) {
        unknown.add(id);
      }
      return;
    }
    over.put(id, phase);
    if (phase == JobStatus.Phase.DONE) {
      done(id);
    } else {
      aborted(id);
    }
  }

  /** Takes in new jobs, looks up what is not known, and writes what is to be cancelled. */
  public void update() {
    while (!joined.isEmpty()) {
      join(joined.poll());
    }
    if (!unknown.isEmpty() && !lookupInProgress && runtime.now() >= lookupAt) {
      lookUp();
    }
    if (recompute && runtime.now() >= recomputeAt) {
      recompute = false;
      recomputeAt = runtime.now() + RECOMPUTE_MS;
      recompute();
    }
    writeCancelled();
  }

  private boolean live(Job job) {
    return assignments.job(job.spec.id()) == job && !job.isCancellationRecorded();
  }

  private void join(Job job) {
    if (!live(job)) {
      return;
    }
    for (String id : List.copyOf(job.unmetDependencies)) {
      Job needed = assignments.job(id);
      JobStatus.Phase phase =
          needed != null && needed.isCancellationRecorded()
              ? JobStatus.Phase.ABORTED
              : over.get(id);
      if (phase == JobStatus.Phase.DONE) {
        job.unmetDependencies.remove(id);
        continue;
      }
      waiting.computeIfAbsent(id, k -> new LinkedHashSet<>()).add(job);
      if (phase == JobStatus.Phase.ABORTED) {
        aborted(id);
        return;
      }
      if (needed == null) {
        unknown.add(id);
      }
    }
    if (job.awaitsDependencies()) {
      lendPriority(job);
    } else {
      release(job);
    }
  }

  private void done(String id) {
    unknown.remove(id);
    Set<Job> freed = waiting.remove(id);
    if (freed == null) {
      return;
    }
    for (Job job : freed) {
      job.unmetDependencies.remove(id);
      if (!job.awaitsDependencies() && live(job)) {
        release(job);
      }
    }
  }

  private void release(Job job) {
    job.setReleasedWall(runtime.wallMs());
    runtime
        .events()
        .info(LogEvent.JOB_RELEASED)
        .with(LogField.JOB, job.spec.id())
        .with(LogField.WAITED_S, (job.releasedWall() - job.submittedWall) / 1000.0)
        .write();
    assignments.markChanged();
  }

  /** All that need the job, directly or through others, are to be cancelled with it. */
  private void aborted(String id) {
    unknown.remove(id);
    ArrayDeque<String> ids = new ArrayDeque<>(List.of(id));
    while (!ids.isEmpty()) {
      for (Job job : waiting.getOrDefault(ids.poll(), Set.of())) {
        if (live(job) && !cancelling.contains(job) && toCancel.add(job)) {
          ids.add(job.spec.id());
        }
      }
    }
  }

  /** The job waits for nothing any more: it is cancelled. */
  private void leave(Job job) {
    toCancel.remove(job);
    for (String id : job.unmetDependencies) {
      Set<Job> others = waiting.get(id);
      if (others != null && others.remove(job) && others.isEmpty()) {
        waiting.remove(id);
        unknown.remove(id);
      }
    }
  }

  // --- what is over already ---

  private void lookUp() {
    lookupInProgress = true;
    List<String> ids = List.copyOf(unknown);
    JobLookup.find(
        runtime,
        RequestClass.WORK,
        JobLookup.OVER_FIRST,
        ids,
        LOOKUP_TIMEOUT_MS,
        (found, complete) -> {
          lookupInProgress = false;
          lookupAt = complete ? runtime.now() : runtime.now() + LOOKUP_RETRY_MS;
          for (String id : ids) {
            if (complete || found.containsKey(id)) {
              found(id, found.get(id));
            }
          }
        });
  }

  private void found(String id, JobLookup.StoredJob fact) {
    if (!unknown.contains(id)) {
      return; // known by now
    }
    if (fact == null) {
      // Accepted before the job that names it, so it must be there.
      lookupAt = runtime.now() + LOOKUP_RETRY_MS;
      runtime.events().info(LogEvent.DEPENDENCY_MISSING).with(LogField.JOB, id).write();
    } else if (!fact.live()) {
      over(id, fact.phase());
    } else if (assignments.job(id) != null) {
      unknown.remove(id);
    } else {
      assignments.registry().reread(id);
      lookupAt = runtime.now() + LOOKUP_RETRY_MS;
    }
  }

  // --- cancelling what needs a cancelled job ---

  private void writeCancelled() {
    while (!toCancel.isEmpty()) {
      List<Job> batch = new ArrayList<>();
      int maxSize = gate.limits().txnOps();
      for (Job job : toCancel) {
        if (batch.size() < maxSize) {
          batch.add(job);
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
    for (Job job : batch) {
      String key = StorageKeys.job(job.spec.id());
      when.add(new Condition(key, job.version()));
      apply.add(Change.put(key, job.cancelledRecord().live()));
    }
    writer.submit(
        RecordWriter.TransactionPriority.IMMEDIATE,
        when,
        apply,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            batch.forEach(cancelling::remove);
            batch.forEach(job -> cancelled(job, body));
          } else {
            batch.forEach(
                job -> assignments.registry().reread(job.spec.id(), () -> retryCancel(job)));
          }
        });
  }

  private void cancelled(Job job, JsonNode body) {
    try {
      assignments.registry().add(job.spec.id(), job.cancelledRecord(), StateMessage.revision(body));
    } catch (MalformedException e) {
      assignments.registry().reread(job.spec.id());
    }
  }

  private void retryCancel(Job job) {
    cancelling.remove(job);
    if (live(job) && job.awaitsDependencies()) {
      toCancel.add(job);
    }
  }

  // --- priorities and deadlines ---

  private void recompute() {
    for (Job job : assignments.jobs()) {
      assignments.reprioritize(job, job.spec.priority());
      job.setDependentsDeadline(Double.MAX_VALUE);
      job.setDependentsLateDeadline(Double.MAX_VALUE);
    }
    for (Job job : List.copyOf(assignments.jobs())) {
      if (job.awaitsDependencies() && live(job)) {
        lendPriority(job);
      }
    }
  }

  /** Hands the job's priority and what it leaves of its deadline on to those that it needs. */
  private void lendPriority(Job from) {
    ArrayDeque<Job> lenders = new ArrayDeque<>(List.of(from));
    while (!lenders.isEmpty()) {
      Job job = lenders.poll();
      double takesMs = 1000 * (STAGE_OVERHEAD_S + job.spec.estimateS());
      double due = job.deadlineWallMs(1) - takesMs;
      double lateDue = job.deadlineWallMs(1.5) - takesMs;
      for (String id : job.unmetDependencies) {
        Job needed = assignments.job(id);
        if (needed != null && lendTo(needed, job.priority(), due, lateDue)) {
          lenders.add(needed);
        }
      }
    }
  }

  private boolean lendTo(Job needed, Priority priority, double due, double lateDue) {
    boolean more =
        priority.compareTo(needed.priority()) < 0
            || due < needed.dependentsDeadline()
            || lateDue < needed.dependentsLateDeadline();
    if (priority.compareTo(needed.priority()) < 0) {
      assignments.reprioritize(needed, priority);
    }
    needed.setDependentsDeadline(Math.min(needed.dependentsDeadline(), due));
    needed.setDependentsLateDeadline(Math.min(needed.dependentsLateDeadline(), lateDue));
    return more;
  }
}
