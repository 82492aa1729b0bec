package org.snowturn.core.connections;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Callers that report again and again, at a node with fewer sockets than there are callers. */
class ConnectionBudgetTest {
  private static final int ROUNDS = 12;

  @Property(tries = 200)
  void keepsAllWhileThereIsRoom(
      @ForAll @IntRange(min = 16, max = 60_000) int limit,
      @ForAll @IntRange(max = 60_000) int open) {
    ConnectionBudget budget = new ConnectionBudget(limit);
    if (open <= limit * 0.65) {
      for (int i = 0; i < 100; i++) {
        assertTrue(budget.keeps(open));
      }
      assertEquals(0, budget.closed());
    }
  }

  @Property(tries = 200)
  void keepsNoneWhenSocketsAreNearlyUsedUp(
      @ForAll @IntRange(min = 16, max = 60_000) int limit,
      @ForAll @IntRange(max = 10_000) int beyond) {
    ConnectionBudget budget = new ConnectionBudget(limit);
    int open = (int) Math.ceil(limit * 0.8) + 1 + beyond;
    for (int i = 0; i < 100; i++) {
      assertFalse(budget.keeps(open));
    }
  }

  @Property(tries = 200)
  void inBetweenTheShareIsExact(
      @ForAll @IntRange(min = 200, max = 60_000) int limit,
      @ForAll @IntRange(min = 1, max = 99) int percent,
      @ForAll @IntRange(min = 1, max = 2_000) int answers) {
    ConnectionBudget budget = new ConnectionBudget(limit);
    int open = (int) (limit * (0.65 + 0.15 * percent / 100));
    double due = budget.closingShare(open) * answers;
    for (int i = 0; i < answers; i++) {
      budget.keeps(open);
    }
    assertTrue(Math.abs(budget.closed() - due) <= 1, budget.closed() + " instead of " + due);
  }

  /**
   * All callers turn to one node, as after a change of leader, and go on to report. However many
   * they are and in whatever order they come, the node's sockets suffice, and they are used.
   */
  @Property(tries = 60)
  void manyMoreCallersThanSocketsAreServed(
      @ForAll @IntRange(min = 100, max = 800) int limit,
      @ForAll @IntRange(min = 1, max = 10) int callersPerSocket,
      @ForAll @IntRange(min = 1, max = 8) int answeredLater,
      @ForAll @LongRange(max = 1_000_000) long seed) {
    Node node = new Node(limit, limit * callersPerSocket, answeredLater, seed);
    for (int i = 0; i < ROUNDS; i++) {
      node.round();
    }
    assertEquals(0, node.refused, "of " + node.most + " open at " + limit);
    assertTrue(node.most <= limit * 0.80 + answeredLater + 2, node.most + " open of " + limit);
    if (callersPerSocket > 1) {
      assertTrue(node.open >= limit * 0.65 - answeredLater, node.open + " open of " + limit);
    }
  }

  /** A node and its callers: a connection each while it is kept, and some requests in progress. */
  private static final class Node {
    final ConnectionBudget budget;
    final boolean[] connected;
    final int limit;
    final int answeredLater;
    final Random random;
    final ArrayDeque<Integer> inProgress = new ArrayDeque<>();
    int open;
    int most;
    int refused;

    Node(int limit, int callers, int answeredLater, long seed) {
      this.budget = new ConnectionBudget(limit);
      this.connected = new boolean[callers];
      this.limit = limit;
      this.answeredLater = answeredLater;
      this.random = new Random(seed);
    }

    /** Every caller reports once, in an order of its own. */
    void round() {
      int[] order = random.ints(connected.length, 0, connected.length).toArray();
      for (int caller : order) {
        request(caller);
        while (inProgress.size() >= answeredLater) {
          answer(inProgress.poll());
        }
      }
      while (!inProgress.isEmpty()) {
        answer(inProgress.poll());
      }
    }

    private void request(int caller) {
      if (inProgress.contains(caller)) {
        return;
      }
      if (!connected[caller]) {
        if (open >= limit) {
          refused++;
          return;
        }
        connected[caller] = true;
        open++;
        most = Math.max(most, open);
      }
      inProgress.add(caller);
    }

    private void answer(int caller) {
      if (!budget.keeps(open)) {
        connected[caller] = false;
        open--;
      }
    }
  }
}
