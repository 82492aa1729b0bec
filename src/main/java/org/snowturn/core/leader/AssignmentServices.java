package org.snowturn.core.leader;

import org.snowturn.core.MonotonicTime;
import org.snowturn.core.assignment.AttemptGuard;
import org.snowturn.core.assignment.FailureHandler;
import org.snowturn.core.assignment.HeartbeatCommands;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.JobListener;
import org.snowturn.core.assignment.KnownCancellations;
import org.snowturn.core.assignment.MachineRegistry;
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

/** The parts of a term that know jobs, machines and which task is assigned where. */
record AssignmentServices(
    MachineIndex machines,
    RecordWriter writer,
    AttemptGuard guard,
    TaskAssignments assignments,
    DependencyGraph dependencies,
    FailureHandler failureHandler,
    MachineRegistry registry,
    PreemptionRate preemptionRate,
    HeartbeatProcessor heartbeats,
    HeartbeatCommands heartbeatCommands) {

  /**
   * Creates the parts, without any job or machine yet.
   *
   * @param writerHost told of the fate of writes
   * @param commandHost told of the fate of direct commands
   */
  static AssignmentServices create(
      LeaderDependencies node,
      Term term,
      RecordWriter.Host writerHost,
      CommandQueue.Host commandHost) {
    CoreRuntime runtime = node.runtime();
    FormatGate gate = node.gate();
    MachineIndex machines =
        new MachineIndex(
            node.settings().zones(), machine -> new CommandQueue(runtime, commandHost, machine));
    RecordWriter writer = new RecordWriter(runtime, writerHost, gate::limits, node.writeShare());
    KnownCancellations cancellations = cancellations(node.watermark());
    AttemptGuard guard =
        new AttemptGuard(
            runtime, machines, term.token(), HeartbeatProcessor.leaseExpiryMs(node.settings()));
    TaskAssignments assignments = newAssignments(node, machines, writer, guard, cancellations);
    DependencyGraph dependencies = new DependencyGraph(runtime, gate, assignments, writer);
    FailureHandler failureHandler = new FailureHandler(runtime, node.tunables().sickErrors());
    listen(assignments, dependencies, failureHandler, cancellations);
    PreemptionRate preemptionRate = new PreemptionRate();
    return new AssignmentServices(
        machines,
        writer,
        guard,
        assignments,
        dependencies,
        failureHandler,
        new MachineRegistry(runtime, writer, machines, gate),
        preemptionRate,
        new HeartbeatProcessor(
            runtime,
            node.settings(),
            failureHandler,
            assignments,
            machines,
            node.machineTypes(),
            preemptionRate,
            term.token()),
        new HeartbeatCommands(assignments, cancellations, term.token()));
  }

  private static TaskAssignments newAssignments(
      LeaderDependencies node,
      MachineIndex machines,
      RecordWriter writer,
      AttemptGuard guard,
      KnownCancellations cancellations) {
    return new TaskAssignments(
        node.runtime(),
        node.gate(),
        writer,
        machines,
        new Quota(node.settings().teams()),
        cancellations,
        guard);
  }

  private static void listen(
      TaskAssignments assignments,
      DependencyGraph dependencies,
      FailureHandler failureHandler,
      KnownCancellations cancellations) {
    assignments.registry().listen(dependencies);
    assignments.registry().listen(failureHandler);
    assignments
        .registry()
        .listen(
            new JobListener() {
              @Override
              public void joined(Job job) {
                if (cancellations.known(job.spec.id())) {
                  job.confirmCancellation(MonotonicTime.NEVER);
                }
              }
            });
  }

  private static KnownCancellations cancellations(CancellationWatermark watermark) {
    return new KnownCancellations() {
      @Override
      public boolean known(String job) {
        return watermark.cancelled(job);
      }

      @Override
      public long knownUntil() {
        return watermark.knownUntil();
      }

      @Override
      public boolean lapsesInTime(long confirmedAfter) {
        return watermark.lapsesInTime(confirmedAfter);
      }
    };
  }
}
