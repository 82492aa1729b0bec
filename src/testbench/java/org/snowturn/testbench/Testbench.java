package org.snowturn.testbench;

import org.snowturn.workload.WorkloadCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Developers' tools: scale and soak runs, tables of their results, copies and draws of deployments.
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
    description = "Scale and soak runs of real controllers, tables, and days of one's own.")
public final class Testbench {
  Testbench() {}

  /** Exit status 2 stands for what the caller got wrong, in one line. */
  public static void main(String[] args) {
    System.exit(WorkloadCommand.withErrorHandlers(new CommandLine(new Testbench())).execute(args));
  }
}
