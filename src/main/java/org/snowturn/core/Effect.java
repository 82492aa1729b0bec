package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;

/** An action that a {@link Controller} asks the process around it to perform. */
public sealed interface Effect {
  /** The service that a {@link Call} is sent to. */
  enum Target {
    /**
     * The state service, for the requests that keep this node's authority, such as lease renewals.
     * They are sent before all other requests.
     */
    AUTHORITY,
    /** The state service, for reads and writes. */
    STATE,
    /** The state service, for watch requests that it may hold open. */
    STATE_WATCH,
    /** The cloud's API. */
    CLOUD,
    /** A worker. */
    WORKER
  }

  /**
   * An HTTP request to another service. Its reply arrives as {@link Input.Reply}.
   *
   * @param id the call's id, which the reply repeats
   * @param address the worker's IP address and port; null for the other targets
   * @param body the JSON body; null for a request without a body
   * @param timeoutMs the time in milliseconds after which the call fails without a reply
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

  /**
   * The answer to an HTTP request that this node has received.
   *
   * @param exchange the id of the request's HTTP exchange, as given by its {@link Input}
   * @param status the HTTP status
   * @param body the JSON body; null for an answer without a body
   * @param retryAfterS the value of the {@code Retry-After} header in seconds; 0 for no header
   */
  record Answer(long exchange, int status, JsonNode body, int retryAfterS) implements Effect {}

  /** A message to all peers. */
  record Broadcast(PeerMessage message) implements Effect {}

  /** The severity of a log event. */
  enum Severity {
    /** A violated invariant, which means a bug in this program. */
    ERROR,
    /** An event that is rare enough to be logged always. */
    INFO,
    /** An event about a single task, heartbeat or answer. */
    DEBUG
  }

  /**
   * A structured line for the log.
   *
   * @param text the event's name and its fields, as {@code key=value} pairs
   */
  record Event(Severity severity, String text) implements Effect {}
}
