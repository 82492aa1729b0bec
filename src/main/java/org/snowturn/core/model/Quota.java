package org.snowturn.core.model;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;

/**
 * The CPU and GPU limits of the teams, and how much of them is in use by tasks that may be on a
 * machine.
 */
public final class Quota {
  /** Tolerance for rounding errors in sums of fractions. */
  private static final double TOLERANCE = 1e-6;

  /** The limits of a team and what its tasks use. */
  private static final class TeamUsage {
    private final Settings.Team team;
    private double cpus;
    private double gpus;

    TeamUsage(Settings.Team team) {
      this.team = team;
    }
  }

  private final Map<String, TeamUsage> usageByTeam = new HashMap<>();

  /** Creates a quota with nothing in use; teams that are not listed have no limit. */
  public Quota(Iterable<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      usageByTeam.put(team.name(), new TeamUsage(team));
    }
  }

  /** Returns whether an amount exceeds a limit; a limit of 0 means that there is none. */
  public static boolean exceeds(double amount, double limit) {
    return limit > 0 && amount > limit + TOLERANCE;
  }

  /** Returns whether one more task of the job is within its team's limits. */
  public boolean allows(JobSpec spec) {
    TeamUsage usage = usageByTeam.get(spec.team());
    return usage == null
        || !(exceeds(usage.cpus + spec.cpus(), usage.team.maxCpus())
            || exceeds(usage.gpus + spec.gpus(), usage.team.maxGpus()));
  }

  /** Counts a task of the job, which may be on a machine from now on. */
  public void acquire(JobSpec spec) {
    add(spec, 1);
  }

  /** Stops counting a task of the job, which is no longer on a machine. */
  public void release(JobSpec spec) {
    add(spec, -1);
  }

  private void add(JobSpec spec, int sign) {
    TeamUsage usage =
        usageByTeam.computeIfAbsent(
            spec.team(), name -> new TeamUsage(new Settings.Team(name, 0, 0, 0, 0)));
    usage.cpus += sign * spec.cpus();
    usage.gpus += sign * spec.gpus();
  }
}
