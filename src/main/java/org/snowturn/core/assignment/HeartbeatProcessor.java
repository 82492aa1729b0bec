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
 * Updates machines, tasks and leases from workers' heartbeats. {@link HeartbeatCommands} composes
 * the answers.
 *
 * <p>Heartbeats of a machine are ordered by agent epoch and sequence number, and only a newer one
 * is applied. The absence of a task from a heartbeat proves something only if the heartbeat carries
 * this leader's token: only then can no start of an earlier leader still be executed there.
 */
public final class HeartbeatProcessor {
  /** Maximum drift of a worker's clock, as a fraction of the elapsed time. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  /** Margin added to a worker lease before it counts as expired. */
  private static final long LEASE_EXPIRY_MARGIN_MS = 600;

  /** Longest usual heartbeat interval as a multiple of the configured one. */
  private static final double MAX_INTERVAL_FACTOR = 1.25;

  /** Allowance for the delay of a heartbeat in transit. */
  private static final double MAX_HEARTBEAT_DELAY_S = 0.8;

  /** Time for a heartbeat to the failed node to time out and for two attempts at other nodes. */
  private static final long FAILOVER_ATTEMPTS_MS = 6_500;

  /**
   * Lower bound of the time between an unanswered heartbeat and the next one. A worker waits 4 s
   * for an answer and tries another node 1 s later.
   */
  private static final long HEARTBEAT_RETRY_MS = 4_900;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final MachineTypes machineTypes;
  private final PreemptionRate preemptionRate;
  private final ReconciliationCases cases;
  private final ReportedTasks reportedTasks;
  private long unknownTokens;

  /** Creates a processor for the heartbeats of a term. */
  public HeartbeatProcessor(
      CoreRuntime runtime,
      Settings settings,
      FailureHandler failureHandler,
      TaskAssignments assignments,
      MachineIndex machines,
      MachineTypes machineTypes,
      PreemptionRate preemptionRate) {
    this.preemptionRate = preemptionRate;
    this.runtime = runtime;
    this.settings = settings;
    this.assignments = assignments;
    this.machines = machines;
    this.machineTypes = machineTypes;
    this.cases = new ReconciliationCases(assignments);
    this.reportedTasks = new ReportedTasks(runtime, failureHandler, assignments);
  }

  /**
   * Returns the time after the last answer to a machine at which its lease has certainly expired,
   * in milliseconds.
   */
  public static long leaseExpiryMs(Settings settings) {
    return (long) (settings.workers().leaseS() * 1000 * (1 + MAX_CLOCK_DRIFT))
        + LEASE_EXPIRY_MARGIN_MS;
  }

  /**
   * Returns the maximum time in which a running machine finds a new leader, in milliseconds: one
   * heartbeat interval, the timeout of a heartbeat sent to the failed node, and two attempts at
   * other nodes.
   */
  public static long maxLeaderDiscoveryMs(Settings settings) {
    return Math.min(
        leaseExpiryMs(settings),
        (long) (1000 * settings.workers().heartbeatIntervalS() * MAX_INTERVAL_FACTOR)
            + FAILOVER_ATTEMPTS_MS);
  }

  /** Returns the longest usual time between two heartbeats of a machine, in milliseconds. */
  public static long maxHeartbeatIntervalMs(Settings settings) {
    return (long)
        (1000
            * (settings.workers().heartbeatIntervalS() * MAX_INTERVAL_FACTOR
                + MAX_HEARTBEAT_DELAY_S));
  }

  /**
   * Returns the maximum time between two heartbeats of a machine, in milliseconds, if the machine
   * received the answer to the first one. A machine without an answer sends its next heartbeat
   * later.
   */
  public static long maxAnsweredHeartbeatIntervalMs(Settings settings) {
    return Math.min(maxHeartbeatIntervalMs(settings), HEARTBEAT_RETRY_MS);
  }

  /** Records that a heartbeat is answered in a way that may renew the machine's lease. */
  public void onLeaseRenewed(Machine machine) {
    machine.session.setLastAnswerAt(runtime.now());
    machine.session.setLeaseLeftToExpire(false);
    onAnswered(machine);
  }

  /** Records that a heartbeat of an idle machine is answered without renewing its lease. */
  public void onLeaseLeftToExpire(Machine machine) {
    machine.session.setLeaseLeftToExpire(true);
    onAnswered(machine);
  }

  private void onAnswered(Machine machine) {
    machine.reachability.onHeartbeatAnswered(runtime.now());
    machine.session.onAnswerSent(runtime.now(), maxHeartbeatIntervalMs(settings));
    machine.session.setHeartbeatDueAt(
        runtime.now() + maxHeartbeatIntervalMs(settings) + HEARTBEAT_RETRY_MS);
  }

