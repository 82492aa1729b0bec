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

/** Reads and checks the operators' XML settings; a message names file, line and element. */
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

  /** A setting as it is given, and its line in the file. */
  private record Given(String text, int line) {}

  private final Path path;
  private final Map<String, Given> given = new HashMap<>();

  private TunablesReader(Path path) {
    this.path = path;
  }

  /** Reads a file; settings that it does not give have their defaults. */
  public static Tunables read(Path path) throws SettingsException {
    TunablesReader reader = new TunablesReader(path);
    reader.readFile();
    return reader.tunables();
  }

  private void readFile() throws SettingsException {
    try (JsonParser parser = new XmlMapper().createParser(Files.readAllBytes(path))) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw bad(1, "snowturn", "an element with settings expected");
      }
      Set<String> seen = new HashSet<>();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        readElement(parser, seen);
      }
    } catch (JacksonException e) {
      var at = e.getLocation();
      throw new SettingsException(
          path + ": line " + (at == null ? "?" : at.getLineNr()) + ": not well-formed XML");
    } catch (IOException e) {
      throw new SettingsException(path + ": cannot be read");
    }
  }

  private void readElement(JsonParser parser, Set<String> seen)
      throws IOException, SettingsException {
    String name = parser.currentName();
    int line = parser.currentLocation().getLineNr();
    JsonToken value = parser.nextToken();
    if (value == null || !value.isScalarValue()) {
      throw bad(line, name, "a single value expected");
    }
    if (!seen.add(name)) {
      throw bad(line, name, "given twice");
    }
    if (RANGES.containsKey(name) || name.equals(SPECULATION)) { // unknown settings are ignored
      given.put(name, new Given(parser.getText().trim(), line));
    }
  }

  private Tunables tunables() throws SettingsException {
    Map<String, Double> numbers = new HashMap<>();
    for (Map.Entry<String, Given> setting : given.entrySet()) {
      if (RANGES.containsKey(setting.getKey())) {
        numbers.put(setting.getKey(), number(setting.getKey(), setting.getValue()));
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

  private double number(String name, Given setting) throws SettingsException {
    Range range = RANGES.get(name);
    double value;
    try {
      value = Double.parseDouble(setting.text);
    } catch (NumberFormatException e) {
      throw bad(setting.line, name, "number expected");
    }
    if (!(value >= range.min && value <= range.max)) {
      throw bad(setting.line, name, "must be from " + range.min + " to " + range.max);
    }
    return value;
  }

  private boolean speculation() throws SettingsException {
    Given setting = given.get(SPECULATION);
    if (setting == null || setting.text.equals("true")) {
      return true;
    }
    if (!setting.text.equals("false")) {
      throw bad(setting.line, SPECULATION, "true or false expected");
    }
    return false;
  }

  private SettingsException bad(int line, String element, String what) {
    return new SettingsException(path + ": line " + line + ": " + element + ": " + what);
  }
}
