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

/** Reads and writes JSON documents with one mapper that all codecs share. */
public final class Json {
  private static final int MAX_NESTING_DEPTH = 32;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              com.fasterxml.jackson.core.JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /**
   * Parses a whole document. Returns a missing node for an empty document.
   *
   * @throws IOException if it is not valid JSON, is nested too deeply or is followed by other text
   */
  public static JsonNode parse(byte[] body) throws IOException {
    JsonNode node = MAPPER.readTree(body);
    return node == null ? JsonNodeFactory.instance.missingNode() : node;
  }

  /**
   * Parses a whole document. Returns a missing node for an empty document.
   *
   * @throws IOException if it is not valid JSON, is nested too deeply or is followed by other text
   */
  public static JsonNode parse(String text) throws IOException {
    JsonNode node = MAPPER.readTree(text);
    return node == null ? JsonNodeFactory.instance.missingNode() : node;
  }

  /** Returns a document in text form. */
  public static String text(JsonNode node) {
    try {
      return MAPPER.writeValueAsString(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns a document in text form, encoded in UTF-8. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Creates an empty object. */
  public static ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Creates an empty array. */
  public static ArrayNode array() {
    return JsonNodeFactory.instance.arrayNode();
  }
}
