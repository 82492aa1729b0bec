package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;

/** An event that a {@link Controller} handles. */
public sealed interface Input {
  /** The regular tick of the clock, which runs expired timers and periodic work. */
  record Tick() implements Input {}

  /**
   * The result of an {@link Effect.Call}.
   *
   * @param callId the id of the call
   * @param status the HTTP status; meaningful only for {@link Outcome#ANSWERED}
   * @param body the JSON body of the reply; null if there is none
   * @param retryAfterMs the delay that the service asked for before the next request, in
   *     milliseconds; 0 if it asked for none
   */
  record Reply(long callId, Outcome outcome, int status, JsonNode body, long retryAfterMs)
      implements Input {
    /** Creates a reply that asks for no delay before the next request. */
    public Reply(long callId, Outcome outcome, int status, JsonNode body) {
      this(callId, outcome, status, body, 0);
    }
  }

  /**
   * A heartbeat of a worker.
   *
   * @param exchange the id of the HTTP exchange to answer
   */
  record HeartbeatReceived(long exchange, Heartbeat heartbeat) implements Input {}

  /**
   * A user's request to submit a job.
   *
   * @param exchange the id of the HTTP exchange to answer
   */
  record Submit(long exchange, JobSpec spec) implements Input {}

  /**
   * A user's request for the status of a job.
   *
   * @param exchange the id of the HTTP exchange to answer
   * @param job the id of the job
   */
  record Poll(long exchange, String job) implements Input {}

  /**
   * A user's request to cancel a job.
   *
   * @param exchange the id of the HTTP exchange to answer
   * @param job the id of the job
   */
  record Cancel(long exchange, String job) implements Input {}

  /** A message from a peer. */
  record FromPeer(PeerMessage message) implements Input {}
}
