package org.snowturn.core.leader;

import java.util.ArrayDeque;
import org.snowturn.core.dispatch.CommandQueue;

/** Sends what the machines' command queues hold; only queues with something to send are visited. */
final class CommandDispatcher {
  private final Term term;
  private final ArrayDeque<CommandQueue> readyQueues = new ArrayDeque<>();
  private long flushCount;

  CommandDispatcher(Term term) {
    this.term = term;
  }

  /** This queue has something to send and has not been added since its last flush. */
  void add(CommandQueue queue) {
    readyQueues.add(queue);
  }

  /** Flushes the queues that are ready now; those that become ready meanwhile wait. */
  void flush() {
    for (int remaining = readyQueues.size(); remaining > 0 && term.hasAuthority(); remaining--) {
      flushCount++;
      readyQueues.poll().flush();
    }
  }

  /** How many times a queue has been flushed in this term. */
  long flushCount() {
    return flushCount;
  }
}
