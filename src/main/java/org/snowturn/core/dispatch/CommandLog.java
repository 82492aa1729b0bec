package org.snowturn.core.dispatch;

import java.util.List;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;

/** Lines of the log about commands that leave for machines, one for each command. */
public final class CommandLog {
  private CommandLog() {}

  /**
   * Writes them where debugging is on.
   *
   * @param path how they leave: {@code direct}, or {@code answer} to a check-in
   */
  public static void write(
      CoreRuntime runtime,
      String path,
      Machine machine,
      long session,
      long token,
      List<Command> commands) {
    if (!runtime.events().debug()) {
      return;
    }
    for (Command command : commands) {
      runtime
          .events()
          .debug(event(command.op()))
          .with(LogField.TASK, command.job() + "/" + command.task())
          .with(LogField.ATTEMPT, command.attempt())
          .with(LogField.MACHINE, machine.id)
          .with(LogField.AGENT_EPOCH, session)
          .with(LogField.TOKEN, token)
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
