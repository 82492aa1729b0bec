package org.snowturn.simulation;

/**
 * What users have been told of one job, as the history of a register that only moves on: unknown,
 * accepted, over. Each answer counts for some moment between its question and itself. The history
 * is linearizable just when no answer is older than one that had come before it was asked for; so
 * questions to all nodes may overlap as they like, and nothing else is excused.
 */
final class JobHistory {
  private long acceptedAt = Long.MAX_VALUE;
  private long terminalAt = Long.MAX_VALUE;
  private String terminalPhase;

  /**
   * Takes in an answer; answers are told of in the order in which they come.
   *
   * @param phase what it called the job, null if nobody submitted it
   * @return the rule that it breaks, or null
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
