package org.snowturn.core.act;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Commands;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Report;

/**
 * Direct commands to one machine, one message at a time. What gets no answer is not repeated here:
 * the next report's response carries every command that still matters.
 */
public final class Outbox implements Commands {
  private static final int TIMEOUT_MS = 2000;

  /** A machine that only has to say that it is there answers sooner. */
  private static final int ASK_TIMEOUT_MS = 1000;

  /** Without an answer for so long, a message was in vain. */
  private static final long IN_VAIN_MS = 400;

  private static final long FIRST_SESSION = 1;

  /** What the outbox needs of the leader. */
  public interface Host {
    boolean hasAuthority();

    long token();

    void reported(Report report);

    /** Whether a start that was decided earlier may leave for the machine now. */
    boolean mayStart(Machine m, Command start);

    /** The outbox has something to send and is not in the queue yet. */
    void wantsToSend(Outbox o);

    void unanswered(Machine m);
  }

  private final Calls calls;
  private final Host host;
  private final Machine machine;
  private final Map<String, Command> queue = new LinkedHashMap<>();
  private boolean busy;
  private boolean probe;
  private boolean queued;

  public Outbox(Calls calls, Host host, Machine machine) {
    this.calls = calls;
    this.host = host;
    this.machine = machine;
  }

  @Override
  public void add(Command c) {
    queue.put(key(c), c);
    want();
  }

  @Override
  public void withdraw(Command c) {
    if (!queue.isEmpty()) {
      queue.remove(key(c));
    }
  }

  private static String key(Command c) {
    return c.op() + c.job() + "/" + c.task() + "#" + c.attempt();
  }

  /** Only outboxes with something to send are looked at: most machines have nothing. */
  private void want() {
    if (!queued && !busy) {
      queued = true;
      host.wantsToSend(this);
    }
  }

  /** Sends a message even without commands, to learn what the machine runs. */
  @Override
  public void ask() {
    probe = true;
    want();
  }

  /** One number for an attempt of a task; attempts of a gang's tasks are the same. */
  public static long doubt(long attempt, int task) {
    return attempt * 131_072 + task;
  }

  /** The machine's address has become known. */
  @Override
  public void resume() {
    if (!queue.isEmpty() || probe) {
      want();
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

  public void flush() {
    queued = false;
    if (busy
        || machine.addr == null
        || (queue.isEmpty() && !probe)
        || machine.gone
        || !host.hasAuthority()) {
      return;
    }
    List<Command> commands = new ArrayList<>(queue.values());
    commands.removeIf(c -> c.op() == Command.Op.START && !host.mayStart(machine, c));
    queue.clear();
    if (commands.isEmpty() && !probe) {
      return;
    }
    probe = false;
    busy = true;
    // From here until an answer the starts may be executed at any later time of the session.
    List<Long> doubts = new ArrayList<>();
    for (Command c : commands) {
      if (c.op() == Command.Op.START && machine.startsInDoubt.add(doubt(c.attempt(), c.task()))) {
        doubts.add(doubt(c.attempt(), c.task()));
      }
    }
    // Not known of a machine on which an earlier leader had nothing: most are in their first, and
    // the others refuse and tell.
    long session = Math.max(FIRST_SESSION, machine.session);
    CommandLog.write(calls, "direct", machine, session, host.token(), commands);
    long sentAt = calls.now();
    calls.call(
        Effect.Target.WORKER,
        machine.addr,
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
      doubts.forEach(a -> machine.startsInDoubt.remove(a.longValue()));
    }
    if (outcome == Outcome.ANSWERED && (status == 200 || status == 409)) {
      try {
        host.reported(Report.parse(body));
        if (status == 409 && machine.session > session) {
          ask(); // a new leader did not know the session: now the machine can learn the token
        }
        return;
      } catch (MalformedException e) {
        calls.note("report of " + machine.id + " ignored: " + e.getMessage());
      }
    }
    // What is refused at once says that there was no socket, here or there: not that nothing gets
    // in.
    if (calls.now() - sentAt >= IN_VAIN_MS) {
      machine.contact.unanswered(calls.now());
    }
    host.unanswered(machine);
  }
}
