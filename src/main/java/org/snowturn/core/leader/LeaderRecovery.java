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
 * The recovery of a new term: reads the records of earlier leaders, then probes the machines for
 * what of it still holds. Recovery never holds back a decision: a machine that has shown the token
 * may get work while others are still to be probed.
 */
final class LeaderRecovery {
  private final LeaderDependencies dependencies;
  private final CoreRuntime runtime;
  private final Term term;
  private final TaskAssignments assignments;
  private final StoredRecordsLoader loader;
  private final RecoveryProber prober;
  private final RecoveryProgress progress;

  /** The last heartbeat of each machine that came while the records were being read. */
  private final Map<Machine, Heartbeat> earlyHeartbeats = new LinkedHashMap<>();

  private long jobWatchRevision;

  /**
   * The recovery of a term that has just been won.
   *
   * @param restarts takes a job's id and its stored counter of restarts
   */
  LeaderRecovery(
      LeaderDependencies dependencies,
      Term term,
      AssignmentServices services,
      BiConsumer<String, StateMessage.Entry> onRestartRecord) {
    this.dependencies = dependencies;
    this.runtime = dependencies.runtime();
    this.term = term;
    this.assignments = services.assignments();
    this.loader = new StoredRecordsLoader(dependencies, services, onRestartRecord);
    this.prober = new RecoveryProber(runtime, services);
    this.progress = new RecoveryProgress(runtime.now());
  }

  /** Whether all records are known, so that decisions may be made. */
  boolean isLoaded() {
    return progress.reached(RecoveryPhase.PROBING);
  }

  /** The revision from which on changes of jobs are to be watched. */
  long jobWatchRevision() {
    return jobWatchRevision;
  }

  /**
   * Starts to read all records.
   *
   * @param whenLoaded takes the last heartbeat of each machine that came meanwhile
   */
  void start(Consumer<Map<Machine, Heartbeat>> onLoaded) {
    enter(RecoveryPhase.READING);
    new StoredRecordsReader(dependencies, term, records -> load(records, onLoaded)).start();
  }

  /** Keeps the newest heartbeat of a machine until the records are known. */
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
    jobWatchRevision = records.jobs().epoch();
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
   * Whether nearly all machines have been heard, or have had the time for it. Until then what seems
   * to be all the room there is may be a fiftieth of it: a replica that waits must not cost the
   * work of tasks on the few machines that were first to answer.
   */
  boolean hasHeardMostMachines() {
    return progress.reached(RecoveryPhase.RECONCILED)
        || (isLoaded() && prober.hasHeardMostMachines());
  }

  /** The machine has been heard, and whether it knows the present token. */
  void onMachineHeard(Machine machine) {
    prober.onAnyMachineHeard();
    if (isLoaded()) {
      prober.onMachineHeard(machine);
    }
  }

  /** A message to the machine got no answer. */
  void onMessageUnanswered(Machine machine) {
    prober.onMessageUnanswered(machine);
  }

  /**
   * Whether the machine's silence counts: it was probed again and again and did not answer, while
   * this node kept up with its work. Whether the machine or the network is down, others judge.
   */
  boolean isUnresponsive(Machine machine) {
    return prober.isUnresponsive(machine);
  }

  /** Whether the machine has left a probe unanswered and has not been heard since. */
  boolean hasMissedProbe(Machine machine) {
    return prober.hasMissedProbe(machine);
  }

  /** Sends due probes and enters the next phase when its condition holds. */
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

  /** Gives up on machines that are about to be terminated. */
  void dropTerminatingMachines() {
    prober.dropTerminatingMachines();
  }

  private boolean enter(RecoveryPhase phase) {
    return progress.enter(phase, runtime.now());
  }

  /** The gauges of the recovery by name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.term.phase", (double) progress.now().number(),
        "snowturn.term.machines.unconfirmed", (double) prober.unheardCount(),
        "snowturn.term.probes", (double) prober.sentCount(),
        "snowturn.term.probes.window", (double) prober.window(),
        "snowturn.term.tasks.unconfirmed", (double) assignments.unconfirmedAdopted(),
        "snowturn.records.unreadable", (double) loader.unreadableCount());
  }
}
