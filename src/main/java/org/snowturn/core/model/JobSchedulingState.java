package org.snowturn.core.model;

import org.snowturn.core.MonotonicTime;

/** What scheduling rounds remember of a job from one to the next. */
public final class JobSchedulingState {
  /** The time until which preemption on behalf of this job is under way; none starts before. */
  private long preemptingUntil = MonotonicTime.UNSET;

  /** The time at which a task was last placed. */
  private long placedWallMs;

  /** The dense index of the minimum-share group (job class and team); -1 until it is known. */
  private int shareGroup = -1;

  /** Whether the last scheduling round found the job within its team's guarantee. */
  private boolean withinGuarantee;

  /** Whether the tasks are protected from preemption, see {@link #hasPreemptionProtection}. */
  private boolean preemptionProtected;

  /** The index of the zone chosen for all tasks of a gang; -1 if none is chosen. */
  private int gangZone = -1;

  JobSchedulingState() {}

  /** Returns the time until which preemption on behalf of this job is under way. */
  public long preemptingUntil() {
    return preemptingUntil;
  }

  /** Sets the time until which preemption on behalf of this job is under way. */
  public void setPreemptingUntil(long preemptingUntil) {
    this.preemptingUntil = preemptingUntil;
  }

  /** Returns the time at which a task was last placed; 0 if none was. */
  public long placedWallMs() {
    return placedWallMs;
  }

  /** Sets the time at which a task was last placed. */
  public void setPlacedWallMs(long placedWallMs) {
    this.placedWallMs = placedWallMs;
  }

  /** Returns the index of the minimum-share group; -1 until it is known. */
  public int shareGroup() {
    return shareGroup;
  }

  /** Sets the index of the minimum-share group. */
  public void setShareGroup(int shareGroup) {
    this.shareGroup = shareGroup;
  }

  /** Returns whether the last scheduling round found the job within its team's guarantee. */
  public boolean isWithinGuarantee() {
    return withinGuarantee;
  }

  /** Sets whether the job is within its team's guarantee. */
  public void setWithinGuarantee(boolean withinGuarantee) {
    this.withinGuarantee = withinGuarantee;
  }

  /**
   * Returns whether the tasks are protected from preemption by jobs of higher priority, except
   * production jobs and jobs within a guarantee. The protection applies to jobs that were placed
   * ahead of others, because their group was below its minimum share or because they had waited for
   * long. Without it, jobs of higher priority would preempt them at once.
   */
  public boolean hasPreemptionProtection() {
    return preemptionProtected;
  }

  /** Sets whether the tasks are protected from preemption. */
  public void setPreemptionProtection(boolean preemptionProtected) {
    this.preemptionProtected = preemptionProtected;
  }

  /** Returns the index of the zone chosen for all tasks of a gang; -1 if none is chosen. */
  public int gangZone() {
    return gangZone;
  }

  /** Sets the index of the zone chosen for all tasks of a gang; -1 if none is chosen. */
  public void setGangZone(int gangZone) {
    this.gangZone = gangZone;
  }
}
