package org.snowturn.core.leader;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.core.recovery.RecoveryPhase;
import org.snowturn.core.recovery.RecoveryProgress;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.StateMessage;

/**
 * The recovery of a new term: reads the records that earlier leaders have stored, then probes the
 * recorded machines to find out which tasks they still run.
 *
 * <p>Scheduling starts as soon as the records are read. A machine that has acknowledged this term's
 * token may get tasks while others are still being probed.
 */
final class LeaderRecovery {
  private final LeaderDependencies shared;
  private final CoreRuntime runtime;
  private final Term term;
  private final TaskAssignments assignments;
  private final StoredRecordsLoader loader;
  private final RecoveryProber prober;
  private final RecoveryProgress progress;

  /** Newest heartbeat of each machine that arrived while the records were being read. */
  private final Map<Machine, Heartbeat> earlyHeartbeats = new LinkedHashMap<>();

  private long jobWatchRevision;

  /**
   * Creates the recovery of a term that this node has just won.
   *
   * @param onRestartRecord handles the stored restart counters of a job, given the job's id
   */
  LeaderRecovery(
      LeaderDependencies shared,
      Term term,
      AssignmentServices services,
      BiConsumer<String, StateMessage.Entry> onRestartRecord) {
    this.shared = shared;
    this.runtime = shared.runtime();
    this.term = term;
    this.assignments = services.assignments();
    this.loader = new StoredRecordsLoader(shared, services, onRestartRecord);
    this.prober = new RecoveryProber(runtime, services);
    this.progress = new RecoveryProgress(runtime.now());
  }

  /** Returns whether all records are read, so that tasks can be scheduled. */
  boolean isLoaded() {
    return progress.hasReached(RecoveryPhase.PROBING);
  }

  /** Returns the revision of the state service from which changes of jobs are watched. */
  long jobWatchRevision() {
    return jobWatchRevision;
  }

  /**
   * Starts to read all records.
   *
   * @param onLoaded runs once all records are read; receives the newest heartbeat of each machine
   *     that arrived meanwhile
   */
  void start(Consumer<Map<Machine, Heartbeat>> onLoaded) {
    enter(RecoveryPhase.READING);
    new StoredRecordsReader(shared, term, records -> load(records, onLoaded)).start();
  }

  /** Keeps the newest heartbeat of a machine until all records are read. */
  void keepEarlyHeartbeat(Machine machine, Heartbeat heartbeat) {
    Heartbeat previous = earlyHeartbeats.get(machine);
    boolean isOlder =
        previous != null
            && (heartbeat.agentEpoch() < previous.agentEpoch()
                || (heartbeat.agentEpoch() == previous.agentEpoch()
                    && heartbeat.sequence() <= previous.sequence()));
    if (!isOlder) {
      earlyHeartbeats.put(machine, heartbeat);
    }
  }

  private void load(StoredRecords records, Consumer<Map<Machine, Heartbeat>> onLoaded) {
    jobWatchRevision = records.jobsRevision();
    loader.load(records);
    enter(RecoveryPhase.PROBING);
    runtime
        .events()
        .info(LogEvent.RECOVERY_COMPLETED)
        .with(LogField.JOBS, assignments.jobs().size())
        .with(LogField.TASKS_ASSIGNED, TaskCounts.of(assignments.jobs()).assigned())
        .with(LogField.PHASES, progress.toString())
        .with(LogField.RECORDS_UNREADABLE, loader.unreadableCount())
        .write();
    onLoaded.accept(earlyHeartbeats);
    earlyHeartbeats.clear();
    prober.start();
    assignments.retryFinishing();
  }

  /**
   * Returns whether nearly all machines have been heard, or have had enough time to be heard.
   *
   * <p>Until then the free room that is known may be only a fiftieth of the real one. Tasks on the
   * few machines that answered first must not be preempted for a waiting replica that fits on
   * another machine.
   */
  boolean hasHeardMostMachines() {
    return progress.hasReached(RecoveryPhase.RECONCILED)
        || (isLoaded() && prober.hasHeardMostMachines());
  }

  /** Records that a heartbeat of the machine has been applied. */
  void onMachineHeard(Machine machine) {
    prober.onAnyMachineHeard();
    if (isLoaded()) {
      prober.onMachineHeard(machine);
    }
  }

  /** Records that a message to the machine got no answer. */
  void onMessageUnanswered(Machine machine) {
    prober.onMessageUnanswered(machine);
  }

  /**
   * Returns whether the machine left repeated probes unanswered while this node kept up with its
   * work. The result does not tell whether the machine or the network is down.
   */
  boolean isUnresponsive(Machine machine) {
    return prober.isUnresponsive(machine);
  }

  /** Returns whether the machine has left a probe unanswered and has not been heard since. */
  boolean hasMissedProbe(Machine machine) {
    return prober.hasMissedProbe(machine);
  }

  /** Sends the probes that are due, and enters the next phase when its condition holds. */
  void tick() {
    prober.tick();
    if (!isLoaded()) {
      return;
    }
    prober.sendDueProbes();
    if (prober.unheardCount() == 0) {
      enter(RecoveryPhase.RECONCILED);
      if (assignments.unconfirmedAdopted() == 0 && enter(RecoveryPhase.NORMAL)) {
        runtime
            .events()
            .info(LogEvent.RECONCILIATION_COMPLETED)
            .with(LogField.PHASES, progress.toString())
            .with(LogField.PROBES, prober.sentCount())
            .write();
      }
    }
  }

  /** Stops probing the machines that are being terminated. */
  void dropTerminatingMachines() {
    prober.dropTerminatingMachines();
  }

  private boolean enter(RecoveryPhase phase) {
    return progress.enter(phase, runtime.now());
  }

  /** Returns the gauges of the recovery, by metric name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.term.phase", (double) progress.phase().number(),
        "snowturn.term.machines.unconfirmed", (double) prober.unheardCount(),
        "snowturn.term.probes", (double) prober.sentCount(),
        "snowturn.term.probes.window", (double) prober.window(),
        "snowturn.term.tasks.unconfirmed", (double) assignments.unconfirmedAdopted(),
        "snowturn.records.unreadable", (double) loader.unreadableCount());
  }
}
