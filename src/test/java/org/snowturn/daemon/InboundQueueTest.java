package org.snowturn.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;

/** Bulk work is taken in slices, in order, and is never left lying. */
class InboundQueueTest {
  private int scheduled;
  private final InboundQueue intake = new InboundQueue(() -> scheduled++);

  private static Input worker(long i) {
    return new Input.Reply(i, Outcome.UNKNOWN, 0, null);
  }

  private static Input user(long i) {
    return new Input.Poll(i, "wk-000001");
  }

  @Test
  void howeverMuchWaitsOneSliceIsTakenAtATime() {
    for (int i = 0; i < 1000; i++) {
      intake.offer(worker(i));
    }
    assertEquals(1, scheduled);
    int[] taken = {0};
    // Each input takes longer than a slice: then a slice is one input, and the caller goes on.
    assertTrue(
        intake.drain(
            input -> {
              taken[0]++;
              long until = System.nanoTime() + 10_000_000;
              while (System.nanoTime() < until) {
                Thread.onSpinWait();
              }
            }));
    assertEquals(1, taken[0]);
    assertEquals(1, scheduled);
  }

  @Test
  void usersGoFirstButNotAlone() {
    for (int i = 0; i < 10; i++) {
      intake.offer(worker(i));
      intake.offer(user(i));
    }
    List<Input> order = new ArrayList<>();
    while (intake.drain(order::add)) {
      // until nothing is left
    }
    assertEquals(20, order.size());
    assertTrue(order.get(0) instanceof Input.Poll);
    // A slice may end early on a busy machine, so the exact place is left open.
    int firstWorker = 0;
    while (!(order.get(firstWorker) instanceof Input.Reply)) {
      firstWorker++;
    }
    assertTrue(firstWorker < 10, "all users went before the first worker");
  }

  @Test
  void whatComesAfterTheLastLookIsScheduledAgain() {
    intake.offer(worker(1));
    assertFalse(intake.drain(input -> {}));
    intake.offer(worker(2));
    assertEquals(2, scheduled);
  }
}
