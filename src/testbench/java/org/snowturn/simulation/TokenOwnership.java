package org.snowturn.simulation;

/** Checks that each controller sends only tokens of its own terms. */
final class TokenOwnership {
  private TokenOwnership() {}

  /** Reports a token that a controller has sent and that belongs to no term of its own. */
  static void check(SimulatedCluster cluster, String controller, long token) {
    if (!controller.equals(cluster.state.leaderUnder(token))) {
      cluster.invariants.reportViolation("foreign_token", controller + " has sent token " + token);
    }
  }
}
