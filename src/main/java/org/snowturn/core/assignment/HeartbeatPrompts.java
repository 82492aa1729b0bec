package org.snowturn.core.assignment;

import org.snowturn.config.Settings;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;

/**
 * Prompts machines to send a heartbeat at once, whose answer can carry starts. An agent does so
 * when it sees a higher token, though not more often than once in half of its lease.
 */
public final class HeartbeatPrompts {
  /** Part of a lease in which an agent sends at most one early heartbeat for a higher token. */
  private static final double MIN_INTERVAL_LEASES = 0.5;

  private final CoreRuntime runtime;
  private final StartFencing fencing;
  private final long minIntervalMs;
  private long prompts;

  /**
   * Creates the prompts of a term.
   *
   * @param fencing raises the tokens of machines
   */
  public HeartbeatPrompts(CoreRuntime runtime, Settings settings, StartFencing fencing) {
    this.runtime = runtime;
    this.fencing = fencing;
    this.minIntervalMs = (long) (settings.workers().leaseS() * 1000 * MIN_INTERVAL_LEASES);
  }

  /** Returns whether the machine would react to a prompt. */
  public static boolean canPrompt(Machine machine, long nowMs) {
    return nowMs >= machine.session.nextPromptAt();
  }

  /** Prompts the machine if it would react and no other message to it is under way. */
  public void prompt(Machine machine) {
    if (canPrompt(machine, runtime.now())
        && machine.commands().isIdle()
        && fencing.raiseToken(machine)) {
      onTokenRaised(machine);
      prompts++;
      machine.commands().probe();
    }
  }

  /** Records that the machine is sent a higher token than it has reported. */
  public void onTokenRaised(Machine machine) {
    if (canPrompt(machine, runtime.now())) {
      machine.session.setNextPromptAt(runtime.now() + minIntervalMs);
    }
  }

  /** Returns how many prompts were sent. */
  public long prompts() {
    return prompts;
  }
}
