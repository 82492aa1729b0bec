package org.snowturn.core.leader;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.api.JobApi;
import org.snowturn.core.assignment.AttemptGuard;
import org.snowturn.core.assignment.CommandLog;
import org.snowturn.core.assignment.CommandQueue;
import org.snowturn.core.assignment.DependencyGraph;
import org.snowturn.core.assignment.FailureHandler;
import org.snowturn.core.assignment.HeartbeatCommands;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.KnownCancellations;
import org.snowturn.core.assignment.MachineRegistry;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.connectivity.ConnectivityMonitor;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.election.Election;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.RestartRecords;
import org.snowturn.core.model.TaskState;
import org.snowturn.core.model.TaskStateCounts;
import org.snowturn.core.scheduling.Autoscaler;
import org.snowturn.core.scheduling.ExternallyManagedMachines;
import org.snowturn.core.scheduling.ScalingPolicy;
import org.snowturn.core.scheduling.SchedulingOrder;
import org.snowturn.core.scheduling.Speculator;
import org.snowturn.core.scheduling.TaskScheduler;
import org.snowturn.core.scheduling.ZoneOutages;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/** One term of leadership: all that the leader knows and does under one token. */
public final class Leader implements RecordWriter.Host, CommandQueue.Host {
  private static final long PROGRESS_MS = 1000;
  private static final long SUMMARY_MS = 10_000;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Election election;
  private final CancellationWatermark watermark;
  private final MachineTypes machineTypes;
  private final JobApi jobApi;
  private final long token;

  private final MachineIndex machines;
  private final RecordWriter writer;
  private final AttemptGuard guard;
  private final TaskAssignments assignments;
  private final HeartbeatProcessor heartbeats;
  private final HeartbeatCommands heartbeatCommands;
  private final FailureHandler failureHandler;
  private final TaskScheduler scheduler;
  private final Speculator speculator;
  private final Autoscaler autoscaler;
  private final MachineRegistry registry;
  private final FormatGate gate;
  private final DependencyGraph dependencies;
  private final LeaderRecovery recovery;
  private final HealthChecks healthChecks;
  private final Map<String, PeerMessage.JobProgress> told = new HashMap<>();
  private final ArrayDeque<CommandQueue> toSend = new ArrayDeque<>();
  private boolean secondFormat;
  private long outboxLooks;
  private boolean watching;
  private boolean ended;
  private long watchFrom;
  private long watchRetryAt;
  private long sweepAt;
  private long progressAt;
  private long summaryAt;
  private long specAt;

