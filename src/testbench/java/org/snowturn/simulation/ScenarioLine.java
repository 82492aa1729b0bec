package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One line of a scenario: words separated by blanks. The accessors throw {@link
 * ScenarioFormatException} if a word is missing or malformed. Word indexes start at 0.
 */
final class ScenarioLine {
  private static final String BLANKS = "\\s+";
  private static final String RANGE = "..";

  private final String file;
  private final int number;
  private final String text;
  private final String[] words;

  /** Creates a line from its file name, its number, starting at 1, and its text. */
  ScenarioLine(String file, int number, String text) {
    this.file = file;
    this.number = number;
    this.text = text;
    this.words = text.split(BLANKS, -1);
  }

  /** Returns the file name and line number, separated by a colon. */
  String location() {
    return file + ":" + number;
  }

  /** Returns the text of the line without its comment. */
  String text() {
    return text;
  }

  /** Returns the number of words. */
  int size() {
    return words.length;
  }

  /** Returns whether the line has a word at this index. */
  boolean hasWord(int index) {
    return index < words.length;
  }

  /** Returns the word at an index. */
  String word(int index) {
    if (!hasWord(index)) {
      throw new ScenarioFormatException(this, "word " + (index + 1) + " is missing");
    }
    return words[index];
  }

  /** Returns the text from a word to the end of the line. */
  String rest(int index) {
    word(index);
    return text.split(BLANKS, index + 1)[index];
  }

  /** Returns the word at an index as a number. */
  double number(int index) {
    try {
      return Double.parseDouble(word(index));
    } catch (NumberFormatException e) {
      throw new ScenarioFormatException(this, "not a number: " + word(index), e);
    }
  }

  /** Returns the word at an index as an integer. */
  int integer(int index) {
    try {
      return Integer.parseInt(word(index));
    } catch (NumberFormatException e) {
      throw new ScenarioFormatException(this, "not an integer: " + word(index), e);
    }
  }

  /** Returns a time or duration, given in seconds, in milliseconds. */
  long millis(int index) {
    return (long) (number(index) * 1000);
  }

  /**
   * Returns the job ids of a comma-separated list; {@code wk-000001..wk-000009} stands for all ids
   * from the first to the last.
   */
  List<String> jobIds(int index) {
    return jobIds(word(index));
  }

  /** Returns the job ids of a list, which may contain ranges. */
  List<String> jobIds(String list) {
    List<String> ids = new ArrayList<>();
    for (String part : list.split(",", -1)) {
      int range = part.indexOf(RANGE);
      if (range < 0) {
        ids.add(part);
        continue;
      }
      long last = jobNumber(part.substring(range + RANGE.length()));
      for (long id = jobNumber(part.substring(0, range)); id <= last; id++) {
        ids.add(SimulatedJobs.id(id));
      }
    }
    return ids;
  }

  /** Returns the number in a job id. */
  long jobNumber(String id) {
    try {
      return SimulatedJobs.number(id);
    } catch (IllegalArgumentException e) {
      throw new ScenarioFormatException(this, "not a job id: " + id, e);
    }
  }

  /** Returns the {@code name=value} words from a word to the end of the line. */
  Map<String, String> options(int from) {
    Map<String, String> options = new LinkedHashMap<>();
    for (int i = from; i < words.length; i++) {
      int equals = words[i].indexOf('=');
      if (equals > 0) {
        options.put(words[i].substring(0, equals), words[i].substring(equals + 1));
      }
    }
    return options;
  }

  /** Returns the largest number among the words from a word to the end; 0 if there is none. */
  double largestNumber(int from) {
    double largest = 0;
    for (int i = from; i < words.length; i++) {
      if (words[i].matches("[0-9.]+")) {
        largest = Math.max(largest, Double.parseDouble(words[i]));
      }
    }
    return largest;
  }
}
