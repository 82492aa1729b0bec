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
 * Accepts or refuses the heartbeats of workers and answers them. An answer with status 200 renews
 * the worker's lease.
 */
final class HeartbeatHandler {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final CoreRuntime runtime;
  private final Term term;
  private final CancellationWatermark watermark;
  private final AssignmentServices services;
  private final MachineIndex machines;
  private final HeartbeatCommands commands;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;

  HeartbeatHandler(
      LeaderDependencies node,
      Term term,
      AssignmentServices services,
      LeaderRecovery recovery,
      ReachabilityChecks reachability) {
    this.runtime = node.runtime();
    this.term = term;
    this.watermark = node.watermark();
    this.services = services;
    this.machines = services.machines();
    this.commands = services.heartbeatCommands();
    this.recovery = recovery;
    this.reachability = reachability;
  }

  /** Handles a heartbeat that a worker has sent to this node. */
  void handle(long exchange, Heartbeat heartbeat) {
    if (!term.hasAuthority()) {
      refuse(exchange, heartbeat, "no_authority");
      return;
    }
    Machine machine = machines.getOrAdd(heartbeat.machine());
    if (machine.isTerminated()
        && !machine.isTerminationConfirmed()
        && heartbeat.agentEpoch() > machine.epoch()) {
      machines.restore(machine);
    }
    if (machine.isTerminated() || heartbeat.agentEpoch() <= machine.session.endedEpoch()) {
      // Terminated, or an agent epoch that has certainly ended: nothing may renew its lease.
      refuse(exchange, heartbeat, "session_over");
    } else if (!recovery.loaded()) {
      recovery.keep(machine, heartbeat);
      machine.session.setLastAnswerAt(runtime.now());
      answer(exchange, machine, heartbeat, commands.stops(heartbeat));
    } else if (reachability.isStale(machine, heartbeat)) {
      refuse(exchange, heartbeat, "late_copy");
    } else {
      applyAndAnswer(exchange, machine, heartbeat);
    }
  }

  private void applyAndAnswer(long exchange, Machine machine, Heartbeat heartbeat) {
    reachability.heartbeatReceived();
    apply(machine, heartbeat);
    reachability.heartbeatApplied(machine, heartbeat);
    HeartbeatCommands.Answer answer = commands.respond(machine, heartbeat);
    if (!answer.renews()) {
      runtime
          .events()
          .info(LogEvent.MACHINE_LEASE_NOT_RENEWED)
          .with(LogField.MACHINE, machine.id)
          .write();
      refuse(exchange, heartbeat, "start_in_doubt_of_cancelled_job");
      return;
    }
    services.heartbeats().leaseRenewed(machine);
    answer(exchange, machine, heartbeat, answer.commands());
  }

  /** Handles the heartbeat with which a worker has answered a direct message. */
  void handleReply(Heartbeat heartbeat) {
    Machine machine = machines.find(heartbeat.machine());
    if (term.ended() || !recovery.loaded() || machine == null || machine.isTerminated()) {
      return;
    }
    reachability.messageAnswered(machine, heartbeat);
    apply(machine, heartbeat);
    if (!machine.reachability.proven()) {
      machine.reachability.prove();
      services.assignments().markChanged();
    }
  }

  /** Applies what a machine reports to the term's state. */
  void apply(Machine machine, Heartbeat heartbeat) {
    if (machine.addr() == null || machine.machineType() == null || !machine.isRegistered()) {
      services.heartbeats().describe(machine, heartbeat);
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
    services.heartbeats().apply(machine, heartbeat);
    recovery.heard(machine);
  }

  private void register(Machine machine) {
    machine.beginRegistration();
    services
        .registry()
        .register(
            machine,
            () -> {
              machine.registered();
              services.assignments().markChanged();
            });
  }

  private void answer(long exchange, Machine machine, Heartbeat heartbeat, List<Command> sent) {
    log(heartbeat, "renewed");
    CommandLog.write(runtime, "answer", machine, heartbeat.agentEpoch(), term.token(), sent);
    runtime.answer(exchange, OK, Command.heartbeatResponse(term.token(), sent));
  }

  private void refuse(long exchange, Heartbeat heartbeat, String reason) {
    log(heartbeat, reason);
    runtime.answerUnavailable(exchange, UNAVAILABLE, 0);
  }

  private void log(Heartbeat heartbeat, String result) {
    if (runtime.events().debug()) {
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
