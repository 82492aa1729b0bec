package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.snowturn.config.Tunables;

/**
 * Explores elections of three real controllers to a fixed depth and guards against two leaders at a
 * time, or none at the end. After each initial fault, at ten moments around the next claim, one or
 * two of the twelve directed links lose or delay messages, and at most one node restarts when they
 * lose them.
 */
@Execution(ExecutionMode.CONCURRENT)
class ElectionExplorerTest {
  private static final long INITIAL_FAULT_MS = 6_000;
  private static final int MOMENTS = 10;
  private static final long STEP_MS = 130;
  private static final long FAULT_MS = 1_300;

  /** Delay of messages, slightly shorter than the timeout of a call. */
  private static final long SLOW_MS = 1_400;

  private static final long RECOVERY_MS = 9_000;

  /** Index that stands for no crashed node. */
  private static final int NO_NODE = -1;

  /** Directed link from one node or the state service to another. */
  private record Direction(String from, String to) {}

  /**
   * Initial fault that leads to an election.
   *
   * @param firstMomentMs time from the fault to the first of the moments
   */
  private record InitialFault(String name, long firstMomentMs, Action action) {
    interface Action {
      void apply(SimulatedCluster cluster);
    }
  }

  private static SimulatedCluster.Node leader(SimulatedCluster cluster) {
    return cluster.leader() == null ? cluster.nodes.get(0) : cluster.leader();
  }

  private static final List<InitialFault> INITIAL_FAULTS =
      List.of(
          new InitialFault(
              "the leader crashes for good", 2_000, cluster -> leader(cluster).crash(60_000)),
          new InitialFault(
              "the leader crashes and restarts", 100, cluster -> leader(cluster).crash(300)),
          new InitialFault(
              "the state service refuses only the leader",
              1_000,
              cluster -> cluster.state.refuse(leader(cluster).name, 6_000)),
          new InitialFault("the leader is paused", 2_400, cluster -> leader(cluster).pause(3_500)),
          new InitialFault("an outage ends", 2_400, cluster -> cluster.state.startOutage(3_000)),
          new InitialFault(
              "all nodes crash",
              100,
              cluster ->
                  cluster.nodes.forEach(
                      node -> node.crash(60 + 90 * cluster.nodes.indexOf(node)))));

  private static List<Direction> directions() {
    List<String> all = List.of("n0", "n1", "n2", "state");
    List<Direction> directions = new ArrayList<>();
    for (String from : all) {
      for (String to : all) {
        if (!from.equals(to)) {
          directions.add(new Direction(from, to));
        }
      }
    }
    return directions;
  }

  @TestFactory
  Stream<DynamicTest> elections() {
    return INITIAL_FAULTS.stream()
        .flatMap(
            initialFault ->
                IntStream.range(0, MOMENTS)
                    .mapToObj(
                        i ->
                            DynamicTest.dynamicTest(
                                initialFault.name + ", moment " + i,
                                () ->
                                    explore(
                                        initialFault,
                                        INITIAL_FAULT_MS
                                            + initialFault.firstMomentMs
                                            + i * STEP_MS))));
  }

  private static void explore(InitialFault initialFault, long atMs) throws Exception {
    List<Direction> directions = directions();
    for (int i = 0; i < directions.size(); i++) {
      for (int j = i; j < directions.size(); j++) {
        Set<Direction> faulty =
            Set.copyOf(List.of(directions.get(i), directions.get(j)).subList(0, i == j ? 1 : 2));
        for (int crashedNode = NO_NODE; crashedNode < 3; crashedNode++) {
          run(initialFault, atMs, faulty, SimulatedCluster.LinkDelays.LOST, crashedNode);
        }
        run(initialFault, atMs, faulty, SLOW_MS, NO_NODE);
      }
    }
  }

  private static void run(
      InitialFault initialFault, long atMs, Set<Direction> faulty, long delayMs, int crashedNode)
      throws Exception {
    SimulatedCluster cluster =
        new SimulatedCluster(1, new Scenario().settings(), Tunables.defaults());
    cluster.nodes.forEach(SimulatedCluster.Node::start);
    cluster.after(INITIAL_FAULT_MS, () -> initialFault.action.apply(cluster));
    cluster.after(
        atMs,
        () ->
            cluster.setLinkDelays(
                (from, to) -> faulty.contains(new Direction(from, to)) ? delayMs : 0));
    if (crashedNode > NO_NODE) {
      cluster.after(atMs + STEP_MS / 2, () -> cluster.nodes.get(crashedNode).crash(50));
    }
    cluster.after(atMs + FAULT_MS, () -> cluster.setLinkDelays((from, to) -> 0));
    cluster.runUntil(atMs + FAULT_MS + RECOVERY_MS);
    String what =
        atMs
            + " ms: links "
            + faulty
            + " delayed by "
            + delayMs
            + " ms, crashed node: "
            + crashedNode;
    assertEquals(List.of(), cluster.invariants.violationDetails, what);
    assertNotNull(cluster.leader(), () -> "no node leads, " + what + ": " + cluster.log);
  }
}
