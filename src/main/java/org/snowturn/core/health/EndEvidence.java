package org.snowturn.core.health;

/**
 * Evidence that an attempt has ended without a result, or that it never began. A task is queued
 * again only with such evidence, and only if {@link #rejectionReason} accepts it.
 */
public abstract sealed class EndEvidence {
  private final String kind;

  private EndEvidence(String kind) {
    this.kind = kind;
  }

  /** Returns the name of this kind of evidence in logs and metrics, which must not change. */
  public final String kind() {
    return kind;
  }

  /** Returns why this does not prove the end of the attempt; null if it proves it. */
  abstract String rejectionReason(AttemptSnapshot attempt);

  /** Evidence from a heartbeat of the attempt's machine. */
  public abstract static sealed class Reported extends EndEvidence {
    private final long token;
    private final long agentEpoch;

    private Reported(String kind, long token, long agentEpoch) {
      super(kind);
      this.token = token;
      this.agentEpoch = agentEpoch;
    }

    /**
     * Returns why the heartbeat cannot prove the end of the attempt, regardless of its content;
     * null if it can.
     */
    final String reportRejectionReason(AttemptSnapshot attempt) {
      if (token < attempt.token() || token > attempt.latestToken()) {
        return "the heartbeat carries token "
            + token
            + ", which is not one of "
            + attempt.token()
            + " to "
            + attempt.latestToken();
      }
      if (agentEpoch != attempt.agentEpoch()) {
        return "the heartbeat is of agent epoch "
            + agentEpoch
            + ", but the attempt was placed in "
            + attempt.agentEpoch();
      }
      return attempt.placementDurable()
          ? null
          : "its placement is not durable, so no start was sent";
    }
  }

  /** A heartbeat of the attempt's machine that lists the attempt as ended. */
  public static final class ReportedEnded extends Reported {
    /**
     * Creates evidence from a heartbeat.
     *
     * @param token highest token that the machine had seen when it sent the heartbeat
     * @param agentEpoch agent epoch of the machine at that time
     */
    public ReportedEnded(long token, long agentEpoch) {
      super("reported_ended", token, agentEpoch);
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return reportRejectionReason(attempt);
    }
  }

  /** A heartbeat of the attempt's machine that does not list the attempt. */
  public static final class NotListed extends Reported {
    private final boolean unsolicited;

    /**
     * Creates evidence from a heartbeat.
     *
     * @param token highest token that the machine had seen when it sent the heartbeat
     * @param agentEpoch agent epoch of the machine at that time
     * @param unsolicited whether the machine sent the heartbeat on its own schedule rather than in
     *     reply to a message. Commands in answers to its earlier heartbeats have then been executed
     *     or never will be.
     */
    public NotListed(long token, long agentEpoch, boolean unsolicited) {
      super("not_listed", token, agentEpoch);
      this.unsolicited = unsolicited;
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      String reason = reportRejectionReason(attempt);
      if (reason != null || attempt.adopted()) {
        return reason;
      }
      // The absence of an attempt of this term proves its end only once no start can arrive.
      if (!attempt.stopping()) {
        return "it is not being stopped, so its start is repeated until it is listed";
      }
      return unsolicited && !attempt.startInFlight()
          ? null
          : "a start that was sent earlier may still arrive";
    }
  }

  /** A heartbeat of the attempt's machine from a later agent epoch. */
  public static final class LaterAgentEpoch extends EndEvidence {
    private final long agentEpoch;

    /** Creates evidence from a heartbeat of the agent epoch. */
    public LaterAgentEpoch(long agentEpoch) {
      super("later_session");
      this.agentEpoch = agentEpoch;
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return agentEpoch > attempt.agentEpoch()
          ? null
          : "agent epoch "
              + agentEpoch
              + " is not later than "
              + attempt.agentEpoch()
              + ", in which the attempt was placed";
    }
  }

  /** The expiry of the lease of the attempt's machine. */
  public static final class LeaseExpired extends EndEvidence {
    /** Creates evidence that is checked by the clock. */
    public LeaseExpired() {
      super("lease_lapsed");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      boolean expired = attempt.nowMs() - attempt.leaseRenewedAt() >= attempt.leaseExpiryMs();
      return expired ? null : "the machine's lease has not expired";
    }
  }

  /** The cloud's confirmation that the attempt's machine is deleted. */
  public static final class MachineDeleted extends EndEvidence {
    /** Creates evidence that is checked by the state of the machine in the cloud. */
    public MachineDeleted() {
      super("machine_deleted");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return attempt.machineDeleted()
          ? null
          : "the cloud has not confirmed the deletion of the machine";
    }
  }

  /** The cloud's listing of the attempt's machine as failed. */
  public static final class MachineFailed extends EndEvidence {
    /** Creates evidence that is checked by the state of the machine in the cloud. */
    public MachineFailed() {
      super("machine_failed");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return attempt.machineFailed() ? null : "the cloud does not list the machine as failed";
    }
  }

  /** The absence of any start of the attempt, since its placement is not durable yet. */
  public static final class NeverSent extends EndEvidence {
    /** Creates evidence that is checked by the leader's own records. */
    public NeverSent() {
      super("never_sent");
    }

    @Override
    String rejectionReason(AttemptSnapshot attempt) {
      return attempt.placementDurable()
          ? "its placement is durable, so a start may have been sent"
          : null;
    }
  }
}
