package org.snowturn.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against scenario lines that are misread, or rejected without naming file and line. */
class ScenarioFormatTest {
  private static ScenarioLine line(String text) {
    return new ScenarioLine("some.txt", 7, text);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "at 3 no-such-event 4",
        "at soon crash leader 1",
        "at 1 crash n0",
        "at 1 outage long",
        "expect no-such-thing",
        "expect keys p/ many",
        "until never"
      })
  void errorNamesFileAndLine(String text) {
    Scenario scenario = Scenario.of(List.of("until 2", "machines 0", text));
    String message =
        assertThrows(ScenarioFormatException.class, () -> scenario.run(1)).getMessage();
    assertTrue(message.startsWith("scenario:3: "), message);
    assertTrue(message.endsWith(text), message);
  }

  @Test
  void rangeStandsForAllJobsInIt() {
    assertEquals(
        List.of("wk-000009", "wk-000010", "wk-000003"),
        line("at 1 submit wk-000009..wk-000010,wk-000003").jobIds(3));
  }

  @Test
  void restOfLineKeepsBlanks() {
    assertEquals("event=x  task=y", line("expect event event=x  task=y").rest(2));
  }

  @Test
  void largestNumberIsDurationOfFault() {
    assertEquals(45.0, ScenarioEvents.faultEndsS(line("at 5 late-commands 3 40")));
    assertEquals(
        0.0, ScenarioEvents.faultEndsS(line("at 5 submit wk-000001 batch tasks=3 run 40")));
  }
}
