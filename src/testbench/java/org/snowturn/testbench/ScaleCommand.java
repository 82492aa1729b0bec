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

/** The command {@code scale}: real controllers and hollow workers, for a bounded time. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description = "Plays real controllers with hollow workers over loopback and measures them.")
final class ScaleCommand implements Callable<Integer> {
  private static final int BROKEN = 1;
  private static final Path DEPLOY = Path.of("deploy", "service.toml");

  @Spec private CommandSpec spec;

  @Option(names = "--workers", required = true, description = "Hollow workers, in all.")
  private int workers;

  @Option(names = "--tasks", description = "Running tasks; 27 a worker if not given.")
  private Integer tasks;

  @Option(names = "--starts", description = "Starts a second. Default: ${DEFAULT-VALUE}.")
  private double starts = 50;

  @Option(names = "--regions", description = "Default: ${DEFAULT-VALUE}.")
  private int regions = 1;

  @Option(names = "--controllers", description = "Of each region. Default: ${DEFAULT-VALUE}.")
  private int controllers = 3;

  @Option(names = "--teams", description = "Default: ${DEFAULT-VALUE}.")
  private int teams = 190;

  @Option(names = "--duration", description = "Seconds of load. Default: ${DEFAULT-VALUE}.")
  private int duration = 60;

  @Option(names = "--heap", description = "Controllers' heap in MB; 0: as in the deploy file.")
  private int heap;

  @Option(
      names = "--connections",
      description = "A controller's sockets. Default: ${DEFAULT-VALUE}.")
  private int connections = 8_192;

  @Option(names = "--state-requests", description = "A second. Default: ${DEFAULT-VALUE}.")
  private double stateRequests = 600;

  @Option(names = "--state-changes", description = "A second. Default: ${DEFAULT-VALUE}.")
  private double stateChanges = 250;

  @Option(
      names = "--fail",
      converter = Failure.Reader.class,
      description = "leader, zone, region or workers=COUNT, after a third of the time.")
  private Failure failure = Failure.NONE;

  @Option(names = "--seed", description = "Default: ${DEFAULT-VALUE}.")
  private long seed = 1;

  @Option(names = "--out", required = true, description = "Folder for settings, logs and figures.")
  private Path out;

  @Override
  public Integer call() throws IOException, InterruptedException, TimeoutException {
    ScalePlan plan =
        new ScalePlan(
            workers,
            tasks == null ? 27 * workers : tasks,
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
      command = LaunchCommand.read(DEPLOY, root, heap);
    } catch (InvalidPlanException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
    ScaleResult result;
    Consumer<String> progress = line -> System.err.println(line);
    try (ScaleRun run = new ScaleRun(plan, command, root, out, progress)) {
      result = run.run();
    }
    ScaleResultWriter.write(result, out);
    ScaleResultWriter.print(result, System.out);
    return result.brokenRules().isEmpty() ? 0 : BROKEN;
  }
}
