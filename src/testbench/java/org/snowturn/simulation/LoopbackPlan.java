package org.snowturn.simulation;

import java.util.List;
import org.snowturn.config.Settings;

/**
 * Size, load and limits of one region of a scale run.
 *
 * @param regionNumber the number of the region, from 0
 * @param zones the names of its zones
 * @param controllers the names of its controllers, which are assigned to the zones in turn
 * @param workers the number of machines
 * @param concurrentTasks the number of tasks that run at the same time
 * @param startsPerSecond the number of tasks started per second once the standing tasks run
 * @param teams the number of teams that submit jobs
 * @param seed the seed of the random generator
 * @param workerSettings the workers' heartbeat interval, lease duration and cancellation limit
 * @param stateLimits the limits of the state service
 * @param cloudLimits the limits of the cloud
 * @param maxConnections the maximum number of connections of a controller
 * @param rentablePerZone the number of further machines of each kind that can be rented in each
 *     zone
 * @param maxTeamCpus the maximum number of CPUs that a team's tasks may use; 0 selects the default
 *     of {@link LoopbackCluster#teams}
 */
public record LoopbackPlan(
    int regionNumber,
    List<String> zones,
    List<String> controllers,
    int workers,
    int concurrentTasks,
    double startsPerSecond,
    int teams,
    long seed,
    Settings.Workers workerSettings,
    Settings.StateLimits stateLimits,
    Settings.CloudLimits cloudLimits,
    int maxConnections,
    int rentablePerZone,
    double maxTeamCpus) {}
