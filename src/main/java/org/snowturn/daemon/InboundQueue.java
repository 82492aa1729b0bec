package org.snowturn.daemon;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.snowturn.core.Input;

/**
 * What waits for the core: the requests of users and workers and the answers of workers, which come
 * by the thousand after a change of leader. They are taken in slices, so that ticks, the state
 * service's replies and the peers' records, on which this node's authority rests, never wait behind
 * more than one slice. Users go first, but not alone.
 *
 * <p>The queues need no bound of their own: requests are bounded where they come in, and of answers
 * there are no more than questions.
 */
final class InboundQueue {
  private static final long SLICE_NANOS = 4_000_000;

  /** So many users' requests are taken for each of the workers' messages. */
  private static final int USERS_AT_ONCE = 4;

  private final ConcurrentLinkedQueue<Input> users = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Input> workers = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean scheduled = new AtomicBoolean();
  private final Runnable schedule;

  /** Calls {@code schedule} when something waits and {@link #drain} is not about to be called. */
  InboundQueue(Runnable schedule) {
    this.schedule = schedule;
  }

  /** Takes an input, on any thread. */
  void offer(Input input) {
    boolean worker = input instanceof Input.HeartbeatReceived || input instanceof Input.Reply;
    (worker ? workers : users).offer(input);
    if (scheduled.compareAndSet(false, true)) {
      schedule.run();
    }
  }

  /**
   * Hands the core what waits, for one slice of time at the most, on the core's thread.
   *
   * @return whether more waits, so that it has to be called again
   */
  boolean drain(Consumer<Input> core) {
    long until = System.nanoTime() + SLICE_NANOS;
    int inARow = 0;
    do {
      Input next = inARow < USERS_AT_ONCE ? users.poll() : null;
      inARow = next != null ? inARow + 1 : 0;
      next = next != null ? next : workers.poll();
      next = next != null ? next : users.poll();
      if (next == null) {
        scheduled.set(false);
        // What came between the last look and the mark would otherwise wait for the next one.
        boolean late = !users.isEmpty() || !workers.isEmpty();
        return late && scheduled.compareAndSet(false, true);
      }
      core.accept(next);
    } while (System.nanoTime() < until);
    return true;
  }
}
