package org.snowturn.core.connectivity;

/**
 * Whether a leader is heard by workers at all. Reports that stop altogether are the leader's own
 * trouble, and are known long before its machines, one after the other, would seem to have died and
 * be deleted. Counted in sweeps, not by the clock: a node that stood still has not listened
 * meanwhile.
 */
public final class WorkerSilence {
  /** So many sweeps without a report, where so many reports were due, are no accident. */
  private static final int SWEEPS = 6;

  private static final int REPORTS = 15;

  /** After such a silence probes that it spoilt are still to run out, and workers to come back. */
  private static final long AGAIN_MS = 2_500;

  private final long sweepMs;
  private final double reportS;
  private boolean heard;
  private int unheardSweeps;
  private int inVain;
  private int betterSweeps;
  private boolean silent;
  private boolean everSilent;
  private long silentAt;

  /**
   * A leader that has just begun.
   *
   * @param sweepMs the time between two sweeps
   * @param reportS the interval of the workers' reports
   */
  public WorkerSilence(long sweepMs, double reportS) {
    this.sweepMs = sweepMs;
    this.reportS = reportS;
  }

  /** A worker has reported or answered. */
  public void heard() {
    heard = true;
  }

  /** A question or a command got no answer. */
  public void unanswered() {
    inVain++;
  }

  /**
   * Counts one sweep.
   *
   * @param machines all that have been up: counted by those that are heard at present, a node that
   *     no machine reaches any more would soon expect none to
   */
  public void sweep(int machines, long nowMs) {
    unheardSweeps = heard ? 0 : unheardSweeps + 1;
    inVain = heard ? 0 : inVain;
    heard = false;
    double expected = unheardSweeps * sweepMs / 1000.0 * machines / reportS;
    silent = unheardSweeps >= SWEEPS && expected > REPORTS;
    if (silent) {
      everSilent = true;
      silentAt = nowMs;
    }
  }

  /**
   * Whether nobody reaches this node any more.
   *
   * @param turnedOver whether workers have had the time to find this leader. Before, they may still
   *     wait for an answer from the one that led before it, and only questions in vain tell
   */
  public boolean deaf(boolean turnedOver) {
    return silent && (turnedOver || inVain >= REPORTS);
  }

  /**
   * How many machines to ask now, so that it becomes clear whether anybody is reached; mostly 0.
   */
  public int wantsAsked() {
    return silent && inVain < REPORTS && unheardSweeps % SWEEPS == 0 ? 3 * REPORTS : 0;
  }

  /**
   * Whether machines are heard, and have been for a while. A leader that stays through a cut, since
   * nobody is better placed, must not judge single machines meanwhile: the first to fall silent
   * would be taken for dead while the others are not yet late.
   */
  public boolean hears(long nowMs) {
    return !everSilent || nowMs - silentAt > AGAIN_MS;
  }

  /**
   * Whether to leave the place to a node that can serve: if that is so in two sweeps in a row. At
   * the end of a cut all links come back, but not in the same moment.
   */
  public boolean handOver(boolean cannotServe, boolean betterElsewhere) {
    betterSweeps = cannotServe && betterElsewhere ? betterSweeps + 1 : 0;
    return betterSweeps >= 2;
  }
}
