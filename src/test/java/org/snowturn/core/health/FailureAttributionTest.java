package org.snowturn.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Jobs and machines judged by each other, in any order of what happens. */
class FailureAttributionTest {
  private static final int SICK_AFTER = 3;

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
                    .as((j, m) -> new int[] {j, m})
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

  @Property(tries = 400, seed = "32")
  void noSoundMachineIsCondemnedAndNoSoundJobStaysSuspect(@ForAll("worlds") World w) {
    FailureAttribution b = new FailureAttribution(SICK_AFTER);
    Set<Integer> proven = new HashSet<>();
    int[] soundFailures = new int[w.machines];
    int[] failuresOfJob = new int[w.jobs];
    List<Set<Integer>> failedOn =
        java.util.stream.IntStream.range(0, w.jobs)
            .<Set<Integer>>mapToObj(i -> new HashSet<>())
            .toList();
    int[][] unproven = new int[w.machines][w.jobs];
    for (int[] run : w.runs) {
      int j = run[0];
      int m = run[1];
      if (w.fails(run)) {
        b.failed(j, m);
        failuresOfJob[j]++;
        failedOn.get(j).add(m);
        if (proven.contains(j)) {
          soundFailures[m]++;
        } else {
          unproven[m][j]++;
        }
      } else {
        b.succeeded(j, m);
        proven.add(j);
        for (int x = 0; x < w.machines; x++) {
          soundFailures[x] += unproven[x][j];
          unproven[x][j] = 0;
        }
        soundFailures[m] = 0;
      }
      for (int x = w.sick; x < w.machines; x++) {
        assertFalse(b.sick(x), "sound machine " + x + " condemned");
      }
      for (int x = 0; x < w.sick; x++) {
        assertEquals(soundFailures[x] >= SICK_AFTER, b.sick(x), "sick machine " + x);
      }
      for (int x = 0; x < w.jobs; x++) {
        assertFalse(proven.contains(x) && b.suspect(x), "sound job " + x + " suspect");
        assertTrue(x >= w.broken || failedOn.get(x).size() < 4 || b.suspect(x), "broken " + x);
      }
    }
  }

  @Test
  void whatAJobToldOfAMachineOutlivesIt() {
    FailureAttribution b = new FailureAttribution(SICK_AFTER);
    for (int job = 0; job < 3; job++) {
      b.failed(job, 7);
      b.succeeded(job, 8);
      b.forgetJob(job);
    }
    assertTrue(b.sick(7));
    b.failed(5, 8);
    b.forgetJob(5); // cancelled: its user's mistake, perhaps
    assertEquals(0, b.unexplained(8));
  }

  @Test
  void twoSoundMachinesAreEnoughToSuspectAJob() {
    FailureAttribution b = new FailureAttribution(SICK_AFTER);
    b.succeeded(1, 1);
    b.succeeded(1, 2);
    b.failed(2, 1);
    b.failed(2, 1);
    assertFalse(b.suspect(2));
    b.failed(2, 2);
    assertTrue(b.suspect(2));
    b.succeeded(2, 3);
    assertFalse(b.suspect(2));
  }
}
