package org.snowturn.core.connectivity;

/**
 * Ages of the last contacts of one node with the state service and with workers, by the node's own
 * clock.
 *
 * @param sinceStateAnswerMs milliseconds since the node sent the last request that the state
 *     service answered; {@link #UNSET} if none was answered
 * @param sinceWorkerHeardMs milliseconds since the node last received a heartbeat or an answer from
 *     any worker; {@link #UNSET} if it received none
 */
public record Connectivity(int sinceStateAnswerMs, int sinceWorkerHeardMs) {
  /** Value of an age that is not set because there was no contact yet. */
  public static final int UNSET = -1;

  /**
   * Maximum age of an answer of the state service at which the link to it counts as working. The
   * state service is probed every 700 ms.
   */
  private static final int MAX_STATE_ANSWER_AGE_MS = 1_500;

  /**
   * Maximum age of a worker's message at which the links to workers count as working. Workers are
   * probed more often than the state service, but a probed worker may be dead.
   */
  private static final int MAX_WORKER_HEARD_AGE_MS = 3_000;

  /** Returns whether the state service answers the node. */
  public boolean canReachStateService() {
    return sinceStateAnswerMs != UNSET && sinceStateAnswerMs <= MAX_STATE_ANSWER_AGE_MS;
  }

  /** Returns whether the node receives messages from workers. */
  public boolean canReachWorkers() {
    return sinceWorkerHeardMs != UNSET && sinceWorkerHeardMs <= MAX_WORKER_HEARD_AGE_MS;
  }

  /** Returns whether the node reaches both the state service and workers, as a leader must. */
  public boolean canLead() {
    return canReachStateService() && canReachWorkers();
  }

  /**
   * Returns whether the links to the state service and to workers are in the same state, working or
   * not, as those of the other connectivity.
   */
  boolean hasSameLinks(Connectivity other) {
    return canReachStateService() == other.canReachStateService()
        && canReachWorkers() == other.canReachWorkers();
  }
}
