package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.snowturn.config.Settings;

/**
 * Compares the result with a naive recount by the definition of a guarantee, for each job. Guards
 * against results that depend on the order in which the jobs are given.
 */
class QuotaGuaranteesTest {
  private static final class Job implements QuotaGuarantees.Claim {
    final String team;
    final double cpus;
    final double gpus;
    final long submittedAt;
    final String id;
    private boolean isWithin;

    Job(String team, double cpus, double gpus, long submittedAt, String id) {
      this.team = team;
      this.cpus = cpus;
      this.gpus = gpus;
      this.submittedAt = submittedAt;
      this.id = id;
    }

    @Override
    public String team() {
      return team;
    }

    @Override
    public double cpus() {
      return cpus;
    }

    @Override
    public double gpus() {
      return gpus;
    }

    @Override
    public long submittedAt() {
      return submittedAt;
    }

    @Override
    public String id() {
      return id;
    }

    @Override
    public void setWithinGuarantee(boolean isWithin) {
      this.isWithin = isWithin;
    }
  }

  private static final List<Settings.Team> TEAMS =
      List.of(
          new Settings.Team("a", 20, 0, 0, 0),
          new Settings.Team("b", 9, 40, 2, 4),
          new Settings.Team("none", 0, 0, 0, 0));

  @Property(seed = "6", tries = 300)
  void matchesANaiveRecountForAnyOrderOfJobs(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Job> jobs = new ArrayList<>();
    for (int i = random.nextInt(25); i > 0; i--) {
      String team = TEAMS.get(random.nextInt(TEAMS.size())).name();
      jobs.add(
          new Job(
              team,
              random.nextInt(8),
              random.nextInt(4) == 3 ? 1 : 0,
              random.nextInt(6),
              "wk-" + i));
    }
    Collections.shuffle(jobs, new java.util.Random(seed));
    QuotaGuarantees guarantees = new QuotaGuarantees(TEAMS);
    guarantees.evaluate(jobs);
    for (Job job : jobs) {
      assertEquals(isWithinByRecount(job, jobs), job.isWithin, job.id);
    }
  }

  private static boolean isWithinByRecount(Job job, List<Job> jobs) {
    double cpus = 0;
    double gpus = 0;
    for (Job other : jobs) {
      if (other.team.equals(job.team) && isNotLater(other, job)) {
        cpus += other.cpus;
        gpus += other.gpus;
      }
    }
    Settings.Team team =
        TEAMS.stream().filter(candidate -> candidate.name().equals(job.team)).findFirst().get();
    boolean hasGuarantee = team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0;
    return hasGuarantee && cpus <= team.guaranteedCpus() && gpus <= team.guaranteedGpus();
  }

  private static boolean isNotLater(Job other, Job job) {
    return other.submittedAt < job.submittedAt
        || (other.submittedAt == job.submittedAt && other.id.compareTo(job.id) <= 0);
  }

  @Test
  void reportsWhetherAnyGuaranteeIsConfigured() {
    assertFalse(new QuotaGuarantees(List.of(new Settings.Team("t", 0, 5, 0, 1))).isAnyConfigured());
    assertTrue(new QuotaGuarantees(TEAMS).isAnyConfigured());
  }
}
