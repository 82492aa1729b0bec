package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.snowturn.simulation.BehaviorDigest;
import org.snowturn.simulation.Simulation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command {@code digest}: runs the scenarios in simulated time and writes one line for each run
 * with a hash of everything that the controllers send. Equal hashes of two versions show that the
 * controllers behave the same in these scenarios.
 */
@Command(
    name = "digest",
    mixinStandardHelpOptions = true,
    description = "Writes or compares a digest of the controllers' behavior in each scenario.")
final class DigestCommand implements Callable<Integer> {
  private static final int EXIT_DIFFERENT = 1;
  private static final int MAX_JOBS = 64;
  private static final int OVERLAPPING_FAULT_SEEDS = 80;
  private static final int TARGETED_FAULT_SEEDS = 112;
  private static final String SEPARATOR = ": ";

  @Spec private CommandSpec spec;

  @Option(
      names = "--scenarios",
      description = "Folder of the scenarios. Default: ${DEFAULT-VALUE}.")
  private Path scenarios = Path.of("src", "test", "resources", "scenarios");

  @Option(names = "--only", description = "Runs only simulations whose names begin with this.")
  private String prefix = "";

  @Option(
      names = "--every",
      description = "Runs only every Nth simulation. Default: ${DEFAULT-VALUE}.")
  private int every = 1;

  @Option(
      names = "--jobs",
      description = "Simulations that run at a time. Default: ${DEFAULT-VALUE}.")
  private int jobs = 4;

  @Option(names = "--out", description = "Writes the digests to this file.")
  private Path out;

  @Option(names = "--compare", description = "Compares with the digests in this file.")
  private Path baseline;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      checkOptions();
      Map<String, String> expected = baseline == null ? Map.of() : readDigests(baseline);
      Map<String, String> digests = runAll(selectSimulations());
      if (out != null) {
        List<String> lines = new ArrayList<>();
        digests.forEach((name, digest) -> lines.add(name + SEPARATOR + digest));
        Files.write(out, lines);
      }
      return baseline == null ? printSummary(digests) : printDifferences(expected, digests);
    } catch (InvalidInputException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private void checkOptions() throws InvalidInputException {
    if (every < 1) {
      throw new InvalidInputException("--every: must be at least 1");
    }
    if (jobs < 1 || jobs > MAX_JOBS) {
      throw new InvalidInputException("--jobs: must be from 1 to " + MAX_JOBS);
    }
    if (out == null && baseline == null) {
      throw new InvalidInputException("--out or --compare is needed");
    }
  }

  private List<Simulation> selectSimulations() throws IOException, InvalidInputException {
    List<Simulation> all = new ArrayList<>();
    try {
      all.addAll(Simulation.ofFiles(scenarios));
    } catch (NotDirectoryException | java.nio.file.NoSuchFileException e) {
      throw new InvalidInputException("--scenarios: not an existing folder: " + scenarios);
    }
    all.addAll(Simulation.ofOverlappingFaults(1, OVERLAPPING_FAULT_SEEDS));
    all.addAll(Simulation.ofTargetedFaults(1, TARGETED_FAULT_SEEDS));
    List<Simulation> selected = new ArrayList<>();
    for (int i = 0; i < all.size(); i += every) {
      if (all.get(i).name().startsWith(prefix)) {
        selected.add(all.get(i));
      }
    }
    if (selected.isEmpty()) {
      throw new InvalidInputException(
          "--only: no selected simulation has a name that begins with " + prefix);
    }
    return selected;
  }

  private Map<String, String> runAll(List<Simulation> simulations)
      throws IOException, InterruptedException {
    ExecutorService pool = Executors.newFixedThreadPool(jobs);
    try {
      Map<String, Future<String>> running = new LinkedHashMap<>();
      for (Simulation simulation : simulations) {
        running.put(simulation.name(), pool.submit(() -> BehaviorDigest.of(simulation)));
      }
      Map<String, String> digests = new LinkedHashMap<>();
      for (Map.Entry<String, Future<String>> run : running.entrySet()) {
        digests.put(run.getKey(), run.getValue().get());
      }
      return digests;
    } catch (ExecutionException e) {
      throw new IOException("a simulation failed: " + e.getCause(), e);
    } finally {
      pool.shutdownNow();
    }
  }

  private static Map<String, String> readDigests(Path file)
      throws IOException, InvalidInputException {
    if (!Files.isRegularFile(file)) {
      throw new InvalidInputException("--compare: not an existing file: " + file);
    }
    Map<String, String> digests = new LinkedHashMap<>();
    for (String line : Files.readAllLines(file)) {
      int separator = line.indexOf(SEPARATOR);
      if (separator < 0) {
        throw new InvalidInputException(
            "--compare: " + file + ": expected NAME" + SEPARATOR + "DIGEST, found: " + line);
      }
      digests.put(line.substring(0, separator), line.substring(separator + SEPARATOR.length()));
    }
    return digests;
  }

  private int printSummary(Map<String, String> digests) {
    spec.commandLine().getOut().println(digests.size() + " digests written to " + out);
    return 0;
  }

  private int printDifferences(Map<String, String> expected, Map<String, String> digests) {
    int differentCount = 0;
    for (Map.Entry<String, String> run : digests.entrySet()) {
      String before = expected.getOrDefault(run.getKey(), "none");
      if (!before.equals(run.getValue())) {
        differentCount++;
        spec.commandLine().getOut().println(run.getKey() + ": " + before + " -> " + run.getValue());
      }
    }
    spec.commandLine()
        .getOut()
        .println(digests.size() - differentCount + " equal, " + differentCount + " different");
    return differentCount == 0 ? 0 : EXIT_DIFFERENT;
  }
}
