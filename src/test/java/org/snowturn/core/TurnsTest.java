package org.snowturn.core;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/** Who goes first when not all arrays can be in time. */
class TurnsTest {
  private static Job array(int number, int tasks, double taskS, double dueS) {
    var n = Json.object();
    n.put("id", String.format("wk-%06d", number)).put("jobclass", "c").put("owner", "t");
    n.put("shape", "batch").put("rank", "high").put("flakes", tasks).put("cores", 1.0);
    n.put("cards", 0.0).put("ram_gb", 1.0).put("bundle", "i").put("size_gb", 1.0);
    n.put("guess_s", taskS).put("cairn_s", 0.0).put("stash_s", 0.0).put("due_s", dueS);
    n.put("same_place", false).put("spread", false).put("loaners", true);
    try {
      return new Job(number, JobSpec.parse(n), 0, 50, 2);
    } catch (MalformedException e) {
      throw new IllegalArgumentException(e);
    }
  }

  private static int[] turns(Job... jobs) {
    new Turns(0, 10, 0).give(List.of(jobs));
    int[] out = new int[jobs.length];
    for (int i = 0; i < jobs.length; i++) {
      out[i] = jobs[i].turn;
    }
    return out;
  }

  @Test
  void whileAllCanBeInTimeTheyGoByDeadline() {
    Job soon = array(1, 20, 10, 60);
    Job later = array(2, 10, 10, 200);
    assertArrayEquals(new int[] {0, 0}, turns(soon, later));
    assertTrue(Turns.within(soon) < Turns.within(later));
  }

  @Test
  void theOneWithTheMostWorkStandsBackWhereNotAllCan() {
    Job large = array(1, 100, 10, 60);
    Job small = array(2, 10, 10, 65);
    Job alsoSmall = array(3, 10, 10, 70);
    assertArrayEquals(new int[] {1, 0, 0}, turns(large, small, alsoSmall));
  }

  @Test
  void whatIsLateWhateverIsDoneComesLast() {
    assertArrayEquals(
        new int[] {0, 2, 3}, turns(array(1, 1, 10, 60), array(2, 1, 10, 8), array(3, 1, 10, 2)));
  }
}