  /**
   * Applies a heartbeat if it is the newest of its machine.
   *
   * @return whether the heartbeat was applied
   */
  public boolean apply(Machine machine, Heartbeat heartbeat) {
    if (!isNewest(machine, heartbeat)) {
      return false;
    }
    if (heartbeat.agentEpoch() > machine.epoch()) {
      beginEpoch(machine, heartbeat.agentEpoch());
    }
    if (machine.lastHeartbeatAt() == MonotonicTime.UNSET) {
      machine.session.setHeartbeatDueAt(runtime.now() + maxLeaderDiscoveryMs(settings));
    }
    machine.session.recordHeartbeat(
        heartbeat.sequence(), runtime.now(), maxHeartbeatIntervalMs(settings));
    machine.clearSuspicion();
    recordSeenToken(machine, heartbeat.seenToken());
    boolean carriesToken = machine.fence.isOwnToken(heartbeat.seenToken());
    machine.reachability.onHeartbeatAccepted(carriesToken);
    if (carriesToken && !machine.session.isAcknowledged()) {
      machine.session.acknowledge();
      assignments.markChanged();
    }
    boolean isFirstNotice = applyPreemptionNotice(machine, heartbeat);
    LongHashSet listed = applyTasks(machine, heartbeat);
    if (carriesToken && machine.adoptedTasks() > 0) {
      releaseUnlisted(machine, heartbeat, listed);
    }
    recordHeartbeatUsage(machine, heartbeat);
    if (isFirstNotice) {
      reportedTasks.drain(machine);
    }
    return true;
  }

  private static boolean isNewest(Machine machine, Heartbeat heartbeat) {
    boolean overtaken =
        heartbeat.agentEpoch() < machine.epoch()
            || (heartbeat.agentEpoch() == machine.epoch()
                && heartbeat.sequence() <= machine.session.heartbeatSequence());
    // A delayed heartbeat of an agent epoch whose lease has expired is rejected, too.
    return !overtaken && heartbeat.agentEpoch() > machine.session.endedEpoch();
  }

  private void beginEpoch(Machine machine, long epoch) {
    machine.session.setEpoch(epoch);
    // A new agent epoch starts with a full lease, although none of its heartbeats was answered yet.
    // Counted from the last answer, the lease would seem expired while its tasks still run.
    machine.session.setLastAnswerAt(Math.max(machine.session.lastAnswerAt(), runtime.now()));
    machine.session.clearAcknowledgement();
    machine.fence.onNewAgentEpoch();
    machine.heartbeatUsage.onNewAgentEpoch();
    machine.commands().discardUnsent();
    if (hasExpiredAsIntended(machine)) {
      machine.reachability.onIntendedAgentEpoch();
      // Arrays have left the machine alone until now, so its surplus shows from now on.
      machine.setIdleSince(runtime.now());
    } else {
      machine.reachability.onNewAgentEpoch(runtime.now());
    }
    machine.session.setLeaseLeftToExpire(false);
    releaseEarlierEpochs(machine, epoch);
  }

  /**
   * Returns whether the lease has expired because this leader did not renew it, although the
   * machine received the answers: without the last one it would have tried other nodes first.
   */
  private boolean hasExpiredAsIntended(Machine machine) {
    return machine.session.isLeaseLeftToExpire()
        && machine.reachability.sinceHeartbeatAnswerMs(runtime.now())
            <= maxAnsweredHeartbeatIntervalMs(settings);
  }

