package org.snowturn.core.recovery;

/**
 * What follows from what is stored of a task's attempt and what its machine reports of it. This is
 * the table of docs/recovery.md; it decides and acts on nothing.
 *
 * <p>Only the newest report of a machine is put to it. Two things decide how much a report proves.
 * Its token: after a machine has shown the present one, no start of an earlier leader can be
 * executed there any more. Its session: what was placed in an earlier session of the machine has
 * ended with it.
 */
public final class Reconciliation {
  /** What the stored records, and this term's own placements, say of the attempt. */
  public enum Stored {
    /** No live job of this name: never accepted, over, or cancelled and done with. */
    NOTHING,
    /** The job lives and this task waits for a machine. */
    WAITING,
    /** The task has another attempt or machine, or its job is cancelled and needs no result. */
    ELSEWHERE,
    /** The task's result is known. */
    FINISHED,
    /** Placed here in this term; the placement is not durable, so no start has been sent. */
    PLACING,
    /** Started here under this token, or seen here under it. */
    STARTED,
    /** Placed here by an earlier leader and not yet seen under this token. */
    INHERITED;

    /** Whether this attempt may be on this machine. */
    public boolean isPlacedHere() {
      return this == PLACING || this == STARTED || this == INHERITED;
    }
  }

  /** What the machine says of the attempt. */
  public enum Reported {
    /** Not listed. */
    ABSENT,
    /** Fetching, running or saving. */
    ALIVE,
    /** Ended with its result. */
    DONE,
    /** Ended without: stopped, failed or refused. */
    ENDED
  }

  /** The report's session as against the one in which the attempt was placed. */
  public enum EpochOrder {
    EARLIER,
    SAME,
    LATER
  }

  /** What is to be done. */
  public enum Verdict {
    /** It is where it should be. */
    KEEP,
    /** Nothing is proven yet. */
    WAIT,
    /** Send the start again: it may have been lost, and is harmless if not. */
    START,
    /** Tell the machine to stop it. */
    STOP,
    /** It has certainly ended without a result: the task waits again. */
    RELEASE,
    /** The task is done. */
    COMPLETE,
    /** The machine need not list it any more. */
    FORGET
  }

  /**
   * One attempt on one machine.
   *
   * @param presentToken whether the report bears the present token
   * @param stopping whether the attempt has been told to stop, or is to be
   * @param settled whether nothing of the attempt is needed or in flight any more: its result, if
   *     any, is durable, and no start of it may still arrive
   */
  public record Case(
      Stored stored,
      Reported reported,
      EpochOrder epochOrder,
      boolean presentToken,
      boolean stopping,
      boolean settled) {}

  private Reconciliation() {}

  /** The verdict for a case. */
  public static Verdict decide(Case attempt) {
    if (!attempt.stored.isPlacedHere()) {
      return decideNotPlacedHere(attempt);
    }
    return switch (attempt.epochOrder) {
      case LATER -> Verdict.RELEASE;
      case EARLIER -> Verdict.WAIT;
      // What was not sent cannot be listed; if it seems to be, nothing is done about it.
      case SAME -> attempt.stored == Stored.PLACING ? Verdict.WAIT : decidePlacedHere(attempt);
    };
  }

  private static Verdict decidePlacedHere(Case attempt) {
    return switch (attempt.reported) {
      case ALIVE -> attempt.stopping ? Verdict.STOP : Verdict.KEEP;
      // Not only absence but also an end has to be told under this token: a report without it may
      // be older than what an earlier leader has done since.
      case DONE -> attempt.presentToken ? Verdict.COMPLETE : Verdict.WAIT;
      case ENDED -> attempt.presentToken ? Verdict.RELEASE : Verdict.WAIT;
      case ABSENT -> decideNotListed(attempt);
    };
  }

  private static Verdict decideNotListed(Case attempt) {
    return switch (attempt.stored) {
      // One that is to stop is not started to be stopped, once no start of it can still arrive.
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
