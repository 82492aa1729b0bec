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
 * Elections of three nodes, the real classes, all of them to a stated depth: after each kind of
 * beginning, at each of ten moments around the next claim, any one or two of the twelve directions
 * between nodes and to or from the state service are dead for a while, and none or any one of the
 * nodes ends a moment later and is back at once; or what is sent that way in that time comes late.
 * At no moment two nodes have authority, and in the end somebody leads.
 */
@Execution(ExecutionMode.CONCURRENT)
class ElectionExplorerTest {
  private static final long FROM_MS = 6_000;
  private static final int MOMENTS = 10;
  private static final long STEP_MS = 130;
  private static final long DEAD_MS = 1_300;

  /** A little less than a call waits. */
  private static final long SLOW_MS = 1_400;

  private static final long CALM_MS = 9_000;

  /** From one to another. */
  private record Direction(String from, String to) {}

  /**
   * How it begins.
   *
   * @param aroundMs so much later the first of the moments comes
   */
  private record Beginning(String name, long aroundMs, Start start) {
    interface Start {
      void in(SimulatedCluster cluster);
    }
  }

  private static SimulatedCluster.Node leader(SimulatedCluster cluster) {
    return cluster.leader() == null ? cluster.nodes.get(0) : cluster.leader();
  }

  private static final List<Beginning> BEGINNINGS =
      List.of(
          new Beginning(
              "the leader ends for good", 2_000, cluster -> leader(cluster).crash(60_000)),
          new Beginning("the leader ends and is back", 100, cluster -> leader(cluster).crash(300)),
          new Beginning(
              "the leader is refused alone",
              1_000,
              cluster -> cluster.state.refuse(leader(cluster).name, 6_000)),
          new Beginning("the leader stands still", 2_400, cluster -> leader(cluster).pause(3_500)),
          new Beginning("an outage ends", 2_400, cluster -> cluster.state.outage(3_000)),
          new Beginning(
              "all end",
              100,
              cluster ->
                  cluster.nodes.forEach(
                      node -> node.crash(60 + 90 * cluster.nodes.indexOf(node)))));

  private static List<Direction> directions() {
    List<String> all = List.of("n0", "n1", "n2", "state");
    List<Direction> out = new ArrayList<>();
    for (String from : all) {
      for (String to : all) {
        if (!from.equals(to)) {
          out.add(new Direction(from, to));
        }
      }
    }
    return out;
  }

  @TestFactory
  Stream<DynamicTest> elections() {
    return BEGINNINGS.stream()
        .flatMap(
            beginning ->
                IntStream.range(0, MOMENTS)
                    .mapToObj(
                        i ->
                            DynamicTest.dynamicTest(
                                beginning.name + ", moment " + i,
                                () ->
                                    explore(
                                        beginning, FROM_MS + beginning.aroundMs + i * STEP_MS))));
  }

  private static void explore(Beginning beginning, long at) throws Exception {
    List<Direction> directions = directions();
    for (int i = 0; i < directions.size(); i++) {
      for (int j = i; j < directions.size(); j++) {
        Set<Direction> some =
            Set.copyOf(List.of(directions.get(i), directions.get(j)).subList(0, i == j ? 1 : 2));
        for (int ends = -1; ends < 3; ends++) {
          play(beginning, at, some, SimulatedCluster.Links.LOST, ends);
        }
        play(beginning, at, some, SLOW_MS, -1);
      }
    }
  }

  private static void play(Beginning beginning, long at, Set<Direction> some, long late, int ends)
      throws Exception {
    SimulatedCluster cluster =
        new SimulatedCluster(1, new Scenario().settings(), Tunables.defaults());
    cluster.nodes.forEach(SimulatedCluster.Node::start);
    cluster.after(FROM_MS, () -> beginning.start.in(cluster));
    cluster.after(
        at, () -> cluster.links((from, to) -> some.contains(new Direction(from, to)) ? late : 0));
    if (ends >= 0) {
      cluster.after(at + STEP_MS / 2, () -> cluster.nodes.get(ends).crash(50));
    }
    cluster.after(at + DEAD_MS, () -> cluster.links((from, to) -> 0));
    cluster.runUntil(at + DEAD_MS + CALM_MS);
    String what = at + " ms: " + some + " late by " + late + ", node " + ends + " ends";
    assertEquals(List.of(), cluster.invariants.violationDetails, what);
    assertNotNull(cluster.leader(), () -> "nobody leads, " + what + ": " + cluster.log);
  }
}
