package org.snowturn.core.leader;

import org.snowturn.core.election.Election;

/** A term of leadership: its fencing token, and whether this node may still act under it. */
final class Term {
  private final Election election;
  private final long token;
  private boolean ended;

  /** Creates the term that this node has just won. */
  Term(Election election) {
    this.election = election;
    this.token = election.token();
  }

  /** Returns the fencing token of the term. */
  long token() {
    return token;
  }

  /** Returns whether the term has ended, which is final. */
  boolean hasEnded() {
    return ended;
  }

  /** Ends the term, after which none of its services acts any more. */
  void end() {
    ended = true;
  }

  /** Returns whether this node currently has the authority to act under this term's token. */
  boolean hasAuthority() {
    return !ended && election.hasAuthority() && election.token() == token;
  }

  /** Steps down because the leader key in the state service has another version than the token. */
  void onLeaderKeyLost() {
    if (!ended) {
      election.stepDown("the leader key no longer has the version of this term");
    }
  }

  /**
   * Resigns the leadership so that a peer can take over at once.
   *
   * @param reason the reason for the log
   */
  void resign(String reason) {
    election.resign(reason);
  }
}
