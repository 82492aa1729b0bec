package org.snowturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/**
 * Guards against dependencies on other jobs than the user named, such as wk-7 in place of wk-07.
 */
class JobIdListTest {
  @Property(seed = "6", tries = 400)
  void eachIdIsReturnedAsItWasGiven(
      @ForAll @Size(max = 20) List<@NumericChars @StringLength(min = 1, max = 18) String> digits) {
    List<String> ids = digits.stream().map(text -> "wk-" + text).toList();
    List<String> list = JobIdList.of(ids);
    assertEquals(ids, list);
    ids.forEach(id -> assertEquals(ids.indexOf(id), list.indexOf(id)));
  }

  @Example
  void idsAtTheLimitsOfTheirLengthsDiffer() {
    List<String> ids = List.of("wk-0", "wk-9", "wk-00", "wk-99", "wk-" + "0".repeat(18));
    assertEquals(ids, JobIdList.of(ids));
    List<String> longest = List.of("wk-" + "9".repeat(17), "wk-" + "9".repeat(18));
    assertEquals(longest, JobIdList.of(longest));
    assertEquals(-1, JobIdList.of(longest).indexOf("wk-9"));
    assertEquals(-1, JobIdList.of(longest).indexOf("other"));
  }

  @Example
  void whatIsNoIdIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> JobIdList.of(List.of("wk-1x")));
  }
}
