package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Report;

/** Everything that can happen to a controller. */
public sealed interface Input {
  /** Time has passed. */
  record Tick() implements Input {}

  /** A reply, or the lack of one, to the outside call with this id. */
  record Reply(long call, Outcome outcome, int status, JsonNode body) implements Input {}

  /** A worker reports; the answer goes to this exchange. */
  record CheckIn(long exchange, Report report) implements Input {}

  /** A user submits. */
  record Submit(long exchange, JobSpec spec) implements Input {}

  /** A user polls. */
  record Poll(long exchange, String job) implements Input {}

  /** A user cancels. */
  record Cancel(long exchange, String job) implements Input {}

  /** A peer's record arrived. */
  record FromPeer(PeerRecord message) implements Input {}
}
