package org.snowturn.core.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.CommandChannel;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;
import org.snowturn.wire.CommandBatch;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.MalformedException;

/**
 * A queue of commands that are sent directly to one machine, one message at a time. Unanswered
 * messages are not repeated here, because the reply to the machine's next heartbeat carries every
 * command that is still needed.
 */
public final class CommandQueue implements CommandChannel {
  private static final int TIMEOUT_MS = 2000;

  /**
   * Timeout of a message without commands, which a machine answers sooner than one with commands.
   */
  private static final int PROBE_TIMEOUT_MS = 1000;

  /**
   * Minimum time after which a failed message shows that the machine may receive nothing. A call
   * that fails sooner was refused at once for lack of a socket, on this node or on the machine.
   */
  private static final long MIN_UNANSWERED_MS = 400;

  private static final int STATUS_OK = 200;
  private static final int STATUS_CONFLICT = 409;

  /** The leader's functions that the queue uses. */
  public interface Host {
    /** Returns whether this node has the authority to send commands now. */
    boolean hasAuthority();

    /** Handles the heartbeat with which the machine has answered a message. */
    void onHeartbeat(Heartbeat heartbeat);

    /** Returns whether a queued start command may still be sent to the machine. */
    boolean canStart(Machine machine, Command start);

    /** Handles a queue that has something to send and waits for {@link CommandQueue#flush}. */
    void onReadyToSend(CommandQueue queue);

    /** Handles a start that only the answer to a heartbeat of the machine may carry. */
    void onStartDue(Machine machine);

    /** Raises the token of messages to the machine, if a higher one is available. */
    void raiseToken(Machine machine);

    /** Handles a message to the machine that got no usable answer. */
    void onMessageUnanswered(Machine machine);
  }

  private final CoreRuntime runtime;
  private final Host host;
  private final Machine machine;
  private final Map<String, Command> queue = new LinkedHashMap<>();

  /** Keys of queued starts that had no room in the message that is in flight. */
  private final Set<String> postponedStarts = new HashSet<>();

  private boolean isBusy;
  private boolean isProbeRequested;
  private boolean isFlushRequested;

  /** The agent epoch for which the next probe is meant; 0 for the newest known one. */
  private long probedEpoch;

  /** Creates an empty queue of commands for the machine. */
  public CommandQueue(CoreRuntime runtime, Host host, Machine machine) {
    this.runtime = runtime;
    this.host = host;
    this.machine = machine;
  }

  /**
   * Adds a command to the next message. A start does not name the first agent epoch: a machine that
   * has lost its memory is in it again, has seen no token and would execute a late copy. It is sent
   * in the answer to a heartbeat instead, which reaches no other incarnation of the agent.
   */
  @Override
  public void add(Command command) {
    if (command.op() == Command.Op.START && machine.session.isInFirstEpoch()) {
      host.onStartDue(machine);
      return;
    }
    if (command.op() == Command.Op.STOP) {
      queue.remove(key(Command.Op.START, command)); // a stop leaves before all starts
    }
    queue.put(key(command), command);
    requestFlush();
  }

  @Override
  public void withdraw(Command command) {
    if (!queue.isEmpty()) {
      queue.remove(key(command));
    }
  }

  private static String key(Command command) {
    return key(command.op(), command);
  }

  private static String key(Command.Op op, Command command) {
    return op + command.job() + "/" + command.task() + "#" + command.attempt();
  }

  /** Registers the queue for the next flush, which visits only queues with something to send. */
  private void requestFlush() {
    if (!isFlushRequested && !isBusy) {
      isFlushRequested = true;
      host.onReadyToSend(this);
    }
  }

  /** Requests a message even without commands, to learn which tasks the machine runs. */
  @Override
  public void probe() {
    isProbeRequested = true;
    requestFlush();
  }

  /** Requests a flush of pending commands, for example once the machine's address is known. */
  @Override
  public void resume() {
    if (!queue.isEmpty() || isProbeRequested) {
      requestFlush();
    }
  }

  @Override
  public void discardUnsent() {
    queue.clear();
  }

  @Override
  public boolean isAwaitingReply() {
    return isBusy;
  }

  @Override
  public boolean isIdle() {
    return !isBusy && queue.isEmpty();
  }

  /**
   * Sends the pending commands or probe, if the machine's address is known and this node may act.
   */
  public void flush() {
    isFlushRequested = false;
    if (!canSend()) {
      return;
    }
    if (probedEpoch != 0) {
      sendProbe(probedEpoch);
      return;
    }
    List<Command> commands = takeCommands();
    if (commands.isEmpty() && !isProbeRequested) {
      return;
    }
    isProbeRequested = false;
    isBusy = true;
    send(machine.session.likelyEpoch(), commands, recordStarts(commands));
  }

