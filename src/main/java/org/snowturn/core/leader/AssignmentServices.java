package org.snowturn.core.leader;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.AttemptGuard;
import org.snowturn.core.assignment.FailureHandler;
import org.snowturn.core.assignment.HeartbeatCommands;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.JobListener;
import org.snowturn.core.assignment.KnownCancellations;
import org.snowturn.core.assignment.MachineRegistry;
import org.snowturn.core.assignment.StartFencing;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.dependency.DependencyGraph;
import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.model.Quota;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.RecordWriter;

/**
 * The services of one term that keep its jobs, its machines and the assignment of tasks to
 * machines.
 *
 * @param machines all machines that this term knows
 * @param writer writes the term's records to the state service
 * @param attemptGuard decides whether an attempt has ended and whether a start may be sent
 * @param assignments the jobs and the assignments of their tasks
 * @param dependencyGraph the dependencies between jobs
 * @param failureHandler attributes failures of tasks to jobs or to machines
 * @param registry the stored registry of machines
 * @param preemptionRate the rate at which the cloud preempts spot machines
 * @param heartbeatProcessor applies heartbeats to the state of machines and tasks
 * @param heartbeatCommands chooses the commands with which a heartbeat is answered
 * @param startFencing raises the tokens of machines
 */
record AssignmentServices(
    MachineIndex machines,
    RecordWriter writer,
    AttemptGuard attemptGuard,
    TaskAssignments assignments,
    DependencyGraph dependencyGraph,
    FailureHandler failureHandler,
    MachineRegistry registry,
    PreemptionRate preemptionRate,
    HeartbeatProcessor heartbeatProcessor,
    HeartbeatCommands heartbeatCommands,
    StartFencing startFencing) {

  /**
   * Creates the services of a term, without any job or machine.
   *
   * @param writerHost handles the results of writes
   * @param commandHost handles the results of direct commands
   */
  static AssignmentServices create(
      LeaderDependencies shared,
      Term term,
      RecordWriter.Host writerHost,
      CommandQueue.Host commandHost) {
    CoreRuntime runtime = shared.runtime();
    FormatGate formatGate = shared.formatGate();
    MachineIndex machines =
        new MachineIndex(
            shared.settings().zones(),
            term.token(),
            machine -> new CommandQueue(runtime, commandHost, machine));
    RecordWriter writer =
        new RecordWriter(runtime, writerHost, formatGate::limits, shared.leaderWriteRate());
    KnownCancellations cancellations = knownCancellations(shared.watermark());
    AttemptGuard attemptGuard =
        new AttemptGuard(
            runtime, machines, term.token(), HeartbeatProcessor.leaseExpiryMs(shared.settings()));
    TaskAssignments assignments =
        newAssignments(shared, machines, writer, attemptGuard, cancellations);
    StartFencing startFencing = new StartFencing(runtime, writer::committedRevision);
    DependencyGraph dependencyGraph = new DependencyGraph(runtime, formatGate, assignments, writer);
    FailureHandler failureHandler = new FailureHandler(runtime, shared.tunables().sickErrors());
    addJobListeners(assignments, dependencyGraph, failureHandler, cancellations);
    PreemptionRate preemptionRate = new PreemptionRate();
    return new AssignmentServices(
        machines,
        writer,
        attemptGuard,
        assignments,
        dependencyGraph,
        failureHandler,
        new MachineRegistry(runtime, writer, machines, formatGate),
        preemptionRate,
        newHeartbeatProcessor(shared, failureHandler, assignments, machines, preemptionRate),
        new HeartbeatCommands(runtime, assignments, cancellations, startFencing),
        startFencing);
  }

  private static HeartbeatProcessor newHeartbeatProcessor(
      LeaderDependencies shared,
      FailureHandler failureHandler,
      TaskAssignments assignments,
      MachineIndex machines,
      PreemptionRate preemptionRate) {
    return new HeartbeatProcessor(
        shared.runtime(),
        shared.settings(),
        failureHandler,
        assignments,
        machines,
        shared.machineTypes(),
        preemptionRate);
  }

  private static TaskAssignments newAssignments(
      LeaderDependencies shared,
      MachineIndex machines,
      RecordWriter writer,
      AttemptGuard attemptGuard,
      KnownCancellations cancellations) {
    return new TaskAssignments(
        shared.runtime(),
        shared.formatGate(),
        writer,
        machines,
        new Quota(shared.settings().teams()),
        cancellations,
        attemptGuard);
  }

  private static void addJobListeners(
      TaskAssignments assignments,
      DependencyGraph dependencyGraph,
      FailureHandler failureHandler,
      KnownCancellations cancellations) {
    assignments.registry().addListener(dependencyGraph);
    assignments.registry().addListener(failureHandler);
    assignments
        .registry()
        .addListener(
            new JobListener() {
              @Override
              public void onJobAdded(Job job) {
                if (cancellations.isKnownCancelled(job.spec.id())) {
                  job.confirmCancellation(MonotonicTime.UNSET);
                }
              }
            });
  }

  private static KnownCancellations knownCancellations(CancellationWatermark watermark) {
    return new KnownCancellations() {
      @Override
      public boolean isKnownCancelled(String job) {
        return watermark.isKnownCancelled(job);
      }

      @Override
      public long knownUntil() {
        return watermark.knownUntil();
      }

      @Override
      public boolean wouldLeaseExpireInTime(long confirmedAfter) {
        return watermark.wouldLeaseExpireInTime(confirmedAfter);
      }
    };
  }
}
