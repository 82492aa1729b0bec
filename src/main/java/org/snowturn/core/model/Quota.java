package org.snowturn.core.model;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;

/** What each team's tasks use, counting every task that may be on a machine. */
public final class Quota {
  private static final double SLACK = 1e-6;

  private static final class TeamUsage {
    private final Settings.Team team;
    private double cpus;
    private double gpus;

    TeamUsage(Settings.Team team) {
      this.team = team;
    }
  }

  private final Map<String, TeamUsage> teams = new HashMap<>();

  /** No team uses anything yet; teams that are not listed have no limit. */
  public Quota(Iterable<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      this.teams.put(team.name(), new TeamUsage(team));
    }
  }

  /** Whether an amount is above a limit; a limit of 0 means none. */
  public static boolean exceeds(double amount, double limit) {
    return limit > 0 && amount > limit + SLACK;
  }

  /** Whether one more task of the job is within its team's limits. */
  public boolean allows(JobSpec spec) {
    TeamUsage usage = teams.get(spec.team());
    return usage == null
        || !(exceeds(usage.cpus + spec.cpus(), usage.team.maxCpus())
            || exceeds(usage.gpus + spec.gpus(), usage.team.maxGpus()));
  }

  /** A task of the job may be on a machine from now on. */
  public void acquire(JobSpec spec) {
    add(spec, 1);
  }

  /** A task of the job is on no machine any more. */
  public void release(JobSpec spec) {
    add(spec, -1);
  }

  private void add(JobSpec spec, int sign) {
    TeamUsage usage =
        teams.computeIfAbsent(
            spec.team(), name -> new TeamUsage(new Settings.Team(name, 0, 0, 0, 0)));
    usage.cpus += sign * spec.cpus();
    usage.gpus += sign * spec.gpus();
  }
}
