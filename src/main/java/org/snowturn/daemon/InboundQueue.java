package org.snowturn.daemon;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.snowturn.core.Input;

/**
 * Queue of inputs that wait for the core: requests of users and workers, and replies of workers to
 * commands, which arrive by the thousand after a change of leader.
 *
 * <p>The core takes them in time slices. Ticks, replies of the state service and messages of peers,
 * on which this node's authority depends, therefore wait for one slice at most. Users' requests
 * take precedence, but workers' messages are taken in between.
 *
 * <p>The queue has no bound of its own: the HTTP API limits pending requests, and there are at most
 * as many replies as commands.
 */
final class InboundQueue {
  /** Duration of a slice. */
  private static final long SLICE_NANOS = 4_000_000;

  /** Maximum number of users' requests taken in a row while a worker's message waits. */
  private static final int MAX_USERS_IN_A_ROW = 4;

  private final ConcurrentLinkedQueue<Input> userInputs = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Input> workerInputs = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean isDrainScheduled = new AtomicBoolean();
  private final Runnable scheduleDrain;

  /**
   * Creates an empty queue.
   *
   * @param scheduleDrain schedules a call of {@link #drain} on the core's thread; run when an input
   *     is added and no drain is scheduled
   */
  InboundQueue(Runnable scheduleDrain) {
    this.scheduleDrain = scheduleDrain;
  }

  /** Adds an input. May be called on any thread. */
  void offer(Input input) {
    boolean isFromWorker = input instanceof Input.HeartbeatReceived || input instanceof Input.Reply;
    (isFromWorker ? workerInputs : userInputs).offer(input);
    if (isDrainScheduled.compareAndSet(false, true)) {
      scheduleDrain.run();
    }
  }

  /**
   * Passes waiting inputs to the core until the slice ends or the queue is empty. Called on the
   * core's thread.
   *
   * @param onInput handles an input
   * @return true if inputs may remain; the caller must then schedule another drain
   */
  boolean drain(Consumer<Input> onInput) {
    long sliceEndNanos = System.nanoTime() + SLICE_NANOS;
    int usersInARow = 0;
    do {
      Input next = usersInARow < MAX_USERS_IN_A_ROW ? userInputs.poll() : null;
      usersInARow = next != null ? usersInARow + 1 : 0;
      next = next != null ? next : workerInputs.poll();
      next = next != null ? next : userInputs.poll();
      if (next == null) {
        isDrainScheduled.set(false);
        // An input added after the last poll, but before the reset of the flag, scheduled no drain.
        boolean hasLateInput = !userInputs.isEmpty() || !workerInputs.isEmpty();
        return hasLateInput && isDrainScheduled.compareAndSet(false, true);
      }
      onInput.accept(next);
    } while (System.nanoTime() < sliceEndNanos);
    return true;
  }
}
