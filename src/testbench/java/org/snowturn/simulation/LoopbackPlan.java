package org.snowturn.simulation;

import java.util.List;
import org.snowturn.config.Settings;

/**
 * What a region of a scale run is made of.
 *
 * @param number of the region, from 0
 * @param zones the names of its zones
 * @param controllers the names of its controllers, in zones by turns
 * @param workers how many machines
 * @param tasks how many tasks run at a time
 * @param startsPerSecond how many tasks are started in a second, once the standing ones run
 * @param teams how many teams submit
 * @param seed of all that is drawn
 * @param figures the workers' report interval and leases
 * @param state limits of the state service
 * @param cloud limits of the cloud
 * @param maxConnections sockets of a controller
 * @param hireablePerZone how many more machines of each kind the cloud has in each zone
 * @param teamCpus the most CPUs that a team's tasks may use; 0: twice its even part
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
