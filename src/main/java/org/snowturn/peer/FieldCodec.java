package org.snowturn.peer;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage.LogPosition;
import org.snowturn.wire.Json;

/** Writes and reads fields of peer messages that consist of more than one primitive value. */
final class FieldCodec {
  private static final byte[] NO_BYTES = {};

  /** Outcomes in the order of their codes on the wire. */
  private static final Outcome[] OUTCOMES = {Outcome.ANSWERED, Outcome.REFUSED, Outcome.UNKNOWN};

  private FieldCodec() {}

  static void writeTexts(DataOutputStream out, List<String> texts) throws IOException {
    out.writeShort(texts.size());
    for (String text : texts) {
      out.writeUTF(text);
    }
  }

  static List<String> readTexts(DataInputStream in) throws IOException {
    int count = in.readUnsignedShort();
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      texts.add(in.readUTF());
    }
    return List.copyOf(texts);
  }

  static void writePositions(DataOutputStream out, Map<String, LogPosition> positions)
      throws IOException {
    out.writeShort(positions.size());
    for (Map.Entry<String, LogPosition> entry : positions.entrySet()) {
      out.writeUTF(entry.getKey());
      out.writeUTF(entry.getValue().incarnation());
      out.writeLong(entry.getValue().lastReceivedNumber());
    }
  }

  static Map<String, LogPosition> readPositions(DataInputStream in) throws IOException {
    int count = in.readUnsignedShort();
    Map<String, LogPosition> positions = new HashMap<>();
    for (int i = 0; i < count; i++) {
      positions.put(in.readUTF(), new LogPosition(in.readUTF(), in.readLong()));
    }
    return Map.copyOf(positions);
  }

  /** Writes a JSON document; null is written as a document of length 0. */
  static void writeJson(DataOutputStream out, JsonNode document) throws IOException {
    byte[] bytes = document == null ? NO_BYTES : Json.bytes(document);
    out.writeShort(bytes.length);
    out.write(bytes);
  }

  /** Reads a JSON document; returns null for a document of length 0. */
  static JsonNode readJson(DataInputStream in) throws IOException {
    byte[] bytes = new byte[in.readUnsignedShort()];
    in.readFully(bytes);
    return bytes.length == 0 ? null : Json.parse(bytes);
  }

  static void writeOutcome(DataOutputStream out, Outcome outcome) throws IOException {
    out.writeByte(
        switch (outcome) {
          case ANSWERED -> 0;
          case REFUSED -> 1;
          case UNKNOWN -> 2;
        });
  }

  /** Reads an outcome; a code that only later versions define is read as {@code UNKNOWN}. */
  static Outcome readOutcome(DataInputStream in) throws IOException {
    int code = in.readByte();
    return code >= 0 && code < OUTCOMES.length ? OUTCOMES[code] : Outcome.UNKNOWN;
  }
}
