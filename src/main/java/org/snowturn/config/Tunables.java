package org.snowturn.config;

/**
 * The operators' tuning parameters. Each component has the name of its XML element.
 *
 * @param leaderTtlS time-to-live of the leader's lease in seconds; 0 derives it from the workers'
 *     lease
 * @param speculation whether slow tasks are restarted speculatively
 * @param speculativeCap maximum share of running tasks that are speculative restarts, from 0 to 1
 * @param slowTaskPercentile percentile of the progress rates of a job's tasks below which a task is
 *     slow
 * @param slowNodePercentile percentile of the work done by the machines below which a machine is
 *     not chosen for a speculative restart
 * @param judgeAfterS minimum running time in seconds before a task can be classified as slow
 * @param gainFactor multiple of the expected running time on the target machine that a slow task's
 *     remaining time, less the time to fetch the image there, has to exceed for a speculative
 *     restart
 * @param idleReturnS idle time in seconds after which a rented machine that is not needed is
 *     returned
 * @param bootPatience multiple of a machine type's boot time after which a machine that has not
 *     reported is given up
 * @param sickErrors number of consecutive task failures on a machine, counted across jobs, after
 *     which a machine is quarantined
 * @param urgentSlackS slack in seconds; waiting jobs whose slack to an objective is smaller are
 *     urgent and scheduled first
 * @param beginWithinS waiting time in seconds after which some tasks of a job that has not been
 *     assigned any resources are placed first
 */
public record Tunables(
    double leaderTtlS,
    boolean speculation,
    double speculativeCap,
    double slowTaskPercentile,
    double slowNodePercentile,
    double judgeAfterS,
    double gainFactor,
    double idleReturnS,
    double bootPatience,
    int sickErrors,
    double urgentSlackS,
    double beginWithinS) {

  /**
   * Returns the values that apply where the operators set none. Those for speculative restarts are
   * the initial values of DESIGN-snowturn.md.
   */
  public static Tunables defaults() {
    return new Tunables(0, true, 0.10, 25, 25, 20, 3.0, 3, 3.0, 3, 30, 90);
  }
}
