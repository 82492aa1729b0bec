package org.snowturn.core.model;

import org.snowturn.wire.Command;

/** The way in which a machine is given commands. */
public interface CommandChannel {
  /** Sends a command with the next message, once however often it is added. */
  void add(Command command);

  /** Takes back a command that has not been sent yet. */
  void withdraw(Command command);

  /** Sends a message even without commands, to learn what the machine runs. */
  void probe();

  /** The machine's address has become known. */
  void resume();

  /** Forgets what has not been sent. */
  void discardUnsent();

  /** Whether nothing is under way or waits to be sent. */
  boolean isIdle();
}
