package org.snowturn.core.health;

/**
 * What is offered as proof that an attempt has ended without a result, or that it never began. No
 * task waits again without one of these; {@link AttemptSnapshot#objection} judges whether it holds.
 */
public sealed interface EndEvidence {
  /** The name of this kind of evidence in logs and metrics; it stays the same. */
  String kind();

  /**
   * A report of the attempt's machine lists it as ended.
   *
   * @param token the highest token that the machine had seen when it reported
   * @param session the machine's session when it reported
   */
  record ReportedEnded(long token, long session) implements EndEvidence {
    @Override
    public String kind() {
      return "reported_ended";
    }
  }

  /**
   * A report of the attempt's machine does not list it.
   *
   * @param token the highest token that the machine had seen when it reported
   * @param session the machine's session when it reported
   * @param checkIn whether the report is a check-in, so that what earlier answers carried has been
   *     carried out or never will be
   */
  record NotListed(long token, long session, boolean checkIn) implements EndEvidence {
    @Override
    public String kind() {
      return "not_listed";
    }
  }

  /** The attempt's machine has reported from a later session. */
  record LaterSession(long session) implements EndEvidence {
    @Override
    public String kind() {
      return "later_session";
    }
  }

  /** The session of the attempt's machine has run out. */
  record LeaseLapsed() implements EndEvidence {
    @Override
    public String kind() {
      return "lease_lapsed";
    }
  }

  /** The cloud has confirmed that the machine is deleted. */
  record MachineDeleted() implements EndEvidence {
    @Override
    public String kind() {
      return "machine_deleted";
    }
  }

  /** The cloud lists the machine as failed. */
  record MachineFailed() implements EndEvidence {
    @Override
    public String kind() {
      return "machine_failed";
    }
  }

  /** No start of the attempt has been decided yet, since its placement is not durable. */
  record NeverSent() implements EndEvidence {
    @Override
    public String kind() {
      return "never_sent";
    }
  }
}
