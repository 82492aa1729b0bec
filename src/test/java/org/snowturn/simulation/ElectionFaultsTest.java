package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.snowturn.config.Tunables;

/**
 * Guards against two leaders at a time, tokens that do not increase, and no leader after the faults
 * end. Random faults within seconds of each other hit every step of an election: restarts after 50,
 * 200 or 700 ms, pauses, cuts, refusals, outages and late transactions.
 */
class ElectionFaultsTest {
  private static final long FIRST_FAULT_MS = 9_000;
  private static final long RECOVERY_MS = 12_000;

  private static final int MAX_FAULTS = 14;

  /** Smallest node index that stands for the current leader. */
  private static final int LEADER = 3;

  private static final String ACQUIRED = "event=leadership_acquired ";
  private static final String TOKEN_FIELD = " token=";

  private record Fault(int gapMs, int node, int kind, int durationMs) {
    static Fault random(RandomGenerator random) {
      return new Fault(
          random.nextInt(5, 900),
          random.nextInt(2 * LEADER),
          random.nextInt(9),
          random.nextInt(50, 4_000));
    }
  }

  @Property(seed = "34", tries = 250, edgeCases = EdgeCasesMode.NONE)
  void tokensIncreaseAndLeaderIsElectedAfterFaults(@ForAll long seed) {
    run(seed);
  }

  /** These seeds find two leaders if authority counts from the reply instead of the request. */
  @Property(seed = "35", tries = 250, edgeCases = EdgeCasesMode.NONE)
  void authorityCountsFromRequestTime(@ForAll long seed) {
    run(seed);
  }

  /** These seeds find two leaders if a restarted node claims while its earlier promises hold. */
  @Property(seed = "37", tries = 250, edgeCases = EdgeCasesMode.NONE)
  void restartedNodeKeepsEarlierPromises(@ForAll long seed) {
    run(seed);
  }

  private static void run(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Fault> faults =
        Stream.generate(() -> Fault.random(random)).limit(random.nextInt(3, MAX_FAULTS)).toList();
    SimulatedCluster cluster =
        new SimulatedCluster(seed, new Scenario().settings(), Tunables.defaults());
    for (int i = 0; i < 6; i++) {
      cluster.cloud.rent("abc".substring(i % 3, i % 3 + 1), false);
    }
    cluster.nodes.forEach(SimulatedCluster.Node::start);
    Map<String, String> serviceOptions = Map.of("tasks", "5", "cpus", "1", "rank", "production");
    cluster.after(
        500,
        () ->
            cluster.clients.submit(
                SimulatedJobs.spec("wk-000001", "service", serviceOptions), 0, Map.of()));
    Map<String, String> arrayOptions = Map.of("tasks", "12", "cpus", "1");
    cluster.after(
        FIRST_FAULT_MS - 500,
        () ->
            cluster.clients.submit(
                SimulatedJobs.spec("wk-000002", "batch", arrayOptions), 4_000, Map.of()));
    long atMs = FIRST_FAULT_MS;
    long faultsEndMs = FIRST_FAULT_MS;
    for (Fault fault : faults) {
      atMs += fault.gapMs;
      cluster.after(atMs, () -> apply(cluster, fault));
      faultsEndMs = Math.max(faultsEndMs, atMs + fault.durationMs);
    }
    cluster.runUntil(faultsEndMs + RECOVERY_MS);
    assertEquals(List.of(), cluster.invariants.violationDetails);
    assertNotNull(cluster.leader(), "no node leads after the faults: " + cluster.log);
    Set<Long> tokens = new HashSet<>();
    long lastToken = 0;
    for (String line : cluster.log.lines()) {
      if (line.contains(ACQUIRED)) {
        String rest = line.substring(line.indexOf(TOKEN_FIELD) + TOKEN_FIELD.length());
        long token = Long.parseLong(rest.substring(0, rest.indexOf(' ')));
        assertTrue(tokens.add(token) && token > lastToken, line + " after token " + lastToken);
        lastToken = token;
      }
    }
    assertFalse(tokens.isEmpty(), "the log has no " + ACQUIRED + "line: " + cluster.log);
  }

  private static void apply(SimulatedCluster cluster, Fault fault) {
    SimulatedCluster.Node leader = cluster.leader();
    SimulatedCluster.Node node =
        fault.node >= LEADER && leader != null ? leader : cluster.nodes.get(fault.node % LEADER);
    switch (fault.kind) {
      case 0 -> node.crash(50);
      case 1 -> node.crash(200);
      case 2 -> node.crash(700);
      case 3 -> node.pause(fault.durationMs);
      case 4 -> cut(cluster, node, "state", fault.durationMs);
      case 5 ->
          cluster.nodes.stream()
              .filter(peer -> peer != node)
              .forEach(peer -> cut(cluster, node, peer.name, fault.durationMs));
      case 6 -> cluster.state.refuse(node.name, fault.durationMs);
      case 7 -> cluster.state.startOutage(fault.durationMs);
      default -> {
        cluster.state.lateTransactionProbability = 0.5;
        cluster.state.replyLossProbability = 0.3;
        cluster.after(
            fault.durationMs,
            () -> {
              cluster.state.lateTransactionProbability = 0;
              cluster.state.replyLossProbability = 0;
            });
      }
    }
  }

  private static void cut(
      SimulatedCluster cluster, SimulatedCluster.Node node, String other, long ms) {
    cluster.cut(
        node.name,
        other,
        cluster.random.nextBoolean() ? SimulatedCluster.Cut.HOLD : SimulatedCluster.Cut.DROP);
    cluster.after(ms, () -> cluster.heal(node.name, other));
  }
}
