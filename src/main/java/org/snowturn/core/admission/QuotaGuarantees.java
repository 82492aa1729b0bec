package org.snowturn.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snowturn.config.Settings;

/**
 * Which jobs are within their team's quota guarantee: a job is when it fits into the guarantee
 * together with its team's earlier unfinished jobs. Jobs that await others, and those that are
 * cancelled, hold no part of it. A guarantee of 0 is none.
 *
 * <p>Worked out anew from the jobs that there are, so a new leader has it from the records alone.
 */
public final class QuotaGuarantees {
  private static final double TOLERANCE = 1e-6;

  /** What a job asks of its team's guarantee, all of its tasks together. */
  public interface Claim {
    /** The team's name. */
    String team();

    /** CPUs of all tasks together. */
    double cpus();

    /** GPUs of all tasks together. */
    double gpus();

    /** When it was submitted; earlier ones come first, by name among equals. */
    long submitted();

    /** The job's id. */
    String id();

    /** Told whether it is within the guarantee. */
    void within(boolean is);
  }

  private static final class Team {
    private final Settings.Team team;
    private double cpus;
    private double gpus;

    Team(Settings.Team team) {
      this.team = team;
    }

    boolean takes(Claim claim) {
      boolean fits =
          cpus + claim.cpus() <= team.guaranteedCpus() + TOLERANCE
              && gpus + claim.gpus() <= team.guaranteedGpus() + TOLERANCE;
      // Also what does not fit stands before what comes after it: no small one overtakes.
      cpus += claim.cpus();
      gpus += claim.gpus();
      return fits;
    }
  }

  private final Map<String, Settings.Team> guaranteed = new TreeMap<>();
  private final Map<String, Double> claimedCpus = new TreeMap<>();

  /** Of these teams, those that have a guarantee. */
  public QuotaGuarantees(Iterable<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      if (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0) {
        guaranteed.put(team.name(), team);
      }
    }
  }

  /** Whether any team has one; if not, nothing needs to be worked out. */
  public boolean isAnyConfigured() {
    return !guaranteed.isEmpty();
  }

  /** Tells each of the unfinished jobs whether it is within its team's guarantee. */
  public void evaluate(Iterable<? extends Claim> unfinished) {
    List<Claim> claims = new ArrayList<>();
    for (Claim claim : unfinished) {
      if (guaranteed.containsKey(claim.team())) {
        claims.add(claim);
      } else {
        claim.within(false);
      }
    }
    claims.sort(Comparator.comparingLong(Claim::submitted).thenComparing(Claim::id));
    Map<String, Team> teams = new HashMap<>();
    claimedCpus.clear();
    for (Claim claim : claims) {
      Team team = teams.computeIfAbsent(claim.team(), name -> new Team(guaranteed.get(name)));
      boolean within = team.takes(claim);
      claim.within(within);
      claimedCpus.merge(claim.team(), within ? claim.cpus() : 0, Double::sum);
    }
  }

  /** For operators: of each team with a guarantee, its CPUs and how many of them are claimed. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new TreeMap<>();
    guaranteed.forEach(
        (name, team) -> {
          String label = "{team=\"" + name + "\"}";
          gauges.put("snowturn.guarantee.cpus" + label, team.guaranteedCpus());
          gauges.put(
              "snowturn.guarantee.claimed.cpus" + label, claimedCpus.getOrDefault(name, 0.0));
        });
    return gauges;
  }
}