  /**
   * Records the token that a machine has seen. One that this leader has not sent belongs to a later
   * leader, or the worker is faulty; a heartbeat with it proves nothing.
   */
  private void recordSeenToken(Machine machine, long seenToken) {
    if (machine.fence.onTokenSeen(seenToken)) {
      unknownTokens++;
      runtime
          .events()
          .info(LogEvent.HEARTBEAT_TOKEN_UNKNOWN)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.SEEN_TOKEN, seenToken)
          .with(LogField.TOKEN, machine.fence.token())
          .write();
    }
  }

  /** Returns how often a machine has reported a token that this leader has not sent to it. */
  public long unknownTokens() {
    return unknownTokens;
  }

  /**
   * Applies the preemption notice of a heartbeat, if it has one.
   *
   * @return whether it is the machine's first notice
   */
  private boolean applyPreemptionNotice(Machine machine, Heartbeat heartbeat) {
    if (Double.isNaN(heartbeat.preemptionNoticeS())) {
      return false;
    }
    boolean isFirst = machine.preemptionAt() == Long.MAX_VALUE;
    if (isFirst) {
      runtime
          .events()
          .info(LogEvent.PREEMPTION_NOTICE)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.NOTICE_S, heartbeat.preemptionNoticeS())
          .write();
      preemptionRate.recordPreemption();
    }
    machine.setPreemptionAt(
        runtime.now() + (long) (1000 * Math.max(0, heartbeat.preemptionNoticeS())));
    return isFirst;
  }

  /**
   * Applies the reported state of all tasks that the heartbeat lists.
   *
   * @return the references of the listed tasks that are assigned to the machine
   */
  private LongHashSet applyTasks(Machine machine, Heartbeat heartbeat) {
    int unaccounted = 0;
    LongHashSet listed = new LongHashSet();
    for (TaskStatus status : heartbeat.tasks()) {
      Job job = assignments.job(status.job());
      if (job == null || status.task() >= job.taskCount()) {
        if (cases.isQuarantined(status)) {
          unaccounted++;
          assignments.registry().onQuarantinedTaskReported(status.job());
        }
        continue;
      }
      Verdict verdict = Reconciliation.decide(cases.caseOfListed(machine, heartbeat, status, job));
      if (ReconciliationCases.isAssignedHere(machine, job, status)) {
        listed.add(Job.taskReference(job.index, status.task()));
        reportedTasks.apply(machine, job, status, verdict, heartbeat);
      } else if (verdict == Verdict.COMPLETE) {
        assignments.completePending(job, status.task());
      }
    }
    machine.setUnaccountedTasks(unaccounted);
    return listed;
  }

  /** Records how much of the maximum size of a heartbeat the machine's tasks use. */
  private void recordHeartbeatUsage(Machine machine, Heartbeat heartbeat) {
    machine.heartbeatUsage.recordLayout(heartbeat.layoutBytes());
    machine.heartbeatUsage.beginFormer();
    for (TaskStatus status : heartbeat.tasks()) {
      Job job = assignments.job(status.job());
      if (job == null
          || status.task() >= job.taskCount()
          || !ReconciliationCases.isAssignedHere(machine, job, status)) {
        machine.heartbeatUsage.addFormer(status);
      }
    }
  }

  /** Releases the tasks that were placed before this agent epoch. */
  private void releaseEarlierEpochs(Machine machine, long epoch) {
    for (long reference : copy(machine.assigned)) {
      Job job = assignments.job(reference);
      int task = TaskAssignments.task(reference);
      if (job.epochOf(task) < epoch) {
        assignments.release(job, task, new EndEvidence.LaterAgentEpoch(epoch));
      }
    }
  }

  /** Releases the assigned tasks that have provably ended because the heartbeat omits them. */
  private void releaseUnlisted(Machine machine, Heartbeat heartbeat, LongHashSet listed) {
    for (long reference : copy(machine.assigned)) {
      Job job = assignments.job(reference);
      int task = TaskAssignments.task(reference);
      if (!listed.contains(reference)
          && Reconciliation.decide(cases.caseOfUnlisted(machine, heartbeat, job, task, false))
              == Verdict.RELEASE) {
        assignments.release(
            job, task, ReconciliationCases.absenceEvidence(heartbeat, job, task, false));
      }
    }
  }

  /** Returns a copy of a set of task references that is safe to iterate while the set changes. */
  public static long[] copy(LongHashSet set) {
    LongArrayList references = new LongArrayList(set.size(), Long.MIN_VALUE);
    LongHashSet.LongIterator iterator = set.iterator();
    while (iterator.hasNext()) {
      references.addLong(iterator.nextValue());
    }
    return references.toLongArray();
  }

  /** Releases all tasks of a machine if its lease has certainly expired. */
  public void releaseIfLeaseExpired(Machine machine) {
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
    machine.session.markEndedThrough(machine.epoch());
    for (long reference : copy(machine.assigned)) {
      machine.session.markEndedThrough(
          assignments.job(reference).epochOf(TaskAssignments.task(reference)));
    }
    machine.session.clearAcknowledgement();
    releaseAll(machine, new EndEvidence.LeaseExpired());
  }

  /** Releases all tasks of a machine whose deletion the cloud has confirmed. */
  public void onMachineDeleted(Machine machine) {
    releaseAll(machine, new EndEvidence.MachineDeleted());
  }

  /** Releases all tasks of a machine that the cloud lists as failed. */
  public void onMachineFailed(Machine machine) {
    releaseAll(machine, new EndEvidence.MachineFailed());
  }

  private void releaseAll(Machine machine, EndEvidence evidence) {
    for (long reference : copy(machine.assigned)) {
      assignments.release(assignments.job(reference), TaskAssignments.task(reference), evidence);
    }
    machine.commands().discardUnsent();
  }

  /** Updates a machine's address, type, zone and spot property from its heartbeat. */
  public void updateDescription(Machine machine, Heartbeat heartbeat) {
    machine.setAddress(heartbeat.address());
    machine.commands().resume();
    machine.setType(heartbeat.type());
    machine.setSpot(heartbeat.spot());
    machine.setMachineType(machineTypes.get(heartbeat.type()));
    assignments.setZone(machine, machines.zoneIndex(heartbeat.zone()));
  }
}
