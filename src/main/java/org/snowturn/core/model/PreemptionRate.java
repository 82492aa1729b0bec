package org.snowturn.core.model;

/**
 * An estimate of how often the cloud preempts a spot machine, from what this leader has observed.
 * It starts from a prior of one preemption per machine and hour.
 */
public final class PreemptionRate {
  /** Machine time of the prior, which assumes one preemption. */
  private static final double PRIOR_MACHINE_S = 3600;

  private static final double PRIOR_PREEMPTIONS = 1;

  private double machineS;
  private double preemptions;

  /** Records the time for which a number of spot machines were up. */
  public void recordUptime(int count, double seconds) {
    machineS += count * seconds;
  }

  /** Records the preemption of one spot machine, with or without notice. */
  public void recordPreemption() {
    preemptions++;
  }

  /** Returns the expected number of preemptions of one machine per second. */
  public double perSecond() {
    return (PRIOR_PREEMPTIONS + preemptions) / (PRIOR_MACHINE_S + machineS);
  }
}
