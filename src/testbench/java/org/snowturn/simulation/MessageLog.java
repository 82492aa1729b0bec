package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;

/** Takes every message between the controllers and the stand-ins, for whoever looks into a run. */
interface MessageLog {
  /** Keeps nothing. */
  MessageLog NONE = (atMs, from, to, what, body) -> {};

  /** One message, as it is taken or given. */
  void logMessage(long atMs, String from, String to, String description, JsonNode body);
}
