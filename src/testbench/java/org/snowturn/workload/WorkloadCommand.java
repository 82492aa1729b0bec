package org.snowturn.workload;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Command for developers that copies deployment files in another size, generates days with random
 * faults, and evaluates the reports of played days. It plays no days itself.
 */
@Command(
    name = "days",
    mixinStandardHelpOptions = true,
    subcommands = {
      WorkloadCommand.Copy.class,
      WorkloadCommand.Draw.class,
      WorkloadCommand.Judge.class,
      WorkloadCommand.Table.class
    },
    description =
        "Copies deployment files, generates days with random faults, and evaluates reports.")
public final class WorkloadCommand {
  private static final int EXIT_BAD_INPUT = 2;

  /** Writes a copy of a deployment file with other sizes, limits and times. */
  @Command(name = "copy", description = "Writes a copy of a deployment file in another size.")
  static final class Copy implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SITE")
    private Path source;

    @Parameters(index = "1", paramLabel = "TO")
    private Path target;

    @Option(names = "--size", description = "Factor on machines, jobs at the start and arrivals.")
    private double size = 1;

    @Option(
        names = "--limits",
        description = "Factor on the limits of the controllers, the state service and the cloud.")
    private double limits = 1;

    @Option(
        names = "--duration",
        description = "Length of a day in seconds; by default that of the site.")
    private Double duration;

    @Option(names = "--restart", description = "Seconds until an ended process is started again.")
    private Double restart;

    @Option(names = "--mix", description = "CLASS=FACTOR: factor on the arrivals of a class.")
    private Map<String, Double> mix = new TreeMap<>();

    @Option(names = "--team", description = "NAME=WEIGHT: weight of a team; a new one is added.")
    private Map<String, Double> teams = new TreeMap<>();

