package org.snowturn.core.health;

/**
 * What is offered as proof that an attempt has ended without a result, or that it never began. No
 * task is queued again without one of these; {@link #rejectionReason} judges whether it holds.
 */
public abstract sealed class EndEvidence {
  private final String kind;

  private EndEvidence(String kind) {
    this.kind = kind;
  }

  /** The name of this kind of evidence in logs and metrics; it stays the same. */
  public final String kind() {
    return kind;
  }

  /** Why this does not prove that the attempt has ended; null if it does. */
  abstract String rejectionReason(AttemptSnapshot attempt);

  /** A heartbeat of the attempt's machine. */
  public abstract static sealed class Reported extends EndEvidence {
    private final long token;
    private final long agentEpoch;

    private Reported(String kind, long token, long agentEpoch) {
      super(kind);
      this.token = token;
      this.agentEpoch = agentEpoch;
    }

    /** Why the heartbeat proves nothing of the attempt, whatever it says of it; null if it may. */
    final String reportRejectionReason(AttemptSnapshot attempt) {
      if (token != attempt.token()) {
        return "the report does not bear the present token";
      }
      if (agentEpoch != attempt.agentEpoch()) {
        return "the report is of another session";
      }
      return attempt.placementDurable() ? null : "no start has been sent that could be reported";
    }
  }

  /** A heartbeat of the attempt's machine lists it as ended. */
  public static final class ReportedEnded extends Reported {
    /**
     * Evidence from a heartbeat.
     *
     * @param token the highest token that the machine had seen when it sent the heartbeat
     * @param agentEpoch the machine's agent epoch at that time
     */
    public ReportedEnded(long token, long agentEpoch) {
      super("reported_ended", token, agentEpoch);
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return reportRejectionReason(attempt);
    }
  }

  /** A heartbeat of the attempt's machine does not list it. */
  public static final class NotListed extends Reported {
    private final boolean unsolicited;

    /**
     * Evidence from a heartbeat.
     *
     * @param token the highest token that the machine had seen when it sent the heartbeat
     * @param agentEpoch the machine's agent epoch at that time
     * @param unsolicited whether the machine sent it by itself and not in reply to a message, so
     *     that what earlier answers carried has been carried out or never will be
     */
    public NotListed(long token, long agentEpoch, boolean unsolicited) {
      super("not_listed", token, agentEpoch);
      this.unsolicited = unsolicited;
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      String reason = reportRejectionReason(attempt);
      if (reason != null || attempt.inherited()) {
        return reason;
      }
      // An attempt of this term is missing: that proves its end only once no start can arrive.
      if (!attempt.stopping()) {
        return "the start is repeated until the attempt is listed";
      }
      return unsolicited && !attempt.startInFlight() ? null : "a start of it may still arrive";
    }
  }

  /** The attempt's machine has sent a heartbeat of a later agent epoch. */
  public static final class LaterAgentEpoch extends EndEvidence {
    private final long agentEpoch;

    /** Evidence from a heartbeat of this agent epoch. */
    public LaterAgentEpoch(long agentEpoch) {
      super("later_session");
      this.agentEpoch = agentEpoch;
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return agentEpoch > attempt.agentEpoch() ? null : "the session is not later";
    }
  }

  /** The lease of the attempt's machine has expired. */
  public static final class LeaseExpired extends EndEvidence {
    /** Evidence from the clock. */
    public LeaseExpired() {
      super("lease_lapsed");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      boolean expired = attempt.nowMs() - attempt.leaseRenewedAt() >= attempt.leaseExpiryMs();
      return expired ? null : "the lease has not run out";
    }
  }

  /** The cloud has confirmed that the machine is deleted. */
  public static final class MachineDeleted extends EndEvidence {
    /** Evidence from the cloud. */
    public MachineDeleted() {
      super("machine_deleted");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return attempt.machineDeleted() ? null : "the deletion is not confirmed";
    }
  }

  /** The cloud lists the machine as failed. */
  public static final class MachineFailed extends EndEvidence {
    /** Evidence from the cloud. */
    public MachineFailed() {
      super("machine_failed");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return attempt.machineFailed() ? null : "the machine is not listed as failed";
    }
  }

  /** No start of the attempt has been decided yet, since its placement is not durable. */
  public static final class NeverSent extends EndEvidence {
    /** Evidence from the term's own records. */
    public NeverSent() {
      super("never_sent");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return attempt.placementDurable() ? "a start may have been sent" : null;
    }
  }
}
