package org.snowturn.testbench;

import org.snowturn.workload.WorkloadCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Entry point of the developers' tools: scale runs, soak runs, capacity tables, behavior digests
 * and generated workloads.
 */
@Command(
    name = "snowturn-testbench",
    mixinStandardHelpOptions = true,
    subcommands = {
      ScaleCommand.class,
      SoakCommand.class,
      CapacityCommand.class,
      DigestCommand.class,
      WorkloadCommand.class
    },
    description =
        "Scale and soak runs of real controllers, capacity tables, behavior digests and workloads.")
public final class Testbench {
  Testbench() {}

  /** Runs a command. Invalid input is reported in one line and ends with exit status 2. */
  public static void main(String[] args) {
    System.exit(WorkloadCommand.withErrorHandlers(new CommandLine(new Testbench())).execute(args));
  }
}
