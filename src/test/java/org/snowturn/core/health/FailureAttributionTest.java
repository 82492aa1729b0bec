package org.snowturn.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Jobs and machines judged by each other, in any order of what happens. */
class FailureAttributionTest {
  private static final int FAULTY_AFTER = 3;

  /** Jobs and machines below these numbers are broken and sick; both may be none or half of all. */
  record World(int jobs, int broken, int machines, int sick, List<int[]> runs) {
    boolean fails(int[] run) {
      return run[0] < broken || run[1] < sick;
    }
  }

  @Provide
  Arbitrary<World> worlds() {
    return Combinators.combine(
            Arbitraries.integers().between(2, 8),
            Arbitraries.integers().between(0, 4),
            Arbitraries.integers().between(2, 12),
            Arbitraries.integers().between(0, 6))
        .flatAs(
            (jobs, broken, machines, sick) ->
                Combinators.combine(
                        Arbitraries.integers().between(0, jobs - 1),
                        Arbitraries.integers().between(0, machines - 1))
                    .as((job, machine) -> new int[] {job, machine})
                    .list()
                    .ofMinSize(20)
                    .ofMaxSize(200)
                    .map(
                        runs ->
                            new World(
                                jobs,
                                Math.min(broken, jobs / 2),
                                machines,
                                Math.min(sick, machines / 2),
                                runs)));
  }

  /** What the attribution should find, from all that has happened. */
  private static final class Expectation {
    private final World world;
    private final Set<Integer> provenJobs = new HashSet<>();
    private final int[] healthyJobFailures;
    private final int[][] unprovenFailures;
    private final List<Set<Integer>> failedMachines;

    Expectation(World world) {
      this.world = world;
      healthyJobFailures = new int[world.machines];
      unprovenFailures = new int[world.machines][world.jobs];
      failedMachines =
          IntStream.range(0, world.jobs).<Set<Integer>>mapToObj(job -> new HashSet<>()).toList();
    }

    void failed(int job, int machine) {
      failedMachines.get(job).add(machine);
      if (provenJobs.contains(job)) {
        healthyJobFailures[machine]++;
      } else {
        unprovenFailures[machine][job]++;
      }
    }

    void succeeded(int job, int machine) {
      provenJobs.add(job);
      for (int other = 0; other < world.machines; other++) {
        healthyJobFailures[other] += unprovenFailures[other][job];
        unprovenFailures[other][job] = 0;
      }
      healthyJobFailures[machine] = 0;
    }

    void check(FailureAttribution attribution) {
      for (int machine = world.sick; machine < world.machines; machine++) {
        assertFalse(
            attribution.isMachineFaulty(machine), "healthy machine " + machine + " condemned");
      }
      for (int machine = 0; machine < world.sick; machine++) {
        boolean faulty = healthyJobFailures[machine] >= FAULTY_AFTER;
        assertEquals(faulty, attribution.isMachineFaulty(machine), "faulty machine " + machine);
      }
      for (int job = 0; job < world.jobs; job++) {
        boolean suspected = attribution.isJobSuspected(job);
        assertFalse(provenJobs.contains(job) && suspected, "healthy job " + job + " suspected");
        boolean fewFailures = failedMachines.get(job).size() < 4;
        assertTrue(job >= world.broken || fewFailures || suspected, "broken " + job);
      }
    }
  }

  @Property(tries = 400, seed = "32")
  void noSoundMachineIsCondemnedAndNoSoundJobStaysSuspect(@ForAll("worlds") World world) {
    FailureAttribution attribution = new FailureAttribution(FAULTY_AFTER);
    Expectation expectation = new Expectation(world);
    for (int[] run : world.runs) {
      int job = run[0];
      int machine = run[1];
      if (world.fails(run)) {
        attribution.onTaskFailed(job, machine);
        expectation.failed(job, machine);
      } else {
        attribution.onTaskSucceeded(job, machine);
        expectation.succeeded(job, machine);
      }
      expectation.check(attribution);
    }
  }

  @Test
  void whatAJobToldOfAMachineOutlivesIt() {
    FailureAttribution attribution = new FailureAttribution(FAULTY_AFTER);
    for (int job = 0; job < 3; job++) {
      attribution.onTaskFailed(job, 7);
      attribution.onTaskSucceeded(job, 8);
      attribution.forgetJob(job);
    }
    assertTrue(attribution.isMachineFaulty(7));
    attribution.onTaskFailed(5, 8);
    attribution.forgetJob(5); // cancelled: its user's mistake, perhaps
    assertEquals(0, attribution.unexplainedFailures(8));
  }

  @Test
  void twoSoundMachinesAreEnoughToSuspectAJob() {
    FailureAttribution attribution = new FailureAttribution(FAULTY_AFTER);
    attribution.onTaskSucceeded(1, 1);
    attribution.onTaskSucceeded(1, 2);
    attribution.onTaskFailed(2, 1);
    attribution.onTaskFailed(2, 1);
    assertFalse(attribution.isJobSuspected(2));
    attribution.onTaskFailed(2, 2);
    assertTrue(attribution.isJobSuspected(2));
    attribution.onTaskSucceeded(2, 3);
    assertFalse(attribution.isJobSuspected(2));
  }
}
