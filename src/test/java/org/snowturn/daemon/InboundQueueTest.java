package org.snowturn.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;

/**
 * Guards against a queue that blocks the core's thread for long, lets one kind of input starve the
 * other, or leaves an input without a scheduled drain.
 */
class InboundQueueTest {
  /** Time for which an input occupies the core: more than one slice. */
  private static final long INPUT_NANOS = 10_000_000;

  private int scheduledDrains;
  private final InboundQueue queue = new InboundQueue(() -> scheduledDrains++);

  private static Input workerReply(long id) {
    return new Input.Reply(id, Outcome.UNKNOWN, 0, null);
  }

  private static Input userPoll(long id) {
    return new Input.Poll(id, "wk-000001");
  }

  @Test
  void drainTakesOneSliceFromALongQueue() {
    for (int i = 0; i < 1000; i++) {
      queue.offer(workerReply(i));
    }
    assertEquals(1, scheduledDrains);
    int[] taken = {0};
    // Each input takes longer than a slice, so that a slice is one input.
    assertTrue(
        queue.drain(
            input -> {
              taken[0]++;
              long endNanos = System.nanoTime() + INPUT_NANOS;
              while (System.nanoTime() < endNanos) {
                Thread.onSpinWait();
              }
            }));
    assertEquals(1, taken[0]);
    assertEquals(1, scheduledDrains);
  }

  @Test
  void userInputsTakePrecedenceWithoutStarvingWorkers() {
    for (int i = 0; i < 10; i++) {
      queue.offer(workerReply(i));
      queue.offer(userPoll(i));
    }
    List<Input> order = new ArrayList<>();
    while (queue.drain(order::add)) {
      // Each call appends one slice.
    }
    assertEquals(20, order.size());
    assertTrue(order.get(0) instanceof Input.Poll);
    // The exact position is not checked, since a slice may end early on a busy machine.
    int firstWorker = 0;
    while (!(order.get(firstWorker) instanceof Input.Reply)) {
      firstWorker++;
    }
    assertTrue(
        firstWorker < 10,
        "all user inputs came before the first worker input, at index " + firstWorker);
  }

  @Test
  void inputAfterAnEmptyDrainSchedulesAnotherDrain() {
    queue.offer(workerReply(1));
    assertFalse(queue.drain(input -> {}));
    queue.offer(workerReply(2));
    assertEquals(2, scheduledDrains);
  }
}
