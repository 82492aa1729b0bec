package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;

/**
 * Writes one line for each message: its time, sender, receiver, description and body. A message
 * without a body ends with the description.
 */
final class MessageWriter implements MessageLog {
  private final Writer out;

  MessageWriter(Writer out) {
    this.out = out;
  }

  @Override
  public void logMessage(long atMs, String from, String to, String description, JsonNode body) {
    try {
      out.write(atMs + " " + from + " -> " + to + " " + description);
      if (body != null) {
        out.write(" " + body);
      }
      out.write('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
