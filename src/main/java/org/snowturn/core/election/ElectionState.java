package org.snowturn.core.election;

/**
 * This node's role, and the latest that it knows of the leader key. All transitions between roles
 * are made here.
 *
 * <pre>
 * DISCOVERING -> FOLLOWER    another node owns the leader key
 * DISCOVERING -> CANDIDATE   the leader key is vacant
 * FOLLOWER    -> CANDIDATE   the leader key has become vacant
 * CANDIDATE   -> CLAIMING    a lease was granted
 * CLAIMING    -> LEADER      the leader key is written
 * LEADER      -> DISCOVERING leadership was given up or lost
 * any other   -> DISCOVERING a request failed, or the leader key has to be read again
 * </pre>
 */
final class ElectionState {
  private Role role = Role.DISCOVERING;
  private long leadershipChangeCount;
  private long token;
  private long highestToken;
  private String leader;

  Role role() {
    return role;
  }

  boolean isLeader() {
    return role == Role.LEADER;
  }

  /** The fencing token of the last term of this node. */
  long token() {
    return token;
  }

  /** The highest fencing token of any leader that this node has heard of. */
  long highestToken() {
    return highestToken;
  }

  /**
   * How often this node has become or ceased to be leader: tells whether a reply belongs to the
   * present term.
   */
  long leadershipChangeCount() {
    return leadershipChangeCount;
  }

  /** The node that owns the leader key, as far as known; null if none is known. */
  String leader() {
    return leader;
  }

  /** Another node, or an earlier process of this one, is known to lead. */
  void setLeader(String node) {
    leader = node;
  }

  /** A leader with this fencing token has been heard of. */
  void observeToken(long observed) {
    highestToken = Math.max(highestToken, observed);
  }

  /** The leader key has to be read. */
  void discover() {
    role = Role.DISCOVERING;
  }

  /** Another node owns the leader key. */
  void becomeFollower() {
    role = Role.FOLLOWER;
  }

  /** The leader key is vacant. */
  void becomeCandidate() {
    leader = null;
    role = Role.CANDIDATE;
  }

  /** A lease was granted, and the leader key is to be written. */
  void claim() {
    role = Role.CLAIMING;
  }

  /** This node owns the leader key, whose version is the fencing token. */
  void becomeLeader(String node, long fencingToken) {
    role = Role.LEADER;
    leadershipChangeCount++;
    token = fencingToken;
    leader = node;
    observeToken(fencingToken);
  }

  /** This node leads no more; who does is to be found out. */
  void stepDown() {
    leadershipChangeCount++;
    leader = null;
    role = Role.DISCOVERING;
  }
}
