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

/**
 * The command {@code capacity}: writes the tables of the capacity page and draws its plots from the
 * committed measurements.
 */
@Command(
    name = "capacity",
    mixinStandardHelpOptions = true,
    subcommands = CapacityCommand.Add.class,
    description =
        "Writes the tables and plots of the capacity page from the committed measurements.")
final class CapacityCommand implements Callable<Integer> {
  private static final String TABLE_END = "<!-- end of table -->";
  private static final String MEASUREMENTS_FILE = "scale-runs.csv";
  private static final String LIMITS_FILE = "limits.csv";

  @Spec private CommandSpec spec;

  @Option(names = "--in", description = "Folder of the measurements. Default: ${DEFAULT-VALUE}.")
  private Path in = Path.of("docs", "capacity");

  @Option(
      names = "--page",
      description = "The capacity page, which is updated. Default: ${DEFAULT-VALUE}.")
  private Path page = Path.of("docs", "CAPACITY.md");

  /** The command {@code capacity add}: appends the figures of scale runs to the measurements. */
  @Command(
      name = "add",
      description = "Appends the figures of scale runs to the measurements, as one series.")
  static final class Add implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(names = "--series", required = true, description = "Name of the series.")
    private String series;

    @Option(names = "--to", description = "File of the measurements. Default: ${DEFAULT-VALUE}.")
    private Path to = Path.of("docs", "capacity", MEASUREMENTS_FILE);

    @Parameters(arity = "1..*", paramLabel = "DIR", description = "Output folders of scale runs.")
    private List<Path> runs;

    @Override
    public Integer call() throws IOException {
      List<String> measurements =
          Files.exists(to)
              ? new ArrayList<>(Files.readAllLines(to))
              : new ArrayList<>(List.of(Measurements.HEADER));
      for (Path dir : runs) {
        Path csv = dir.resolve("scale.csv");
        List<String> lines = Files.exists(csv) ? Files.readAllLines(csv) : List.of();
        if (lines.isEmpty() || !lines.get(0).equals(ScaleResultWriter.HEADER)) {
          throw new ParameterException(
              spec.commandLine(),
              csv + ": missing, or its first line is not " + ScaleResultWriter.HEADER);
        }
        lines.stream().skip(1).forEach(line -> measurements.add(series + "," + line));
      }
      Files.write(to, measurements);
      return 0;
    }
  }

  @Override
  public Integer call() throws IOException {
    try {
      Measurements measured = Measurements.read(in.resolve(MEASUREMENTS_FILE));
      CapacityTables tables = new CapacityTables(measured, in.resolve(LIMITS_FILE));
      String text = Files.readString(page);
      text = replaceTable(text, "slopes", tables.slopesTable());
      text = replaceTable(text, "plan", tables.planTable());
      text = replaceTable(text, "large", tables.runsTable("large"));
      Files.writeString(page, text);
      drawPlots(measured);
      return 0;
    } catch (InvalidInputException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private static String replaceTable(String page, String tableName, String table)
      throws InvalidInputException {
    String tableBegin = "<!-- table: " + tableName + " -->";
    int from = page.indexOf(tableBegin);
    int to = from < 0 ? -1 : page.indexOf(TABLE_END, from);
    if (to < 0) {
      throw new InvalidInputException(
          "the page has no line \"" + tableBegin + "\" that is followed by \"" + TABLE_END + "\"");
    }
    return page.substring(0, from + tableBegin.length()) + "\n" + table + page.substring(to);
  }

  private void drawPlots(Measurements measured) throws IOException {
    for (Factor factor : List.of(Factor.WORKERS, Factor.TASKS, Factor.STARTS)) {
      Map<Double, Double> cores =
          measured.averagesByFactor(factor, factor.label(), "leader", "cores");
      if (cores.size() > 1) {
        Path svg = in.resolve("leader-cores-by-" + factor.label() + ".svg");
        LinearFitPlot.write(cores, "Leader's processor time", factor.label(), "cores", svg);
      }
    }
  }
}
