package org.snowturn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.puppycrawl.tools.checkstyle.Checker;
import com.puppycrawl.tools.checkstyle.ConfigurationLoader;
import com.puppycrawl.tools.checkstyle.PropertiesExpander;
import com.puppycrawl.tools.checkstyle.api.AuditEvent;
import com.puppycrawl.tools.checkstyle.api.AuditListener;
import com.puppycrawl.tools.checkstyle.api.Configuration;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against suppressions that outlive their findings: an entry of the list for a file without
 * such a finding would let the finding come back unnoticed.
 */
class CheckstyleSuppressionsTest {
  private static final Path CONFIG = Path.of("config", "checkstyle", "checkstyle.xml");
  private static final Path SUPPRESSIONS = Path.of("config", "checkstyle", "suppressions.xml");
  private static final Pattern ENTRY =
      Pattern.compile("<suppress files=\"(src/[^\"]+\\.java)\" checks=\"([^\"]+)\"/>");

  @Test
  void everySuppressionOfAFileHasAFinding() throws Exception {
    Set<String> unneeded = listedSuppressions();
    unneeded.removeAll(foundViolations());
    assertEquals(
        Set.of(), unneeded, "remove these entries, which have no finding, from " + SUPPRESSIONS);
  }

  @Test
  void everyListedFileExists() throws Exception {
    for (String entry : listedSuppressions()) {
      Path file = Path.of(entry.substring(0, entry.indexOf(' ')));
      assertTrue(
          Files.exists(file), file + " is listed in " + SUPPRESSIONS + " but does not exist");
    }
  }

  private static Set<String> listedSuppressions() throws IOException {
    Set<String> entries = new TreeSet<>();
    Matcher matcher = ENTRY.matcher(Files.readString(SUPPRESSIONS));
    while (matcher.find()) {
      for (String check : matcher.group(2).split("\\|", -1)) {
        entries.add(matcher.group(1) + " " + check);
      }
    }
    return entries;
  }

  private static Set<String> foundViolations() throws Exception {
    Properties properties = new Properties();
    properties.setProperty("checkstyle.suppressions.file", "none.xml");
    Configuration configuration =
        ConfigurationLoader.loadConfiguration(
            CONFIG.toString(), new PropertiesExpander(properties));
    Findings findings = new Findings();
    Checker checker = new Checker();
    checker.setModuleClassLoader(Checker.class.getClassLoader());
    checker.configure(configuration);
    checker.addListener(findings);
    try {
      checker.process(sourceFiles());
    } finally {
      checker.destroy();
    }
    return findings.found;
  }

  private static List<File> sourceFiles() throws IOException {
    List<File> files = new ArrayList<>();
    for (String folder : List.of("src/main/java", "src/testbench/java", "src/test/java")) {
      try (Stream<Path> paths = Files.walk(Path.of(folder))) {
        paths
            .filter(path -> path.toString().endsWith(".java"))
            .map(Path::toFile)
            .forEach(files::add);
      }
    }
    return files;
  }

  /** Records the file and the check of each finding. */
  private static final class Findings implements AuditListener {
    private static final String SUFFIX = "Check";

    private final Path root = Path.of("").toAbsolutePath();
    private final Set<String> found = new TreeSet<>();

    @Override
    public void addError(AuditEvent event) {
      String check = event.getSourceName();
      check = check.substring(check.lastIndexOf('.') + 1);
      if (check.endsWith(SUFFIX)) {
        check = check.substring(0, check.length() - SUFFIX.length());
      }
      Path file = root.relativize(Path.of(event.getFileName()).toAbsolutePath());
      found.add(file.toString().replace(File.separatorChar, '/') + " " + check);
    }

    @Override
    public void addException(AuditEvent event, Throwable failure) {
      throw new AssertionError(event.getFileName(), failure);
    }

    @Override
    public void auditStarted(AuditEvent event) {}

    @Override
    public void auditFinished(AuditEvent event) {}

    @Override
    public void fileStarted(AuditEvent event) {}

    @Override
    public void fileFinished(AuditEvent event) {}
  }
}
