package org.snowturn.core.assignment;

import org.agrona.collections.LongArrayList;
import org.agrona.collections.LongHashSet;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.health.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.recovery.Reconciliation;
import org.snowturn.core.recovery.Reconciliation.Verdict;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.TaskStatus;

/**
 * Turns workers' heartbeats into knowledge; what they are answered is the matter of {@link
 * HeartbeatCommands}. What a report lists is believed in the order (session, seq); what it does not
 * list proves something only when it carries this leader's token, because only then can no start of
 * an earlier leader still be executed.
 */
public final class HeartbeatProcessor {
  private static final double MAX_CLOCK_DRIFT = 0.001;
  private static final long LEASE_MARGIN_MS = 600;

  private static final long FAILOVER_MS = 6_500;

  /** A worker waits 4 s for an answer and tries another node 1 s later. */
  private static final long UNANSWERED_HEARTBEAT_MS = 4_900;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final MachineTypes machineTypes;
  private final PreemptionRate spotLosses;
  private final long token;
  private final ReconciliationCases cases;
  private final ReportedTasks reportedTasks;

  /**
   * Takes in heartbeats for a term.
   *
   * @param token the fencing token of the term
   */
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
    this.assignments = assignments;
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.token = token;
    this.cases = new ReconciliationCases(assignments, token);
    this.reportedTasks = new ReportedTasks(runtime, failureHandler, assignments, token);
  }

  /** How long after the last answer a machine's session has certainly ended. */
  public static long leaseExpiryMs(Settings settings) {
    return (long) (settings.workers().leaseS() * 1000 * (1 + MAX_CLOCK_DRIFT)) + LEASE_MARGIN_MS;
  }

  /**
   * How long a machine that is up may take to find a new leader: a report's interval, the time-out
   * of one sent to the node that is gone, and two tries elsewhere.
   */
  public static long reassignmentMs(Settings settings) {
    return Math.min(
        leaseExpiryMs(settings),
        (long) (1000 * settings.workers().heartbeatIntervalS() * 1.25) + FAILOVER_MS);
  }

  /** The longest usual time between two reports of a machine. */
  public static long silenceLimitMs(Settings settings) {
    return (long) (1000 * (settings.workers().heartbeatIntervalS() * 1.25 + 0.8));
  }

  /** Two reports of a machine that come here within this time: the first one was answered. */
  public static long heartbeatDueMs(Settings settings) {
    return Math.min(silenceLimitMs(settings), UNANSWERED_HEARTBEAT_MS);
  }

  /** A heartbeat is answered with what may renew the machine's lease. */
  public void leaseRenewed(Machine machine) {
    machine.session.setLastAnswerAt(runtime.now());
    machine.reachability.heartbeatAnswered(runtime.now());
    machine.session.setHeartbeatDueAt(
        runtime.now() + silenceLimitMs(settings) + UNANSWERED_HEARTBEAT_MS);
  }

  /** Believes a heartbeat if it is the newest of its machine; tells whether it was. */
  public boolean apply(Machine machine, Heartbeat heartbeat) {
    if (!isNewest(machine, heartbeat)) {
      return false;
    }
    if (heartbeat.agentEpoch() > machine.epoch()) {
      beginSession(machine, heartbeat.agentEpoch());
    }
    if (machine.lastHeartbeatAt() == MonotonicTime.NEVER) {
      machine.session.setHeartbeatDueAt(runtime.now() + reassignmentMs(settings));
    }
    machine.session.heartbeat(heartbeat.sequence(), runtime.now(), silenceLimitMs(settings));
    machine.clearSuspicion();
    boolean carriesToken = heartbeat.seenToken() == token;
    machine.reachability.heartbeatAccepted(carriesToken);
    if (carriesToken && !machine.session.isAcknowledged()) {
      machine.session.acknowledge();
      assignments.markChanged();
    }
    boolean newNotice = takePreemptionNotice(machine, heartbeat);
    LongHashSet listed = takeTasks(machine, heartbeat);
    if (carriesToken && machine.adoptedTasks() > 0) {
      releaseUnlisted(machine, heartbeat, listed);
    }
    if (newNotice) {
      reportedTasks.drain(machine);
    }
    return true;
  }

  private static boolean isNewest(Machine machine, Heartbeat heartbeat) {
    boolean overtaken =
        heartbeat.agentEpoch() < machine.epoch()
            || (heartbeat.agentEpoch() == machine.epoch()
                && heartbeat.sequence() <= machine.session.heartbeatSeq());
    // Or it is a late one of a session whose lease has expired.
    return !overtaken && heartbeat.agentEpoch() > machine.session.endedEpoch();
  }

  private void beginSession(Machine machine, long epoch) {
    machine.session.setEpoch(epoch);
    // A new session has its full lease from its beginning, though no heartbeat of it was answered
    // yet: counted from the last answer its lease would seem expired while its tasks run.
    machine.session.setLastAnswerAt(Math.max(machine.session.lastAnswerAt(), runtime.now()));
    machine.session.clearAcknowledgement();
    machine.startsInDoubt.clear();
    machine.commands().drop();
    machine.reachability.newAgentEpoch(runtime.now());
    endSessionsBefore(machine, epoch);
  }

  /** Tells whether the heartbeat has brought the first notice of a preemption. */
  private boolean takePreemptionNotice(Machine machine, Heartbeat heartbeat) {
    if (Double.isNaN(heartbeat.preemptionNoticeS())) {
      return false;
    }
    boolean first = machine.preemptionAt() == Long.MAX_VALUE;
    if (first) {
      runtime
          .events()
          .info(LogEvent.PREEMPTION_NOTICE)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.NOTICE_S, heartbeat.preemptionNoticeS())
          .write();
      spotLosses.recordPreemption();
    }
    machine.setPreemptionAt(
        runtime.now() + (long) (1000 * Math.max(0, heartbeat.preemptionNoticeS())));
    return first;
  }

  /** Takes in what the heartbeat lists; tells which of the machine's tasks that are. */
  private LongHashSet takeTasks(Machine machine, Heartbeat heartbeat) {
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
        reportedTasks.seen(machine, job, status, verdict, heartbeat);
      } else if (verdict == Verdict.COMPLETE) {
        assignments.completeWaiting(job, status.task());
      }
    }
    machine.setUnaccounted(unaccounted);
    return listed;
  }

  private void endSessionsBefore(Machine machine, long session) {
    for (long ref : copy(machine.assigned)) {
      Job job = assignments.job(ref);
      int task = TaskAssignments.task(ref);
      if (job.epochOf(task) < session) {
        assignments.release(job, task, new EndEvidence.LaterAgentEpoch(session));
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

  /** The task references in the set, which may change while the copy is walked. */
  public static long[] copy(LongHashSet set) {
    LongArrayList out = new LongArrayList(set.size(), Long.MIN_VALUE);
    LongHashSet.LongIterator it = set.iterator();
    while (it.hasNext()) {
      out.addLong(it.nextValue());
    }
    return out.toLongArray();
  }

  /** Releases what was on machines whose session has certainly ended. */
  public void leaseExpired(Machine machine) {
    if (machine.assigned.isEmpty()
        || runtime.now() < machine.session.lastAnswerAt() + leaseExpiryMs(settings)) {
      return;
    }
    runtime
        .events()
        .info(LogEvent.MACHINE_LEASE_EXPIRED)
        .with(LogField.MACHINE, machine.id)
        .with(LogField.ASSIGNED, machine.assigned.size())
        .write();
    machine.session.endedUntil(machine.epoch());
    for (long ref : copy(machine.assigned)) {
      machine.session.endedUntil(assignments.job(ref).epochOf(TaskAssignments.task(ref)));
    }
    machine.session.clearAcknowledgement();
    releaseAll(machine, new EndEvidence.LeaseExpired());
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
    machine.setAddr(heartbeat.address());
    machine.commands().resume();
    machine.setType(heartbeat.type());
    machine.setSpot(heartbeat.spot());
    machine.setMachineType(machineTypes.get(heartbeat.type()));
    assignments.setZone(machine, machines.zone(heartbeat.zone()));
  }
}
