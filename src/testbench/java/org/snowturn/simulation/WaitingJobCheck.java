package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.ListedTaskSize;

/** Checks that no job is left waiting for long although a machine could run it. */
final class WaitingJobCheck {
  /** Maximum time, after all faults have ended, that a job waits although it could start. */
  private static final long MAX_WAIT_MS = 90_000;

  /** Memory of a task that takes as much of a machine as one CPU. */
  private static final int MEMORY_GB_PER_CPU = 4;

  private final SimulatedCluster cluster;

  /** Time since which each job that could start has been waiting, by job. */
  private final Map<String, Long> waitingSince = new HashMap<>();

  private final Map<String, Double> cpusByTeam = new HashMap<>();
  private final Set<String> placedJobs = new HashSet<>();
  private final Map<SimulatedWorker, Double> takenCpus = new HashMap<>();

  WaitingJobCheck(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Reports each job that has waited longer than {@link #MAX_WAIT_MS} although a suitable machine
   * has room and its team is under its limit. A job waits while none of its tasks is on a machine.
   * Called only after all faults have ended.
   */
  void check() {
    if (!cluster.seededBugs.contains("unseen_sick")
        && cluster.workers.values().stream().anyMatch(WaitingJobCheck::isFailing)) {
      waitingSince.clear(); // a machine on which every task fails is a fault that has not ended
      return;
    }
    countTaken();
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.allJobs()) {
      String id = submitted.spec.id();
      if (!isWaiting(submitted) || !isStartable(submitted.spec)) {
        waitingSince.remove(id);
      } else if (cluster.now - waitingSince.computeIfAbsent(id, job -> cluster.now) > MAX_WAIT_MS) {
        cluster.invariants.reportViolation("left_waiting", id + " since " + waitingSince.get(id));
      }
    }
  }

  /** Counts what the tasks on all machines take. */
  private void countTaken() {
    cpusByTeam.clear();
    placedJobs.clear();
    takenCpus.clear();
    for (SimulatedWorker worker : cluster.workers.values()) {
      worker.tasks.values().stream()
          .filter(SimulatedTask::isAlive)
          .forEach(
              task -> {
                JobSpec spec = cluster.clients.spec(task.job);
                placedJobs.add(task.job);
                cpusByTeam.merge(spec.team(), spec.cpus(), Double::sum);
                takenCpus.merge(worker, takenCpus(spec), Double::sum);
              });
    }
  }

  /** Returns whether an accepted job has no task on a machine and is not over. */
  private boolean isWaiting(SimulatedClients.SubmittedJob submitted) {
    return submitted.accepted
        && !submitted.cancelRequested
        && !submitted.alwaysFails
        && submitted.terminalPhase == null
        && !placedJobs.contains(submitted.spec.id())
        && !cluster.clients.areAllTasksDone(submitted);
  }

  private boolean isStartable(JobSpec spec) {
    return areDependenciesDone(spec)
        && isWithinTeamLimit(spec)
        && cluster.workers.values().stream()
            .anyMatch(
                worker -> isReachable(worker) && isAllowed(worker, spec) && fits(worker, spec));
  }

  private static boolean isFailing(SimulatedWorker worker) {
    return worker.failing && !worker.dead;
  }

  private boolean areDependenciesDone(JobSpec spec) {
    for (String id : spec.dependencies()) {
      JsonNode outcome = cluster.state.storedValue("d/" + id);
      if (outcome == null || !outcome.path("p").asText().equals("done")) {
        return false;
      }
    }
    return true;
  }

  private boolean isWithinTeamLimit(JobSpec spec) {
    for (Settings.Team team : cluster.settings[0].teams()) {
      if (team.name().equals(spec.team()) && team.maxCpus() > 0) {
        return cpusByTeam.getOrDefault(team.name(), 0.0) + spec.cpus() * spec.minConcurrentTasks()
            <= team.maxCpus();
      }
    }
    return true;
  }

  /**
   * Returns the CPUs that a task takes: the larger of its CPUs and its memory divided by {@link
   * #MEMORY_GB_PER_CPU}, rounded up unless it takes only a part of a CPU.
   */
  private static double takenCpus(JobSpec spec) {
    double cpus = Math.max(spec.cpus(), spec.memoryGb() / MEMORY_GB_PER_CPU);
    return cpus < 1 ? cpus : Math.ceil(cpus);
  }

  /** Returns whether the machine's report has room for one more task, should all of them end. */
  private static boolean hasRoomInReport(SimulatedWorker worker, JobSpec spec) {
    int bytes = ListedTaskSize.maxBytes(spec) + worker.messages.layout().extraEntryBytes;
    for (SimulatedTask task : worker.tasks.values()) {
      JobSpec listed = worker.cluster.clients.spec(task.job);
      bytes +=
          (listed == null ? ListedTaskSize.maxBytes(spec) : ListedTaskSize.maxBytes(listed))
              + worker.messages.layout().extraEntryBytes;
    }
    return bytes <= ListedTaskSize.MAX_LIST_BYTES;
  }

  private static boolean isReachable(SimulatedWorker worker) {
    return !worker.dead
        && !worker.hung
        && !worker.outboundDropped
        && Double.isNaN(worker.reclaimNoticeS)
        && worker.machine.terminatedAt == Long.MAX_VALUE;
  }

  private static boolean isAllowed(SimulatedWorker worker, JobSpec spec) {
    return (spec.canUseSpot() || !worker.machine.spot)
        && (spec.zone() == null || spec.zone().equals(worker.machine.zone));
  }

  private boolean fits(SimulatedWorker worker, JobSpec spec) {
    double taken = takenCpus.getOrDefault(worker, 0.0);
    return taken + spec.cpus() <= cluster.parameters.cpus()
        && taken + spec.memoryGb() / MEMORY_GB_PER_CPU
            <= cluster.parameters.memoryGb() / MEMORY_GB_PER_CPU
        && hasRoomInReport(worker, spec);
  }
}
