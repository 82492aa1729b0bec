package org.snowturn.core.recovery;

/**
 * Decision table that compares the stored state of a task's attempt with the report of its machine.
 * It is the table of docs/recovery.md. It only returns verdicts; the callers act on them.
 *
 * <p>Callers pass only the newest report of a machine. Two properties of a report decide how much
 * it proves. Its token: once a machine has reported the present token, it no longer executes starts
 * of earlier leaders. Its agent epoch: attempts that were placed in an earlier agent epoch of the
 * machine ended with that epoch.
 */
public final class Reconciliation {
  /** State of the attempt by the stored records and the placements of this term. */
  public enum Stored {
    /**
     * No live job has this name: it was never accepted, is over, or its cancellation is complete.
     */
    NOTHING,
    /** The job is live and the task waits for a machine. */
    WAITING,
    /**
     * The task is placed with another attempt or on another machine, or its job is cancelled and
     * needs no result.
     */
    ELSEWHERE,
    /** The result of the task is known. */
    FINISHED,
    /** Placed here in this term. The placement is not durable yet, so no start has been sent. */
    PLACING,
    /** Started here under this term's token, or reported here under it. */
    STARTED,
    /** Placed here by an earlier leader and not yet reported under this term's token. */
    INHERITED;

    /** Returns whether the attempt is placed on this machine, so that it may run there. */
    public boolean isPlacedHere() {
      return this == PLACING || this == STARTED || this == INHERITED;
    }
  }

  /** State of the attempt by the report of the machine. */
  public enum Reported {
    /** Not listed. */
    ABSENT,
    /** Fetching, running or saving. */
    ALIVE,
    /** Ended with a result. */
    DONE,
    /** Ended without a result: stopped, failed or refused. */
    ENDED
  }

  /** Agent epoch of the report relative to the one in which the attempt was placed. */
  public enum EpochOrder {
    EARLIER,
    SAME,
    LATER
  }

  /** Decision on an attempt. */
  public enum Verdict {
    /** Do nothing: the attempt runs where it is placed. */
    KEEP,
    /** Do nothing yet: the report proves nothing. */
    WAIT,
    /** Send the start again, since it may have been lost. A repeated start is harmless. */
    START,
    /** Tell the machine to stop the attempt. */
    STOP,
    /** Queue the task again: the attempt has certainly ended without a result. */
    RELEASE,
    /** Record the task as done. */
    COMPLETE,
    /** Tell the machine to stop listing the attempt. */
    FORGET
  }

  /**
   * Input of the decision: one attempt on one machine.
   *
   * @param stored state of the attempt by the records
   * @param reported state of the attempt by the report
   * @param epochOrder agent epoch of the report relative to that of the placement; used only if the
   *     attempt is placed on this machine
   * @param presentToken whether the report carries the present token
   * @param stopping whether the attempt has been told to stop or is to be told
   * @param settled whether the result of the attempt, if any, is durable and no start of it can
   *     still arrive
   */
  public record Case(
      Stored stored,
      Reported reported,
      EpochOrder epochOrder,
      boolean presentToken,
      boolean stopping,
      boolean settled) {}

  private Reconciliation() {}

  /** Returns the verdict for an attempt. */
  public static Verdict decide(Case attempt) {
    if (!attempt.stored.isPlacedHere()) {
      return decideNotPlacedHere(attempt);
    }
    return switch (attempt.epochOrder) {
      case LATER -> Verdict.RELEASE;
      case EARLIER -> Verdict.WAIT;
      // No start has been sent, so the attempt cannot be listed. A report of it is ignored.
      case SAME -> attempt.stored == Stored.PLACING ? Verdict.WAIT : decidePlacedHere(attempt);
    };
  }

  private static Verdict decidePlacedHere(Case attempt) {
    return switch (attempt.reported) {
      case ALIVE -> attempt.stopping ? Verdict.STOP : Verdict.KEEP;
      // An end has to be reported under the present token, like absence: a report without it may
      // be older than commands that an earlier leader has sent since.
      case DONE -> attempt.presentToken ? Verdict.COMPLETE : Verdict.WAIT;
      case ENDED -> attempt.presentToken ? Verdict.RELEASE : Verdict.WAIT;
      case ABSENT -> decideNotListed(attempt);
    };
  }

  private static Verdict decideNotListed(Case attempt) {
    return switch (attempt.stored) {
      // An attempt that is to stop is released once no start of it can still arrive, rather than
      // started only to be stopped.
      case STARTED ->
          attempt.stopping && attempt.presentToken && attempt.settled
              ? Verdict.RELEASE
              : Verdict.START;
      case INHERITED -> attempt.presentToken ? Verdict.RELEASE : Verdict.WAIT;
      default -> Verdict.WAIT;
    };
  }

  private static Verdict decideNotPlacedHere(Case attempt) {
    return switch (attempt.reported) {
      case ABSENT -> Verdict.WAIT;
      case ALIVE -> Verdict.STOP;
      case DONE -> {
        if (attempt.stored == Stored.WAITING && attempt.presentToken) {
          yield Verdict.COMPLETE;
        }
        yield decideForget(attempt);
      }
      case ENDED -> decideForget(attempt);
    };
  }

  private static Verdict decideForget(Case attempt) {
    return attempt.presentToken && attempt.settled ? Verdict.FORGET : Verdict.WAIT;
  }
}
