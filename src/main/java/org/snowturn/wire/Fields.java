package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checked access to the fields of a JSON object. Unknown fields are ignored, and a field whose
 * value is null is treated as missing.
 */
final class Fields {
  private static final int MAX_TEXT_LENGTH = 200;

  private final JsonNode node;

  Fields(JsonNode node) throws MalformedException {
    if (node == null || !node.isObject()) {
      throw new MalformedException("not an object");
    }
    this.node = node;
  }

  boolean has(String name) {
    return node.hasNonNull(name);
  }

  JsonNode node(String name) {
    return node.path(name);
  }

  String text(String name) throws MalformedException {
    JsonNode value = node.path(name);
    if (!value.isTextual()
        || value.textValue().isEmpty()
        || value.textValue().length() > MAX_TEXT_LENGTH) {
      throw new MalformedException(name + ": text expected");
    }
    return value.textValue();
  }

  String textOrNull(String name) throws MalformedException {
    return has(name) ? text(name) : null;
  }

  double number(String name, double min, double max) throws MalformedException {
    JsonNode value = node.path(name);
    if (!value.isNumber()) {
      throw new MalformedException(name + ": number expected");
    }
    double number = value.doubleValue();
    if (!(number >= min && number <= max)) { // also false for NaN
      throw new MalformedException(name + ": out of range");
    }
    return number;
  }

  double number(String name, double min, double max, double defaultValue)
      throws MalformedException {
    return has(name) ? number(name, min, max) : defaultValue;
  }

  long integer(String name, long min, long max) throws MalformedException {
    JsonNode value = node.path(name);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      throw new MalformedException(name + ": integer expected");
    }
    long number = value.longValue();
    if (number < min || number > max) {
      throw new MalformedException(name + ": out of range");
    }
    return number;
  }

  long integer(String name, long min, long max, long defaultValue) throws MalformedException {
    return has(name) ? integer(name, min, max) : defaultValue;
  }

  boolean flag(String name, boolean defaultValue) throws MalformedException {
    if (!has(name)) {
      return defaultValue;
    }
    JsonNode value = node.path(name);
    if (!value.isBoolean()) {
      throw new MalformedException(name + ": true or false expected");
    }
    return value.booleanValue();
  }

  boolean flag(String name) throws MalformedException {
    if (!has(name)) {
      throw new MalformedException(name + ": missing");
    }
    return flag(name, false);
  }
}
