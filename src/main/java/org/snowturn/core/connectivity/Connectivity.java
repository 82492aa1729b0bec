package org.snowturn.core.connectivity;

/**
 * What one node reaches, by its own clock: how long ago it was answered, in milliseconds.
 *
 * @param sinceStateAnswerMs since the state service answered a request, counted from its sending;
 *     {@link #NEVER} if it never has
 * @param sinceWorkerHeardMs since a worker was heard or answered; {@link #NEVER} if none ever was
 */
public record Connectivity(int sinceStateAnswerMs, int sinceWorkerHeardMs) {
  /** Not yet. */
  public static final int NEVER = -1;

  /** A working link is answered at least this often: probes go out every 700 ms. */
  private static final int MAX_STATE_ANSWER_AGE_MS = 1_500;

  /** Workers are probed more often, but one of them that does not answer may be dead. */
  private static final int MAX_WORKER_HEARD_AGE_MS = 3_000;

  /** Whether the state service answers the node. */
  public boolean canReachStateService() {
    return sinceStateAnswerMs != NEVER && sinceStateAnswerMs <= MAX_STATE_ANSWER_AGE_MS;
  }

  /** Whether workers are in the node's reach. */
  public boolean canReachWorkers() {
    return sinceWorkerHeardMs != NEVER && sinceWorkerHeardMs <= MAX_WORKER_HEARD_AGE_MS;
  }

  /** Whether the node has what a leader needs. */
  public boolean canLead() {
    return canReachStateService() && canReachWorkers();
  }

  /** Whether both reach the same at present. */
  boolean hasSameLinks(Connectivity other) {
    return canReachStateService() == other.canReachStateService()
        && canReachWorkers() == other.canReachWorkers();
  }
}
