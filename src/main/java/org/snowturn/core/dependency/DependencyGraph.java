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
 * The dependencies between live jobs. A job is released when all its dependencies are durably done,
 * and cancelled when one of them is cancelled. Until then its dependencies inherit its priority and
 * deadline. All of this is derived from stored records, so every leader reaches the same result.
 */
public final class DependencyGraph implements JobListener {
  private static final int STATUS_OK = 200;
  private static final long LOOKUP_RETRY_MS = 500;
  private static final long LOOKUP_TIMEOUT_MS = 10_000;

  /** Minimum time between two recomputations of all inherited priorities and deadlines. */
  private static final long MIN_RECOMPUTE_INTERVAL_MS = 250;

  /** Maximum number of finished jobs whose final phase is cached. */
  private static final int MAX_FINISHED_JOBS = 5_000;

  /**
   * Typical time that a stage takes in addition to its estimate: image fetch, start and result. A
   * higher value would make jobs seem bound to be late, and such jobs and their dependents are
   * scheduled last.
   */
  private static final double STAGE_OVERHEAD_S = 1;

  /** Factor on a job's deadline that gives its late deadline. */
  private static final double LATE_DEADLINE_FACTOR = 1.5;

  private final CoreRuntime runtime;
  private final FormatGate gate;
  private final TaskAssignments assignments;
  private final RecordWriter writer;

  /** Dependents of each dependency that is not known to have ended, by the dependency's id. */
  private final Map<String, List<Job>> dependentsById = new HashMap<>();

  /** Ids of dependencies whose state must be looked up in the stored records. */
  private final Set<String> unknownDependencies = new LinkedHashSet<>();

  /** Final phases of jobs that have ended, by id. */
  private final Map<String, JobStatus.Phase> finalPhases = new LruMap<>(MAX_FINISHED_JOBS);

  /** Jobs with dependencies that the next update adds to the graph. */
  private final ArrayDeque<Job> newJobs = new ArrayDeque<>();

  /** Jobs whose cancellation has not been submitted yet. */
  private final Set<Job> toCancel = new LinkedHashSet<>();

  /** Jobs whose cancellation has been submitted and is not confirmed yet. */
  private final Set<Job> cancelling = new HashSet<>();

  private boolean isLookupInProgress;
  private long nextLookupAt;
  private boolean isRecomputeDue;
  private long nextRecomputeAt;

  /** Creates an empty graph, which must be registered as a listener for all jobs. */
  public DependencyGraph(
      CoreRuntime runtime, FormatGate gate, TaskAssignments assignments, RecordWriter writer) {
    this.runtime = runtime;
    this.gate = gate;
    this.assignments = assignments;
    this.writer = writer;
  }

  /** Returns the number of jobs that wait for others. */
  public int waitingJobCount() {
    int count = 0;
    for (Job job : assignments.jobs()) {
      count += job.awaitsDependencies() ? 1 : 0;
    }
    return count;
  }

  @Override
  public void onJobAdded(Job job) {
    if (job.awaitsDependencies()) {
      newJobs.add(job); // resolved in update(), once all records of the batch are known
    }
  }

  @Override
  public void onJobCancelled(Job job) {
    removeWaiting(job);
    isRecomputeDue = true;
    cancelDependents(job.spec.id());
  }

  @Override
  public void onJobEnded(Job job, JobStatus.Phase phase) {
    removeWaiting(job);
    recordPhase(job.spec.id(), phase);
  }

  /** Records the final phase of a job. A null phase has to be looked up. */
  private void recordPhase(String id, JobStatus.Phase phase) {
    if (phase == null) {
      if (dependentsById.containsKey(id)) {
        unknownDependencies.add(id);
      }
      return;
    }
    finalPhases.put(id, phase);
    if (phase == JobStatus.Phase.DONE) {
      resolveDependency(id);
    } else {
      cancelDependents(id);
    }
  }

