package org.snowturn.core.assignment;

import org.agrona.collections.LongArrayList;
import org.agrona.collections.LongHashSet;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.health.EndEvidence.ReportedEnded;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.TaskStatus;

/**
 * Turns workers' reports into knowledge; what they are answered is the matter of {@link
 * HeartbeatCommands}. What a report lists is believed in the order (session, seq); what it does not
 * list proves something only when it carries this leader's token, because only then can no start of
 * an earlier leader still be executed.
 */
public final class HeartbeatProcessor {
  private static final double DRIFT = 0.001;
  private static final long LAPSE_MARGIN_MS = 600;

  /** So many finished runs tell how long an array's tasks take. */
  private static final int KNOWN_RUNS = 3;

  private static final long TURN_OVER_MS = 6_500;

  /** A worker waits 4 s for an answer and tries another node 1 s later. */
  private static final long UNANSWERED_REPORT_MS = 4_900;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final FailureHandler failureHandler;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final MachineTypes machineTypes;
  private final PreemptionRate spotLosses;
  private final long token;
  private final ReconciliationCases cases;

  public HeartbeatProcessor(
      CoreRuntime runtime,
      Settings settings,
      FailureHandler failureHandler,
      TaskAssignments assignments,
      MachineIndex machines,
      MachineTypes machineTypes,
      PreemptionRate spotLosses,
      long token) {
    this.spotLosses = spotLosses;
    this.runtime = runtime;
    this.settings = settings;
    this.failureHandler = failureHandler;
    this.assignments = assignments;
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.token = token;
    this.cases = new ReconciliationCases(assignments, token);
  }

  /** How long after the last answer a machine's session has certainly ended. */
  public static long leaseExpiryMs(Settings settings) {
    return (long) (settings.workers().leaseS() * 1000 * (1 + DRIFT)) + LAPSE_MARGIN_MS;
  }

  /**
   * How long a machine that is up may take to find a new leader: a report's interval, the time-out
   * of one sent to the node that is gone, and two tries elsewhere.
   */
  public static long reassignmentMs(Settings settings) {
    return Math.min(
        leaseExpiryMs(settings),
        (long) (1000 * settings.workers().reportS() * 1.25) + TURN_OVER_MS);
  }

  /** The longest usual time between two reports of a machine. */
  public static long silenceLimitMs(Settings settings) {
    return (long) (1000 * (settings.workers().reportS() * 1.25 + 0.8));
  }

  /** Two reports of a machine that come here within this time: the first one was answered. */
  public static long heartbeatDueMs(Settings settings) {
    return Math.min(silenceLimitMs(settings), UNANSWERED_REPORT_MS);
  }

  /** A check-in is answered with what may renew the machine's lease. */
  public void leaseRenewed(Machine machine) {
    machine.setLastAnswerAt(runtime.now());
    machine.reachability.answeredCheckIn(runtime.now());
    machine.setHeartbeatDueAt(runtime.now() + silenceLimitMs(settings) + UNANSWERED_REPORT_MS);
  }

