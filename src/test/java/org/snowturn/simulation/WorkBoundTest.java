package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Tunables;

/** Work is counted, not timed: ten times the machines must not cost ten times as much a task. */
class WorkBoundTest {
  private static final int TASKS_PER_MACHINE = 16;

  private static Map<String, Double> figures(int machines) {
    SimulatedCluster cluster =
        new SimulatedCluster(1, new Scenario().settings(), Tunables.defaults());
    cluster.cloud.perZone = 0;
    for (int i = 0; i < machines; i++) {
      cluster.cloud.rent(cluster.settings[0].zones().get(i % 3), false);
    }
    cluster.nodes.forEach(node -> cluster.after(cluster.random.nextInt(300), node::start));
    int jobs = 8;
    for (int j = 0; j < jobs; j++) {
      String id = String.format("wk-%06d", j);
      Map<String, String> o = new HashMap<>();
      o.put("cpus", "1");
      o.put("tasks", "" + machines * TASKS_PER_MACHINE / jobs);
      cluster.after(
          10_000 + j * 100,
          () -> cluster.clients.submit(SimulatedJobs.spec(id, "batch", o), 10_000, Map.of()));
    }
    cluster.runUntil(60_000);
    assertTrue(cluster.invariants.violatedRules.isEmpty());
    return cluster.leader().core.gauges();
  }

  @Test
  void aPlacementLooksAtAFewMachinesHoweverManyThereAre() {
    Map<String, Double> small = figures(12);
    Map<String, Double> large = figures(120);
    for (Map<String, Double> f : java.util.List.of(small, large)) {
      assertTrue(f.get("snowturn.placements") > 0);
    }
    double few = small.get("snowturn.placements.evaluations") / small.get("snowturn.placements");
    double many = large.get("snowturn.placements.evaluations") / large.get("snowturn.placements");
    assertTrue(many < 2 * few, few + " looks a placement, with ten times the machines " + many);
  }

  @Test
  void outboxesAreLookedAtWhenTheyHaveSomethingToSend() {
    Map<String, Double> f = figures(120);
    double each = f.get("snowturn.command.queues.flushed") / f.get("snowturn.placements");
    assertTrue(each < 2, each + " looks a placement");
  }
}
