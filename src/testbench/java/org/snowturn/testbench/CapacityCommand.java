package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.snowturn.testbench.Measurements.Factor;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Makes the capacity page's tables and plots from the committed measurements. */
@Command(
    name = "capacity",
    mixinStandardHelpOptions = true,
    subcommands = CapacityCommand.Add.class,
    description = "Makes the tables and plots of the capacity page from its measurements.")
final class CapacityCommand implements Callable<Integer> {
  private static final String END = "<!-- end of table -->";
  private static final String RUNS = "scale-runs.csv";
  private static final String LIMITS = "limits.csv";

  @Spec private CommandSpec spec;

  @Option(names = "--in", description = "Where the measurements are. Default: ${DEFAULT-VALUE}.")
  private Path in = Path.of("docs", "capacity");

  @Option(names = "--page", description = "The page. Default: ${DEFAULT-VALUE}.")
  private Path page = Path.of("docs", "CAPACITY.md");

  /** Adds runs' figures to the measurements. */
  @Command(name = "add", description = "Adds runs' figures to the measurements, as a series.")
  static final class Add implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(names = "--series", required = true, description = "The series' name.")
    private String series;

    @Option(names = "--to", description = "Default: ${DEFAULT-VALUE}.")
    private Path to = Path.of("docs", "capacity", RUNS);

    @Parameters(arity = "1..*", paramLabel = "DIR", description = "Folders of scale runs.")
    private List<Path> runs;

    @Override
    public Integer call() throws IOException {
      List<String> out =
          Files.exists(to)
              ? new ArrayList<>(Files.readAllLines(to))
              : new ArrayList<>(List.of(Measurements.HEADER));
      for (Path dir : runs) {
        Path csv = dir.resolve("scale.csv");
        List<String> lines = Files.exists(csv) ? Files.readAllLines(csv) : List.of();
        if (lines.isEmpty() || !lines.get(0).equals(ScaleResultWriter.HEADER)) {
          throw new ParameterException(spec.commandLine(), csv + ": no figures of a scale run");
        }
        lines.stream().skip(1).forEach(l -> out.add(series + "," + l));
      }
      Files.write(to, out);
      return 0;
    }
  }

  @Override
  public Integer call() throws IOException {
    try {
      Measurements measured = Measurements.read(in.resolve(RUNS));
      CapacityTables tables = new CapacityTables(measured, in.resolve(LIMITS));
      String text = Files.readString(page);
      text = replaced(text, "slopes", tables.slopesTable());
      text = replaced(text, "plan", tables.planTable());
      text = replaced(text, "large", tables.runsTable("large"));
      Files.writeString(page, text);
      plots(measured);
      return 0;
    } catch (InvalidPlanException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private static String replaced(String page, String name, String table)
      throws InvalidPlanException {
    String begin = "<!-- table: " + name + " -->";
    int from = page.indexOf(begin);
    int to = from < 0 ? -1 : page.indexOf(END, from);
    if (to < 0) {
      throw new InvalidPlanException("the page has no place for the table " + name);
    }
    return page.substring(0, from + begin.length()) + "\n" + table + page.substring(to);
  }

  private void plots(Measurements measured) throws IOException {
    for (Factor f : List.of(Factor.WORKERS, Factor.TASKS, Factor.STARTS)) {
      Map<Double, Double> cores = measured.averagesByFactor(f, f.label(), "leader", "cores");
      if (cores.size() > 1) {
        Path svg = in.resolve("leader-cores-by-" + f.label() + ".svg");
        LinearFitPlot.write(cores, "Leader's processor time", f.label(), "cores", svg);
      }
    }
  }
}
