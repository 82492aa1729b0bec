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
 * The services of a controller node that outlive a term of leadership; each new leader is given
 * them.
 *
 * @param watermark which cancellations this node knows
 * @param gate which stored format all nodes can read
 * @param jobApi takes the progress of jobs for users' polls on this node
 * @param writeShare how much of a wanted rate of writes, per second, the leader may use
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
