package org.snowturn.knownred;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against a known-red list that is malformed, or that names a test which was renamed or
 * removed.
 */
class KnownRedTest {
  private static final Path TESTS = Path.of("src", "test", "java");
  private static final String OTHER_FIELDS = " | mvn test | fails | issue 1";

  /** Skips a test if only some scenarios are selected, because the others then have no names. */
  private static void assumeAllTestsAreNamed() {
    assumeTrue(System.getProperty("scenario") == null, "only some scenarios are selected");
  }

  @Test
  void everyListedTestExists() throws Exception {
    assumeAllTestsAreNamed();
    for (KnownRed.Entry entry : KnownRed.read(KnownRed.FILE).entries()) {
      assertTrue(exists(entry.test()), KnownRed.FILE + ": no test has the name " + entry.test());
    }
  }

  @Test
  void existsFindsTestsAndDynamicTestsByName() throws Exception {
    assumeAllTestsAreNamed();
    assertTrue(exists("KnownRedTest#everyListedTestExists"));
    assertTrue(exists("ScenarioTest#scenarios[plain.txt seed 1]"));
    assertFalse(exists("ScenarioTest#scenarios[plain.txt seed 99]"));
    assertFalse(exists("KnownRedTest#exists"));
    assertFalse(exists("NoSuchTest#atAll"));
  }

  @Test
  void aLineHasFourFields() {
    String line = "A#b | mvn test -Dtest=A, seed 7 | ran twice | issue 1";
    KnownRed list = KnownRed.parse(List.of(line, "", "C#d[e f] | mvn test | hangs | issue 2"));
    assertEquals(
        new KnownRed.Entry("A#b", "mvn test -Dtest=A, seed 7", "ran twice", "issue 1"),
        list.entry("A#b"));
    assertEquals("hangs", list.entry("C#d[e f]").observed());
    assertNull(list.entry("C#d"));
    assertEquals(
        "A#b (mvn test -Dtest=A, seed 7; ran twice; issue 1)", list.entry("A#b").describe());
  }

  @Test
  void anyNumberOfTestsMayBeListedButEachOnce() {
    List<String> lines =
        Stream.of("a", "b", "c", "d").map(name -> "A#" + name + OTHER_FIELDS).toList();
    assertEquals(4, KnownRed.parse(lines).entries().size());
    assertMalformed("A#a" + OTHER_FIELDS, "A#a" + OTHER_FIELDS);
  }

  @Test
  void aMalformedLineIsRejected() {
    assertMalformed("A#b");
    assertMalformed("A#b | the cause | issue 1");
    assertMalformed("A#b | command | seen | issue 1 | more");
    assertMalformed("A#b | command | seen | issue 1 |");
    assertMalformed("A#b | command | seen |");
    assertMalformed("A#b | command | seen | ");
    assertMalformed("A#b | | seen | issue 1");
    assertMalformed(" | command | seen | issue 1");
  }

  private static void assertMalformed(String... lines) {
    assertThrows(IllegalArgumentException.class, () -> KnownRed.parse(List.of(lines)));
  }

  private static boolean exists(String test) throws Exception {
    int hash = test.indexOf('#');
    int bracket = test.indexOf('[');
    Class<?> type = hash < 0 ? null : testClass(test.substring(0, hash));
    if (type == null) {
      return false;
    }
    String name = test.substring(hash + 1, bracket < 0 ? test.length() : bracket);
    for (Method method : type.getDeclaredMethods()) {
      if (!method.getName().equals(name)) {
        continue;
      }
      if (bracket < 0) {
        return method.isAnnotationPresent(Test.class);
      }
      String display = test.substring(bracket + 1, test.length() - 1);
      return method.isAnnotationPresent(TestFactory.class)
          && displayNames(type, method).anyMatch(display::equals);
    }
    return false;
  }

  private static Stream<String> displayNames(Class<?> type, Method factory) throws Exception {
    Constructor<?> constructor = type.getDeclaredConstructor();
    constructor.setAccessible(true);
    factory.setAccessible(true);
    Stream<?> tests = (Stream<?>) factory.invoke(constructor.newInstance());
    return tests.map(test -> ((DynamicTest) test).getDisplayName());
  }

  private static Class<?> testClass(String simpleName) throws IOException {
    try (Stream<Path> files = Files.walk(TESTS)) {
      Path file =
          files
              .filter(path -> path.getFileName().toString().equals(simpleName + ".java"))
              .findFirst()
              .orElse(null);
      if (file == null) {
        return null;
      }
      String path = TESTS.relativize(file).toString();
      String name = path.substring(0, path.length() - ".java".length()).replace('/', '.');
      return Class.forName(name);
    } catch (ClassNotFoundException e) {
      return null;
    }
  }
}
