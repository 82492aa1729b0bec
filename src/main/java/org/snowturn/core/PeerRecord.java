package org.snowturn.core;

/** What controllers tell each other; {@code from} is the sender's name. */
public sealed interface PeerRecord {
  /** The sender. */
  String from();

  /** A node that does not lead says so, and whether the state service answers it. */
  record Status(String from, boolean stateOk) implements PeerRecord {}

  /**
   * A leader asks for promises.
   *
   * @param trouble whether the state service has stopped answering the leader
   */
  record Ask(String from, long seq, long token, boolean trouble) implements PeerRecord {}

  /** For this long from the arrival of the request on, the sender will not claim leadership. */
  record Promise(String from, long seq, long token, int durationMs, boolean stateOk)
      implements PeerRecord {}

  /**
   * The sender can no longer serve as leader; whoever reaches the state service may end its lease.
   */
  record Resign(String from, long lease, long token) implements PeerRecord {}

  /** How far a job is, for display. */
  record Progress(String from, String job, int done, int running) implements PeerRecord {}
}