    @Override
    public Integer call() throws IOException, SiteFile.BadInput {
      SiteFile site = SiteFile.read(source);
      site.scaleLoad(size);
      if (limits != 1) {
        site.scaleLimits(limits);
      }
      if (duration != null) {
        site.setDuration(duration);
      }
      if (restart != null) {
        site.setRestartDelay(restart);
      }
      for (var entry : mix.entrySet()) {
        site.scaleArrivals(entry.getKey(), entry.getValue());
      }
      for (var entry : teams.entrySet()) {
        site.setTeamWeight(entry.getKey(), entry.getValue());
      }
      site.write(target);
      // A deployment file may refer to wire.json in its own directory.
      Path wireFile = source.toAbsolutePath().resolveSibling("wire.json");
      if (Files.exists(wireFile)) {
        Files.copy(
            wireFile,
            target.toAbsolutePath().resolveSibling("wire.json"),
            StandardCopyOption.REPLACE_EXISTING);
      }
      return 0;
    }
  }

  /** Generates days with random faults for a site. */
  @Command(name = "draw", description = "Generates days for a site, one file per seed.")
  static final class Draw implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SITE")
    private Path siteFile;

    @Parameters(index = "1", paramLabel = "DIR")
    private Path directory;

    @Option(names = "--like", description = "Further sites whose faults may occur.")
    private List<Path> like = new ArrayList<>();

    @Option(names = "--from", description = "The first seed.")
    private long first = 1;

    @Option(names = "--count", description = "Number of days.")
    private int count = 10;

    @Option(
        names = "--size",
        description = "Factor on the number of machines that a fault affects.")
    private double size = 1;

    @Option(names = "--flood", description = "Largest factor on arrivals in a burst.")
    private double flood = 6;

    @Option(names = "--broken", description = "Share of arrays that fail on every machine.")
    private double broken;

    @Option(names = "--guests", description = "Adds the guest team of a day of the site.")
    private boolean guests;

    @Option(
        names = "--meetings",
        description =
            "Adds overlapping faults: late writes and reports, machines that receive nothing,"
                + " nodes cut off twice;"
                + " the state service refuses first the busiest node, then all, while users"
                + " cancel jobs.")
    private boolean meetings;

    @Option(
        names = "--duration",
        description = "Length of a day in seconds; by default that of the site.")
    private Double duration;

    @Override
    public Integer call() throws IOException, SiteFile.BadInput {
      SiteFile site = SiteFile.read(siteFile);
      Map<String, List<ObjectNode>> faultsByKind = site.faultsByKind();
      for (Path path : like) {
        for (var entry : SiteFile.read(path).faultsByKind().entrySet()) {
          // Skips faults with references, which this site may lack.
          for (ObjectNode fault : entry.getValue()) {
            if (!fault.has("class") && !fault.has("zone") && !fault.has("type")) {
              faultsByKind.computeIfAbsent(entry.getKey(), kind -> new ArrayList<>()).add(fault);
            }
          }
        }
      }
      if (meetings) {
        for (ObjectNode fault : SiteFile.additionalFaults()) {
          faultsByKind
              .computeIfAbsent(fault.path("kind").asText(), kind -> new ArrayList<>())
              .add(fault);
        }
      }
      if (faultsByKind.isEmpty() || count < 1 || !(size > 0) || !(broken >= 0 && broken <= 1)) {
        throw new SiteFile.BadInput(
            "no faults to choose from, or not --count >= 1, --size > 0 and 0 <= --broken <= 1");
      }
      DayGenerator generator =
          new DayGenerator(site, faultsByKind, size, flood, broken, guests, meetings);
      double durationS = duration == null ? site.durationS() : duration;
      for (long seed = first; seed < first + count; seed++) {
        SiteFile.write(
            generator.generate(seed, durationS), directory.resolve("drawn-" + seed + ".toml"));
      }
      return 0;
    }
  }

  /** Prints the outcome of days from their reports. */
  @Command(name = "judge", description = "Prints for each report whether its day failed.")
  static final class Judge implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "REPORT")
    private List<Path> reports;

    @Override
    public Integer call() throws SiteFile.BadInput {
      int failed = 0;
      double leastServed = 1;
      for (Path path : reports) {
        DayReport report = DayReport.read(path);
        System.out.println(report.summaryLine());
        failed += report.fails() ? 1 : 0;
        leastServed = Math.min(leastServed, report.leastServed().getValue());
      }
      System.out.printf(
          java.util.Locale.ROOT,
          "%d days, %d fail, least served share %.3f%n",
          reports.size(),
          failed,
          leastServed);
      return failed == 0 ? 0 : 1;
    }
  }

  /** Prints reports as a CSV table. */
  @Command(name = "table", description = "Prints reports as lines of CSV.")
  static final class Table implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "REPORT")
    private List<Path> reports;

    @Override
    public Integer call() throws SiteFile.BadInput {
      System.out.println(DayReport.CSV_HEADER);
      for (Path path : reports) {
        System.out.println(DayReport.read(path).csvLine());
      }
      return 0;
    }
  }

  /** Creates a command without options; picocli sets them from the command line. */
  public WorkloadCommand() {}

  /** Runs a command line and returns its exit status, which is 2 for invalid input. */
  static int run(String... args) {
    return withErrorHandlers(new CommandLine(new WorkloadCommand())).execute(args);
  }

  /**
   * Adds handlers to a command line that print one line for invalid input and exit with status 2.
   *
   * @param command the command line to add the handlers to
   * @return the same command line
   */
  public static CommandLine withErrorHandlers(CommandLine command) {
    return command
        .setParameterExceptionHandler(
            (exception, args) -> {
              CommandLine line = exception.getCommandLine();
              line.getErr().println(line.getCommandName() + ": " + exception.getMessage());
              return EXIT_BAD_INPUT;
            })
        .setExecutionExceptionHandler(
            (exception, line, parsed) -> {
              boolean isBadInput =
                  exception instanceof SiteFile.BadInput || exception instanceof IOException;
              if (!isBadInput) {
                throw exception;
              }
              line.getErr().println("days: " + exception.getMessage());
              return EXIT_BAD_INPUT;
            });
  }

  /**
   * Runs the command and exits with its status.
   *
   * @param args the arguments of the command line
   */
  public static void main(String[] args) {
    System.exit(run(args));
  }
}
