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
 * One term of leadership: composes the parts that act under one fencing token and runs them in
 * turn. A new term gets a new leader. Not thread-safe; owned by the controller's event loop.
 */
public final class Leader implements RecordWriter.Host, CommandQueue.Host {
  private static final long SPECULATION_INTERVAL_MS = 500;

  private final CoreRuntime runtime;
  private final LeaderDependencies node;
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
  private final ProgressPublisher progress;
  private final ClusterSummary summary;
  private final LeaderGauges gauges;
  private boolean secondFormat;
  private long sweepAt;
  private long speculateAt;

  /** Begins the term that the node's election has just won, and starts to read the records. */
  public Leader(LeaderDependencies node) {
    this.node = node;
    runtime = node.runtime();
    term = new Term(node.election());
    dispatcher = new CommandDispatcher(term);
    services = AssignmentServices.create(node, term, this, this);
    assignments = services.assignments();
    recovery = new LeaderRecovery(node, term, services, this::loadRestarts);
    scheduling = SchedulingServices.create(node, term, services, recovery::mostHeard);
    MachineSilence silence = new MachineSilence(node, scheduling.zoneOutages(), recovery);
    reachability = new ReachabilityChecks(node, scheduling.autoscaler(), recovery, silence);
    healthSweep = new HealthSweep(node, services, scheduling, recovery, reachability, silence);
    heartbeatHandler = new HeartbeatHandler(node, term, services, recovery, reachability);
    jobWatch = new JobWatch(node, term, assignments);
    progress = new ProgressPublisher(node, assignments);
    summary = new ClusterSummary(runtime, services, scheduling);
    gauges =
        new LeaderGauges(services, scheduling, recovery, reachability, healthSweep, dispatcher);
    scheduling.externallyManaged().load();
    recovery.begin(this::loaded);
  }

  /** All records are known: heartbeats that came meanwhile are applied at once. */
  private void loaded(Map<Machine, Heartbeat> early) {
    jobWatch.startAt(recovery.watchFrom());
    early.forEach(
        (machine, heartbeat) -> {
          if (!machine.isTerminated()) {
            heartbeatHandler.apply(machine, heartbeat);
          }
        });
  }

  private void loadRestarts(String id, StateMessage.Entry entry) {
    Job job = assignments.job(id);
    if (job != null) {
      RestartRecords.load(job, entry.value());
      scheduling.speculator().loaded(job, entry.version());
    }
  }

  /** A user was told, by whichever node, that the job is cancelled. */
  public void cancellationConfirmed(String job) {
    assignments.registry().confirmCancellation(job);
  }

  /** Handles a heartbeat that a worker has sent to this node. */
  public void handleHeartbeat(long exchange, Heartbeat heartbeat) {
    heartbeatHandler.handle(exchange, heartbeat);
  }

  /** Nothing of this term may act any more. */
  public void end() {
    term.end();
  }

  /** Does what has become due. */
  public void tick() {
    if (term.ended()) {
      return;
    }
    recovery.tick();
    if (!recovery.loaded()) {
      return;
    }
    jobWatch.tick();
    if (!term.hasAuthority()) {
      return;
    }
    long now = runtime.now();
    if (now >= sweepAt) {
      sweepAt = now + HealthSweep.INTERVAL_MS;
      sweep();
    }
    services.dependencies().update();
    if (node.machineTypes().known() && assignments.consumeChanged()) {
      schedule(now);
    }
    summary.tick();
    progress.tick();
    flush();
  }

  private void sweep() {
    if (node.gate().open() && !secondFormat) {
      secondFormat = !assignments.useSecondFormat();
    }
    String resignReason = healthSweep.sweep();
    if (resignReason != null) {
      term.resign(resignReason);
    }
    services.registry().writeChangedPages();
    recovery.sweep();
    scheduling.autoscaler().tick();
    assignments.markChanged();
    assignments.retryFinishing();
  }

  private void schedule(long now) {
    boolean room = scheduling.scheduler().schedule();
    if (room && now >= speculateAt) {
      speculateAt = now + SPECULATION_INTERVAL_MS;
      scheduling.speculator().consider();
    }
  }

  /** Sends what has been decided. */
  public void flush() {
    if (term.ended()) {
      return;
    }
    if (recovery.loaded()) {
      services.dependencies().update();
    }
    services.writer().flush();
    dispatcher.flush();
  }

  /**
   * Addresses of some machines that can be reached, from all over the cluster.
   *
   * @param most how many at the most
   */
  public List<String> sampleWorkerAddresses(int most) {
    List<String> addresses = new ArrayList<>();
    List<Machine> all = services.machines().present();
    int step = Math.max(1, all.size() / (2 * most));
    int first = (int) (runtime.now() % step);
    for (int i = first; i < all.size() && addresses.size() < most; i += step) {
      Machine machine = all.get(i);
      if (machine.addr() != null && machine.usable(runtime.now())) {
        addresses.add(machine.addr());
      }
    }
    return addresses;
  }

  /** How many changes a second this term has written lately. */
  public double writesPerSecond() {
    return services.writer().writeRate();
  }

  /** All gauges of the term by name. */
  public Map<String, Double> gauges() {
    return gauges.collect();
  }

  @Override
  public boolean hasAuthority() {
    return term.hasAuthority();
  }

  @Override
  public boolean over() {
    return term.ended();
  }

  @Override
  public long token() {
    return term.token();
  }

  @Override
  public void leaderKeyLost() {
    term.leaderKeyLost();
  }

  @Override
  public void guardFailed(String key) {
    if (key.startsWith(StorageKeys.JOBS)) {
      assignments.registry().reread(key.substring(StorageKeys.JOBS.length()));
    }
  }

  @Override
  public void recordRejected(String key) {
    assignments.placementRejected(key);
  }

  @Override
  public void onHeartbeat(Heartbeat heartbeat) {
    heartbeatHandler.handleReply(heartbeat);
  }

  @Override
  public boolean canStart(Machine machine, Command start) {
    return assignments.mayStart(machine, start);
  }

  @Override
  public void onReadyToSend(CommandQueue queue) {
    dispatcher.add(queue);
  }

  @Override
  public void onUnanswered(Machine machine) {
    reachability.messageUnanswered(machine);
  }
}
