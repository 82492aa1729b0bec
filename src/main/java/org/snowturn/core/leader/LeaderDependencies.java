package org.snowturn.core.leader;

import java.util.function.DoubleUnaryOperator;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.api.JobApi;
import org.snowturn.core.connectivity.ConnectivityMonitor;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.election.Election;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.storage.FormatGate;

/**
 * The services of a controller node that outlive a term of leadership and are shared by its terms.
 *
 * @param runtime collects effects and holds the current time
 * @param settings the settings of this node
 * @param tunables the tunable parameters
 * @param election decides whether this node leads
 * @param watermark tracks which cancellations this node knows
 * @param machineTypes the catalog of machine types
 * @param formatGate tells which stored format all nodes can read
 * @param jobApi serves users' requests; receives the progress of jobs
 * @param connectivity tracks which services this node and its peers can reach
 * @param leaderWriteRate maps the write limit of all nodes to the part that the leader may use now,
 *     both in changed keys per second
 */
public record LeaderDependencies(
    CoreRuntime runtime,
    Settings settings,
    Tunables tunables,
    Election election,
    CancellationWatermark watermark,
    MachineTypes machineTypes,
    FormatGate formatGate,
    JobApi jobApi,
    ConnectivityMonitor connectivity,
    DoubleUnaryOperator leaderWriteRate) {}
