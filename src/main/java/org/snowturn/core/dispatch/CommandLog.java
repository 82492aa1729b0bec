package org.snowturn.core.dispatch;

import java.util.List;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;

/** Debug log lines about commands that are sent to machines, one for each command. */
public final class CommandLog {
  private CommandLog() {}

  /**
   * Writes one line for each command if debug logging is enabled.
   *
   * @param path how the commands are sent: {@code direct}, or {@code answer} for the reply to a
   *     heartbeat
   * @param agentEpoch the agent epoch of the machine that the commands are for
   */
  public static void write(
      CoreRuntime runtime, String path, Machine machine, long agentEpoch, List<Command> commands) {
    if (!runtime.events().isDebugEnabled()) {
      return;
    }
    for (Command command : commands) {
      runtime
          .events()
          .debug(event(command.op()))
          .with(LogField.TASK, command.job() + "/" + command.task())
          .with(LogField.ATTEMPT, command.attempt())
          .with(LogField.MACHINE, machine.id)
          .with(LogField.AGENT_EPOCH, agentEpoch)
          .with(LogField.TOKEN, machine.fence.token())
          .with(LogField.PATH, path)
          .with(LogField.NEWEST_HEARTBEAT, machine.session.heartbeatSequence())
          .write();
    }
  }

  private static LogEvent event(Command.Op op) {
    return switch (op) {
      case START -> LogEvent.START;
      case STOP -> LogEvent.STOP;
      case FORGET -> LogEvent.FORGET;
    };
  }
}