  /**
   * Adds new jobs to the graph, looks up dependencies of unknown state, recomputes inherited
   * priorities if necessary, and submits cancellations.
   */
  public void update() {
    while (!newJobs.isEmpty()) {
      addToGraph(newJobs.poll());
    }
    if (!unknownDependencies.isEmpty() && !isLookupInProgress && runtime.now() >= nextLookupAt) {
      lookUpUnknown();
    }
    if (isRecomputeDue && runtime.now() >= nextRecomputeAt) {
      isRecomputeDue = false;
      nextRecomputeAt = runtime.now() + MIN_RECOMPUTE_INTERVAL_MS;
      recompute();
    }
    writeCancelled();
  }

  private boolean isLive(Job job) {
    return assignments.job(job.spec.id()) == job && !job.isCancellationRecorded();
  }

  private void addToGraph(Job job) {
    if (!isLive(job)) {
      return;
    }
    for (String id : job.unmetDependencies.ids()) {
      Job dependency = assignments.job(id);
      JobStatus.Phase phase =
          dependency != null && dependency.isCancellationRecorded()
              ? JobStatus.Phase.ABORTED
              : finalPhases.get(id);
      if (phase == JobStatus.Phase.DONE) {
        job.unmetDependencies.remove(id);
        continue;
      }
      dependentsById.computeIfAbsent(id, key -> new ArrayList<>()).add(job);
      if (phase == JobStatus.Phase.ABORTED) {
        cancelDependents(id);
        return;
      }
      if (dependency == null) {
        unknownDependencies.add(id);
      }
    }
    if (job.awaitsDependencies()) {
      passPriorityToDependencies(job);
    } else {
      release(job);
    }
  }

  private void resolveDependency(String id) {
    unknownDependencies.remove(id);
    List<Job> dependents = dependentsById.remove(id);
    if (dependents == null) {
      return;
    }
    for (Job job : dependents) {
      job.unmetDependencies.remove(id);
      if (!job.awaitsDependencies() && isLive(job)) {
        release(job);
      }
    }
  }

  private void release(Job job) {
    job.setReleasedWallMs(runtime.wallMs());
    runtime
        .events()
        .info(LogEvent.JOB_RELEASED)
        .with(LogField.JOB, job.spec.id())
        .with(LogField.WAITED_S, (job.releasedWallMs() - job.submittedWallMs) / 1000.0)
        .write();
    assignments.markChanged();
  }

  /** Marks all direct and transitive dependents of the job for cancellation. */
  private void cancelDependents(String id) {
    unknownDependencies.remove(id);
    ArrayDeque<String> ids = new ArrayDeque<>(List.of(id));
    while (!ids.isEmpty()) {
      for (Job job : dependentsById.getOrDefault(ids.poll(), List.of())) {
        if (isLive(job) && !cancelling.contains(job) && toCancel.add(job)) {
          ids.add(job.spec.id());
        }
      }
    }
  }

  /** Removes a cancelled or finished job from the dependents of its dependencies. */
  private void removeWaiting(Job job) {
    toCancel.remove(job);
    for (String id : job.unmetDependencies.ids()) {
      List<Job> waitingJobs = dependentsById.get(id);
      if (waitingJobs != null && waitingJobs.remove(job) && waitingJobs.isEmpty()) {
        dependentsById.remove(id);
        unknownDependencies.remove(id);
      }
    }
  }

  // --- Lookup of dependencies of unknown state ---

  private void lookUpUnknown() {
    isLookupInProgress = true;
    List<String> ids = List.copyOf(unknownDependencies);
    JobLookup.find(
        runtime,
        RequestClass.WORK,
        JobLookup.FINISHED_FIRST,
        ids,
        LOOKUP_TIMEOUT_MS,
        (found, complete) -> {
          isLookupInProgress = false;
          nextLookupAt = complete ? runtime.now() : runtime.now() + LOOKUP_RETRY_MS;
          for (String id : ids) {
            if (complete || found.containsKey(id)) {
              onLookupResult(id, found.get(id));
            }
          }
        });
  }

  private void onLookupResult(String id, JobLookup.StoredJob storedJob) {
    if (!unknownDependencies.contains(id)) {
      return; // resolved in the meantime
    }
    if (storedJob == null) {
      // A dependency is accepted before its dependents, so its record must exist.
      nextLookupAt = runtime.now() + LOOKUP_RETRY_MS;
      runtime.events().info(LogEvent.DEPENDENCY_MISSING).with(LogField.JOB, id).write();
    } else if (!storedJob.isLive()) {
      recordPhase(id, storedJob.phase());
    } else if (assignments.job(id) != null) {
      unknownDependencies.remove(id);
    } else {
      assignments.registry().reread(id);
      nextLookupAt = runtime.now() + LOOKUP_RETRY_MS;
    }
  }

