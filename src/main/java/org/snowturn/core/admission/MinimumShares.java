package org.snowturn.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A minimum share of placements for each class of each team. The ordinary order is strict, by
 * priority, what can still be in time, and least work: whoever comes after others in it would wait
 * as long as these keep coming. A group that has waited for long and had less than a small share of
 * recent placements goes before the others until it has had that share; the share grows with the
 * wait.
 *
 * <p>It takes no more than {@link #MAX_TOTAL_SHARE} of the placements, however many groups starve,
 * and nothing while nobody waits for long.
 */
public final class MinimumShares {
  /** Who waits less than this is served by the ordinary order. */
  private static final double MIN_WAIT_S = 15;

  /** The share at that time; it grows in proportion to the wait. */
  private static final double BASE_SHARE = 0.03;

  private static final double MAX_GROUP_SHARE = 0.15;

  /** All minimum shares together. */
  static final double MAX_TOTAL_SHARE = 0.4;

  /** Placements longer ago than this hardly count. */
  private static final long AVERAGING_MS = 30_000;

  private static final class Group {
    private final String name;
    private final RateMeter placements = new RateMeter(AVERAGING_MS);
    private double waitS;
    private long waiting;
    private long arrived;

    Group(String name) {
      this.name = name;
    }
  }

  private final Map<String, Integer> byName = new HashMap<>();
  private final List<Group> groups = new ArrayList<>();
  private final RateMeter allPlacements = new RateMeter(AVERAGING_MS);
  private long roundAt;
  private int waitingGroups;

  /** The dense index of a team's class. */
  public int groupIndex(String jobClass, String team) {
    String name = jobClass + "/" + team;
    Integer known = byName.get(name);
    if (known == null) {
      known = groups.size();
      byName.put(name, known);
      groups.add(new Group(name));
    }
    return known;
  }

  /** Starts a scheduling round: nobody waits yet. */
  public void beginRound(long nowMs) {
    roundAt = nowMs;
    waitingGroups = 0;
    for (Group group : groups) {
      group.waitS = 0;
      group.waiting = 0;
    }
  }

  /** So many tasks of a job of the group have waited for room for so long, in seconds. */
  public void recordWaiting(int group, double waitS, int tasks) {
    Group shareGroup = groups.get(group);
    shareGroup.waiting += tasks;
    boolean waitedBefore = shareGroup.waitS > MIN_WAIT_S;
    shareGroup.waitS = Math.max(shareGroup.waitS, waitS);
    waitingGroups += !waitedBefore && shareGroup.waitS > MIN_WAIT_S ? 1 : 0;
  }

  /** Whether the group has waited long with less than its share, and so goes before the others. */
  public boolean isBelowMinimum(int group) {
    Group shareGroup = groups.get(group);
    if (shareGroup.waitS <= MIN_WAIT_S || groups.size() < 2) {
      return false;
    }
    double share = Math.min(MAX_GROUP_SHARE, BASE_SHARE * shareGroup.waitS / MIN_WAIT_S);
    share = Math.min(share, MAX_TOTAL_SHARE / waitingGroups);
    return shareGroup.placements.perSecond(roundAt) < share * allPlacements.perSecond(roundAt);
  }

  /** A task of the group was placed. */
  public void recordPlacement(int group, double cpus, long nowMs) {
    groups.get(group).placements.add(cpus, nowMs);
    allPlacements.add(cpus, nowMs);
  }

  /** So many tasks of the group have come. */
  public void recordArrivals(int group, int tasks) {
    groups.get(group).arrived += tasks;
  }

  /**
   * For operators: of each group the longest wait, and what part of its tasks does not wait for it.
   */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new TreeMap<>();
    for (Group shareGroup : groups) {
      String label = "{group=\"" + shareGroup.name + "\"}";
      gauges.put("snowturn.wait.longest.seconds" + label, shareGroup.waitS);
      gauges.put(
          "snowturn.served.share" + label,
          1 - Math.min(1.0, (double) shareGroup.waiting / Math.max(1, shareGroup.arrived)));
      gauges.put("snowturn.share.assigned.cpus" + label, shareGroup.placements.perSecond(roundAt));
    }
    return gauges;
  }
}
