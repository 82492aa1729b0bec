package org.snowturn.core.leader;

import java.util.List;
import org.snowturn.core.assignment.HeartbeatCommands;
import org.snowturn.core.dispatch.CommandLog;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;

/**
 * Accepts or refuses the heartbeats of workers and answers them. An answer with the HTTP status 200
 * renews the worker's lease.
 */
final class HeartbeatHandler {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final CoreRuntime runtime;
  private final Term term;
  private final CancellationWatermark watermark;
  private final AssignmentServices services;
  private final MachineIndex machines;
  private final HeartbeatCommands heartbeatCommands;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;

  HeartbeatHandler(
      LeaderDependencies shared,
      Term term,
      AssignmentServices services,
      LeaderRecovery recovery,
      ReachabilityChecks reachability) {
    this.runtime = shared.runtime();
    this.term = term;
    this.watermark = shared.watermark();
    this.services = services;
    this.machines = services.machines();
    this.heartbeatCommands = services.heartbeatCommands();
    this.recovery = recovery;
    this.reachability = reachability;
  }

  /**
   * Handles a heartbeat that a worker has sent to this node.
   *
   * @param exchange the id of the HTTP exchange to answer
   */
  void handle(long exchange, Heartbeat heartbeat) {
    if (!term.hasAuthority()) {
      refuse(exchange, heartbeat, "no_authority");
      return;
    }
    Machine machine = machines.getOrAdd(heartbeat.machine());
    if (machine.isGone()
        && !machine.isTerminationConfirmed()
        && heartbeat.agentEpoch() > machine.epoch()) {
      machines.restore(machine);
    }
    if (machine.isGone() || heartbeat.agentEpoch() <= machine.session.endedEpoch()) {
      // The machine is terminated or its agent epoch has ended, so its lease must not be renewed.
      refuse(exchange, heartbeat, "session_over");
    } else if (!recovery.isLoaded()) {
      recovery.keepEarlyHeartbeat(machine, heartbeat);
      machine.session.setLastAnswerAt(runtime.now());
      answer(exchange, machine, heartbeat, heartbeatCommands.stopCommands(heartbeat));
    } else if (reachability.isStale(machine, heartbeat)) {
      refuse(exchange, heartbeat, "late_copy");
    } else {
      applyAndAnswer(exchange, machine, heartbeat);
    }
  }

  private void applyAndAnswer(long exchange, Machine machine, Heartbeat heartbeat) {
    reachability.onHeartbeatReceived();
    apply(machine, heartbeat);
    reachability.onHeartbeatApplied(machine, heartbeat);
    HeartbeatCommands.Answer answer = heartbeatCommands.respond(machine, heartbeat);
    if (!answer.renewsLease()) {
      runtime
          .events()
          .info(LogEvent.MACHINE_LEASE_NOT_RENEWED)
          .with(LogField.MACHINE, machine.id)
          .write();
      refuse(exchange, heartbeat, "start_in_doubt_of_cancelled_job");
      return;
    }
    services.heartbeatProcessor().onLeaseRenewed(machine);
    answer(exchange, machine, heartbeat, answer.commands());
  }

  /** Handles the heartbeat that a worker has sent in reply to a direct message. */
  void handleReply(Heartbeat heartbeat) {
    Machine machine = machines.find(heartbeat.machine());
    if (term.hasEnded() || !recovery.isLoaded() || machine == null || machine.isGone()) {
      return;
    }
    reachability.onMessageAnswered(machine, heartbeat);
    apply(machine, heartbeat);
    if (!machine.reachability.isProven()) {
      machine.reachability.markProven();
      services.assignments().markChanged();
    }
  }

  /** Applies a heartbeat to the term's state, and registers its machine if that is needed. */
  void apply(Machine machine, Heartbeat heartbeat) {
    if (machine.address() == null || machine.machineType() == null || !machine.isRegistered()) {
      services.heartbeatProcessor().updateDescription(machine, heartbeat);
      if (machine.firstSeenAt() == 0) {
        machine.setFirstSeenAt(runtime.now());
      }
    }
    if (machine.idleSince() == 0) {
      machine.setIdleSince(runtime.now());
    }
    if (machine.needsRegistration() && machine.machineType() != null) {
      register(machine);
    }
    services.heartbeatProcessor().apply(machine, heartbeat);
    recovery.onMachineHeard(machine);
  }

  private void register(Machine machine) {
    machine.beginRegistration();
    services
        .registry()
        .register(
            machine,
            () -> {
              machine.markRegistered();
              services.assignments().markChanged();
            });
  }

  private void answer(long exchange, Machine machine, Heartbeat heartbeat, List<Command> commands) {
    log(heartbeat, "renewed");
    CommandLog.write(runtime, "answer", machine, heartbeat.agentEpoch(), commands);
    runtime.answer(exchange, OK, Command.heartbeatResponse(machine.fence.token(), commands));
  }

  private void refuse(long exchange, Heartbeat heartbeat, String reason) {
    log(heartbeat, reason);
    runtime.answerUnavailable(exchange, UNAVAILABLE, 0);
  }

  private void log(Heartbeat heartbeat, String result) {
    if (runtime.events().isDebugEnabled()) {
      runtime
          .events()
          .debug(LogEvent.HEARTBEAT)
          .with(LogField.MACHINE, heartbeat.machine())
          .with(LogField.AGENT_EPOCH, heartbeat.agentEpoch())
          .with(LogField.HEARTBEAT, heartbeat.sequence())
          .with(LogField.SEEN_TOKEN, heartbeat.seenToken())
          .with(LogField.TOKEN, term.token())
          .with(LogField.RESULT, result)
          .with(LogField.CANCELLATIONS_KNOWN_MS_AGO, watermark.ageMs())
          .write();
    }
  }
}
