package org.snowturn.core.leader;

import org.snowturn.core.election.Election;

/** One term of leadership: its fencing token, and whether this node may still act under it. */
final class Term {
  private final Election election;
  private final long token;
  private boolean ended;

  /** The term that this node has just won. */
  Term(Election election) {
    this.election = election;
    this.token = election.token();
  }

  long token() {
    return token;
  }

  /** Whether the term is over for good. */
  boolean hasEnded() {
    return ended;
  }

  /** Nothing of this term may act any more. */
  void end() {
    ended = true;
  }

  /** Whether this node holds the leader lease under this term's token. */
  boolean hasAuthority() {
    return !ended && election.hasAuthority() && election.token() == token;
  }

  /** The state service has shown that the leader key belongs to another node. */
  void onLeaderKeyLost() {
    if (!ended) {
      election.stepDown("the leader key is no longer ours");
    }
  }

  /** Leaves the leadership to a peer. */
  void resign(String reason) {
    election.resign(reason);
  }
}
