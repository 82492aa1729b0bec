package org.snowturn.core.model;

import java.util.HashMap;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;

/** What each team's tasks use, counting every task that may be on a machine. */
public final class Quota {
  private static final double SLACK = 1e-6;

  private static final class Use {
    final Settings.Team team;
    double cpus;
    double gpus;

    Use(Settings.Team team) {
      this.team = team;
    }
  }

  private final Map<String, Use> teams = new HashMap<>();

  public Quota(Iterable<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      this.teams.put(team.name(), new Use(team));
    }
  }

  /** Whether an amount is above a limit; a limit of 0 means none. */
  public static boolean exceeds(double amount, double limit) {
    return limit > 0 && amount > limit + SLACK;
  }

  public boolean allows(JobSpec spec) {
    Use u = teams.get(spec.team());
    return u == null
        || !(exceeds(u.cpus + spec.cpus(), u.team.cpusMax())
            || exceeds(u.gpus + spec.gpus(), u.team.gpusMax()));
  }

  public void acquire(JobSpec spec) {
    add(spec, 1);
  }

  public void release(JobSpec spec) {
    add(spec, -1);
  }

  private void add(JobSpec spec, int sign) {
    Use u = teams.computeIfAbsent(spec.team(), n -> new Use(new Settings.Team(n, 0, 0, 0, 0)));
    u.cpus += sign * spec.cpus();
    u.gpus += sign * spec.gpus();
  }
}
