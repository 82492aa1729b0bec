package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * The command {@code scale}: runs real controllers with simulated workers for a bounded time and
 * measures them.
 */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = "Runs real controllers with simulated workers over loopback and measures them.")
final class ScaleCommand implements Callable<Integer> {
  private static final int EXIT_RULES_BROKEN = 1;
  private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");

  /** Default of {@code --tasks}, per worker. */
  private static final int TASKS_PER_WORKER = 27;

  @Spec private CommandSpec spec;

  @Option(
      names = "--workers",
      required = true,
      description = "Simulated workers in all regions together.")
  private int workers;

  @Option(names = "--tasks", description = "Tasks that run at a time. Default: 27 per worker.")
  private Integer tasks;

  @Option(names = "--starts", description = "Task starts per second. Default: ${DEFAULT-VALUE}.")
  private double starts = 50;

  @Option(names = "--regions", description = "Number of regions. Default: ${DEFAULT-VALUE}.")
  private int regions = 1;

  @Option(
      names = "--controllers",
      description = "Controllers per region. Default: ${DEFAULT-VALUE}.")
  private int controllers = 3;

  @Option(names = "--teams", description = "Number of teams. Default: ${DEFAULT-VALUE}.")
  private int teams = 190;

  @Option(names = "--duration", description = "Seconds of load. Default: ${DEFAULT-VALUE}.")
  private int duration = 60;

  @Option(names = "--heap", description = "Heap of a controller in MB; 0: as in the deploy file.")
  private int heap;

  @Option(
      names = "--connections",
      description = "Maximum sockets of a controller. Default: ${DEFAULT-VALUE}.")
  private int connections = 8_192;

  @Option(
      names = "--state-requests",
      description = "Maximum requests per second to a state service. Default: ${DEFAULT-VALUE}.")
  private double stateRequests = 600;

  @Option(
      names = "--state-changes",
      description = "Maximum changes per second in a state service. Default: ${DEFAULT-VALUE}.")
  private double stateChanges = 250;

  @Option(
      names = "--fail",
      converter = Failure.Converter.class,
      description = "What fails after a third of the time: leader, zone, region or workers=COUNT.")
  private Failure failure = Failure.NONE;

  @Option(names = "--seed", description = "Seed of the load. Default: ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(
      names = "--out",
      required = true,
      description = "Output folder for settings, logs and figures.")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException, TimeoutException {
    ScalePlan plan =
        new ScalePlan(
            workers,
            tasks == null ? TASKS_PER_WORKER * workers : tasks,
            starts,
            regions,
            controllers,
            teams,
            duration,
            heap,
            failure,
            seed,
            connections,
            stateRequests,
            stateChanges);
    List<String> command;
    Path root = Path.of("").toAbsolutePath();
    try {
      plan.check(MachineMemory.totalMb());
      command = LaunchCommand.read(DEPLOY_FILE, root, heap);
    } catch (InvalidInputException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
    ScaleResult result;
    Consumer<String> progress = line -> System.err.println(line);
    try (ScaleRun run = new ScaleRun(plan, command, root, out, progress)) {
      result = run.run();
    }
    ScaleResultWriter.write(result, out);
    ScaleResultWriter.print(result, System.out);
    return result.brokenRules().isEmpty() ? 0 : EXIT_RULES_BROKEN;
  }
}
