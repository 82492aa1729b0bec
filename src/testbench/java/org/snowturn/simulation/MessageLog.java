package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;

/** Log of all messages between the controllers and the simulated services, for debugging a run. */
interface MessageLog {
  /** A log that discards every message. */
  MessageLog NONE = (atMs, from, to, description, body) -> {};

  /**
   * Logs a message when the simulation sends or receives it.
   *
   * @param atMs the simulated time, in milliseconds
   * @param from the sender
   * @param to the receiver
   * @param description the path of a request, with its method where it varies, or the status of a
   *     response
   * @param body the body, or null
   */
  void logMessage(long atMs, String from, String to, String description, JsonNode body);
}
