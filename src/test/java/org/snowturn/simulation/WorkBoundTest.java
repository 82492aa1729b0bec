package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Tunables;

/**
 * Guards against work per task that grows with the number of machines. Operations are counted, not
 * timed, so the result does not depend on the load of the test machine.
 */
class WorkBoundTest {
  private static final int TASKS_PER_MACHINE = 16;

  private static Map<String, Double> runAndReadGauges(int machines) {
    SimulatedCluster cluster =
        new SimulatedCluster(1, new Scenario().settings(), Tunables.defaults());
    cluster.cloud.capacityPerZone = 0;
    for (int i = 0; i < machines; i++) {
      cluster.cloud.rent(cluster.settings[0].zones().get(i % 3), false);
    }
    cluster.nodes.forEach(node -> cluster.after(cluster.random.nextInt(300), node::start));
    int jobs = 8;
    for (int j = 0; j < jobs; j++) {
      String id = String.format("wk-%06d", j);
      Map<String, String> options = new HashMap<>();
      options.put("cpus", "1");
      options.put("tasks", "" + machines * TASKS_PER_MACHINE / jobs);
      cluster.after(
          10_000 + j * 100,
          () -> cluster.clients.submit(SimulatedJobs.spec(id, "batch", options), 10_000, Map.of()));
    }
    cluster.runUntil(60_000);
    assertTrue(cluster.invariants.violatedRules.isEmpty());
    return cluster.leader().core.gauges();
  }

  @Test
  void evaluationsPerPlacementDoNotGrowWithMachines() {
    Map<String, Double> small = runAndReadGauges(12);
    Map<String, Double> large = runAndReadGauges(120);
    for (Map<String, Double> gauges : java.util.List.of(small, large)) {
      assertTrue(gauges.get("snowturn.placements") > 0);
    }
    double smallRate =
        small.get("snowturn.placements.evaluations") / small.get("snowturn.placements");
    double largeRate =
        large.get("snowturn.placements.evaluations") / large.get("snowturn.placements");
    assertTrue(
        largeRate < 2 * smallRate,
        smallRate + " evaluations per placement, with ten times the machines " + largeRate);
  }

  @Test
  void onlyNonEmptyCommandQueuesAreFlushed() {
    Map<String, Double> gauges = runAndReadGauges(120);
    double flushesPerPlacement =
        gauges.get("snowturn.command.queues.flushed") / gauges.get("snowturn.placements");
    assertTrue(flushesPerPlacement < 2, flushesPerPlacement + " queue flushes per placement");
  }
}
