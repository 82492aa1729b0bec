package org.snowturn.testbench;

import java.util.Locale;

/**
 * One thing that goes wrong in a soak run.
 *
 * @param atMs when, after the load has begun
 * @param kind what
 * @param target whom it happens to: {@code leader}, {@code standby}, {@code all}, or nobody
 * @param durationMs how long it lasts, or how soon a process is back
 * @param amount how many, how late or how often, as the kind has it
 */
record SoakFault(long atMs, Kind kind, String target, long durationMs, double amount) {
  /** What can go wrong. */
  enum Kind {
    /** A controller ends and is back after a while. */
    KILL,
    /** Leaders end one after the other, each as soon as it leads: so many times. */
    KILL_LEADERS,
    /** A new leader ends in the midst of its takeover. */
    KILL_IN_TAKEOVER,
    /** A controller's process stands still. */
    PAUSE,
    /** Nothing gets from the controller to machines. */
    CUT_TO_WORKERS,
    /** Nothing gets from machines to the controller. */
    CUT_FROM_WORKERS,
    /** Nothing gets from the controller to the state service. */
    CUT_TO_STATE,
    /** No answer of the state service gets to the controller. */
    CUT_FROM_STATE,
    /** Nothing gets from the controller to the cloud, or back. */
    CUT_CLOUD,
    /** Nothing gets from the controller to its peers. */
    CUT_TO_PEERS,
    /** Nothing gets from the peers to the controller. */
    CUT_FROM_PEERS,
    /** The state service refuses the controller alone. */
    REFUSE,
    /** The state service is out for everybody. */
    OUTAGE,
    /** The state service is so many times slower. */
    SLOW_STATE,
    /** That share of the transactions is carried out without an answer. */
    LOSE_ANSWERS,
    /** That share of the transactions is carried out seconds later. */
    LATE_TRANSACTIONS,
    /** Direct commands are so many seconds late. */
    LATE_COMMANDS,
    /** A copy of each report comes again, up to so many seconds later. */
    COPY_REPORTS,
    /** Check-ins are so many seconds late. */
    SLOW_REPORTS,
    /** So many machines stand still. */
    HANG_WORKERS,
    /** So many machines stop. */
    KILL_WORKERS,
    /** The cloud takes so many machines. */
    TAKE_WORKERS,
    /** So many machines fail whatever starts there. */
    SICK_WORKERS,
    /** Users call off so many jobs that run. */
    CANCEL_JOBS;

    /** Whether it happens to a controller. */
    boolean isControllerFault() {
      return this == KILL || this == PAUSE || this == REFUSE || name().startsWith("CUT_");
    }

    /** Its name in a plan. */
    String planName() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  static final String LEADER = "leader";
  static final String STANDBY = "standby";
  static final String ALL = "all";
  static final String NO_TARGET = "-";

  /** Its line in a plan. */
  String toPlanLine() {
    return String.format(
        Locale.ROOT,
        "at %.3f %s %s for %.3f amount %.3f",
        atMs / 1000.0,
        kind.planName(),
        target,
        durationMs / 1000.0,
        amount);
  }
}
