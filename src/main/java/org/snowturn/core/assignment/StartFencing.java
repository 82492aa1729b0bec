package org.snowturn.core.assignment;

import java.util.function.LongSupplier;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Heartbeat;

/**
 * Raises the tokens of machines, so that starts that were sent directly are refused if they arrive
 * late or once more.
 *
 * <p>Each transaction of the leader is conditional on the leader key. The revision of an executed
 * one is therefore a token of this leader alone: it is higher than the version of its leader key,
 * and a later leader can write the key only at a higher revision (docs/safety.md). Raising a token
 * needs no write of its own.
 */
public final class StartFencing {
  /**
   * Number of listed tasks above which a token is raised even while a direct message is in flight,
   * so that the attempts that wait to be forgotten cannot fill a heartbeat's 64 KiB.
   */
  private static final int MAX_TASKS_BEFORE_RAISE = 256;

  private final CoreRuntime runtime;
  private final LongSupplier committedRevision;
  private long raisedTokens;
  private long unfenced;

  /**
   * Creates the fencing of a term.
   *
   * @param committedRevision supplies the highest revision of the term's executed transactions; 0
   *     if there is none
   */
  public StartFencing(CoreRuntime runtime, LongSupplier committedRevision) {
    this.runtime = runtime;
    this.committedRevision = committedRevision;
  }

  /**
   * Makes the answer to the machine's heartbeat void all direct starts of an attempt, by raising
   * the machine's token if that is needed. The token usually stays while a direct message is in
   * flight, which the machine would refuse after the answer.
   *
   * @param heartbeat the heartbeat that is answered
   * @return whether a machine that receives the answer refuses all direct starts of the attempt
   */
  boolean fence(Machine machine, Heartbeat heartbeat, long attempt, int task) {
    if (machine.fence.isStartFenced(attempt, task)) {
      return true;
    }
    if (!machine.commands().isAwaitingReply()
        || heartbeat.tasks().size() > MAX_TASKS_BEFORE_RAISE) {
      raiseToken(machine);
    }
    boolean isFenced = machine.fence.isStartFenced(attempt, task);
    unfenced += isFenced ? 0 : 1;
    return isFenced;
  }

  /**
   * Raises the token of messages to the machine to the highest one that belongs to this term.
   *
   * @return whether it was raised
   */
  public boolean raiseToken(Machine machine) {
    boolean isRaised = machine.fence.raiseToken(committedRevision.getAsLong());
    if (isRaised) {
      raisedTokens++;
      logRaise(machine);
    }
    return isRaised;
  }

  private void logRaise(Machine machine) {
    if (runtime.events().isDebugEnabled()) {
      runtime
          .events()
          .debug(LogEvent.TOKEN_RAISED)
          .with(LogField.MACHINE, machine.id)
          .with(LogField.TOKEN, machine.fence.token())
          .write();
    }
  }

  /** Returns how often the token of a machine was raised. */
  long raisedTokens() {
    return raisedTokens;
  }

  /** Returns how often the starts of an attempt could not be made void yet. */
  long unfenced() {
    return unfenced;
  }
}
