package org.snowturn.core.model;

import org.snowturn.core.MonotonicTime;
import org.snowturn.wire.CloudMachine;

/**
 * A machine's way from its rental to its termination, as the cloud lists it and as this leader has
 * decided. Times are milliseconds of the monotonic clock ({@link MonotonicTime}).
 */
public final class MachineLifecycle {
  private Presence presence = Presence.PRESENT;
  private IntendedUse intendedUse = IntendedUse.IN_USE;
  private long terminateRetryAt;
  private long firstSeenAt;
  private boolean rentedInThisTerm;
  private long listedAt = MonotonicTime.UNSET;
  private CloudMachine.State cloudState = CloudMachine.State.STARTING;

  /** Returns whether the machine is to be terminated; this decision is never revoked. */
  public boolean isTerminating() {
    return intendedUse == IntendedUse.TERMINATING;
  }

  /** Marks the machine as to be terminated. */
  public void beginTermination() {
    intendedUse = IntendedUse.TERMINATING;
  }

  /**
   * Returns whether the machine is drained because it is not needed, with no termination decided.
   */
  public boolean isScalingIn() {
    return intendedUse == IntendedUse.SCALING_IN;
  }

  /** Begins to drain the machine, unless it is to be terminated already. */
  public void beginScaleIn() {
    intendedUse = intendedUse == IntendedUse.IN_USE ? IntendedUse.SCALING_IN : intendedUse;
  }

  /** Stops draining the machine, unless it is to be terminated already. */
  public void cancelScaleIn() {
    intendedUse = intendedUse == IntendedUse.SCALING_IN ? IntendedUse.IN_USE : intendedUse;
  }

  /** Returns the time before which no request to delete the machine is sent to the cloud. */
  public long terminateRetryAt() {
    return terminateRetryAt;
  }

  /** Sets the time before which no request to delete the machine is sent to the cloud. */
  public void setTerminateRetryAt(long terminateRetryAt) {
    this.terminateRetryAt = terminateRetryAt;
  }

  /** Returns whether the machine is presumed gone or confirmed as terminated. */
  public boolean isGone() {
    return presence != Presence.PRESENT;
  }

  /** Returns whether the cloud has confirmed the termination. */
  public boolean isTerminationConfirmed() {
    return presence == Presence.TERMINATED;
  }

  /** Marks the machine as presumed gone, unless its termination is confirmed. */
  void presumeGone() {
    if (presence == Presence.PRESENT) {
      presence = Presence.PRESUMED_GONE;
    }
  }

  /** Records that the cloud has confirmed the termination. */
  public void confirmTermination() {
    presence = Presence.TERMINATED;
  }

  /** Returns whether this leader has rented the machine. */
  public boolean isRentedInThisTerm() {
    return rentedInThisTerm;
  }

  /** Records that this leader has rented the machine. */
  public void markRentedInThisTerm() {
    rentedInThisTerm = true;
  }

  /**
   * Returns the time at which the cloud last listed the machine; {@link MonotonicTime#UNSET} if it
   * was never listed.
   */
  public long listedAt() {
    return listedAt;
  }

  /** Sets the time at which the cloud last listed the machine. */
  public void setListedAt(long listedAt) {
    this.listedAt = listedAt;
  }

  /** Returns the state in the last list of the cloud. */
  public CloudMachine.State cloudState() {
    return cloudState;
  }

  /** Sets the state in the last list of the cloud. */
  public void setCloudState(CloudMachine.State cloudState) {
    this.cloudState = cloudState;
  }

  /** Returns the earliest time at which the machine is known to have existed; 0 if unknown. */
  public long firstSeenAt() {
    return firstSeenAt;
  }

  /** Sets the earliest time at which the machine is known to have existed. */
  public void setFirstSeenAt(long firstSeenAt) {
    this.firstSeenAt = firstSeenAt;
  }

  /** Records that a machine that was presumed gone has appeared again. */
  void markPresent() {
    presence = Presence.PRESENT;
  }

  /** Returns whether the machine is gone or is to leave, so that it gets no new tasks. */
  boolean isLeaving() {
    return presence != Presence.PRESENT || intendedUse != IntendedUse.IN_USE;
  }
}