  /** Believes a report if it is the newest of its machine. */
  public boolean apply(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.epoch() < machine.epoch()
        || (heartbeat.epoch() == machine.epoch() && heartbeat.seq() <= machine.heartbeatSeq())) {
      return false;
    }
    if (heartbeat.epoch() <= machine.endedEpoch()) {
      return false; // a late report of a session that has lapsed
    }
    if (heartbeat.epoch() > machine.epoch()) {
      machine.setEpoch(heartbeat.epoch());
      // A new session has its full lease from its beginning, though no report of it was answered
      // yet:
      // counted from the last answer it would be taken for lapsed while its tasks run.
      machine.setLastAnswerAt(Math.max(machine.lastAnswerAt(), runtime.now()));
      machine.clearAcknowledgement();
      machine.startsInDoubt.clear();
      machine.commands().drop();
      machine.reachability.newSession(runtime.now());
      endSessionsBefore(machine, heartbeat.epoch());
    }
    machine.setHeartbeatSeq(heartbeat.seq());
    if (machine.lastHeartbeatAt() == MonotonicTime.NEVER) {
      machine.setHeartbeatDueAt(runtime.now() + reassignmentMs(settings));
    }
    machine.setLastHeartbeatAt(runtime.now());
    machine.setSilentFrom(runtime.now() + silenceLimitMs(settings));
    machine.clearSuspicion();
    boolean noticed = false;
    boolean mine = heartbeat.token() == token;
    machine.reachability.believed(mine);
    if (mine && !machine.isAcknowledged()) {
      machine.acknowledge();
      assignments.markChanged();
    }
    if (!Double.isNaN(heartbeat.preemptionNoticeS())) {
      if (machine.preemptionAt() == Long.MAX_VALUE) {
        runtime.note(machine.id + " is to be taken in " + heartbeat.preemptionNoticeS() + " s");
        spotLosses.recordPreemption();
        noticed = true;
      }
      machine.setPreemptionAt(
          runtime.now() + (long) (1000 * Math.max(0, heartbeat.preemptionNoticeS())));
    }
    int unaccounted = 0;
    LongHashSet listed = new LongHashSet();
    for (TaskStatus status : heartbeat.tasks()) {
      Job job = assignments.job(status.job());
      if (job == null || status.task() >= job.taskCount()) {
        unaccounted += cases.isQuarantined(status) ? 1 : 0;
        continue;
      }
      Verdict verdict = Reconciliation.of(cases.listed(machine, heartbeat, status, job));
      if (ReconciliationCases.here(machine, job, status)) {
        listed.add(Job.ref(job.index, status.task()));
        seen(machine, job, status, verdict, heartbeat);
      } else if (verdict == Verdict.COMPLETE) {
        assignments.completeWaiting(job, status.task());
      }
    }
    machine.setUnaccounted(unaccounted);
    if (mine && machine.adoptedTasks() > 0) {
      releaseUnlisted(machine, heartbeat, listed);
    }
    if (noticed) {
      drain(machine);
    }
    return true;
  }

  /**
   * Stops the tasks that cannot end before the machine is taken: elsewhere they start anew so much
   * sooner. Only an array whose run times are known, or an estimate far too long, tells which.
   */
  private void drain(Machine machine) {
    for (long ref : copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (job.spec.kind() != JobSpec.Kind.ARRAY || job.stopping.get(task)) {
        continue;
      }
      double run = job.runTimes.size() >= KNOWN_RUNS ? job.median() : job.spec.estimateS() / 2;
      double ran =
          job.stateOf(task) != TaskState.RUNNING
              ? 0
              : job.stateSince(task) == MonotonicTime.NEVER
                  ? run
                  : (runtime.now() - job.stateSince(task)) / 1000.0;
      if (runtime.now() + (run - ran) * 1000 > machine.preemptionAt()) {
        runtime.note(job.spec.id() + "/" + task + " leaves " + machine.id + " before it is taken");
        assignments.stop(job, task);
      }
    }
  }

  private void endSessionsBefore(Machine machine, long session) {
    for (long ref : copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (job.epochOf(task) < session) {
        assignments.release(job, task, new EndEvidence.LaterSession(session));
      }
    }
  }

  private void releaseUnlisted(Machine machine, Heartbeat heartbeat, LongHashSet listed) {
    for (long ref : copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (!listed.contains(ref)
          && Reconciliation.of(cases.unlisted(machine, heartbeat, job, task, false))
              == Verdict.RELEASE) {
        assignments.release(job, task, ReconciliationCases.notListed(heartbeat, job, task, false));
      }
    }
  }

  public static long[] copy(LongHashSet set) {
    LongArrayList out = new LongArrayList(set.size(), Long.MIN_VALUE);
    LongHashSet.LongIterator it = set.iterator();
    while (it.hasNext()) {
      out.addLong(it.nextValue());
    }
    return out.toLongArray();
  }

  private void seen(
      Machine machine, Job job, TaskStatus status, Verdict verdict, Heartbeat heartbeat) {
    int task = status.task();
    switch (status.state()) {
      case FETCHING -> job.setState(task, TaskState.FETCHING);
      case RUNNING, SAVING -> {
        if (job.stateOf(task) != TaskState.RUNNING) {
          // Times of tasks that an earlier leader started are unknown, so they never look slow.
          job.setStateSince(task, job.adopted.get(task) ? MonotonicTime.NEVER : runtime.now());
          job.setState(task, TaskState.RUNNING);
          double waited = (runtime.wallMs() - job.releasedWall()) / 1000.0;
          if (job.spec.service() && waited > 1.5 && job.failures() == 0 && !job.adopted.get(task)) {
            runtime.note(
                String.format(
                    java.util.Locale.ROOT,
                    "%s/%d runs %.1f s after it could, image %s on %s",
                    job.spec.id(),
                    task,
                    waited,
                    job.spec.image(),
                    machine.id));
          }
        }
        failureHandler.keepsRunning(machine, job, task);
        machine.touchImage(job.spec.image(), job.spec.imageGb());
      }
      case ENDED -> {
        if (status.exitReason() == TaskStatus.ExitReason.BUSY
            && ReconciliationCases.otherAttemptAlive(heartbeat, status)) {
          runtime.note(
              job.spec.id() + "/" + task + " refused on " + machine.id + ", where it runs already");
        } else if (verdict == Verdict.COMPLETE || verdict == Verdict.RELEASE) {
          ended(
              machine,
              job,
              task,
              status.exitReason(),
              new ReportedEnded(heartbeat.token(), heartbeat.epoch()));
        }
      }
      default -> {}
    }
    if (heartbeat.token() == token && job.isAssigned(task)) {
      // Seen under this token: from now on only its own end releases it.
      assignments.confirmAdopted(job, task);
    }
  }

  private void ended(
      Machine machine, Job job, int task, TaskStatus.ExitReason why, ReportedEnded evidence) {
    long now = runtime.now();
    switch (why) {
      case DONE -> {
        if (job.stateSince(task) != MonotonicTime.NEVER) {
          double ran = (now - job.stateSince(task)) / 1000.0;
          job.runTimes.add(ran);
          double median = job.median();
          machine.finishedWork(median > 0 && job.runTimes.size() > 1 ? ran / median : 1);
        }
        failureHandler.succeeded(machine, job);
        assignments.complete(job, task, evidence);
        return;
      }
      case ERROR -> failureHandler.failed(machine, job, task);
      case STOPPED -> runtime.note(job.spec.id() + "/" + task + " stopped on " + machine.id);
      default -> runtime.note(job.spec.id() + "/" + task + " ended on " + machine.id + ": " + why);
    }
    switch (why) {
      case NO_ROOM, BUSY -> machine.setBlockedUntil(now + 1_500);
      case UNKNOWN_JOB -> job.setBackOffUntil(now + 2_000);
      default -> {}
    }
    assignments.release(job, task, evidence);
  }

  /** Releases what was on machines whose session has certainly ended. */
  public void leaseExpired(Machine machine) {
    if (machine.assigned.isEmpty()
        || runtime.now() < machine.lastAnswerAt() + leaseExpiryMs(settings)) {
      return;
    }
    runtime.note(
        machine.id + " silent past its lease: " + machine.assigned.size() + " tasks wait again");
    machine.setEndedEpoch(Math.max(machine.endedEpoch(), machine.epoch()));
    for (long ref : copy(machine.assigned)) {
      machine.setEndedEpoch(
          Math.max(machine.endedEpoch(), assignments.job(ref).epochOf(TaskAssignments.task(ref))));
    }
    machine.clearAcknowledgement();
    releaseAll(machine, new EndEvidence.LeaseLapsed());
  }

  /** Releases everything on a machine whose deletion the cloud has confirmed. */
  public void machineDeleted(Machine machine) {
    releaseAll(machine, new EndEvidence.MachineDeleted());
  }

  /** Releases everything on a machine that the cloud lists as failed. */
  public void machineFailed(Machine machine) {
    releaseAll(machine, new EndEvidence.MachineFailed());
  }

  private void releaseAll(Machine machine, EndEvidence evidence) {
    for (long ref : copy(machine.assigned)) {
      assignments.release(assignments.job(ref), TaskAssignments.task(ref), evidence);
    }
    machine.commands().drop();
  }

  /** Takes a machine's description from its report. */
  public void describe(Machine machine, Heartbeat heartbeat) {
    machine.setAddr(heartbeat.addr());
    machine.commands().resume();
    machine.setType(heartbeat.type());
    machine.setSpot(heartbeat.spot());
    machine.setMachineType(machineTypes.get(heartbeat.type()));
    assignments.setZone(machine, machines.zone(heartbeat.zone()));
  }
}
