package org.snowturn.core.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.RestartRecords;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.StateMessage;

/**
 * The leader of one term: creates the services that act under the term's fencing token and runs
 * their periodic work. Each term has a new instance. Not thread-safe; owned by the controller's
 * event loop.
 */
public final class Leader implements RecordWriter.Host, CommandQueue.Host {
  private static final long SPECULATION_INTERVAL_MS = 500;

  private final CoreRuntime runtime;
  private final LeaderDependencies shared;
  private final Term term;
  private final CommandDispatcher dispatcher;
  private final AssignmentServices services;
  private final TaskAssignments assignments;
  private final SchedulingServices scheduling;
  private final LeaderRecovery recovery;
  private final ReachabilityChecks reachability;
  private final HealthSweep healthSweep;
  private final HeartbeatHandler heartbeatHandler;
  private final JobWatch jobWatch;
  private final ProgressPublisher progressPublisher;
  private final ClusterSummary clusterSummary;
  private final LeaderGauges gauges;
  private boolean isFormatMigrated;
  private long nextSweepAt;
  private long nextSpeculationAt;

  /**
   * Creates the leader of the term that this node has just won, and starts to read the stored
   * records.
   */
  public Leader(LeaderDependencies shared) {
    this.shared = shared;
    runtime = shared.runtime();
    term = new Term(shared.election());
    dispatcher = new CommandDispatcher(term);
    services = AssignmentServices.create(shared, term, this, this);
    assignments = services.assignments();
    recovery = new LeaderRecovery(shared, term, services, this::loadRestartRecord);
    scheduling = SchedulingServices.create(shared, term, services, recovery::hasHeardMostMachines);
    MachineSilenceDetector silence =
        new MachineSilenceDetector(shared, scheduling.zoneOutages(), recovery);
    reachability = new ReachabilityChecks(shared, scheduling.autoscaler(), recovery, silence);
    healthSweep = new HealthSweep(shared, services, scheduling, recovery, reachability, silence);
    heartbeatHandler = new HeartbeatHandler(shared, term, services, recovery, reachability);
    jobWatch = new JobWatch(shared, term, assignments);
    progressPublisher = new ProgressPublisher(shared, assignments);
    clusterSummary = new ClusterSummary(runtime, services, scheduling);
    gauges =
        new LeaderGauges(
            services,
            scheduling,
            recovery,
            reachability,
            healthSweep,
            dispatcher,
            heartbeatHandler);
    scheduling.externallyManagedMachines().load();
    recovery.start(this::onRecordsLoaded);
  }

  /**
   * Applies the heartbeats that arrived while the records were being read, and sets where the job
   * watch starts.
   */
  private void onRecordsLoaded(Map<Machine, Heartbeat> earlyHeartbeats) {
    jobWatch.startFrom(recovery.jobWatchRevision());
    earlyHeartbeats.forEach(
        (machine, heartbeat) -> {
          if (!machine.lifecycle.isGone()) {
            heartbeatHandler.apply(machine, heartbeat);
          }
        });
  }

  private void loadRestartRecord(String id, StateMessage.Entry entry) {
    Job job = assignments.job(id);
    if (job != null) {
      RestartRecords.load(job, entry.value());
      scheduling.speculator().setRecordVersion(job, entry.version());
    }
  }

  /**
   * Handles a cancellation that this node or a peer has confirmed to a user.
   *
   * @param job the id of the job
   */
  public void onCancellationConfirmed(String job) {
    assignments.registry().confirmCancellation(job);
  }

  /**
   * Handles a heartbeat that a worker has sent to this node.
   *
   * @param exchange the id of the HTTP exchange to answer
   */
  public void handleHeartbeat(long exchange, Heartbeat heartbeat) {
    heartbeatHandler.handle(exchange, heartbeat);
  }

  /** Publishes the progress of these jobs now, unless the stored records are still being read. */
  public void publishProgress(List<String> jobs) {
    if (!term.hasEnded() && recovery.isLoaded()) {
      progressPublisher.publish(jobs);
    }
  }

  /** Ends the term, after which none of its services acts any more. */
  public void end() {
    term.end();
    heartbeatHandler.refuseDeferred();
  }

