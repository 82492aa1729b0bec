package org.snowturn.core.assignment;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.core.TestSettings;
import org.snowturn.core.TestWriterHost;
import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.core.dispatch.TestCommandHost;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.ListedTaskSize;
import org.snowturn.wire.Submissions;
import org.snowturn.wire.TaskStatus;
import org.snowturn.wire.TaskStatus.State;

/** A term with one machine, for tests of the answers to its heartbeats. */
abstract class HeartbeatCommandsFixture {
  static final long TOKEN = 7;
  static final String JOB = "wk-000001";

  /** Time after the confirmation of a cancellation for which leases may still be renewed. */
  static final long SLACK_MS = 20_000;

  final CoreRuntime runtime = new CoreRuntime(1);
  final FakeCancellations cancellations = new FakeCancellations();
  final MachineIndex machines =
      new MachineIndex(
          List.of("z"),
          TOKEN,
          machine -> new CommandQueue(runtime, new TestCommandHost(), machine));
  final TaskAssignments assignments;
  final HeartbeatProcessor heartbeats;
  final HeartbeatCommands heartbeatCommands;
  final Machine machine;
  private long now = 1_000_000;

  /** Revision of the leader's latest transaction; 0 as long as no transaction was executed. */
  private long revision;

  /** Known cancellations that are set by the tests. */
  final class FakeCancellations implements KnownCancellations {
    final Set<String> jobs = new HashSet<>();
    private long knownUntil;

    void setKnownUntil(long until) {
      knownUntil = until;
    }

    @Override
    public boolean isKnownCancelled(String job) {
      return jobs.contains(job);
    }

    @Override
    public long knownUntil() {
      return knownUntil;
    }

    @Override
    public boolean wouldLeaseExpireInTime(long confirmedAfter) {
      return now - confirmedAfter < SLACK_MS;
    }
  }

  HeartbeatCommandsFixture() {
    Settings settings = TestSettings.with();
    FormatGate gate = new FormatGate(settings, runtime);
    RecordWriter writer =
        new RecordWriter(runtime, new TestWriterHost(TOKEN), settings::stateLimits, r -> r);
    AttemptGuard guard =
        new AttemptGuard(runtime, machines, TOKEN, HeartbeatProcessor.leaseExpiryMs(settings));
    Quota quota = new Quota(settings.teams());
    StartFencing fencing = new StartFencing(runtime, () -> revision);
    assignments = new TaskAssignments(runtime, gate, writer, machines, quota, cancellations, guard);
    heartbeats =
        new HeartbeatProcessor(
            runtime,
            settings,
            new FailureHandler(runtime, 3),
            assignments,
            machines,
            new MachineTypes(runtime),
            new PreemptionRate());
    heartbeatCommands = new HeartbeatCommands(runtime, assignments, cancellations, fencing);
    machine = machines.getOrAdd("i-1");
    runtime.setTime(now, now);
    heartbeats.apply(machine, report(1, List.of()));
  }

  static JobSpec spec(String id) throws Exception {
    return JobSpec.parse(Submissions.array(id, 2));
  }

  Heartbeat report(long seq, List<TaskStatus> tasks) {
    return report(seq, TOKEN, tasks);
  }

  Heartbeat report(long seq, long seenToken, List<TaskStatus> tasks) {
    return new Heartbeat(
        "i-1",
        "a:1",
        "t8",
        "z",
        true,
        1,
        seq,
        seenToken,
        Double.NaN,
        tasks,
        ListedTaskSize.NOT_MEASURED);
  }

  void record(JobStatus.Phase phase, long stamp) throws Exception {
    assignments.registry().add(JOB, new JobRecord(phase, 0, spec(JOB)), stamp);
  }

  static TaskStatus status(String job, long attempt, State state) {
    TaskStatus.ExitReason exitReason = state == State.ENDED ? TaskStatus.ExitReason.STOPPED : null;
    return new TaskStatus(job, 0, attempt, state, exitReason);
  }

  /** Creates the job with task 0 assigned to the machine and its start sent. */
  Job startJob() throws Exception {
    record(JobStatus.Phase.QUEUED, 5);
    Job job = assignments.job(JOB);
    assignments.assign(job, 0, machine, assignments.newAttempt());
    job.setState(0, TaskState.STARTING);
    return job;
  }

  HeartbeatCommands.Answer answer(Heartbeat heartbeat) {
    heartbeats.apply(machine, heartbeat);
    return heartbeatCommands.respond(machine, heartbeat);
  }

  long now() {
    return now;
  }

  /** Advances the clock. */
  void advance(long ms) {
    now += ms;
    runtime.setTime(now, now);
  }

  /** Sets the revision of the leader's latest transaction. */
  void setRevision(long latest) {
    revision = latest;
  }
}
