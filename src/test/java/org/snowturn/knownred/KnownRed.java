package org.snowturn.knownred;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The list of tests that fail for a fault which is known and not mended yet. One line each: the
 * test's name, the cause and the issue, with {@code |} between. An empty or absent file lists none.
 */
record KnownRed(List<Entry> entries) {
  /** The list of this repository. */
  static final Path FILE = Path.of("KNOWN-RED.txt");

  /** More known faults than this are not to be lived with. */
  static final int MOST = 3;

  private static final int FIELDS = 3;

  /**
   * One listed test.
   *
   * @param test {@code Class#method}, or {@code Class#factory[display name]} for a dynamic test
   */
  record Entry(String test, String cause, String issue) {}

  static KnownRed read(Path file) throws IOException {
    return parse(Files.exists(file) ? Files.readAllLines(file) : List.of());
  }

  static KnownRed parse(List<String> lines) {
    List<Entry> entries = new ArrayList<>();
    for (String line : lines) {
      if (line.isBlank()) {
        continue;
      }
      String[] fields = line.split("\\|");
      if (fields.length != FIELDS) {
        throw new IllegalArgumentException("not \"test | cause | issue\": " + line);
      }
      entries.add(new Entry(fields[0].trim(), fields[1].trim(), fields[2].trim()));
    }
    if (entries.size() > MOST) {
      throw new IllegalArgumentException("more than " + MOST + " known red tests");
    }
    return new KnownRed(List.copyOf(entries));
  }

  /** The entry of a test, or null if it is not listed. */
  Entry entry(String test) {
    return entries.stream().filter(e -> e.test().equals(test)).findFirst().orElse(null);
  }
}
