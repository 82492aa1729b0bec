package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checked access to the fields of a JSON object; unknown fields are ignored, null counts as absent.
 */
final class Fields {
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
    JsonNode n = node.path(name);
    if (!n.isTextual() || n.textValue().isEmpty() || n.textValue().length() > 200) {
      throw new MalformedException(name + ": text expected");
    }
    return n.textValue();
  }

  String textOrNull(String name) throws MalformedException {
    return has(name) ? text(name) : null;
  }

  double number(String name, double min, double max) throws MalformedException {
    JsonNode n = node.path(name);
    if (!n.isNumber()) {
      throw new MalformedException(name + ": number expected");
    }
    double v = n.doubleValue();
    if (!(v >= min && v <= max)) {
      throw new MalformedException(name + ": out of range");
    }
    return v;
  }

  double number(String name, double min, double max, double absent) throws MalformedException {
    return has(name) ? number(name, min, max) : absent;
  }

  long integer(String name, long min, long max) throws MalformedException {
    JsonNode n = node.path(name);
    if (!n.isIntegralNumber() || !n.canConvertToLong()) {
      throw new MalformedException(name + ": integer expected");
    }
    long v = n.longValue();
    if (v < min || v > max) {
      throw new MalformedException(name + ": out of range");
    }
    return v;
  }

  long integer(String name, long min, long max, long absent) throws MalformedException {
    return has(name) ? integer(name, min, max) : absent;
  }

  boolean flag(String name, boolean absent) throws MalformedException {
    if (!has(name)) {
      return absent;
    }
    JsonNode n = node.path(name);
    if (!n.isBoolean()) {
      throw new MalformedException(name + ": true or false expected");
    }
    return n.booleanValue();
  }

  boolean flag(String name) throws MalformedException {
    if (!has(name)) {
      throw new MalformedException(name + ": missing");
    }
    return flag(name, false);
  }
}
