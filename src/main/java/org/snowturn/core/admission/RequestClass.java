package org.snowturn.core.admission;

/** What a call to the state service is for, in the order in which calls go without. */
public enum RequestClass {
  /** What a node's authority rests on: never refused here, and counted before all others. */
  AUTHORITY(0, 0),

  /** What a term reads and writes: placements, ends, cancellations that are carried out. */
  WORK(0.35, 0),

  /** Users' submissions and cancellations. */
  USERS(0.2, 0.1),

  /** What proves for all polls at once that a node's cache is fresh. */
  PROOFS(0.15, 0.15),

  /** Reads for single polls, where no cache can serve. */
  READS(0.05, 0.45),

  /** All that can be later: watches, formats. */
  REST(0.1, 0.3);

  /** The part of a node's share that it gets whatever the others want. */
  final double guaranteedShare;

  /** Beyond its floor it leaves so much of a second's share to those before it. */
  final double headroomShare;

  RequestClass(double floor, double leaves) {
    this.guaranteedShare = floor;
    this.headroomShare = leaves;
  }
}
