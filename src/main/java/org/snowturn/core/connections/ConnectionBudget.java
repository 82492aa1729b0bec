package org.snowturn.core.connections;

/**
 * Decides which persistent connections a node can afford. Below a low-water mark every connection
 * that workers and users open is kept after its answer; above a high-water mark none is; in between
 * a growing share is closed. A caller whose connection is closed opens another for its next
 * request, and so holds a socket for milliseconds instead of for good: a node then serves more
 * workers than it has sockets, at the price of a connection set-up for some of the requests.
 *
 * <p>The share is kept exactly and without chance: each answer adds the share to a debt, and a
 * connection is closed when the debt reaches one. Not safe for use by several threads.
 */
public final class ConnectionBudget {
  /** The share of the node's sockets up to which all connections are kept. */
  private static final double LOW_WATER = 0.65;

  /** The share from which none is kept; the rest is for bursts and for what the node opens. */
  private static final double HIGH_WATER = 0.80;

  private final double low;
  private final double high;
  private double debt;
  private long closed;

  /**
   * A budget for a node.
   *
   * @param maxConnections all sockets that the node may have
   */
  public ConnectionBudget(int maxConnections) {
    this.low = maxConnections * LOW_WATER;
    this.high = Math.max(low + 1, maxConnections * HIGH_WATER);
  }

  /**
   * Whether the connection that is being answered stays open.
   *
   * @param open connections that workers and users hold now, this one among them
   */
  public boolean keeps(int open) {
    double share = closingShare(open);
    if (share <= 0) {
      debt = 0;
      return true;
    }
    debt += share;
    if (debt < 1) {
      return true;
    }
    debt -= 1;
    closed++;
    return false;
  }

  /** The share of connections that is closed after an answer, from 0 to 1. */
  public double closingShare(int open) {
    return Math.max(0, Math.min(1, (open - low) / (high - low)));
  }

  /** How many connections were closed. */
  public long closed() {
    return closed;
  }
}
