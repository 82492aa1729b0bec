package org.snowturn.core.connectivity;

/**
 * What one node reaches, by its own clock: how long ago it was answered, in milliseconds.
 *
 * @param stateMs since the state service answered a request, counted from its sending; {@link
 *     #NEVER} if it never has
 * @param workersMs since a worker was heard or answered; {@link #NEVER} if none ever was
 */
public record Connectivity(int stateMs, int workersMs) {
  /** Not yet. */
  public static final int NEVER = -1;

  /** A working link is answered at least this often: probes go out every 700 ms. */
  private static final int STATE_FRESH_MS = 1_500;

  /** Workers are probed more often, but one of them that does not answer may be dead. */
  private static final int WORKERS_FRESH_MS = 3_000;

  /** Whether the state service answers the node. */
  public boolean stateService() {
    return stateMs != NEVER && stateMs <= STATE_FRESH_MS;
  }

  /** Whether workers are in the node's reach. */
  public boolean workers() {
    return workersMs != NEVER && workersMs <= WORKERS_FRESH_MS;
  }

  /** Whether the node has what a leader needs. */
  public boolean complete() {
    return stateService() && workers();
  }

  /** Whether both reach the same at present. */
  boolean sameLinks(Connectivity other) {
    return stateService() == other.stateService() && workers() == other.workers();
  }
}
