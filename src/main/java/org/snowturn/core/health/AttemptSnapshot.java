package org.snowturn.core.health;

/**
 * State of an attempt that may be on a machine, as the leader knows it when it decides whether the
 * attempt has ended.
 *
 * @param token fencing token of the leader's term
 * @param latestToken highest token of this leader that messages to the machine have carried
 * @param nowMs present time of the monotonic clock, in milliseconds
 * @param agentEpoch agent epoch of the machine in which the attempt was placed
 * @param placementDurable whether the placement is durable, so that a start may have been sent
 * @param adopted whether an earlier leader placed the attempt and no heartbeat under this leader's
 *     token has listed it
 * @param stopping whether the attempt has been told to stop or is to be told
 * @param startInFlight whether the machine would execute a start of the attempt that was sent
 *     directly, if it arrived late or once more
 * @param machineDeleted whether the cloud has confirmed the deletion of the machine
 * @param machineFailed whether the cloud lists the machine as failed
 * @param leaseRenewedAt latest time at which any leader may have renewed the machine's lease, by
 *     the monotonic clock
 * @param leaseExpiryMs time from {@code leaseRenewedAt} until the lease has certainly expired, in
 *     milliseconds
 */
public record AttemptSnapshot(
    long token,
    long latestToken,
    long nowMs,
    long agentEpoch,
    boolean placementDurable,
    boolean adopted,
    boolean stopping,
    boolean startInFlight,
    boolean machineDeleted,
    boolean machineFailed,
    long leaseRenewedAt,
    long leaseExpiryMs) {

  /** Returns why the evidence does not prove the end of the attempt; null if it proves it. */
  public String rejectionReason(EndEvidence evidence) {
    return evidence.rejectionReason(this);
  }
}
