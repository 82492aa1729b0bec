package org.snowturn.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snowturn.config.Settings;

/**
 * Determines which jobs are within their team's quota guarantee. A job is within the guarantee if
 * it fits into it together with all unfinished jobs that the team submitted earlier. The caller
 * leaves out jobs that wait for dependencies and cancelled jobs, which claim nothing. A guarantee
 * of 0 counts as no guarantee.
 *
 * <p>The result is computed from the unfinished jobs each time and is not stored, so a new leader
 * obtains it from the job records alone.
 */
public final class QuotaGuarantees {
  private static final double ROUNDING_TOLERANCE = 1e-6;

  /** The claim of a job on its team's guarantee, for all of its tasks together. */
  public interface Claim {
    /** Returns the name of the job's team. */
    String team();

    /** Returns the number of CPUs of all tasks together. */
    double cpus();

    /** Returns the number of GPUs of all tasks together. */
    double gpus();

    /**
     * Returns the time of submission, in milliseconds since 1970. Earlier jobs come first; jobs
     * with the same time are ordered by id.
     */
    long submittedAt();

    /** Returns the job's id. */
    String id();

    /** Sets whether the job is within its team's guarantee. */
    void setWithinGuarantee(boolean isWithin);
  }

  private static final class TeamUsage {
    private final Settings.Team team;
    private double claimedCpus;
    private double claimedGpus;

    TeamUsage(Settings.Team team) {
      this.team = team;
    }

    /** Adds a claim and returns whether it fits into the guarantee. */
    boolean addClaim(Claim claim) {
      boolean fits =
          claimedCpus + claim.cpus() <= team.guaranteedCpus() + ROUNDING_TOLERANCE
              && claimedGpus + claim.gpus() <= team.guaranteedGpus() + ROUNDING_TOLERANCE;
      // A claim that does not fit also counts, so that smaller jobs cannot overtake it.
      claimedCpus += claim.cpus();
      claimedGpus += claim.gpus();
      return fits;
    }
  }

  private final Map<String, Settings.Team> teamsWithGuarantee = new TreeMap<>();
  private final Map<String, Double> claimedCpusByTeam = new TreeMap<>();

  /** Creates the guarantees of those of the given teams that have one. */
  public QuotaGuarantees(Iterable<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      if (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0) {
        teamsWithGuarantee.put(team.name(), team);
      }
    }
  }

  /** Returns whether any team has a guarantee; if none has, {@link #evaluate} can be skipped. */
  public boolean isAnyConfigured() {
    return !teamsWithGuarantee.isEmpty();
  }

  /** Determines for each claim whether the job is within its team's guarantee, and sets it. */
  public void evaluate(Iterable<? extends Claim> unfinishedJobs) {
    List<Claim> claims = new ArrayList<>();
    for (Claim claim : unfinishedJobs) {
      if (teamsWithGuarantee.containsKey(claim.team())) {
        claims.add(claim);
      } else {
        claim.setWithinGuarantee(false);
      }
    }
    claims.sort(Comparator.comparingLong(Claim::submittedAt).thenComparing(Claim::id));
    Map<String, TeamUsage> usageByTeam = new HashMap<>();
    claimedCpusByTeam.clear();
    for (Claim claim : claims) {
      TeamUsage usage =
          usageByTeam.computeIfAbsent(
              claim.team(), name -> new TeamUsage(teamsWithGuarantee.get(name)));
      boolean isWithin = usage.addClaim(claim);
      claim.setWithinGuarantee(isWithin);
      claimedCpusByTeam.merge(claim.team(), isWithin ? claim.cpus() : 0, Double::sum);
    }
  }

  /** Returns the metrics of each team with a guarantee: its CPUs, and how many are claimed. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new TreeMap<>();
    teamsWithGuarantee.forEach(
        (name, team) -> {
          String label = "{team=\"" + name + "\"}";
          gauges.put("snowturn.guarantee.cpus" + label, team.guaranteedCpus());
          gauges.put(
              "snowturn.guarantee.claimed.cpus" + label, claimedCpusByTeam.getOrDefault(name, 0.0));
        });
    return gauges;
  }
}
