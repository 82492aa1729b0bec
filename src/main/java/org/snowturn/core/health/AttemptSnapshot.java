package org.snowturn.core.health;

/**
 * What the leader holds of an attempt that may be on a machine, at the moment at which its end is
 * to be decided.
 *
 * @param token the leader's token
 * @param nowMs the present time
 * @param agentEpoch the machine's agent epoch in which the attempt was placed
 * @param placementDurable whether its placement is durable, so that a start may have left
 * @param inherited whether an earlier leader placed it and it was not seen under this token
 * @param stopping whether it was told to stop
 * @param startInFlight whether a direct start of it got no answer and may still arrive
 * @param machineDeleted whether the cloud has confirmed the machine's deletion
 * @param machineFailed whether the cloud lists the machine as failed
 * @param leaseRenewedAt when the machine's lease may last have been renewed, by any leader
 * @param leaseExpiryMs how long after that the lease has certainly expired
 */
public record AttemptSnapshot(
    long token,
    long nowMs,
    long agentEpoch,
    boolean placementDurable,
    boolean inherited,
    boolean stopping,
    boolean startInFlight,
    boolean machineDeleted,
    boolean machineFailed,
    long leaseRenewedAt,
    long leaseExpiryMs) {

  /** Why the evidence does not prove that the attempt has ended; null if it does. */
  public String rejectionReason(EndEvidence evidence) {
    return evidence.rejectionReason(this);
  }
}
