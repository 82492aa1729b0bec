package org.snowturn.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Guarantees a minimum share of placements to each group, which is a job class of a team. The
 * regular scheduling order is strict: by priority, by deadlines that can still be met, and by least
 * work. A group that is last in it would starve as long as other jobs keep arriving. Therefore a
 * group that has waited long and received less than its minimum share of recent placements goes
 * before the others until it has received that share. The share grows with the wait.
 *
 * <p>The minimum shares take at most {@link #MAX_TOTAL_SHARE} of the placements in total, for any
 * number of starving groups, and nothing while no group waits long.
 */
public final class MinimumShares {
  /** Longest wait for which a group is served in the regular order only. */
  private static final double MIN_WAIT_S = 15;

  /** Minimum share of a group after a wait of {@link #MIN_WAIT_S}; it grows with the wait. */
  private static final double BASE_SHARE = 0.03;

  private static final double MAX_GROUP_SHARE = 0.15;

  /** Maximum sum of all minimum shares. */
  static final double MAX_TOTAL_SHARE = 0.4;

  /** Averaging time of the placement rates. */
  private static final long AVERAGING_MS = 30_000;

  private static final class Group {
    private final String name;
    private final RateMeter placements = new RateMeter(AVERAGING_MS);
    private double longestWaitS;
    private long waitingTasks;
    private long arrivedTasks;

    Group(String name) {
      this.name = name;
    }
  }

  private final Map<String, Integer> indexByName = new HashMap<>();
  private final List<Group> groups = new ArrayList<>();
  private final RateMeter allPlacements = new RateMeter(AVERAGING_MS);
  private long roundStartedAt;
  private int longWaitingGroups;

  /** Returns the index of a team's job class, from 0; assigns the next one to a new group. */
  public int groupIndex(String jobClass, String team) {
    String name = jobClass + "/" + team;
    Integer index = indexByName.get(name);
    if (index == null) {
      index = groups.size();
      indexByName.put(name, index);
      groups.add(new Group(name));
    }
    return index;
  }

  /** Starts a scheduling round and clears the waits recorded in the last one. */
  public void beginRound(long nowMs) {
    roundStartedAt = nowMs;
    longWaitingGroups = 0;
    for (Group group : groups) {
      group.longestWaitS = 0;
      group.waitingTasks = 0;
    }
  }

  /**
   * Records the waiting tasks of a job in the current round.
   *
   * @param group index of the job's group
   * @param waitS time that the job has waited for capacity, in seconds
   * @param tasks number of its waiting tasks
   */
  public void recordWaiting(int group, double waitS, int tasks) {
    Group shareGroup = groups.get(group);
    shareGroup.waitingTasks += tasks;
    boolean wasLongWaiting = shareGroup.longestWaitS > MIN_WAIT_S;
    shareGroup.longestWaitS = Math.max(shareGroup.longestWaitS, waitS);
    longWaitingGroups += !wasLongWaiting && shareGroup.longestWaitS > MIN_WAIT_S ? 1 : 0;
  }

  /**
   * Returns whether the group has waited long and received less than its minimum share. Such a
   * group goes before the others.
   */
  public boolean isBelowMinimum(int group) {
    Group shareGroup = groups.get(group);
    if (shareGroup.longestWaitS <= MIN_WAIT_S || groups.size() < 2) {
      return false;
    }
    double share = Math.min(MAX_GROUP_SHARE, BASE_SHARE * shareGroup.longestWaitS / MIN_WAIT_S);
    share = Math.min(share, MAX_TOTAL_SHARE / longWaitingGroups);
    return shareGroup.placements.perSecond(roundStartedAt)
        < share * allPlacements.perSecond(roundStartedAt);
  }

  /**
   * Records the placement of a task.
   *
   * @param group index of the task's group
   * @param cpus number of CPUs of the task
   */
  public void recordPlacement(int group, double cpus, long nowMs) {
    groups.get(group).placements.add(cpus, nowMs);
    allPlacements.add(cpus, nowMs);
  }

  /** Records the arrival of tasks of a group. */
  public void recordArrivals(int group, int tasks) {
    groups.get(group).arrivedTasks += tasks;
  }

  /**
   * Returns the metrics of each group: its longest wait, the share of its arrived tasks that are
   * not waiting, and its rate of placed CPUs.
   */
  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new TreeMap<>();
    for (Group shareGroup : groups) {
      String label = "{group=\"" + shareGroup.name + "\"}";
      gauges.put("snowturn.wait.longest.seconds" + label, shareGroup.longestWaitS);
      gauges.put(
          "snowturn.served.share" + label,
          1
              - Math.min(
                  1.0, (double) shareGroup.waitingTasks / Math.max(1, shareGroup.arrivedTasks)));
      gauges.put(
          "snowturn.share.assigned.cpus" + label, shareGroup.placements.perSecond(roundStartedAt));
    }
    return gauges;
  }
}