  /**
   * Removes the commands of the next message from the queue, as many as it has room for. The others
   * follow once it is answered. Starts come last, so that each finds the room that the stops before
   * it have made.
   */
  private List<Command> takeCommands() {
    queue
        .values()
        .removeIf(command -> command.op() == Command.Op.START && !host.canStart(machine, command));
    CommandBatch batch = new CommandBatch();
    if (takeCommands(batch, false)) {
      takeCommands(batch, true);
    }
    postponedStarts.clear();
    for (Command command : queue.values()) {
      if (command.op() == Command.Op.START) {
        postponedStarts.add(key(command));
      }
    }
    return batch.commands();
  }

  /**
   * Moves queued commands to the message, either the starts or the others, until it is full.
   *
   * @return whether the message had room for all of them
   */
  private boolean takeCommands(CommandBatch batch, boolean starts) {
    Iterator<Command> iterator = queue.values().iterator();
    while (iterator.hasNext()) {
      Command command = iterator.next();
      if ((command.op() == Command.Op.START) == starts) {
        if (!batch.add(command)) {
          return false;
        }
        iterator.remove();
      }
    }
    return true;
  }

  private void sendProbe(long agentEpoch) {
    probedEpoch = 0;
    isProbeRequested = false;
    isBusy = true;
    send(agentEpoch, List.of(), List.of());
  }

  private boolean canSend() {
    return !isBusy
        && machine.address() != null
        && (!queue.isEmpty() || isProbeRequested)
        && !machine.lifecycle.isGone()
        && host.hasAuthority();
  }

  /**
   * Records the start commands in the machine's fence, before they are sent. Returns those of
   * attempts that had no direct start before.
   */
  private List<Command> recordStarts(List<Command> commands) {
    List<Command> firstStarts = new ArrayList<>();
    for (Command command : commands) {
      if (command.op() == Command.Op.START) {
        if (!machine.fence.canStartArrive(command.attempt(), command.task())) {
          firstStarts.add(command);
        }
        machine.fence.recordDirectStart(command.attempt(), command.task());
      }
    }
    return firstStarts;
  }

  private void send(long agentEpoch, List<Command> commands, List<Command> firstStarts) {
    CommandLog.write(runtime, "direct", machine, agentEpoch, commands);
    long sentAt = runtime.now();
    runtime.call(
        Effect.Target.WORKER,
        machine.address(),
        "POST",
        "/commands",
        Command.directCommands(machine.fence.token(), agentEpoch, commands),
        commands.isEmpty() ? PROBE_TIMEOUT_MS : TIMEOUT_MS,
        (outcome, status, body) -> onReply(agentEpoch, sentAt, firstStarts, outcome, status, body));
  }

  private void onReply(
      long agentEpoch,
      long sentAt,
      List<Command> firstStarts,
      Outcome outcome,
      int status,
      JsonNode body) {
    isBusy = false;
    boolean hasHeartbeat =
        outcome == Outcome.ANSWERED && (status == STATUS_OK || status == STATUS_CONFLICT);
    if (!hasHeartbeat) {
      // They follow only an answered message. The answers to heartbeats carry them instead.
      queue.keySet().removeAll(postponedStarts);
    }
    postponedStarts.clear();
    resume();
    if (outcome == Outcome.REFUSED) {
      // The message never left. Starts in earlier messages may still arrive.
      firstStarts.forEach(
          start -> machine.fence.withdrawDirectStart(start.attempt(), start.task()));
    }
    if (hasHeartbeat && handleHeartbeat(agentEpoch, status, body)) {
      return;
    }
    if (runtime.now() - sentAt >= MIN_UNANSWERED_MS) {
      machine.reachability.onMessageUnanswered(runtime.now());
    }
    host.onMessageUnanswered(machine);
  }

  /** Handles the heartbeat in the answer. Returns whether it could be parsed. */
  private boolean handleHeartbeat(long agentEpoch, int status, JsonNode body) {
    try {
      Heartbeat heartbeat = Heartbeat.parse(body);
      host.onHeartbeat(heartbeat);
      if (status == STATUS_CONFLICT && machine.epoch() > agentEpoch) {
        probe(); // the machine accepts the token with its agent epoch, which is known now
      } else if (status == STATUS_CONFLICT && heartbeat.agentEpoch() < agentEpoch) {
        fenceNewIncarnation(heartbeat.agentEpoch());
      }
      return true;
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.MACHINE, machine.id, e);
      return false;
    }
  }

  /**
   * Gives a machine that has come back without its memory a higher token than all starts that were
   * sent directly to its former incarnation. It refuses late copies of them once it reaches the
   * agent epoch that they name.
   */
  private void fenceNewIncarnation(long agentEpoch) {
    host.raiseToken(machine);
    probedEpoch = agentEpoch;
    probe();
  }
}
