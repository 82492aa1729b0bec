package org.snowturn.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snowturn.config.Settings;

/**
 * Which jobs are within their team's guarantee, in the protocol's words: a job is when it fits into
 * the guarantee together with its team's earlier unfinished jobs. Jobs that await others, and those
 * that are cancelled, hold no part of it. A guarantee of 0 is none.
 *
 * <p>Worked out anew from the jobs that there are, so a new leader has it from the records alone.
 */
public final class QuotaGuarantees {
  private static final double SLACK = 1e-6;

  /** What a job asks of its team's guarantee, all of its tasks together. */
  public interface Claim {
    String team();

    double cpus();

    double gpus();

    /** When it was submitted; earlier ones come first, by name among equals. */
    long submitted();

    String id();

    /** Told whether it is within the guarantee. */
    void within(boolean is);
  }

  private static final class Team {
    final Settings.Team team;
    double cpus;
    double gpus;

    Team(Settings.Team team) {
      this.team = team;
    }

    boolean takes(Claim c) {
      boolean fits =
          cpus + c.cpus() <= team.cpus() + SLACK && gpus + c.gpus() <= team.gpus() + SLACK;
      // Also what does not fit stands before what comes after it: no small one overtakes.
      cpus += c.cpus();
      gpus += c.gpus();
      return fits;
    }
  }

  private final Map<String, Settings.Team> guaranteed = new TreeMap<>();
  private final Map<String, Double> held = new TreeMap<>();

  /** Of these teams, those that have a guarantee. */
  public QuotaGuarantees(Iterable<Settings.Team> teams) {
    for (Settings.Team team : teams) {
      if (team.cpus() > 0 || team.gpus() > 0) {
        guaranteed.put(team.name(), team);
      }
    }
  }

  /** Whether any team has one; if not, nothing needs to be worked out. */
  public boolean any() {
    return !guaranteed.isEmpty();
  }

  /** Tells each of the unfinished jobs whether it is within its team's guarantee. */
  public void judge(Iterable<? extends Claim> unfinished) {
    List<Claim> claims = new ArrayList<>();
    for (Claim c : unfinished) {
      if (guaranteed.containsKey(c.team())) {
        claims.add(c);
      } else {
        c.within(false);
      }
    }
    claims.sort(Comparator.comparingLong(Claim::submitted).thenComparing(Claim::id));
    Map<String, Team> teams = new HashMap<>();
    held.clear();
    for (Claim c : claims) {
      Team t = teams.computeIfAbsent(c.team(), n -> new Team(guaranteed.get(n)));
      boolean within = t.takes(c);
      c.within(within);
      held.merge(c.team(), within ? c.cpus() : 0, Double::sum);
    }
  }

  /** For operators: of each team with a guarantee, its CPUs and how many of them are claimed. */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new TreeMap<>();
    guaranteed.forEach(
        (name, team) -> {
          String label = "{team=\"" + name + "\"}";
          gauges.put("snowturn.guarantee.cpus" + label, team.cpus());
          gauges.put("snowturn.guarantee.claimed.cpus" + label, held.getOrDefault(name, 0.0));
        });
    return gauges;
  }
}
