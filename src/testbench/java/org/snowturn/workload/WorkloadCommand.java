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
 * For developers: copies of a deployment's file in another size, days of one's own drawn from all
 * kinds of trouble, and what played days say of the things that fail one. Plays nothing itself.
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
    description = "Copies of deployments, days drawn from their troubles, and a look at reports.")
public final class WorkloadCommand {
  private static final int BAD_INPUT = 2;

  @Command(name = "copy", description = "Writes a copy of a site of another size.")
  static final class Copy implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SITE")
    private Path from;

    @Parameters(index = "1", paramLabel = "TO")
    private Path to;

    @Option(names = "--size", description = "Machines, first jobs and arrivals so many times.")
    private double size = 1;

    @Option(
        names = "--limits",
        description = "Controllers, state service and cloud may do so many times as much.")
    private double limits = 1;

    @Option(names = "--duration", description = "Seconds a day; the site's own if not given.")
    private Double duration;

    @Option(names = "--restart", description = "Processes are back after so many seconds.")
    private Double restart;

    @Option(names = "--mix", description = "CLASS=TIMES: so many times as many of a class.")
    private Map<String, Double> mix = new TreeMap<>();

    @Option(names = "--team", description = "NAME=WEIGHT: a team's weight; a new one is added.")
    private Map<String, Double> teams = new TreeMap<>();

    @Override
    public Integer call() throws IOException, SiteFile.BadInput {
      SiteFile site = SiteFile.read(from);
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
      for (var e : mix.entrySet()) {
        site.scaleArrivals(e.getKey(), e.getValue());
      }
      for (var e : teams.entrySet()) {
        site.setTeamWeight(e.getKey(), e.getValue());
      }
      site.write(to);
      // What a site refers to lies beside it.
      Path beside = from.toAbsolutePath().resolveSibling("wire.json");
      if (Files.exists(beside)) {
        Files.copy(
            beside,
            to.toAbsolutePath().resolveSibling("wire.json"),
            StandardCopyOption.REPLACE_EXISTING);
      }
      return 0;
    }
  }

  @Command(name = "draw", description = "Draws days for a site, one file a seed.")
  static final class Draw implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SITE")
    private Path at;

    @Parameters(index = "1", paramLabel = "DIR")
    private Path dir;

    @Option(names = "--like", description = "Sites whose kinds of trouble may come too.")
    private List<Path> like = new ArrayList<>();

    @Option(names = "--from", description = "The first seed.")
    private long first = 1;

    @Option(names = "--count", description = "How many days.")
    private int count = 10;

    @Option(names = "--size", description = "So many times as many machines die or hang at once.")
    private double size = 1;

    @Option(names = "--flood", description = "The most that a burst multiplies arrivals by.")
    private double flood = 6;

    @Option(names = "--broken", description = "The share of arrays that fail wherever they run.")
    private double broken;

    @Option(names = "--guests", description = "A guest team comes, as on a day of the site.")
    private boolean guests;

    @Option(
        names = "--meetings",
        description =
            "Late writes and reports, deaf machines, nodes cut off twice; the busiest node refused"
                + " alone, then all, while users cancel.")
    private boolean meetings;

    @Option(names = "--duration", description = "Seconds a day; the site's own if not given.")
    private Double duration;

    @Override
    public Integer call() throws IOException, SiteFile.BadInput {
      SiteFile site = SiteFile.read(at);
      Map<String, List<ObjectNode>> troubles = site.faultsByKind();
      for (Path p : like) {
        for (var e : SiteFile.read(p).faultsByKind().entrySet()) {
          // Only what names nothing that this site lacks.
          for (ObjectNode f : e.getValue()) {
            if (!f.has("class") && !f.has("zone") && !f.has("type")) {
              troubles.computeIfAbsent(e.getKey(), k -> new ArrayList<>()).add(f);
            }
          }
        }
      }
      if (meetings) {
        for (ObjectNode f : SiteFile.additionalFaults()) {
          troubles.computeIfAbsent(f.path("kind").asText(), k -> new ArrayList<>()).add(f);
        }
      }
      if (troubles.isEmpty() || count < 1 || !(size > 0) || !(broken >= 0 && broken <= 1)) {
        throw new SiteFile.BadInput("nothing to draw from, or no number of days, or no size");
      }
      DayGenerator draw = new DayGenerator(site, troubles, size, flood, broken, guests, meetings);
      double seconds = duration == null ? site.durationS() : duration;
      for (long seed = first; seed < first + count; seed++) {
        SiteFile.write(draw.generate(seed, seconds), dir.resolve("drawn-" + seed + ".toml"));
      }
      return 0;
    }
  }

  @Command(name = "judge", description = "Tells of reports what would fail their days.")
  static final class Judge implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "REPORT")
    private List<Path> reports;

    @Override
    public Integer call() throws SiteFile.BadInput {
      int failed = 0;
      double least = 1;
      for (Path p : reports) {
        DayReport r = DayReport.read(p);
        System.out.println(r.summaryLine());
        failed += r.fails() ? 1 : 0;
        least = Math.min(least, r.leastServed().getValue());
      }
      System.out.printf(
          java.util.Locale.ROOT,
          "%d days, %d fail, least served share %.3f%n",
          reports.size(),
          failed,
          least);
      return failed == 0 ? 0 : 1;
    }
  }

  @Command(name = "table", description = "Prints reports as lines of CSV.")
  static final class Table implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "REPORT")
    private List<Path> reports;

    @Override
    public Integer call() throws SiteFile.BadInput {
      System.out.println(DayReport.CSV_HEADER);
      for (Path p : reports) {
        System.out.println(DayReport.read(p).csvLine());
      }
      return 0;
    }
  }

  /** Its options are read by the command line. */
  public WorkloadCommand() {}

  /** Runs a command line; the exit status is 2 for what the caller got wrong. */
  static int run(String... args) {
    return withErrorHandlers(new CommandLine(new WorkloadCommand())).execute(args);
  }

  /** Tells of what the caller got wrong in one line, with status 2. */
  public static CommandLine withErrorHandlers(CommandLine command) {
    return command
        .setParameterExceptionHandler(
            (e, args) -> {
              CommandLine line = e.getCommandLine();
              line.getErr().println(line.getCommandName() + ": " + e.getMessage());
              return BAD_INPUT;
            })
        .setExecutionExceptionHandler(
            (e, line, parsed) -> {
              boolean callers = e instanceof SiteFile.BadInput || e instanceof IOException;
              if (!callers) {
                throw e;
              }
              line.getErr().println("days: " + e.getMessage());
              return BAD_INPUT;
            });
  }

  public static void main(String[] args) {
    System.exit(run(args));
  }
}
