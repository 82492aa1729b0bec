package org.snowturn.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** The one JSON mapper and a few helpers shared by the codecs. */
public final class Json {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              com.fasterxml.jackson.core.JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(32).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Parses a whole document. */
  public static JsonNode parse(byte[] body) throws IOException {
    JsonNode node = MAPPER.readTree(body);
    return node == null ? JsonNodeFactory.instance.missingNode() : node;
  }

  /** Parses a whole document. */
  public static JsonNode parse(String text) throws IOException {
    JsonNode node = MAPPER.readTree(text);
    return node == null ? JsonNodeFactory.instance.missingNode() : node;
  }

  /** Writes a document as text. */
  public static String text(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes a document. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** A new empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** A new empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }
}
