package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command {@code soak}: real controllers under drawn faults, seed after seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Plays real controllers under drawn faults over loopback and checks all rules.")
final class SoakCommand implements Callable<Integer> {
  private static final int BROKEN = 1;
  private static final String RANGE = "[0-9]{1,9}(-[0-9]{1,9})?";
  private static final int MOST_SEEDS = 10_000;
  private static final Path DEPLOY = Path.of("deploy", "service.toml");

  @Spec private CommandSpec spec;

  @Option(names = "--seeds", description = "One seed, or the first and the last: A-B.")
  private String seeds;

  @Option(names = "--plan", description = "Plays this file's plan instead of drawing one.")
  private Path planFile;

  @Option(
      names = "--workers",
      description = "Hollow workers; if not given, the seed says: a few hundred now and then.")
  private Integer workers;

  @Option(
      names = "--duration",
      description = "Seconds within which faults begin. Default: ${DEFAULT-VALUE}.")
  private int duration = 30;

  @Option(
      names = "--out",
      description = "Folder for plans, logs and messages. Default: ${DEFAULT-VALUE}.")
  private Path out = Path.of("target", "soak");

  @Option(names = "--keep", description = "Keeps logs and messages of runs that pass as well.")
  private boolean keep;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      List<SoakPlan> plans = plans();
      long memoryMb = MachineMemory.totalMb();
      for (SoakPlan plan : plans) {
        plan.check(memoryMb);
      }
      Path root = Path.of("").toAbsolutePath();
      return play(plans, LaunchCommand.read(DEPLOY, root, 0), root);
    } catch (InvalidInputException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private List<SoakPlan> plans() throws InvalidInputException {
    if ((planFile == null) == (seeds == null)) {
      throw new InvalidInputException("either --seeds or --plan is needed");
    }
    if (planFile != null) {
      return List.of(SoakPlan.read(planFile));
    }
    if (!seeds.matches(RANGE)) {
      throw new InvalidInputException("--seeds: A or A-B expected, not " + seeds);
    }
    String[] ends = seeds.split("-", -1);
    long first = Long.parseLong(ends[0]);
    long last = Long.parseLong(ends[ends.length - 1]);
    if (last < first || last - first >= MOST_SEEDS) {
      throw new InvalidInputException("--seeds: from 1 to " + MOST_SEEDS + " seeds, first to last");
    }
    if (workers != null && workers < 1) {
      throw new InvalidInputException("--workers: must be from 1 to " + SoakPlan.MAX_WORKERS);
    }
    if (duration < 1 || duration > SoakPlan.MAX_DURATION_S) {
      throw new InvalidInputException("--duration: must be from 1 to " + SoakPlan.MAX_DURATION_S);
    }
    List<SoakPlan> plans = new ArrayList<>();
    for (long seed = first; seed <= last; seed++) {
      plans.add(SoakPlan.generate(seed, workers == null ? 0 : workers, duration));
    }
    return plans;
  }

  private int play(List<SoakPlan> plans, List<String> command, Path root)
      throws IOException, InterruptedException, InvalidInputException {
    Map<SoakVerdict.Result, Integer> results = new EnumMap<>(SoakVerdict.Result.class);
    for (SoakPlan plan : plans) {
      Path dir = out.resolve("seed-" + plan.seed());
      Files.createDirectories(dir);
      System.out.println("seed " + plan.seed() + ", plan " + dir.resolve("plan.txt"));
      SoakVerdict verdict =
          new SoakRun(plan, command, root, dir, keep, line -> System.err.println("  " + line))
              .play();
      results.merge(verdict.result(), 1, Integer::sum);
      System.out.println(verdict.summary());
      verdict.details().forEach(d -> System.out.println("  " + d));
    }
    int passed = results.getOrDefault(SoakVerdict.Result.PASSED, 0);
    System.out.println(
        passed
            + " passed, "
            + results.getOrDefault(SoakVerdict.Result.FAILED, 0)
            + " failed, "
            + results.getOrDefault(SoakVerdict.Result.NOT_FINISHED, 0)
            + " not finished");
    return passed == plans.size() ? 0 : BROKEN;
  }
}
