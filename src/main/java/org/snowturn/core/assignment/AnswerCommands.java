package org.snowturn.core.assignment;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.wire.Command;
import org.snowturn.wire.CommandBatch;

/**
 * Collects the commands for the answer to one heartbeat and leaves out those for which the answer
 * has no room: starts first, then commands that a later answer may carry as well, and last the
 * stops that an answer which renews the lease has to carry.
 */
final class AnswerCommands {
  private final List<Command> requiredStops = new ArrayList<>();
  private final List<Command> stopsAndForgets = new ArrayList<>();
  private final List<List<Command>> starts = new ArrayList<>();

  /** Required stops that may follow later, since the lease would expire in time without them. */
  private final List<Command> deferrableStops = new ArrayList<>();

  /**
   * The commands of an answer.
   *
   * @param commands the commands that the answer carries
   * @param missingStops required stops for which the answer has no room
   * @param isComplete whether the answer may renew the lease without the missing stops
   * @param deferred the number of commands for which the answer has no room
   */
  record Composed(
      List<Command> commands, List<Command> missingStops, boolean isComplete, int deferred) {}

  /**
   * Adds a stop of a task whose job is cancelled or gone.
   *
   * @param isDeferrable whether the lease would expire in time for the cancellation if this answer
   *     renewed it without the stop
   */
  void addRequiredStop(Command stop, boolean isDeferrable) {
    (isDeferrable ? deferrableStops : requiredStops).add(stop);
  }

  /** Adds a stop that may be sent later, or a command to forget an attempt. */
  void add(Command command) {
    stopsAndForgets.add(command);
  }

  /** Adds a start, and the stop that is to follow it at once, if there is one. */
  void addStart(List<Command> startAndStop) {
    starts.add(startAndStop);
  }

  /** Returns the commands that the answer has room for, stops and forgets before starts. */
  Composed compose() {
    CommandBatch batch = new CommandBatch();
    List<Command> missingStops = new ArrayList<>();
    requiredStops.stream().filter(stop -> !batch.add(stop)).forEach(missingStops::add);
    boolean isComplete = missingStops.isEmpty();
    deferrableStops.stream().filter(stop -> !batch.add(stop)).forEach(missingStops::add);
    int deferred = missingStops.size();
    deferred += (int) stopsAndForgets.stream().filter(command -> !batch.add(command)).count();
    deferred += (int) starts.stream().filter(commands -> !batch.addAll(commands)).count();
    return new Composed(batch.commands(), missingStops, isComplete, deferred);
  }

  /** Returns all stops that an answer which renews the lease has to carry. */
  List<Command> allRequiredStops() {
    List<Command> all = new ArrayList<>(requiredStops);
    all.addAll(deferrableStops);
    return all;
  }
}
