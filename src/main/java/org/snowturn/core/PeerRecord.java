package org.snowturn.core;

/** What controllers tell each other. */
public sealed interface PeerRecord {
  /** The sender can no longer serve as leader; whoever reaches the state service may end its lease. */
  record Resign(long lease, long token) implements PeerRecord {}

  /** How far a job is, for display. */
  record Progress(String job, int done, int running) implements PeerRecord {}
}
