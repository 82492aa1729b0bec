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
  private final LeaderDependencies node;
  private final CoreRuntime runtime;
  private final Term term;
  private final TaskAssignments assignments;
  private final StoredRecordsLoader loader;
  private final RecoveryProber prober;
  private final RecoveryProgress phases;

  /** The last heartbeat of each machine that came while the records were being read. */
  private final Map<Machine, Heartbeat> early = new LinkedHashMap<>();

  private long watchFrom;

  /**
   * The recovery of a term that has just been won.
   *
   * @param restarts takes a job's id and its stored counter of restarts
   */
  LeaderRecovery(
      LeaderDependencies node,
      Term term,
      AssignmentServices services,
      BiConsumer<String, StateMessage.Entry> restarts) {
    this.node = node;
    this.runtime = node.runtime();
    this.term = term;
    this.assignments = services.assignments();
    this.loader = new StoredRecordsLoader(node, services, restarts);
    this.prober = new RecoveryProber(runtime, services);
    this.phases = new RecoveryProgress(runtime.now());
  }

  /** Whether all records are known, so that decisions may be made. */
  boolean loaded() {
    return phases.reached(RecoveryPhase.PROBING);
  }

  /** The revision from which on changes of jobs are to be watched. */
  long watchFrom() {
    return watchFrom;
  }

  /**
   * Starts to read all records.
   *
   * @param whenLoaded takes the last heartbeat of each machine that came meanwhile
   */
  void begin(Consumer<Map<Machine, Heartbeat>> whenLoaded) {
    enter(RecoveryPhase.READING);
    new StoredRecordsReader(node, term, records -> load(records, whenLoaded)).start();
  }

  /** Keeps the newest heartbeat of a machine until the records are known. */
  void keep(Machine machine, Heartbeat heartbeat) {
    Heartbeat before = early.get(machine);
    boolean older =
        before != null
            && (heartbeat.agentEpoch() < before.agentEpoch()
                || (heartbeat.agentEpoch() == before.agentEpoch()
                    && heartbeat.sequence() <= before.sequence()));
    if (!older) {
      early.put(machine, heartbeat);
    }
  }

  private void load(StoredRecords records, Consumer<Map<Machine, Heartbeat>> whenLoaded) {
    watchFrom = records.jobs().oldestRevision();
    loader.load(records);
    enter(RecoveryPhase.PROBING);
    runtime
        .events()
        .info(LogEvent.RECOVERY_COMPLETED)
        .with(LogField.JOBS, assignments.jobs().size())
        .with(LogField.TASKS_ASSIGNED, TaskCounts.of(assignments.jobs()).assigned())
        .with(LogField.PHASES, phases.toString())
        .with(LogField.RECORDS_UNREADABLE, loader.unreadable())
        .write();
    whenLoaded.accept(early);
    early.clear();
    prober.start();
    assignments.retryFinishing();
  }

  /**
   * Whether nearly all machines have been heard, or have had the time for it. Until then what seems
   * to be all the room there is may be a fiftieth of it: a replica that waits must not cost the
   * work of tasks on the few machines that were first to answer.
   */
  boolean mostHeard() {
    return phases.reached(RecoveryPhase.RECONCILED) || (loaded() && prober.mostHeard());
  }

  /** The machine has been heard, and whether it knows the present token. */
  void heard(Machine machine) {
    prober.anyHeard();
    if (loaded()) {
      prober.heard(machine);
    }
  }

  /** A message to the machine got no answer. */
  void unanswered(Machine machine) {
    prober.unanswered(machine);
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
    if (!loaded()) {
      return;
    }
    prober.probe();
    if (prober.unheard() == 0) {
      enter(RecoveryPhase.RECONCILED);
      if (assignments.unconfirmedAdopted() == 0 && enter(RecoveryPhase.NORMAL)) {
        runtime
            .events()
            .info(LogEvent.RECONCILIATION_COMPLETED)
            .with(LogField.PHASES, phases.toString())
            .with(LogField.PROBES, prober.sent())
            .write();
      }
    }
  }

  /** Gives up on machines that are about to be terminated. */
  void sweep() {
    prober.dropTerminating();
  }

  private boolean enter(RecoveryPhase phase) {
    return phases.enter(phase, runtime.now());
  }

  /** The gauges of the recovery by name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.term.phase", (double) phases.now().number(),
        "snowturn.term.machines.unconfirmed", (double) prober.unheard(),
        "snowturn.term.probes", (double) prober.sent(),
        "snowturn.term.probes.window", (double) prober.window(),
        "snowturn.term.tasks.unconfirmed", (double) assignments.unconfirmedAdopted(),
        "snowturn.records.unreadable", (double) loader.unreadable());
  }
}
