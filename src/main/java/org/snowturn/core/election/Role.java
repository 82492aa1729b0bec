package org.snowturn.core.election;

/** What a node does in the election; {@link ElectionState} has the transitions. */
enum Role {
  /** Reads the leader key, to find out whether somebody leads. */
  DISCOVERING,
  /** Another node leads; watches the leader key. */
  FOLLOWER,
  /** Nobody leads; is about to acquire a lease, or waits until it may. */
  CANDIDATE,
  /** Has a lease and writes the leader key. */
  CLAIMING,
  /** Owns the leader key. */
  LEADER;

  /** Whether a claim of this node may succeed or has succeeded. */
  boolean isPossibleLeaderKeyOwner() {
    return this == CANDIDATE || this == CLAIMING || this == LEADER;
  }
}
