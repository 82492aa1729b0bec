package org.snowturn.core.dispatch;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.CommandChannel;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.MalformedException;

/**
 * Direct commands to one machine, one message at a time. What gets no answer is not repeated here:
 * the next report's response carries every command that still matters.
 */
public final class CommandQueue implements CommandChannel {
  private static final int TIMEOUT_MS = 2000;

  /** A machine that only has to say that it is there answers sooner. */
  private static final int ASK_TIMEOUT_MS = 1000;

  /** Without an answer for so long, a message was in vain. */
  private static final long IN_VAIN_MS = 400;

  private static final long FIRST_SESSION = 1;

  /** What the queue needs of the leader. */
  public interface Host {
    /** Whether this node may act now. */
    boolean hasAuthority();

    /** The fencing token of the term. */
    long token();

    /** The machine has answered with its heartbeat. */
    void onHeartbeat(Heartbeat heartbeat);

    /** Whether a start that was decided earlier may leave for the machine now. */
    boolean canStart(Machine machine, Command start);

    /** The queue has something to send and waits for {@link CommandQueue#flush}. */
    void onReadyToSend(CommandQueue queue);

    /** A message to the machine got no usable answer. */
    void onUnanswered(Machine machine);
  }

  private final CoreRuntime runtime;
  private final Host host;
  private final Machine machine;
  private final Map<String, Command> queue = new LinkedHashMap<>();
  private boolean busy;
  private boolean probe;
  private boolean queued;

  /** An empty queue of commands for the machine. */
  public CommandQueue(CoreRuntime runtime, Host host, Machine machine) {
    this.runtime = runtime;
    this.host = host;
    this.machine = machine;
  }

  @Override
  public void add(Command command) {
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
    return command.op() + command.job() + "/" + command.task() + "#" + command.attempt();
  }

  /** Only queues with something to send are looked at: most machines have nothing. */
  private void requestFlush() {
    if (!queued && !busy) {
      queued = true;
      host.onReadyToSend(this);
    }
  }

  /** Sends a message even without commands, to learn what the machine runs. */
  @Override
  public void probe() {
    probe = true;
    requestFlush();
  }

  /** One number for an attempt of a task; attempts of a gang's tasks are the same. */
  public static long attemptKey(long attempt, int task) {
    return attempt * 131_072 + task;
  }

  /** The machine's address has become known. */
  @Override
  public void resume() {
    if (!queue.isEmpty() || probe) {
      requestFlush();
    }
  }

  @Override
  public void drop() {
    queue.clear();
  }

  @Override
  public boolean idle() {
    return !busy && queue.isEmpty();
  }

  /** Sends what waits, if the machine can be reached and this node may act. */
  public void flush() {
    queued = false;
    if (!maySend()) {
      return;
    }
    List<Command> commands = new ArrayList<>(queue.values());
    commands.removeIf(
        command -> command.op() == Command.Op.START && !host.canStart(machine, command));
    queue.clear();
    if (commands.isEmpty() && !probe) {
      return;
    }
    probe = false;
    busy = true;
    send(commands, markInDoubt(commands));
  }

  private boolean maySend() {
    return !busy
        && machine.addr() != null
        && (!queue.isEmpty() || probe)
        && !machine.isTerminated()
        && host.hasAuthority();
  }

  /**
   * From here until an answer the starts may be executed at any later time of the session; returns
   * the attempts that were not in doubt before.
   */
  private List<Long> markInDoubt(List<Command> commands) {
    List<Long> doubts = new ArrayList<>();
    for (Command command : commands) {
      if (command.op() == Command.Op.START
          && machine.startsInDoubt.add(attemptKey(command.attempt(), command.task()))) {
        doubts.add(attemptKey(command.attempt(), command.task()));
      }
    }
    return doubts;
  }

  private void send(List<Command> commands, List<Long> doubts) {
    // Not known of a machine on which an earlier leader had nothing: most are in their first, and
    // the others refuse and tell.
    long session = Math.max(FIRST_SESSION, machine.epoch());
    CommandLog.write(runtime, "direct", machine, session, host.token(), commands);
    long sentAt = runtime.now();
    runtime.call(
        Effect.Target.WORKER,
        machine.addr(),
        "POST",
        "/commands",
        Command.direct(host.token(), session, commands),
        commands.isEmpty() ? ASK_TIMEOUT_MS : TIMEOUT_MS,
        (outcome, status, body) -> answered(session, sentAt, doubts, outcome, status, body));
  }

  private void answered(
      long session, long sentAt, List<Long> doubts, Outcome outcome, int status, JsonNode body) {
    busy = false;
    resume();
    boolean settled = outcome == Outcome.REFUSED || (outcome == Outcome.ANSWERED && status < 500);
    if (settled) {
      // An earlier copy that got no answer keeps its doubt: only this message's own are settled.
      doubts.forEach(attempt -> machine.startsInDoubt.remove(attempt.longValue()));
    }
    boolean reports = outcome == Outcome.ANSWERED && (status == 200 || status == 409);
    if (reports && reported(session, status, body)) {
      return;
    }
    // What is refused at once says that there was no socket, here or there: not that nothing gets
    // in.
    if (runtime.now() - sentAt >= IN_VAIN_MS) {
      machine.reachability.messageUnanswered(runtime.now());
    }
    host.onUnanswered(machine);
  }

  /** Takes in the heartbeat that is in the answer; tells whether it could be read. */
  private boolean reported(long session, int status, JsonNode body) {
    try {
      host.onHeartbeat(Heartbeat.parse(body));
      if (status == 409 && machine.epoch() > session) {
        probe(); // a new leader did not know the session: now the machine can learn the token
      }
      return true;
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.ERROR, e.getMessage())
          .write();
      return false;
    }
  }
}
