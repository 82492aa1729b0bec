package org.snowturn.core.admission;

/**
 * The purposes of requests to the state service, the most important first. The shares of each class
 * determine which requests are refused when the request budget is short.
 */
public enum RequestClass {
  /**
   * Requests on which a node's authority depends, such as lease renewals. The budget never refuses
   * them and deducts them before all others.
   */
  AUTHORITY(0, 0),

  /** A leader's reads and writes: placements, ends of tasks, execution of cancellations. */
  WORK(0.35, 0),

  /** Users' submissions and cancellations. */
  USERS(0.2, 0.1),

  /** Reads that validate a node's cache of live jobs, each for all waiting status queries. */
  PROOFS(0.15, 0.15),

  /** Reads for a single status query that the cache cannot answer. */
  READS(0.05, 0.45),

  /** Requests that can wait, such as watches and reads of the storage format. */
  REST(0.1, 0.3);

  /** Share of the node's request rate that is guaranteed to this class under any load. */
  final double guaranteedShare;

  /**
   * Share of one second's budget that requests of this class, beyond the guaranteed share, leave to
   * other classes.
   */
  final double headroomShare;

  RequestClass(double guaranteedShare, double headroomShare) {
    this.guaranteedShare = guaranteedShare;
    this.headroomShare = headroomShare;
  }
}