  // --- Cancellation of the dependents of cancelled jobs ---

  private void writeCancelled() {
    while (!toCancel.isEmpty()) {
      List<Job> batch = new ArrayList<>();
      int maxSize = gate.limits().maxTransactionOps();
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
   * Writes the cancellations of the batch in one transaction. If it fails, rereads the records and
   * retries the jobs that still have to be cancelled.
   */
  private void writeCancelled(Collection<Job> batch) {
    List<Condition> conditions = new ArrayList<>();
    List<Change> changes = new ArrayList<>();
    for (Job job : batch) {
      String key = StorageKeys.job(job.spec.id());
      conditions.add(new Condition(key, job.version()));
      changes.add(Change.put(key, job.cancelledRecord().liveJson()));
    }
    writer.submit(
        RecordWriter.TransactionPriority.IMMEDIATE,
        conditions,
        changes,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == STATUS_OK) {
            batch.forEach(cancelling::remove);
            batch.forEach(job -> onCancellationWritten(job, body));
          } else {
            batch.forEach(
                job -> assignments.registry().reread(job.spec.id(), () -> retryCancel(job)));
          }
        });
  }

  private void onCancellationWritten(Job job, JsonNode body) {
    try {
      assignments.registry().add(job.spec.id(), job.cancelledRecord(), StateMessage.revision(body));
    } catch (MalformedException e) {
      assignments.registry().reread(job.spec.id());
    }
  }

  private void retryCancel(Job job) {
    cancelling.remove(job);
    if (isLive(job) && job.awaitsDependencies()) {
      toCancel.add(job);
    }
  }

  // --- Inheritance of priorities and deadlines ---

  /** Recomputes all inherited priorities and deadlines from scratch. */
  private void recompute() {
    for (Job job : assignments.jobs()) {
      assignments.reprioritize(job, job.spec.priority());
      job.setDependentsDeadlineWallMs(Double.MAX_VALUE);
      job.setDependentsLateDeadlineWallMs(Double.MAX_VALUE);
    }
    for (Job job : List.copyOf(assignments.jobs())) {
      if (job.awaitsDependencies() && isLive(job)) {
        passPriorityToDependencies(job);
      }
    }
  }

  /**
   * Passes the job's priority, and its deadline minus its own run time, to all its direct and
   * transitive dependencies.
   */
  private void passPriorityToDependencies(Job from) {
    ArrayDeque<Job> queue = new ArrayDeque<>(List.of(from));
    while (!queue.isEmpty()) {
      Job job = queue.poll();
      double runTimeMs = 1000 * (STAGE_OVERHEAD_S + job.spec.estimateS());
      double deadline = job.deadlineWallMs(1) - runTimeMs;
      double lateDeadline = job.deadlineWallMs(LATE_DEADLINE_FACTOR) - runTimeMs;
      for (String id : job.unmetDependencies.ids()) {
        Job dependency = assignments.job(id);
        if (dependency != null
            && applyInheritance(dependency, job.priority(), deadline, lateDeadline)) {
          queue.add(dependency);
        }
      }
    }
  }

  /**
   * Applies an inherited priority and inherited deadlines to a dependency. Returns whether its
   * priority rose or one of its deadlines became earlier.
   */
  private boolean applyInheritance(
      Job dependency, Priority priority, double deadline, double lateDeadline) {
    boolean isRaised =
        priority.compareTo(dependency.priority()) < 0
            || deadline < dependency.dependentsDeadlineWallMs()
            || lateDeadline < dependency.dependentsLateDeadlineWallMs();
    if (priority.compareTo(dependency.priority()) < 0) {
      assignments.reprioritize(dependency, priority);
    }
    dependency.setDependentsDeadlineWallMs(
        Math.min(dependency.dependentsDeadlineWallMs(), deadline));
    dependency.setDependentsLateDeadlineWallMs(
        Math.min(dependency.dependentsLateDeadlineWallMs(), lateDeadline));
    return isRaised;
  }
}
