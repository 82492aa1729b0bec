package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.snowturn.core.admission.RateDemands;
import org.snowturn.core.connectivity.Connectivity;

/** What controllers tell each other; {@code from} is the sender's name. */
public sealed interface PeerMessage {
  /** The sender. */
  String from();

  /** A node that does not lead says so, and whether the state service answers it. */
  record StandbyStatus(String from, boolean stateServiceAnswers) implements PeerMessage {}

  /**
   * A leader asks for promises.
   *
   * @param stateServiceTrouble whether the state service has stopped answering the leader
   */
  record PromiseRequest(String from, long requestId, long token, boolean isStateServiceUnresponsive)
      implements PeerMessage {}

  /** For this long from the arrival of the request on, the sender will not claim leadership. */
  record Promise(
      String from, long requestId, long token, int durationMs, boolean stateServiceAnswers)
      implements PeerMessage {}

  /**
   * The sender can no longer serve as leader; whoever reaches the state service may end its lease.
   */
  record StepDown(String from, long leaseId, long token) implements PeerMessage {}

  /**
   * A leader that the state service does not answer asks those whom it does to end its lease. It
   * goes on until one of them has: a state service that is out for all by then leaves it in place.
   */
  record LeaseHandover(String from, long leaseId, long token) implements PeerMessage {}

  /** The state service has ended the lease of this token at the sender's wish. */
  record LeaseEnded(String from, long token) implements PeerMessage {}

  /** What the sender reaches. */
  record ConnectivityReport(String from, Connectivity connectivity) implements PeerMessage {}

  /** Addresses of some workers that the sender, a leader, hears. */
  record WorkerSample(String from, List<String> addresses) implements PeerMessage {}

  /**
   * Asks one peer to make a call to the state service, since the sender's own link to it is down.
   *
   * @param body null for none
   */
  record RelayRequest(
      String from,
      String to,
      long requestId,
      String method,
      String path,
      JsonNode body,
      int timeoutMs)
      implements PeerMessage {}

  /** What came of the call that a {@link RelayRequest} with this id asked for. */
  record RelayReply(
      String from, String to, long requestId, Outcome outcome, int status, JsonNode body)
      implements PeerMessage {}

  /** What the sender needs of the state service's rates. */
  record RateDemandReport(String from, RateDemands.Demand demand) implements PeerMessage {}

  /** How far a job is, for display. */
  record JobProgress(String from, String job, int done, int running) implements PeerMessage {}

  /** The last entry that the sender has received of the log of this incarnation of a peer. */
  record LogPosition(String incarnation, long lastReceivedNumber) {}

  /**
   * Asks each peer for the cancellations that it has confirmed to users.
   *
   * @param logPositions up to where the sender has received the logs of its peers, by their names
   */
  record CancellationsRequest(String from, long requestId, Map<String, LogPosition> logPositions)
      implements PeerMessage {}

  /**
   * Cancellations that the sender has confirmed to users since its process began, in the order in
   * which it did, numbered from 1.
   *
   * @param requestId the request that this answers
   * @param incarnation names the sender's process
   * @param after the number of the entry before the first of {@code jobs}
   * @param last the number of its last entry, as it answers
   * @param lastDropped the number of the last entry that it no longer has; 0: it has all
   * @param lastDroppedAgeMs how long ago it confirmed that one
   */
  record CancellationsReply(
      String from,
      String to,
      long requestId,
      String incarnation,
      long precedingNumber,
      long lastNumber,
      long lastDroppedNumber,
      long lastDroppedAgeMs,
      List<String> jobs)
      implements PeerMessage {
    /** Whether the numbers agree with each other. */
    public boolean isConsistent() {
      return lastDroppedNumber >= 0
          && lastDroppedAgeMs >= 0
          && precedingNumber >= lastDroppedNumber
          && lastNumber >= precedingNumber
          && jobs.size() <= lastNumber - precedingNumber
          && (!jobs.isEmpty() || lastNumber == precedingNumber);
    }
  }
}
