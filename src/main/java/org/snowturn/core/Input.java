package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;

/** Everything that can happen to a controller. */
public sealed interface Input {
  /** Time has passed. */
  record Tick() implements Input {}

  /**
   * A reply, or the lack of one, to the outside call with this id.
   *
   * @param retryAfterMs when the other side asked to be called again, in milliseconds; 0 if it did
   *     not say
   */
  record Reply(long callId, Outcome outcome, int status, JsonNode body, long retryAfterMs)
      implements Input {
    /** A reply that does not say when to come back. */
    public Reply(long callId, Outcome outcome, int status, JsonNode body) {
      this(callId, outcome, status, body, 0);
    }
  }

  /** A worker reports; the answer goes to this exchange. */
  record HeartbeatReceived(long exchange, Heartbeat heartbeat) implements Input {}

  /** A user submits. */
  record Submit(long exchange, JobSpec spec) implements Input {}

  /** A user polls. */
  record Poll(long exchange, String job) implements Input {}

  /** A user cancels. */
  record Cancel(long exchange, String job) implements Input {}

  /** A peer's record arrived. */
  record FromPeer(PeerMessage message) implements Input {}
}
