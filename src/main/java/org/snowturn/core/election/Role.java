package org.snowturn.core.election;

/** Role of a node in the election; {@link ElectionState} lists the transitions. */
enum Role {
  /** The node reads the leader key to find out which node is the leader, if any. */
  DISCOVERING,
  /** Another node is the leader; this node watches the leader key. */
  FOLLOWER,
  /** The leader key is vacant; the node requests a lease or waits until it may do so. */
  CANDIDATE,
  /** The node has a lease and is writing the leader key. */
  CLAIMING,
  /** The node owns the leader key. */
  LEADER;

  /** Returns whether a claim of the node to the leader key may succeed or has succeeded. */
  boolean isPossibleLeaderKeyOwner() {
    return this == CANDIDATE || this == CLAIMING || this == LEADER;
  }
}
