package org.snowturn.core.model;

import org.snowturn.wire.Command;

/** The way in which a machine is given commands. */
public interface Commands {
  /** Sends a command with the next message, once however often it is added. */
  void add(Command c);

  /** Takes back a command that has not been sent yet. */
  void withdraw(Command c);

  /** Sends a message even without commands, to learn what the machine runs. */
  void ask();

  /** The machine's address has become known. */
  void resume();

  /** Forgets what has not been sent. */
  void drop();

  /** Whether nothing is under way or waits to be sent. */
  boolean idle();
}
