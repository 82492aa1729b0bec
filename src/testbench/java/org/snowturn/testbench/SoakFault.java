package org.snowturn.testbench;

import java.util.Locale;

/**
 * A fault that is injected into a soak run.
 *
 * @param atMs time from the start of the load to the fault, in ms
 * @param kind kind of fault
 * @param target controllers that it happens to: {@code leader}, {@code standby}, {@code all}, or
 *     {@code -} for a kind that has no such target
 * @param durationMs duration of the fault, or delay until a killed controller is restarted, in ms
 * @param amount number, factor, share or delay in seconds, depending on the kind; 0 for kinds
 *     without an amount
 */
record SoakFault(long atMs, Kind kind, String target, long durationMs, double amount) {
  /** Kinds of faults. */
  enum Kind {
    /** A controller is killed and restarted after the duration. */
    KILL,
    /**
     * The leader and its successors are killed as soon as they lead; the amount is their number.
     */
    KILL_LEADERS,
    /** The leader is killed, and its successor during the takeover. */
    KILL_IN_TAKEOVER,
    /** A controller's process is suspended. */
    PAUSE,
    /** Messages from the controller to workers are lost. */
    CUT_TO_WORKERS,
    /** Messages from workers to the controller are lost. */
    CUT_FROM_WORKERS,
    /** Requests of the controller to the state service are lost. */
    CUT_TO_STATE,
    /** Replies of the state service to the controller are lost. */
    CUT_FROM_STATE,
    /** Requests of the controller to the cloud are lost, so that it gets no replies. */
    CUT_CLOUD,
    /** Messages from the controller to its peers are lost. */
    CUT_TO_PEERS,
    /** Messages from the peers to the controller are lost. */
    CUT_FROM_PEERS,
    /** The state service refuses requests of this controller only. */
    REFUSE,
    /** The state service is unavailable to all controllers. */
    OUTAGE,
    /** The state service is slower; the amount is the factor. */
    SLOW_STATE,
    /** Transactions are executed and their replies lost; the amount is the share affected. */
    LOSE_ANSWERS,
    /**
     * Transactions are executed seconds later, without a reply; the amount is the share affected.
     */
    LATE_TRANSACTIONS,
    /** Direct commands to workers are delayed; the amount is the minimum delay in seconds. */
    LATE_COMMANDS,
    /**
     * Each executed direct message arrives a second time; the amount is the delay of the copy in
     * seconds.
     */
    COPY_COMMANDS,
    /** Each heartbeat arrives a second time; the amount is the maximum delay in seconds. */
    COPY_REPORTS,
    /** Heartbeats are delayed; the amount is the delay in seconds. */
    SLOW_REPORTS,
    /** Workers hang with all their tasks; the amount is their number. */
    HANG_WORKERS,
    /** Machines fail; the amount is their number. */
    KILL_WORKERS,
    /** The cloud takes machines away; the amount is their number. */
    TAKE_WORKERS,
    /** Workers fail every task that starts on them; the amount is their number. */
    SICK_WORKERS,
    /** Users cancel running jobs; the amount is their number. */
    CANCEL_JOBS,
    /**
     * Users submit arrays of the largest size and cancel them after the duration; the amount is
     * their number.
     */
    LARGE_ARRAYS;

    /** Returns whether a plan names the controllers that a fault of this kind happens to. */
    boolean isControllerFault() {
      return this == KILL || this == PAUSE || this == REFUSE || name().startsWith("CUT_");
    }

    /** Returns the name of this kind in a plan file. */
    String planName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  private static final double MS_PER_S = 1000;

  /** Target: the leader. */
  static final String LEADER = "leader";

  /** Target: the first controller that is not the leader. */
  static final String STANDBY = "standby";

  /** Target: all controllers. */
  static final String ALL = "all";

  /** Target of faults whose kind does not take one. */
  static final String NO_TARGET = "-";

  /** Returns the time from the start of the load until the fault has no more effect, in ms. */
  long effectEndsMs() {
    long copyDelayMs = kind == Kind.COPY_COMMANDS ? Math.round(amount * MS_PER_S) : 0;
    return atMs + durationMs + copyDelayMs;
  }

  /** Returns the line for this fault in a plan file. */
  String toPlanLine() {
    return String.format(
        Locale.ROOT,
        "at %.3f %s %s for %.3f amount %.3f",
        atMs / MS_PER_S,
        kind.planName(),
        target,
        durationMs / MS_PER_S,
        amount);
  }
}
