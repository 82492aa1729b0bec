package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.snowturn.core.admission.Needs;
import org.snowturn.core.reach.Connectivity;

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

  /**
   * A leader that the state service does not answer asks those whom it does to end its lease. It
   * goes on until one of them has: a state service that is out for all by then leaves it in place.
   */
  record Offer(String from, long lease, long token) implements PeerRecord {}

  /** The state service has ended the lease of this token at the sender's wish. */
  record LeaseEnded(String from, long token) implements PeerRecord {}

  /** What the sender reaches, by its own clock. */
  record Reaches(String from, Connectivity reach) implements PeerRecord {}

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

  /** Up to which of its entries the sender has heard a peer's list, in the life that it names. */
  record Heard(String life, long upTo) {}

  /** A leader asks each peer for the cancellations that it has told users of. */
  record AskCancelled(String from, long seq, Map<String, Heard> heard) implements PeerRecord {}

  /**
   * Cancellations that the sender has told users of since its process began, in the order in which
   * it did, numbered from 1.
   *
   * @param seq the question that this answers
   * @param life names the sender's process
   * @param after the number of the entry before the first of {@code jobs}
   * @param last the number of its last entry, as it answers
   * @param dropped the number of the last entry that it no longer has; 0: it has all
   * @param droppedAgeMs how long ago it told of that one
   */
  record Cancelled(
      String from,
      String to,
      long seq,
      String life,
      long after,
      long last,
      long dropped,
      long droppedAgeMs,
      List<String> jobs)
      implements PeerRecord {
    /** Whether the numbers agree with each other. */
    public boolean possible() {
      return dropped >= 0
          && droppedAgeMs >= 0
          && after >= dropped
          && last >= after
          && jobs.size() <= last - after
          && (!jobs.isEmpty() || last == after);
    }
  }
}
