package org.snowturn.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A floor of room for each class of each team. The ordinary order is strict, by priority, what can
 * still be in time, and least work: whoever others outbid would wait as long as they keep coming. A
 * group that has waited for long and had less than a small share of the room that was given lately
 * goes before the others until it has had that share; the share grows with the wait.
 *
 * <p>It costs a flood what it gives: no more than {@link #TOGETHER} of the room, however many
 * groups starve, and nothing while nobody waits for long.
 */
public final class MinimumShares {
  /** Who waits less than this is served by the ordinary order. */
  private static final double PATIENCE_S = 15;

  /** The share at that time; it grows in proportion to the wait. */
  private static final double SHARE = 0.03;

  private static final double MOST = 0.15;

  /** All floors together. */
  static final double TOGETHER = 0.4;

  /** What was given longer ago than this hardly counts. */
  private static final long LATELY_MS = 30_000;

  private static final class Group {
    final String name;
    final RateMeter given = new RateMeter(LATELY_MS);
    double waitS;
    long waiting;
    long arrived;

    Group(String name) {
      this.name = name;
    }
  }

  private final Map<String, Integer> byName = new HashMap<>();
  private final List<Group> groups = new ArrayList<>();
  private final RateMeter all = new RateMeter(LATELY_MS);
  private long now;
  private int starving;

  /** The dense index of a team's class. */
  public int group(String jobClass, String team) {
    String name = jobClass + "/" + team;
    Integer known = byName.get(name);
    if (known == null) {
      known = groups.size();
      byName.put(name, known);
      groups.add(new Group(name));
    }
    return known;
  }

  /** A plan begins: nobody waits yet. */
  public void begin(long nowMs) {
    now = nowMs;
    starving = 0;
    for (Group g : groups) {
      g.waitS = 0;
      g.waiting = 0;
    }
  }

  /** So many tasks of a job of the group wait for room, since so long. */
  public void waits(int group, double waitS, int tasks) {
    Group g = groups.get(group);
    g.waiting += tasks;
    boolean was = g.waitS > PATIENCE_S;
    g.waitS = Math.max(g.waitS, waitS);
    starving += !was && g.waitS > PATIENCE_S ? 1 : 0;
  }

  /** Whether the group goes before the others now. */
  public boolean first(int group) {
    Group g = groups.get(group);
    if (g.waitS <= PATIENCE_S || groups.size() < 2) {
      return false;
    }
    double share = Math.min(MOST, SHARE * g.waitS / PATIENCE_S);
    share = Math.min(share, TOGETHER / starving);
    return g.given.perSecond(now) < share * all.perSecond(now);
  }

  /** A task of the group was given room. */
  public void given(int group, double cpus, long nowMs) {
    groups.get(group).given.add(cpus, nowMs);
    all.add(cpus, nowMs);
  }

  /** So many tasks of the group have come. */
  public void arrived(int group, int tasks) {
    groups.get(group).arrived += tasks;
  }

  /**
   * For operators: of each group the longest wait, and what part of its tasks does not wait for it.
   */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new TreeMap<>();
    for (Group x : groups) {
      String label = "{group=\"" + x.name + "\"}";
      gauges.put("snowturn.wait.longest.seconds" + label, x.waitS);
      gauges.put(
          "snowturn.served.share" + label,
          1 - Math.min(1.0, (double) x.waiting / Math.max(1, x.arrived)));
      gauges.put("snowturn.room.given.cpus" + label, x.given.perSecond(now));
    }
    return gauges;
  }
}
