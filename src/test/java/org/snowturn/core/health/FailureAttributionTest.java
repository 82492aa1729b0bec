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

/** Checks that failures are attributed to broken jobs and faulty machines in any order of runs. */
class FailureAttributionTest {
  private static final int MIN_FAILURES = 3;

  /**
   * Jobs and machines with the runs of tasks on them. The first {@code brokenJobs} jobs fail
   * everywhere, and every job fails on the first {@code faultyMachines} machines. Either may be
   * none or up to half of all.
   *
   * @param runs index of the job and index of the machine of each run, in order
   */
  record Cluster(int jobs, int brokenJobs, int machines, int faultyMachines, List<int[]> runs) {
    boolean fails(int[] run) {
      return run[0] < brokenJobs || run[1] < faultyMachines;
    }
  }

  @Provide
  Arbitrary<Cluster> clusters() {
    return Combinators.combine(
            Arbitraries.integers().between(2, 8),
            Arbitraries.integers().between(0, 4),
            Arbitraries.integers().between(2, 12),
            Arbitraries.integers().between(0, 6))
        .flatAs(
            (jobs, brokenJobs, machines, faultyMachines) ->
                Combinators.combine(
                        Arbitraries.integers().between(0, jobs - 1),
                        Arbitraries.integers().between(0, machines - 1))
                    .as((job, machine) -> new int[] {job, machine})
                    .list()
                    .ofMinSize(20)
                    .ofMaxSize(200)
                    .map(
                        runs ->
                            new Cluster(
                                jobs,
                                Math.min(brokenJobs, jobs / 2),
                                machines,
                                Math.min(faultyMachines, machines / 2),
                                runs)));
  }

  /** Expected attribution, computed from the results of all runs so far. */
  private static final class Expectation {
    private final Cluster cluster;
    private final Set<Integer> healthyJobs = new HashSet<>();
    private final int[] healthyJobFailures;
    private final int[][] undecidedFailures;
    private final List<Set<Integer>> failedMachines;

    Expectation(Cluster cluster) {
      this.cluster = cluster;
      healthyJobFailures = new int[cluster.machines];
      undecidedFailures = new int[cluster.machines][cluster.jobs];
      failedMachines =
          IntStream.range(0, cluster.jobs).<Set<Integer>>mapToObj(job -> new HashSet<>()).toList();
    }

    void onTaskFailed(int job, int machine) {
      failedMachines.get(job).add(machine);
      if (healthyJobs.contains(job)) {
        healthyJobFailures[machine]++;
      } else {
        undecidedFailures[machine][job]++;
      }
    }

    void onTaskSucceeded(int job, int machine) {
      healthyJobs.add(job);
      for (int other = 0; other < cluster.machines; other++) {
        healthyJobFailures[other] += undecidedFailures[other][job];
        undecidedFailures[other][job] = 0;
      }
      healthyJobFailures[machine] = 0;
    }

    void verify(FailureAttribution attribution) {
      for (int machine = cluster.faultyMachines; machine < cluster.machines; machine++) {
        assertFalse(
            attribution.isMachineFaulty(machine), "healthy machine " + machine + " is faulty");
      }
      for (int machine = 0; machine < cluster.faultyMachines; machine++) {
        boolean faulty = healthyJobFailures[machine] >= MIN_FAILURES;
        assertEquals(
            faulty, attribution.isMachineFaulty(machine), "machine " + machine + " is faulty");
      }
      for (int job = 0; job < cluster.jobs; job++) {
        boolean suspected = attribution.isJobSuspected(job);
        assertFalse(healthyJobs.contains(job) && suspected, "healthy job " + job + " is suspected");
        boolean failedOnFewMachines = failedMachines.get(job).size() < 4;
        assertTrue(
            job >= cluster.brokenJobs || failedOnFewMachines || suspected,
            "broken job " + job + " is not suspected");
      }
    }
  }

  @Property(tries = 400, seed = "32")
  void healthyMachinesAndJobsAreNeverBlamed(@ForAll("clusters") Cluster cluster) {
    FailureAttribution attribution = new FailureAttribution(MIN_FAILURES);
    Expectation expectation = new Expectation(cluster);
    for (int[] run : cluster.runs) {
      int job = run[0];
      int machine = run[1];
      if (cluster.fails(run)) {
        attribution.onTaskFailed(job, machine);
        expectation.onTaskFailed(job, machine);
      } else {
        attribution.onTaskSucceeded(job, machine);
        expectation.onTaskSucceeded(job, machine);
      }
      expectation.verify(attribution);
    }
  }

  @Test
  void failuresOfHealthyJobCountAfterTheJobIsOver() {
    FailureAttribution attribution = new FailureAttribution(MIN_FAILURES);
    for (int job = 0; job < 3; job++) {
      attribution.onTaskFailed(job, 7);
      attribution.onTaskSucceeded(job, 8);
      attribution.forgetJob(job);
    }
    assertTrue(attribution.isMachineFaulty(7));
    attribution.onTaskFailed(5, 8);
    attribution.forgetJob(5); // it was cancelled and never succeeded, so it may have been at fault
    assertEquals(0, attribution.unexplainedFailures(8));
  }

  @Test
  void jobIsSuspectedAfterFailuresOnTwoHealthyMachines() {
    FailureAttribution attribution = new FailureAttribution(MIN_FAILURES);
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
