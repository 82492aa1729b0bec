package org.snowturn.core.model;

import org.snowturn.wire.Command;

/** An outgoing queue of commands to one machine. */
public interface CommandChannel {
  /** Adds a command to the next message; adding the same command again has no effect. */
  void add(Command command);

  /** Removes a command that has not been sent yet. */
  void withdraw(Command command);

  /** Requests a message even if there are no commands, to learn which tasks the machine runs. */
  void probe();

  /** Resumes sending, once the machine's address is known. */
  void resume();

  /** Discards all commands that have not been sent. */
  void discardUnsent();

  /** Returns whether a message has been sent whose answer has neither arrived nor timed out. */
  boolean isAwaitingReply();

  /** Returns whether there is neither a message in flight nor a command to send. */
  boolean isIdle();
}
