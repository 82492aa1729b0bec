package org.snowturn.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.xml.XmlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Reads and validates the operators' tunables from an XML file. Error messages name the file, the
 * line and the element.
 */
public final class TunablesReader {
  private record Range(double min, double max) {}

  private static final Map<String, Range> RANGES =
      Map.ofEntries(
          Map.entry("leaderTtlS", new Range(0, 60)),
          Map.entry("speculativeCap", new Range(0, 1)),
          Map.entry("slowTaskPercentile", new Range(0, 100)),
          Map.entry("slowNodePercentile", new Range(0, 100)),
          Map.entry("judgeAfterS", new Range(0, 86_400)),
          Map.entry("gainFactor", new Range(0, 100)),
          Map.entry("idleReturnS", new Range(0, 86_400)),
          Map.entry("bootPatience", new Range(1, 100)),
          Map.entry("sickErrors", new Range(1, 1000)),
          Map.entry("urgentSlackS", new Range(0, 86_400)),
          Map.entry("beginWithinS", new Range(1, 86_400)));

  private static final String SPECULATION = "speculation";

  /** The text of an element and its line in the file. */
  private record Element(String text, int line) {}

  private final Path path;
  private final Map<String, Element> elements = new HashMap<>();

  private TunablesReader(Path path) {
    this.path = path;
  }

  /**
   * Reads and validates the tunables in a file. Unknown elements are ignored, missing ones have
   * their default values.
   *
   * @throws SettingsException if the file cannot be read, is not well-formed XML, or contains
   *     invalid values
   */
  public static Tunables read(Path path) throws SettingsException {
    TunablesReader reader = new TunablesReader(path);
    reader.readFile();
    return reader.tunables();
  }

  private void readFile() throws SettingsException {
    try (JsonParser parser = new XmlMapper().createParser(Files.readAllBytes(path))) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw invalid(1, "snowturn", "expected a root element that contains tunables");
      }
      Set<String> seen = new HashSet<>();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readElement(parser, seen);
      }
    } catch (JacksonException e) {
      var location = e.getLocation();
      throw new SettingsException(
          path
              + ": line "
              + (location == null ? "?" : location.getLineNr())
              + ": not well-formed XML");
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot read the file: " + e);
    }
  }

  private void readElement(JsonParser parser, Set<String> seen)
      throws IOException, SettingsException {
    String name = parser.currentName();
    int line = parser.currentLocation().getLineNr();
    JsonToken value = parser.nextToken();
    if (value == null || !value.isScalarValue()) {
      throw invalid(line, name, "expected a single value");
    }
    if (!seen.add(name)) {
      throw invalid(line, name, "duplicate element");
    }
    if (RANGES.containsKey(name) || name.equals(SPECULATION)) { // unknown elements are ignored
      elements.put(name, new Element(parser.getText().trim(), line));
    }
  }

  private Tunables tunables() throws SettingsException {
    Map<String, Double> numbers = new HashMap<>();
    for (Map.Entry<String, Element> element : elements.entrySet()) {
      if (RANGES.containsKey(element.getKey())) {
        numbers.put(element.getKey(), number(element.getKey(), element.getValue()));
      }
    }
    boolean speculation = speculation();
    Tunables defaults = Tunables.defaults();
    return new Tunables(
        numbers.getOrDefault("leaderTtlS", defaults.leaderTtlS()),
        speculation,
        numbers.getOrDefault("speculativeCap", defaults.speculativeCap()),
        numbers.getOrDefault("slowTaskPercentile", defaults.slowTaskPercentile()),
        numbers.getOrDefault("slowNodePercentile", defaults.slowNodePercentile()),
        numbers.getOrDefault("judgeAfterS", defaults.judgeAfterS()),
        numbers.getOrDefault("gainFactor", defaults.gainFactor()),
        numbers.getOrDefault("idleReturnS", defaults.idleReturnS()),
        numbers.getOrDefault("bootPatience", defaults.bootPatience()),
        numbers.getOrDefault("sickErrors", (double) defaults.sickErrors()).intValue(),
        numbers.getOrDefault("urgentSlackS", defaults.urgentSlackS()),
        numbers.getOrDefault("beginWithinS", defaults.beginWithinS()));
  }

  private double number(String name, Element element) throws SettingsException {
    Range range = RANGES.get(name);
    double value;
    try {
      value = Double.parseDouble(element.text);
    } catch (NumberFormatException e) {
      throw invalid(element.line, name, "expected a number");
    }
    if (!(value >= range.min && value <= range.max)) {
      throw invalid(
          element.line,
          name,
          "must be from " + range.min + " to " + range.max + ", but is " + value);
    }
    return value;
  }

  private boolean speculation() throws SettingsException {
    Element element = elements.get(SPECULATION);
    if (element == null || element.text.equals("true")) {
      return true;
    }
    if (!element.text.equals("false")) {
      throw invalid(element.line, SPECULATION, "expected true or false");
    }
    return false;
  }

  private SettingsException invalid(int line, String element, String problem) {
    return new SettingsException(path + ": line " + line + ": " + element + ": " + problem);
  }
}
