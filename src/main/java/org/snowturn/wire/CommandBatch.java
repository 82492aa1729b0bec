package org.snowturn.wire;

import java.util.ArrayList;
import java.util.List;

/**
 * The commands of one message to a worker. It accepts commands only as long as the message, as it
 * is written, stays within the maximum size.
 */
public final class CommandBatch {
  /** Size of a message without commands, with the longest token and agent epoch. */
  private static final int EMPTY_MESSAGE_BYTES =
      Json.bytes(Command.directCommands(Long.MAX_VALUE, Long.MAX_VALUE, List.of())).length;

  /** Size of the comma that separates two commands. */
  private static final int SEPARATOR_BYTES = 1;

  private final List<Command> commands = new ArrayList<>();
  private int bytes = EMPTY_MESSAGE_BYTES;

  /**
   * Adds a command if the message has room for it.
   *
   * @return whether the command was added
   */
  public boolean add(Command command) {
    return addAll(List.of(command));
  }

  /**
   * Adds all commands if the message has room for all of them, otherwise none.
   *
   * @return whether the commands were added
   */
  public boolean addAll(List<Command> further) {
    int furtherBytes = 0;
    for (Command command : further) {
      furtherBytes += Json.bytes(command.toJson()).length + SEPARATOR_BYTES;
    }
    if (bytes + furtherBytes > MessageSize.MAX_BYTES) {
      return false;
    }
    bytes += furtherBytes;
    commands.addAll(further);
    return true;
  }

  /** Returns the commands of the message, in the order in which the worker executes them. */
  public List<Command> commands() {
    return List.copyOf(commands);
  }
}