  /** Runs the periodic work that is due. */
  public void tick() {
    if (term.hasEnded()) {
      return;
    }
    recovery.tick();
    if (!recovery.isLoaded()) {
      return;
    }
    jobWatch.tick();
    if (!term.hasAuthority()) {
      heartbeatHandler.refuseDeferred();
      return;
    }
    long now = runtime.now();
    if (now >= nextSweepAt) {
      nextSweepAt = now + HealthSweep.INTERVAL_MS;
      sweepMachines();
    }
    services.dependencyGraph().update();
    if (shared.machineTypes().isLoaded() && assignments.consumeChanged()) {
      schedule(now);
    }
    clusterSummary.tick();
    progressPublisher.tick();
    heartbeatHandler.answerExpiredDeferred();
    flush();
  }

  private void sweepMachines() {
    if (shared.formatGate().isOpen() && !isFormatMigrated) {
      isFormatMigrated = !assignments.useSecondFormat();
    }
    String resignReason = healthSweep.checkMachines();
    if (resignReason != null) {
      term.resign(resignReason);
    }
    services.registry().writeChangedPages();
    recovery.dropTerminatingMachines();
    scheduling.autoscaler().tick();
    assignments.markChanged();
    assignments.retryFinishing();
  }

  private void schedule(long now) {
    boolean hasCapacity = scheduling.scheduler().schedule();
    if (hasCapacity && now >= nextSpeculationAt) {
      nextSpeculationAt = now + SPECULATION_INTERVAL_MS;
      scheduling.speculator().restartStraggler();
    }
  }

  /** Sends the queued writes and commands. */
  public void flush() {
    if (term.hasEnded()) {
      return;
    }
    if (recovery.isLoaded()) {
      services.dependencyGraph().update();
    }
    services.writer().flush();
    heartbeatHandler.answerDeferredWithStart();
    dispatcher.flush();
  }

  /**
   * Returns the addresses of some usable machines that are spread evenly over the cluster.
   *
   * @param maxAddresses the maximum number of addresses
   */
  public List<String> sampleWorkerAddresses(int maxAddresses) {
    List<String> addresses = new ArrayList<>();
    List<Machine> all = services.machines().present();
    int step = Math.max(1, all.size() / (2 * maxAddresses));
    int first = (int) (runtime.now() % step);
    for (int i = first; i < all.size() && addresses.size() < maxAddresses; i += step) {
      Machine machine = all.get(i);
      if (machine.address() != null && machine.isUsable(runtime.now())) {
        addresses.add(machine.address());
      }
    }
    return addresses;
  }

  /** Returns the recent rate of this term's writes, in changed keys per second. */
  public double writesPerSecond() {
    return services.writer().writeRate();
  }

  /** Returns all gauges of the term, by metric name. */
  public Map<String, Double> gauges() {
    return gauges.collect();
  }

  @Override
  public boolean hasAuthority() {
    return term.hasAuthority();
  }

  @Override
  public boolean isTermOver() {
    return term.hasEnded();
  }

  @Override
  public long token() {
    return term.token();
  }

  @Override
  public void onLeaderKeyLost() {
    term.onLeaderKeyLost();
  }

  @Override
  public void onGuardFailed(String key) {
    if (key.startsWith(StorageKeys.JOBS)) {
      assignments.registry().reread(key.substring(StorageKeys.JOBS.length()));
    }
  }

  @Override
  public void onRecordRejected(String key) {
    assignments.onPlacementRejected(key);
  }

  @Override
  public void onHeartbeat(Heartbeat heartbeat) {
    heartbeatHandler.handleReply(heartbeat);
  }

  @Override
  public boolean canStart(Machine machine, Command start) {
    return assignments.canStart(machine, start);
  }

  @Override
  public void onStartDue(Machine machine) {
    heartbeatHandler.onStartDue(machine);
  }

  @Override
  public void raiseToken(Machine machine) {
    services.startFencing().raiseToken(machine);
  }

  @Override
  public void onReadyToSend(CommandQueue queue) {
    dispatcher.add(queue);
  }

  @Override
  public void onMessageUnanswered(Machine machine) {
    reachability.onMessageUnanswered(machine);
  }
}
