package org.snowturn.core.act;

import java.util.List;
import java.util.Locale;
import org.snowturn.core.calls.Calls;
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
      Calls calls, String path, Machine machine, long session, long token, List<Command> commands) {
    if (!calls.events().debug()) {
      return;
    }
    for (Command c : commands) {
      calls
          .events()
          .debug(c.op().name().toLowerCase(Locale.ROOT))
          .with("task", c.job() + "/" + c.task())
          .with("attempt", c.attempt())
          .with("machine", machine.id)
          .with("session", session)
          .with("token", token)
          .with("path", path)
          .with("newest_report", machine.seq)
          .write();
    }
  }
}
