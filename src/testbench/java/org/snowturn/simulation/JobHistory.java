package org.snowturn.simulation;

/**
 * Linearizability check of the answers that users got about one job.
 *
 * <p>The job is a register whose state only moves forward: unknown, accepted, terminal. An answer
 * may reflect the state at any moment between its request and its arrival. The history is
 * linearizable if and only if no answer reports an earlier state than an answer that had arrived
 * before its request was sent. Requests to different controllers may therefore overlap.
 */
final class JobHistory {
  private long acceptedAt = Long.MAX_VALUE;
  private long terminalAt = Long.MAX_VALUE;
  private String terminalPhase;

  /**
   * Records an answer. Answers must be recorded in the order in which they arrive.
   *
   * @param askedAt the time at which the request was sent, in milliseconds
   * @param now the time at which the answer arrived, in milliseconds
   * @param phase the phase that the answer gives for the job, or null if it calls the job unknown
   * @return the rule that the answer violates, or null
   */
  String recordAnswer(long askedAt, long now, String phase) {
    if (phase == null) {
      return askedAt >= acceptedAt ? "forgotten" : null;
    }
    acceptedAt = Math.min(acceptedAt, now);
    if (!phase.equals("done") && !phase.equals("aborted")) {
      return askedAt >= terminalAt ? "went_back" : null;
    }
    if (terminalPhase == null) {
      terminalPhase = phase;
      terminalAt = now;
    }
    return terminalPhase.equals(phase) ? null : "went_back";
  }
}
