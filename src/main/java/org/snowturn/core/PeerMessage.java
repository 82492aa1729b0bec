package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import org.snowturn.core.admission.RateDemands;
import org.snowturn.core.connectivity.Connectivity;

/** A message between controllers. */
public sealed interface PeerMessage {
  /** Returns the name of the node that sent the message. */
  String from();

  /**
   * The sender's report that it does not lead.
   *
   * @param stateServiceAnswers whether the state service answers the sender
   */
  record StandbyStatus(String from, boolean stateServiceAnswers) implements PeerMessage {}

  /**
   * A leader's request that its peers promise not to claim leadership.
   *
   * @param token the fencing token of the leader's term
   * @param isStateServiceUnresponsive whether the state service has stopped answering the leader
   */
  record PromiseRequest(String from, long requestId, long token, boolean isStateServiceUnresponsive)
      implements PeerMessage {}

  /**
   * The sender's promise not to claim leadership for some time after it received a {@link
   * PromiseRequest}.
   *
   * @param requestId the id of the request
   * @param token the fencing token in the request
   * @param durationMs the duration of the promise in milliseconds, from the arrival of the request
   * @param stateServiceAnswers whether the state service answers the sender
   */
  record Promise(
      String from, long requestId, long token, int durationMs, boolean stateServiceAnswers)
      implements PeerMessage {}

  /**
   * A leader's announcement that it has resigned. Any peer that reaches the state service may
   * revoke its lease.
   *
   * @param leaseId the id of the lease in the state service
   * @param token the fencing token of the term that has ended
   */
  record StepDown(String from, long leaseId, long token) implements PeerMessage {}

  /**
   * A leader's request that a peer revoke its lease, sent when the state service answers that peer
   * but not the leader. The leader goes on leading meanwhile. If the state service stops answering
   * all nodes before a peer has revoked the lease, the lease stays in place.
   *
   * @param leaseId the id of the lease in the state service
   * @param token the fencing token of the leader's term
   */
  record LeaseHandover(String from, long leaseId, long token) implements PeerMessage {}

  /**
   * The sender's confirmation that the state service has revoked a leader's lease at its request.
   *
   * @param token the fencing token of the leader's term
   */
  record LeaseEnded(String from, long token) implements PeerMessage {}

  /** The sender's report about which services it can reach. */
  record ConnectivityReport(String from, Connectivity connectivity) implements PeerMessage {}

  /**
   * A leader's sample of the workers that send it heartbeats. Peers probe them to find out whether
   * they can reach workers.
   *
   * @param addresses IP address and port of each worker
   */
  record WorkerSample(String from, List<String> addresses) implements PeerMessage {}

  /**
   * A request that one peer make a call to the state service, because the sender cannot reach it.
   *
   * @param to the name of the peer; all others ignore the message
   * @param body the JSON body of the call; null for a call without a body
   * @param timeoutMs the timeout of the call in milliseconds
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

  /**
   * The result of the call that a {@link RelayRequest} asked for.
   *
   * @param to the name of the node that sent the request; all others ignore the message
   * @param requestId the id of the request
   * @param status the HTTP status; meaningful only for {@link Outcome#ANSWERED}
   * @param body the JSON body of the reply; null if there is none
   */
  record RelayReply(
      String from, String to, long requestId, Outcome outcome, int status, JsonNode body)
      implements PeerMessage {}

  /** The sender's demand for a part of the state service's rate limits. */
  record RateDemandReport(String from, RateDemands.Demand demand) implements PeerMessage {}

  /**
   * The progress of a job, which is only displayed to users.
   *
   * @param job the id of the job
   * @param done the number of tasks that are done
   * @param running the number of tasks that are running
   */
  record JobProgress(String from, String job, int done, int running) implements PeerMessage {}

  /**
   * A request that the leader publish the progress of jobs now.
   *
   * @param jobs the ids of the jobs
   */
  record ProgressRequest(String from, List<String> jobs) implements PeerMessage {}

  /**
   * The position up to which the sender has received a peer's log of cancellations.
   *
   * @param incarnation the name of the peer's process that wrote the log
   * @param lastReceivedNumber the number of the last entry that the sender has received
   */
  record LogPosition(String incarnation, long lastReceivedNumber) {}

  /**
   * A request to all peers for the cancellations that they have confirmed to users.
   *
   * @param logPositions the position up to which the sender has received each peer's log, by the
   *     peer's name; peers whose log is unknown are absent
   */
  record CancellationsRequest(String from, long requestId, Map<String, LogPosition> logPositions)
      implements PeerMessage {}

  /**
   * A part of the sender's log of the cancellations that its process has confirmed to users. The
   * entries are numbered from 1 in the order of their confirmation.
   *
   * @param to the name of the node that sent the request; all others ignore the message
   * @param requestId the id of the {@link CancellationsRequest}
   * @param incarnation the name of the sender's process
   * @param precedingNumber the number of the entry before the first one in {@code jobs}
   * @param lastNumber the number of the last entry in the log at the time of the reply
   * @param lastDroppedNumber the number of the last entry that the log has dropped; 0 if it still
   *     has all entries
   * @param lastDroppedAgeMs the time since the sender confirmed that entry, in milliseconds; 0 if
   *     it still has all entries
   * @param jobs the ids of the cancelled jobs, one for each entry
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
    /** Returns whether the entry numbers are consistent with each other and with the jobs. */
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
