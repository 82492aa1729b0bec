package org.snowturn.core.leader;

import java.util.List;
import java.util.Map;
import org.snowturn.core.assignment.HeartbeatCommands;
import org.snowturn.core.assignment.HeartbeatPrompts;
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

  /** Maximum time until an answer for it to count as prompt. */
  private static final long MAX_PROMPT_ANSWER_MS = 500;

  /** Part of a lease after which the next heartbeat of a machine is answered at once. */
  private static final double MAX_PROMPT_ANSWER_INTERVAL_LEASES = 1.0 / 3;

  private final CoreRuntime runtime;
  private final Term term;
  private final CancellationWatermark watermark;
  private final AssignmentServices services;
  private final MachineIndex machines;
  private final HeartbeatCommands heartbeatCommands;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;
  private final HeartbeatPrompts heartbeatPrompts;
  private final DeferredAnswers deferredAnswers;
  private final long maxPromptAnswerIntervalMs;

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
    this.maxPromptAnswerIntervalMs =
        (long) (shared.settings().workers().leaseS() * 1000 * MAX_PROMPT_ANSWER_INTERVAL_LEASES);
    this.deferredAnswers = new DeferredAnswers(shared.settings());
    this.heartbeatPrompts =
        new HeartbeatPrompts(runtime, shared.settings(), services.startFencing());
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
    if (machine.lifecycle.isGone()
        && !machine.lifecycle.isTerminationConfirmed()
        && heartbeat.agentEpoch() > machine.epoch()) {
      machines.restore(machine);
    }
    if (machine.lifecycle.isGone() || heartbeat.agentEpoch() <= machine.session.endedEpoch()) {
      // The machine is terminated or its agent epoch has ended, so its lease must not be renewed.
      refuse(exchange, heartbeat, "session_over");
    } else if (!recovery.isLoaded()) {
      recovery.keepEarlyHeartbeat(machine, heartbeat);
      answerBeforeLoaded(exchange, machine, heartbeat);
    } else if (reachability.isStale(machine, heartbeat)) {
      refuse(exchange, heartbeat, "late_copy");
    } else {
      applyAndAnswer(exchange, machine, heartbeat);
    }
  }

  private void answerBeforeLoaded(long exchange, Machine machine, Heartbeat heartbeat) {
    HeartbeatCommands.Answer answer = heartbeatCommands.respondBeforeLoaded(heartbeat);
    if (!answer.renewsLease()) {
      refuse(exchange, heartbeat, "stops_without_room");
      return;
    }
    machine.session.setLastAnswerAt(runtime.now());
    answer(exchange, machine, heartbeat, answer.commands());
  }

  private void applyAndAnswer(long exchange, Machine machine, Heartbeat heartbeat) {
    reachability.onHeartbeatReceived();
    apply(machine, heartbeat);
    reachability.onHeartbeatApplied(machine, heartbeat);
    if (mayGetStarts(machine) && canDeferAnswer(machine)) {
      DeferredAnswers.Deferred earlier =
          deferredAnswers.add(exchange, machine, heartbeat, runtime.now());
      machine.session.setAnswerDeferred(true);
      if (earlier != null) {
        refuse(earlier.exchange(), earlier.heartbeat(), "newer_heartbeat");
      }
      return;
    }
    machine.session.setPromptAnswerAt(runtime.now());
    answer(exchange, machine, heartbeat);
  }

  /**
   * Returns whether the lease is safe if the worker gives up before the answer arrives, as it does
   * over slow links: prompt answers renew it often enough.
   */
  private boolean canDeferAnswer(Machine machine) {
    return runtime.now() - machine.session.promptAnswerAt() < maxPromptAnswerIntervalMs;
  }

  /**
   * Returns whether the answer to the machine's heartbeat may carry starts that are not durable
   * yet. A machine that has left its first agent epoch gets starts directly.
   */
  private boolean mayGetStarts(Machine machine) {
    return machine.session.isInFirstEpoch()
        && (machine.pendingPlacements() > 0
            || (machine.cpusFree() > 0 && machine.isUsable(runtime.now())));
  }

  /** Handles a durable start which only the answer to a heartbeat of the machine may carry. */
  void onStartDue(Machine machine) {
    if (!deferredAnswers.onStartDue(machine, runtime.now())) {
      heartbeatPrompts.prompt(machine);
    }
  }

  /** Answers the deferred heartbeats whose machines have got a start. */
  void answerDeferredWithStart() {
    deferredAnswers.takeWithStart(runtime.now()).forEach(this::answerDeferred);
  }

  /** Answers the heartbeats that have been deferred for the maximum time. */
  void answerExpiredDeferred() {
    deferredAnswers.takeExpired(runtime.now()).forEach(this::answerDeferred);
  }

  /** Refuses all deferred heartbeats, since this node may no longer renew leases. */
  void refuseDeferred() {
    for (DeferredAnswers.Deferred deferred : deferredAnswers.takeAll()) {
      deferred.machine().session.setAnswerDeferred(false);
      refuse(deferred.exchange(), deferred.heartbeat(), "no_authority");
    }
  }

  private void answerDeferred(DeferredAnswers.Deferred deferred) {
    Machine machine = deferred.machine();
    machine.session.setAnswerDeferred(false);
    if (runtime.now() - deferred.receivedAtMs() <= MAX_PROMPT_ANSWER_MS) {
      machine.session.setPromptAnswerAt(runtime.now());
    }
    if (!term.hasAuthority()) {
      refuse(deferred.exchange(), deferred.heartbeat(), "no_authority");
    } else if (machine.lifecycle.isGone()
        || deferred.heartbeat().agentEpoch() <= machine.session.endedEpoch()) {
      refuse(deferred.exchange(), deferred.heartbeat(), "session_over");
    } else {
      answer(deferred.exchange(), machine, deferred.heartbeat());
    }
  }

  private void answer(long exchange, Machine machine, Heartbeat heartbeat) {
    if (canLeaveFirstEpoch(machine, heartbeat)) {
      answerWithoutRenewal(exchange, machine, heartbeat);
      return;
    }
    HeartbeatCommands.Answer answer = heartbeatCommands.respond(machine, heartbeat);
    if (!answer.renewsLease()) {
      runtime
          .events()
          .info(LogEvent.MACHINE_LEASE_NOT_RENEWED)
          .with(LogField.MACHINE, machine.id)
          .write();
      refuse(exchange, heartbeat, "cancelled_task_not_stopped");
      return;
    }
    services.heartbeatProcessor().onLeaseRenewed(machine);
    if (heartbeat.seenToken() < machine.fence.token()) {
      heartbeatPrompts.onTokenRaised(machine);
    }
    answer(exchange, machine, heartbeat, answer.commands());
  }

  /**
   * Returns whether the machine is idle in its first agent epoch, so that its lease may expire.
   * From its next epoch on it gets starts directly. It must have seen the token before: then it
   * refuses late copies of earlier messages for later epochs.
   */
  private boolean canLeaveFirstEpoch(Machine machine, Heartbeat heartbeat) {
    return machine.session.isInFirstEpoch()
        && machine.session.isAcknowledged()
        && machine.reachability.isProven()
        && machine.assigned.isEmpty()
        && heartbeat.tasks().isEmpty();
  }

  /**
   * Answers an idle machine without a token. The worker drops the answer and reports to this node
   * again.
   */
  private void answerWithoutRenewal(long exchange, Machine machine, Heartbeat heartbeat) {
    log(heartbeat, "lease_left_to_expire");
    services.heartbeatProcessor().onLeaseLeftToExpire(machine);
    runtime.answer(exchange, OK, Command.responseWithoutToken());
  }

  /** Handles the heartbeat that a worker has sent in reply to a direct message. */
  void handleReply(Heartbeat heartbeat) {
    Machine machine = machines.find(heartbeat.machine());
    if (term.hasEnded() || !recovery.isLoaded() || machine == null || machine.lifecycle.isGone()) {
      return;
    }
    reachability.onMessageAnswered(machine, heartbeat);
    apply(machine, heartbeat);
    heartbeatCommands.forgetIfOverfull(machine, heartbeat);
    if (!machine.reachability.isProven()) {
      machine.reachability.markProven();
      services.assignments().markChanged();
    }
  }

  /** Applies a heartbeat to the term's state, and registers its machine if that is needed. */
  void apply(Machine machine, Heartbeat heartbeat) {
    if (machine.address() == null || machine.machineType() == null || !machine.isRegistered()) {
      services.heartbeatProcessor().updateDescription(machine, heartbeat);
      if (machine.lifecycle.firstSeenAt() == 0) {
        machine.lifecycle.setFirstSeenAt(runtime.now());
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

  /** Returns the gauges of the answers, by metric name. */
  Map<String, Double> gauges() {
    return Map.of(
        "snowturn.heartbeats.deferred", (double) deferredAnswers.deferredCount(),
        "snowturn.heartbeats.prompted", (double) heartbeatPrompts.prompts());
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
