package org.snowturn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against pages that still name a type after it was renamed or removed. */
class DocumentedNamesTest {
  /** Type name in backticks, optionally with its package before it and a member after it. */
  private static final Pattern TYPE =
      Pattern.compile("`(?:[a-z]+\\.)*([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+)(?:[.#(][^`]*)?`");

  @ParameterizedTest
  @ValueSource(strings = {"architecture.md", "glossary.md", "safety.md", "recovery.md"})
  void everyTypeThatAPageNamesExists(String page) throws IOException {
    Set<String> types = sourceTypes();
    Set<String> unknown = new TreeSet<>();
    Matcher matcher = TYPE.matcher(Files.readString(Path.of("docs", page)));
    while (matcher.find()) {
      if (!types.contains(matcher.group(1))) {
        unknown.add(matcher.group(1));
      }
    }
    assertEquals(Set.of(), unknown, "types named in docs/" + page + " that do not exist");
  }

  private static Set<String> sourceTypes() throws IOException {
    Set<String> types = new HashSet<>();
    for (String folder : new String[] {"src/main/java", "src/testbench/java", "src/test/java"}) {
      try (Stream<Path> files = Files.walk(Path.of(folder))) {
        files
            .map(file -> file.getFileName().toString())
            .filter(name -> name.endsWith(".java"))
            .forEach(name -> types.add(name.substring(0, name.length() - ".java".length())));
      }
    }
    assertFalse(types.isEmpty());
    return types;
  }
}
