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

/** The command {@code soak}: runs real controllers under random faults, one run for each seed. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs real controllers under random faults over loopback and checks all rules.")
final class SoakCommand implements Callable<Integer> {
  private static final int EXIT_NOT_PASSED = 1;
  private static final String SEED_RANGE = "[0-9]{1,9}(-[0-9]{1,9})?";
  private static final int MAX_SEEDS = 10_000;
  private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");

  @Spec private CommandSpec spec;

  @Option(names = "--seeds", description = "One seed A, or a range of seeds A-B.")
  private String seeds;

  @Option(names = "--plan", description = "Runs the plan in this file instead of generated ones.")
  private Path planFile;

  @Option(
      names = "--workers",
      description = "Simulated workers. Default: chosen by the seed, sometimes a few hundred.")
  private Integer workers;

  @Option(
      names = "--duration",
      description = "Time within which faults begin, in seconds. Default: ${DEFAULT-VALUE}.")
  private int duration = 30;

  @Option(
      names = "--out",
      description = "Directory for plans, settings, logs and verdicts. Default: ${DEFAULT-VALUE}.")
  private Path out = Path.of("target", "soak");

  @Option(names = "--keep", description = "Also keeps the logs of runs that pass.")
  private boolean shouldKeepLogs;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      List<SoakPlan> plans = plans();
      long memoryMb = MachineMemory.totalMb();
      for (SoakPlan plan : plans) {
        plan.check(memoryMb);
      }
      Path workingDirectory = Path.of("").toAbsolutePath();
      return play(plans, LaunchCommand.read(DEPLOY_FILE, workingDirectory, 0), workingDirectory);
    } catch (InvalidInputException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  private List<SoakPlan> plans() throws InvalidInputException {
    if ((planFile == null) == (seeds == null)) {
      throw new InvalidInputException("--seeds, --plan: exactly one of them is required");
    }
    if (planFile != null) {
      return List.of(SoakPlan.read(planFile));
    }
    if (!seeds.matches(SEED_RANGE)) {
      throw new InvalidInputException("--seeds: a number A or a range A-B expected, not " + seeds);
    }
    String[] bounds = seeds.split("-", -1);
    long first = Long.parseLong(bounds[0]);
    long last = Long.parseLong(bounds[bounds.length - 1]);
    if (last < first || last - first >= MAX_SEEDS) {
      throw new InvalidInputException(
          "--seeds: a range of 1 to "
              + MAX_SEEDS
              + " seeds in ascending order expected, not "
              + seeds);
    }
    if (workers != null && workers < 1) {
      throw new InvalidInputException(
          "--workers: must be from 1 to " + SoakPlan.MAX_WORKERS + ", not " + workers);
    }
    if (duration < 1 || duration > SoakPlan.MAX_DURATION_S) {
      throw new InvalidInputException(
          "--duration: must be from 1 to " + SoakPlan.MAX_DURATION_S + " seconds, not " + duration);
    }
    List<SoakPlan> plans = new ArrayList<>();
    for (long seed = first; seed <= last; seed++) {
      plans.add(SoakPlan.generate(seed, workers == null ? 0 : workers, duration));
    }
    return plans;
  }

  /** Runs the plans one after the other and returns the exit code. */
  private int play(List<SoakPlan> plans, List<String> controllerCommand, Path workingDirectory)
      throws IOException, InterruptedException, InvalidInputException {
    Map<SoakVerdict.Result, Integer> results = new EnumMap<>(SoakVerdict.Result.class);
    for (SoakPlan plan : plans) {
      Path dir = out.resolve("seed-" + plan.seed());
      Files.createDirectories(dir);
      System.out.println("seed " + plan.seed() + ", plan " + dir.resolve("plan.txt"));
      SoakVerdict verdict =
          new SoakRun(
                  plan,
                  controllerCommand,
                  workingDirectory,
                  dir,
                  shouldKeepLogs,
                  line -> System.err.println("  " + line))
              .play();
      results.merge(verdict.result(), 1, Integer::sum);
      System.out.println(verdict.summary());
      verdict.details().forEach(detail -> System.out.println("  " + detail));
    }
    int passed = results.getOrDefault(SoakVerdict.Result.PASSED, 0);
    System.out.println(
        passed
            + " passed, "
            + results.getOrDefault(SoakVerdict.Result.FAILED, 0)
            + " failed, "
            + results.getOrDefault(SoakVerdict.Result.NOT_FINISHED, 0)
            + " not finished");
    return passed == plans.size() ? 0 : EXIT_NOT_PASSED;
  }
}
