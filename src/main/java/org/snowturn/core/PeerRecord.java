package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.core.admission.Needs;
import org.snowturn.core.reach.Reach;

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

  /** What the sender reaches, by its own clock. */
  record Reaches(String from, Reach reach) implements PeerRecord {}

  /** Addresses of some workers that the sender, a leader, hears. */
  record Sample(String from, List<String> workers) implements PeerRecord {}

  /**
   * Asks one peer to make a call to the state service, since the sender's own link to it is down.
   *
   * @param body null for none
   */
  record Relay(
      String from, String to, long seq, String method, String path, JsonNode body, int timeoutMs)
      implements PeerRecord {}

  /** What came of it. */
  record Relayed(String from, String to, long seq, Outcome outcome, int status, JsonNode body)
      implements PeerRecord {}

  /** What the sender needs of the state service's rates. */
  record Need(String from, Needs.Need need) implements PeerRecord {}

  /** How far a job is, for display. */
  record Progress(String from, String job, int done, int running) implements PeerRecord {}
}