  public Leader(
      CoreRuntime runtime,
      Settings settings,
      Tunables tunables,
      Election election,
      CancellationWatermark watermark,
      MachineTypes machineTypes,
      FormatGate gate,
      JobApi jobApi,
      ConnectivityMonitor connectivity,
      DoubleUnaryOperator share) {
    this.runtime = runtime;
    this.gate = gate;
    this.settings = settings;
    this.election = election;
    this.watermark = watermark;
    this.machineTypes = machineTypes;
    this.jobApi = jobApi;
    this.token = election.token();
    machines =
        new MachineIndex(settings.zones(), machine -> new CommandQueue(runtime, this, machine));
    writer = new RecordWriter(runtime, this, gate::limits, share);
    ExternallyManagedMachines externallyManaged = new ExternallyManagedMachines(runtime, writer);
    ScalingPolicy scalingPolicy =
        ScalingPolicy.of(settings, machineTypes::quickestBootS, externallyManaged::present);
    KnownCancellations cancellations = cancellations(watermark);
    guard = new AttemptGuard(runtime, machines, token, HeartbeatProcessor.leaseExpiryMs(settings));
    assignments =
        new TaskAssignments(
            runtime,
            gate,
            writer,
            machines,
            new Quota(settings.teams()),
            cancellations,
            guard,
            token);
    dependencies = new DependencyGraph(runtime, gate, assignments, writer);
    failureHandler = new FailureHandler(runtime, tunables.sickErrors());
    assignments.listen(dependencies);
    assignments.listen(failureHandler);
    assignments.listen(
        new TaskAssignments.Listener() {
          @Override
          public void joined(Job job) {
            if (cancellations.known(job.spec.id())) {
              job.confirmCancellation(MonotonicTime.NEVER);
            }
          }
        });
    registry = new MachineRegistry(runtime, writer, machines, gate);
    PreemptionRate spotLosses = new PreemptionRate();
    heartbeats =
        new HeartbeatProcessor(
            runtime,
            settings,
            failureHandler,
            assignments,
            machines,
            machineTypes,
            spotLosses,
            token);
    heartbeatCommands = new HeartbeatCommands(assignments, cancellations, token);
    SchedulingOrder order = new SchedulingOrder(settings, tunables.urgentSlackS());
    scheduler =
        new TaskScheduler(
            runtime,
            settings,
            assignments,
            machines,
            scalingPolicy,
            order,
            spotLosses,
            tunables.beginWithinS(),
            this::mostHeard);
    speculator = new Speculator(runtime, tunables, assignments, machines, scheduler, writer, gate);
    ZoneOutages zoneOutages = new ZoneOutages(machines.zoneCount());
    autoscaler =
        new Autoscaler(
            runtime,
            settings,
            tunables,
            machineTypes,
            machines,
            assignments,
            heartbeats,
            scheduler,
            zoneOutages,
            scalingPolicy,
            externallyManaged,
            spotLosses,
            token);
    recovery =
        new LeaderRecovery(
            runtime,
            writer,
            watermark,
            machineTypes,
            gate,
            assignments,
            machines,
            registry,
            this::loadRestarts,
            () -> ended);
    healthChecks =
        new HealthChecks(
            runtime,
            settings,
            machineTypes,
            machines,
            heartbeats,
            failureHandler,
            autoscaler,
            zoneOutages,
            recovery,
            connectivity);
    externallyManaged.look();
    recovery.begin(this::loaded);
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

  private boolean mostHeard() {
    return recovery.mostHeard();
  }

  /** A user was told, by whichever node, that the job is cancelled. */
  public void cancelled(String job) {
    assignments.cancelConfirmed(job);
  }

  /** Nothing of this term may act any more. */
  public void end() {
    ended = true;
  }

  @Override
  public boolean hasAuthority() {
    return !ended && election.hasAuthority() && election.token() == token;
  }

  @Override
  public boolean over() {
    return ended;
  }

  @Override
  public long token() {
    return token;
  }

  @Override
  public void leaderKeyLost() {
    if (!ended) {
      election.stepDown("the leader key is no longer ours");
    }
  }

  @Override
  public void guardFailed(String key) {
    if (key.startsWith(StorageKeys.JOBS)) {
      assignments.rereadJob(key.substring(StorageKeys.JOBS.length()));
    }
  }

  @Override
  public void notTaken(String key) {
    assignments.placementRejected(key);
  }

  /** Addresses of some machines that are heard, from all over the fleet. */
  public List<String> someWorkers(int most) {
    List<String> out = new ArrayList<>();
    List<Machine> all = machines.present();
    int step = Math.max(1, all.size() / (2 * most));
    for (int i = (int) (runtime.now() % step); i < all.size() && out.size() < most; i += step) {
      Machine machine = all.get(i);
      if (machine.addr() != null && machine.usable(runtime.now())) {
        out.add(machine.addr());
      }
    }
    return out;
  }

  /** How many changes a second this term has written lately. */
  public double changesMade() {
    return writer.spent();
  }

  public Map<String, Double> gauges() {
    Map<String, Double> gauges = new HashMap<>();
    int pending = 0;
    int bound = 0;
    for (Job job : assignments.jobs()) {
      pending += job.wantsRoom() ? job.pending() : 0;
      bound += job.assigned();
    }
    gauges.put("snowturn.jobs.awaiting", (double) dependencies.waitingJobs());
    gauges.put("snowturn.jobs.live", (double) assignments.jobs().size());
    gauges.put("snowturn.tasks.waiting", (double) pending);
    gauges.put("snowturn.tasks.bound", (double) bound);
    gauges.put("snowturn.machines", (double) machines.present().size());
    gauges.putAll(healthChecks.gauges());
    gauges.putAll(failureHandler.gauges());
    gauges.putAll(guard.gauges());
    gauges.put("snowturn.restarts", (double) speculator.restarts());
    gauges.put("snowturn.writes.waiting", (double) writer.waiting());
    gauges.put("snowturn.placements", (double) assignments.placements());
    gauges.put("snowturn.placements.looks", (double) scheduler.looks());
    gauges.put("snowturn.outboxes.looks", (double) outboxLooks);
    gauges.put("snowturn.starts.repeated", (double) heartbeatCommands.repeatedStarts());
    gauges.putAll(recovery.gauges());
    gauges.putAll(scheduler.gauges());
    return gauges;
  }

  // --- reading what earlier leaders left ---

  /** All records are known: what machines have reported meanwhile is taken in at once. */
  private void loaded(Map<Machine, Heartbeat> early) {
    watchFrom = recovery.watchFrom();
    early.forEach(
        (machine, heartbeat) -> {
          if (!machine.isTerminated()) {
            take(machine, heartbeat);
          }
        });
  }

  private void loadRestarts(String job, StateMessage.Entry entry) {
    Job j = assignments.job(job);
    if (j != null) {
      RestartRecords.load(j, entry.value());
      speculator.loaded(j, entry.stamp());
    }
  }

  private void onJobRecord(StateMessage.Entry entry) {
    String id = entry.key().substring(StorageKeys.JOBS.length());
    if (entry.value() == null) {
      Job job = assignments.job(id);
      if (job != null && entry.stamp() >= job.version()) {
        assignments.removeJob(id);
      }
      return;
    }
    Job known = assignments.job(id);
    if (known != null && known.version() >= entry.stamp()) {
      return;
    }
    if (JobRecord.phaseOf(entry.value()) == JobStatus.Phase.ABORTED) {
      watermark.learn(id);
    }
    try {
      assignments.addJob(id, JobRecord.parse(entry.value()), entry.stamp());
    } catch (MalformedException ex) {
      runtime.note("unusable record " + entry.key() + ": " + ex.getMessage());
    }
  }

  private void watchJobs() {
    watching = true;
    long sentAt = runtime.now();
    runtime.watchState(
        RequestClass.WORK,
        "/watch?prefix=" + StorageKeys.JOBS + "&since=" + watchFrom + "&hold_ms=10000",
        12000,
        (outcome, status, body) -> {
          watching = false;
          if (ended) {
            return;
          }
          if (outcome != Outcome.ANSWERED || status != 200) {
            watchRetryAt = runtime.now() + 200;
            if (status == 410) {
              reread();
            }
            return;
          }
          try {
            StateMessage.events(body).forEach(this::onJobRecord);
            watchFrom = Math.max(watchFrom, StateMessage.epoch(body));
            watermark.read(sentAt);
            assignments.retryFinishing();
          } catch (MalformedException e) {
            watchRetryAt = runtime.now() + 200;
          }
        });
  }

  /** The watch's past is gone: read all jobs again. */
  private void reread() {
    watching = true;
    new RangeReader(runtime, () -> ended)
        .read(
            StorageKeys.JOBS,
            js -> {
              if (ended) {
                return;
              }
              watching = false;
              watchFrom = js.epoch();
              js.entries().forEach(this::onJobRecord);
            });
  }

  // --- machines ---

  public void checkIn(long exchange, Heartbeat heartbeat) {
    if (!hasAuthority()) {
      refuse(exchange, heartbeat, "no_authority");
      return;
    }
    Machine machine = machines.getOrAdd(heartbeat.machine());
    if (machine.isTerminated()
        && !machine.isTerminationConfirmed()
        && heartbeat.epoch() > machine.epoch()) {
      machines.restore(machine);
    }
    if (machine.isTerminated() || heartbeat.epoch() <= machine.endedEpoch()) {
      // Deleted, or a session that has certainly ended: nothing may renew it.
      refuse(exchange, heartbeat, "session_over");
      return;
    }
    if (!recovery.loaded()) {
      recovery.keep(machine, heartbeat);
      machine.setLastAnswerAt(runtime.now());
      answer(exchange, machine, heartbeat, heartbeatCommands.stops(heartbeat));
      return;
    }
    if (healthChecks.late(machine, heartbeat)) {
      refuse(exchange, heartbeat, "late_copy");
      return;
    }
    healthChecks.heard();
    take(machine, heartbeat);
    healthChecks.checkedIn(machine, heartbeat);
    HeartbeatCommands.Answer answer = heartbeatCommands.respond(machine, heartbeat);
    if (!answer.renews()) {
      runtime.note(machine.id + " may still start what is cancelled: its lease is not renewed");
      refuse(exchange, heartbeat, "start_in_doubt_of_cancelled_job");
      return;
    }
    heartbeats.leaseRenewed(machine);
    answer(exchange, machine, heartbeat, answer.commands());
  }

  /** Answers a check-in with what renews the machine's lease. */
  private void answer(long exchange, Machine machine, Heartbeat heartbeat, List<Command> commands) {
    logCheckIn(heartbeat, "renewed");
    CommandLog.write(runtime, "answer", machine, heartbeat.epoch(), token, commands);
    runtime.answer(exchange, 200, Command.answer(token, commands));
  }

  private void refuse(long exchange, Heartbeat heartbeat, String why) {
    logCheckIn(heartbeat, why);
    runtime.answerUnavailable(exchange, 503, 0);
  }

  private void logCheckIn(Heartbeat heartbeat, String result) {
    if (runtime.events().debug()) {
      runtime
          .events()
          .debug(LogEvent.HEARTBEAT)
          .with(LogField.MACHINE, heartbeat.machine())
          .with(LogField.AGENT_EPOCH, heartbeat.epoch())
          .with(LogField.HEARTBEAT, heartbeat.seq())
          .with(LogField.SEEN_TOKEN, heartbeat.token())
          .with(LogField.TOKEN, token)
          .with(LogField.RESULT, result)
          .with(LogField.CANCELLATIONS_KNOWN_MS_AGO, watermark.ageMs())
          .write();
    }
  }

  @Override
  public void reported(Heartbeat heartbeat) {
    Machine machine = machines.find(heartbeat.machine());
    if (!ended && recovery.loaded() && machine != null && !machine.isTerminated()) {
      healthChecks.answered(machine, heartbeat);
      take(machine, heartbeat);
      if (!machine.reachability.proven()) {
        machine.reachability.answered();
        assignments.markChanged();
      }
    }
  }

  private void take(Machine machine, Heartbeat heartbeat) {
    if (machine.addr() == null || machine.machineType() == null || !machine.isRegistered()) {
      heartbeats.describe(machine, heartbeat);
      if (machine.firstSeenAt() == 0) {
        machine.setFirstSeenAt(runtime.now());
      }
    }
    if (machine.idleSince() == 0) {
      machine.setIdleSince(runtime.now());
    }
    if (machine.needsRegistration() && machine.machineType() != null) {
      machine.beginRegistration();
      registry.register(
          machine,
          () -> {
            machine.registered();
            assignments.markChanged();
          });
    }
    heartbeats.apply(machine, heartbeat);
    recovery.heard(machine);
  }

  @Override
  public boolean mayStart(Machine machine, Command start) {
    return assignments.mayStart(machine, start);
  }

  @Override
  public void readyToSend(CommandQueue queue) {
    toSend.add(queue);
  }

  @Override
  public void unanswered(Machine machine) {
    healthChecks.unanswered(machine);
  }

  // --- the loop ---

  public void tick() {
    if (ended) {
      return;
    }
    recovery.tick();
    if (!recovery.loaded()) {
      return;
    }
    long now = runtime.now();
    if (!watching && now >= watchRetryAt) {
      watchJobs();
    }
    if (!hasAuthority()) {
      return;
    }
    if (now >= sweepAt) {
      sweepAt = now + HealthChecks.SWEEP_MS;
      if (gate.open() && !secondFormat) {
        secondFormat = !assignments.useSecondFormat();
      }
      String leave = healthChecks.sweep();
      if (leave != null) {
        election.resign(leave);
      }
      registry.writeChangedPages();
      recovery.sweep();
      autoscaler.tick();
      assignments.markChanged();
      assignments.retryFinishing();
    }
    dependencies.step();
    if (machineTypes.known() && assignments.consumeChanged()) {
      boolean room = scheduler.plan();
      if (room && now >= specAt) {
        specAt = now + 500;
        speculator.consider();
      }
    }
    if (now >= summaryAt) {
      summaryAt = now + SUMMARY_MS;
      summary();
    }
    if (now >= progressAt) {
      progressAt = now + PROGRESS_MS;
      tellProgress();
    }
    flush();
  }

  /** Sends what has been decided. */
  public void flush() {
    if (ended) {
      return;
    }
    if (recovery.loaded()) {
      dependencies.step();
    }
    writer.flush();
    for (int n = toSend.size(); n > 0 && hasAuthority(); n--) {
      outboxLooks++;
      toSend.poll().flush();
    }
  }

  /** One line now and then that tells how full the fleet is. */
  private void summary() {
    int pending = 0;
    int bound = 0;
    for (Job job : assignments.jobs()) {
      pending += job.wantsRoom() ? job.pending() : 0;
      bound += job.assigned();
    }
    TaskStateCounts stages = new TaskStateCounts();
    for (Job job : assignments.jobs()) {
      job.countStates(stages);
    }
    int[] up = new int[2];
    int[] coming = new int[2];
    double[] cpus = new double[2];
    double[] used = new double[2];
    Map<String, Integer> why = new TreeMap<>();
    for (Machine machine : machines.present()) {
      int kind = machine.isSpot() ? 1 : 0;
      if (machine.usable(runtime.now())) {
        up[kind]++;
        cpus[kind] += machine.machineType().cpus();
        used[kind] += machine.cpusUsed();
      } else {
        coming[kind]++;
        why.merge(machine.whyNotUsable(runtime.now()), 1, Integer::sum);
      }
    }
    runtime.note(
        String.format(
            java.util.Locale.ROOT,
            "%d jobs, %d await others, %d tasks wait, %d on machines (%d not recorded, %d starting,"
                + " %d fetching, %d running); ordinary %d up, %d not, %.0f of %.0f cpus;"
                + " spot %d up, %d not, %.0f of %.0f cpus; restarts %d; writes wait %d; not up %s",
            assignments.jobs().size(),
            dependencies.waitingJobs(),
            pending,
            bound,
            stages.of(TaskState.PLACING),
            stages.of(TaskState.STARTING),
            stages.of(TaskState.FETCHING),
            stages.of(TaskState.RUNNING),
            up[0],
            coming[0],
            used[0],
            cpus[0],
            up[1],
            coming[1],
            used[1],
            cpus[1],
            speculator.restarts(),
            writer.waiting(),
            why));
  }

  private void tellProgress() {
    told.keySet().removeIf(id -> assignments.job(id) == null);
    for (Job job : assignments.jobs()) {
      PeerMessage.JobProgress p =
          new PeerMessage.JobProgress(settings.node(), job.spec.id(), job.done(), job.running());
      if (!p.equals(told.put(job.spec.id(), p))) {
        jobApi.progress(p);
        runtime.broadcast(p);
      }
    }
  }
}
