package org.snowturn.core.health;

/**
 * What the leader holds of an attempt that may be on a machine, at the moment at which its end is
 * to be decided. The one place that says which evidence proves an end.
 *
 * @param token the leader's token
 * @param nowMs the present time
 * @param session the machine's session in which the attempt was placed
 * @param durable whether its placement is durable, so that a start may have left
 * @param inherited whether an earlier leader placed it and it was not seen under this token
 * @param stopping whether it was told to stop
 * @param startInDoubt whether a direct start of it got no answer and may still arrive
 * @param machineDeleted whether the cloud has confirmed the machine's deletion
 * @param machineFailed whether the cloud lists the machine as failed
 * @param lastAnswerMs when the machine's lease may last have been renewed, by any leader
 * @param lapseMs how long after that a session has certainly ended
 */
public record AttemptSnapshot(
    long token,
    long nowMs,
    long session,
    boolean durable,
    boolean inherited,
    boolean stopping,
    boolean startInDoubt,
    boolean machineDeleted,
    boolean machineFailed,
    long lastAnswerMs,
    long lapseMs) {

  /** Why the evidence does not prove that the attempt has ended; null if it does. */
  public String objection(EndEvidence evidence) {
    if (evidence instanceof EndEvidence.ReportedEnded r) {
      return reported(r.token(), r.session());
    }
    if (evidence instanceof EndEvidence.NotListed n) {
      String objection = reported(n.token(), n.session());
      return objection != null || inherited ? objection : notListed(n);
    }
    if (evidence instanceof EndEvidence.LaterSession l) {
      return l.session() > session ? null : "the session is not later";
    }
    if (evidence instanceof EndEvidence.LeaseLapsed) {
      return nowMs - lastAnswerMs >= lapseMs ? null : "the lease has not run out";
    }
    if (evidence instanceof EndEvidence.MachineDeleted) {
      return machineDeleted ? null : "the deletion is not confirmed";
    }
    if (evidence instanceof EndEvidence.MachineFailed) {
      return machineFailed ? null : "the machine is not listed as failed";
    }
    return durable ? "a start may have been sent" : null;
  }

  private String reported(long reportToken, long reportSession) {
    if (reportToken != token) {
      return "the report does not bear the present token";
    }
    if (reportSession != session) {
      return "the report is of another session";
    }
    return durable ? null : "no start has been sent that could be reported";
  }

  /** Our own attempt is missing: that proves its end only once no start of it can arrive. */
  private String notListed(EndEvidence.NotListed report) {
    if (!stopping) {
      return "the start is repeated until the attempt is listed";
    }
    return report.checkIn() && !startInDoubt ? null : "a start of it may still arrive";
  }
}
