package org.snowturn.core.leader;

import java.util.ArrayDeque;
import org.snowturn.core.dispatch.CommandQueue;

/**
 * Flushes the command queues of machines. Only queues that have something to send are visited,
 * since most machines have nothing.
 */
final class CommandDispatcher {
  private final Term term;
  private final ArrayDeque<CommandQueue> readyQueues = new ArrayDeque<>();
  private long flushCount;

  CommandDispatcher(Term term) {
    this.term = term;
  }

  /**
   * Adds a queue that has something to send.
   *
   * @param queue a queue that has not been added since its last flush
   */
  void add(CommandQueue queue) {
    readyQueues.add(queue);
  }

  /**
   * Flushes the queues that are ready when this is called. Queues that become ready during the
   * flush wait for the next one.
   */
  void flush() {
    for (int remaining = readyQueues.size(); remaining > 0 && term.hasAuthority(); remaining--) {
      flushCount++;
      readyQueues.poll().flush();
    }
  }

  /** Returns the number of queue flushes in this term. */
  long flushCount() {
    return flushCount;
  }
}
