package org.snowturn.core.assignment;

import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;

/**
 * Delivers the starts of placed tasks: directly, or in answers to heartbeats while a machine is in
 * its first agent epoch.
 *
 * <p>The network may deliver a direct message once more at any later time. A machine that has come
 * back under its name without its memory is in its first agent epoch and has seen no token, so it
 * would execute a copy of a start for that epoch, while the task runs elsewhere. An answer to a
 * heartbeat never reaches another incarnation of the agent.
 */
public final class StartDelivery {
  /** Part of a lease in which an agent sends at most one early heartbeat for a higher token. */
  private static final double MIN_PROMPT_INTERVAL_LEASES = 0.5;

  private final CoreRuntime runtime;
  private final StartFencing fencing;
  private final long minPromptIntervalMs;
  private Consumer<Machine> onAnswerNeeded = machine -> {};
  private long prompts;

  /**
   * Creates the delivery of a term's starts.
   *
   * @param fencing raises the tokens of machines
   */
  public StartDelivery(CoreRuntime runtime, Settings settings, StartFencing fencing) {
    this.runtime = runtime;
    this.fencing = fencing;
    this.minPromptIntervalMs =
        (long) (settings.workers().leaseS() * 1000 * MIN_PROMPT_INTERVAL_LEASES);
  }

  /**
   * Sets the handler of machines that have a start which only the answer to a heartbeat may carry.
   */
  public void setAnswerNeededHandler(Consumer<Machine> handler) {
    onAnswerNeeded = handler;
  }

  /** Delivers the start of an attempt whose placement is durable. */
  void deliver(Machine machine, Command start) {
    if (machine.session.isInFirstEpoch()) {
      onAnswerNeeded.accept(machine);
    } else {
      machine.commands().add(start);
    }
  }

  /** Returns whether the machine can be prompted to send a heartbeat at once. */
  public static boolean canPrompt(Machine machine, long nowMs) {
    return nowMs >= machine.session.nextPromptAt();
  }

  /**
   * Prompts the machine to send a heartbeat at once, whose answer can carry starts. An agent does
   * so when it sees a higher token, though not more often than once in half of its lease.
   */
  public void prompt(Machine machine) {
    if (runtime.now() >= machine.session.nextPromptAt()
        && machine.commands().isIdle()
        && fencing.raiseToken(machine)) {
      onTokenRaised(machine);
      prompts++;
      machine.commands().probe();
    }
  }

  /** Records that the machine is sent a higher token than it has reported. */
  public void onTokenRaised(Machine machine) {
    if (runtime.now() >= machine.session.nextPromptAt()) {
      machine.session.setNextPromptAt(runtime.now() + minPromptIntervalMs);
    }
  }

  /** Returns the gauges of the delivery, by metric name. */
  public Map<String, Double> gauges() {
    return Map.of("snowturn.heartbeats.prompted", (double) prompts);
  }
}
