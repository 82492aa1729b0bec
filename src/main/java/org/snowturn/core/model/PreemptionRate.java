package org.snowturn.core.model;

/**
 * How often the cloud takes spot machines back, as this leader has seen it; until it has seen
 * enough, once an hour each.
 */
public final class PreemptionRate {
  private static final double PRIOR_S = 3600;

  private double machineS;
  private double recordPreemption;

  /** So many spot machines were up for so long. */
  public void recordUptime(int count, double seconds) {
    machineS += count * seconds;
  }

  /** One was taken, with notice or without. */
  public void recordPreemption() {
    recordPreemption++;
  }

  /** How many of one machine to expect in a second. */
  public double perSecond() {
    return (1 + recordPreemption) / (PRIOR_S + machineS);
  }
}
