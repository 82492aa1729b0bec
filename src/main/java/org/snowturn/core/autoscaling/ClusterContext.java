package org.snowturn.core.autoscaling;

import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;

/** The parts of a leader that the autoscaler reads and changes. */
public record ClusterContext(
    CoreRuntime runtime,
    Settings settings,
    Tunables tunables,
    MachineTypes machineTypes,
    MachineIndex machines,
    TaskAssignments assignments,
    HeartbeatProcessor heartbeats) {}
