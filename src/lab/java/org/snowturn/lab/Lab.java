package org.snowturn.lab;

import org.snowturn.days.Days;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Developers' tools: scale and soak runs, tables of their results, copies and draws of deployments.
 */
@Command(
    name = "snowturn-lab",
    mixinStandardHelpOptions = true,
    subcommands = {Scale.class, Soak.class, Capacity.class, Digest.class, Days.class},
    description = "Scale and soak runs of real controllers, tables, and days of one's own.")
public final class Lab {
  Lab() {}

  /** Exit status 2 stands for what the caller got wrong, in one line. */
  public static void main(String[] args) {
    System.exit(Days.handled(new CommandLine(new Lab())).execute(args));
  }
}
