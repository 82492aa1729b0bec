package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;

/** Everything that a controller can ask of the world around it. */
public sealed interface Effect {
  /** Which part of the outside a call goes to. */
  enum Target {
    /** The state service, for what this node's authority rests on: before everything else. */
    AUTHORITY,
    STATE,
    STATE_WATCH,
    CLOUD,
    WORKER
  }

  /**
   * A request to the outside; its reply comes as {@link Input.Reply}.
   *
   * @param addr the worker's address, or null
   * @param body null for none
   */
  record Call(
      long id,
      Target target,
      String address,
      String method,
      String path,
      JsonNode body,
      int timeoutMs)
      implements Effect {}

  /** An answer to an exchange; retryAfterS 0: none. */
  record Answer(long exchange, int status, JsonNode body, int retryAfterS) implements Effect {}

  /** A record for every peer. */
  record Broadcast(PeerMessage message) implements Effect {}

  /** How much an event matters to operators. */
  enum Severity {
    /** A violated invariant: a fault of this program. */
    ERROR,
    /** Rare enough for every log. */
    INFO,
    /** One for each task, report or answer. */
    DEBUG
  }

  /** A line of the log that programs can read: an event's name and its key=value fields. */
  record Event(Severity severity, String text) implements Effect {}
}
