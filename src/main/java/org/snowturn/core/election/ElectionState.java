package org.snowturn.core.election;

/**
 * The role of this node and its latest information about the leader key. All transitions between
 * roles are made here.
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

  /** Returns the current role of this node. */
  Role role() {
    return role;
  }

  /** Returns whether this node is the leader. */
  boolean isLeader() {
    return role == Role.LEADER;
  }

  /** Returns the fencing token of the current or latest term of this node. */
  long token() {
    return token;
  }

  /** Returns the highest fencing token that this node has observed, of any leader. */
  long highestToken() {
    return highestToken;
  }

  /**
   * Returns the number of times that this node has become leader or has stepped down. Comparing it
   * shows whether a reply belongs to the current term.
   */
  long leadershipChangeCount() {
    return leadershipChangeCount;
  }

  /** Returns the name of the node that owns the leader key; null if the owner is unknown. */
  String leader() {
    return leader;
  }

  /** Records that another node, or the previous process of this node, owns the leader key. */
  void setLeader(String node) {
    leader = node;
  }

  /** Records the fencing token of a leader. */
  void observeToken(long observed) {
    highestToken = Math.max(highestToken, observed);
  }

  /** Starts discovery: the leader key has to be read. */
  void discover() {
    role = Role.DISCOVERING;
  }

  /** Makes this node a follower, because another node owns the leader key. */
  void becomeFollower() {
    role = Role.FOLLOWER;
  }

  /** Makes this node a candidate, because the leader key is vacant. */
  void becomeCandidate() {
    leader = null;
    role = Role.CANDIDATE;
  }

  /** Starts a claim: a lease was granted, and the leader key has to be written under it. */
  void claim() {
    role = Role.CLAIMING;
  }

  /**
   * Makes this node the leader.
   *
   * @param node the name of this node
   * @param fencingToken the version of the leader key that this node has written
   */
  void becomeLeader(String node, long fencingToken) {
    role = Role.LEADER;
    leadershipChangeCount++;
    token = fencingToken;
    leader = node;
    observeToken(fencingToken);
  }

  /** Ends the term of this node and starts discovery of the new leader. */
  void stepDown() {
    leadershipChangeCount++;
    leader = null;
    role = Role.DISCOVERING;
  }
}
