package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;

/**
 * Checks a simulated cluster against the rules of PROTOCOL.
 *
 * <p>Task starts, leadership and answers to users are checked when they occur, the remaining rules
 * by {@link #check}. Violations are collected; they do not stop the run.
 */
final class InvariantChecker {
  /** Maximum time, after all faults have ended, without an answer about an accepted job. */
  private static final long MAX_UNANSWERED_MS = 75_000;

  private static final long JOB_CHECK_INTERVAL_MS = 1_000;

  private static final int MAX_DETAILS = 5;
  private static final double CPU_ROUNDING_TOLERANCE = 1e-6;

  /** Maximum time until a leader learns what its peers or the state service know. */
  private static final long MAX_PROPAGATION_MS = 1_000;

  /** Maximum time by which an answer about a job may lag. */
  private static final long MAX_STATUS_LAG_MS = 3_000;

  /** Time after the last fault until all nodes are connected and one leads. */
  private static final long MAX_RECOVERY_MS = 5_000;

  /** Maximum time between inputs of two nodes checked for authority; longer than a tick. */
  private static final long LEADER_OVERLAP_MS = 100;

  /** A task that was started on a machine and may have left it since. */
  private record StartedTask(SimulatedWorker worker, SimulatedTask task, long atMs) {
    boolean isPresent() {
      return task.isRunning() && worker.hasTask(task);
    }

    @Override
    public String toString() {
      return "attempt " + task.attempt + " on " + worker.machine.id + " since " + atMs;
    }
  }

  private final Map<String, List<StartedTask>> startedTasksByJob = new HashMap<>();

  long startedTasks;
  private final SimulatedCluster cluster;
  private final WaitingJobCheck waitingJobs;
  private long nextJobCheckAt;
  private SimulatedCluster.Node lastLeader;
  private long lastLeaderInputAt;
  private boolean isCheckingLeaders;

  final TreeSet<String> violatedRules = new TreeSet<>();

  /** Details of the first violations, at most {@link #MAX_DETAILS}. */
  final List<String> violationDetails = new ArrayList<>();

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.waitingJobs = new WaitingJobCheck(cluster);
  }

  /** Records the violation of a rule. */
  void reportViolation(String rule, String detail) {
    violatedRules.add(rule);
    if (violationDetails.size() < MAX_DETAILS) {
      violationDetails.add(cluster.now + " " + rule + ": " + detail);
    }
  }

  /** Checks and records the start of a task, which has its image. */
  void onTaskStarted(SimulatedWorker worker, SimulatedTask task, JobSpec spec) {
    checkDependenciesDone(task, spec);
    checkNotCancelled(task);
    cluster.clients.recordStart(task.job);
    startedTasks++;
    int[] sameZone = {0};
    int[] otherZone = {0};
    List<StartedTask> ofJob = startedTasksByJob.computeIfAbsent(task.job, job -> new ArrayList<>());
    ofJob.removeIf(other -> !other.isPresent());
    StartedTask started = new StartedTask(worker, task, cluster.now);
    for (StartedTask other : ofJob) {
      if (other.task.index == task.index) {
        reportViolation("ran_twice", task.name() + ": " + other + ", and " + started);
      }
      (other.worker.machine.zone.equals(worker.machine.zone) ? sameZone : otherZone)[0]++;
    }
    ofJob.add(started);
    if ((worker.machine.spot && !spec.canUseSpot())
        || (spec.zone() != null && !spec.zone().equals(worker.machine.zone))
        || (spec.spreadAcrossZones() && sameZone[0] + 1 > spec.maxTasksPerZone())
        || (spec.singleZone() && otherZone[0] > 0)) {
      reportViolation("wrong_place", task.name() + " on " + worker.machine.id);
    }
  }

  /**
   * Reports a start that was sent after a user had received confirmation, from any controller, that
   * the job is cancelled. {@link #MAX_PROPAGATION_MS} allows for the time until the leader learns
   * of a confirmation that one of its peers gave.
   */
  private void checkNotCancelled(SimulatedTask task) {
    Long confirmedAt = cluster.clients.cancelConfirmedAt(task.job);
    if (confirmedAt != null && task.startSentAt() > confirmedAt + MAX_PROPAGATION_MS) {
      reportViolation(
          "started_cancelled",
          task.name() + ", told at " + confirmedAt + ", sent at " + task.startSentAt());
    }
  }

  /** Reports a task that starts before the state service records its dependencies as done. */
  private void checkDependenciesDone(SimulatedTask task, JobSpec spec) {
    for (String id : spec.dependencies()) {
      JsonNode outcome = cluster.state.storedValue("d/" + id);
      if (outcome == null || !outcome.path("p").asText().equals("done")) {
        reportViolation("too_early", task.name() + " before " + id);
      }
    }
  }

  /**
   * Records that a node has handled an input as the leader. If another node did so within {@link
   * #LEADER_OVERLAP_MS}, checks whether both have authority now. Two nodes must never have
   * authority at the same time, whichever of them the state service lists as the leader.
   */
  void onLeaderInput(SimulatedCluster.Node node) {
    SimulatedCluster.Node other = lastLeader;
    boolean isOverlapping =
        other != null && other != node && cluster.now - lastLeaderInputAt < LEADER_OVERLAP_MS;
    if (other != node) {
      cluster.deliverHeldHeartbeats();
    }
    lastLeader = node;
    lastLeaderInputAt = cluster.now;
    if (isOverlapping && !isCheckingLeaders) {
      isCheckingLeaders = true;
      if (other.hasAuthorityNow() && node.hasAuthorityNow()) {
        reportViolation("two_leaders", other.name + " and " + node.name);
      }
      isCheckingLeaders = false;
    }
  }

  /**
   * Reports each accepted job about which no request has been answered for {@link
   * #MAX_UNANSWERED_MS} since all faults ended, and checks the waiting jobs. Runs at intervals.
   */
  private void checkAcceptedJobs() {
    if (cluster.now < nextJobCheckAt) {
      return;
    }
    nextJobCheckAt = cluster.now + JOB_CHECK_INTERVAL_MS;
    if (cluster.now > cluster.faultsEndMs) {
      waitingJobs.check();
    }
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.allJobs()) {
      long answerDueFrom =
          Math.max(submitted.acceptedAt, Math.max(submitted.answeredAt, cluster.faultsEndMs));
      if (submitted.accepted
          && cluster.faultsEndMs < cluster.now
          && cluster.now - answerDueFrom > MAX_UNANSWERED_MS) {
        reportViolation(
            "forgotten",
            submitted.spec.id() + " has not been answered about since " + submitted.answeredAt);
      }
    }
  }

  /**
   * Returns descriptions of the accepted jobs that are not settled after all faults have ended. A
   * job is not settled if no user has seen it in a terminal phase and one of these holds: no
   * request about it has been answered since {@code answeredSinceMs}, its cancellation was
   * requested, or none of its tasks is on a machine.
   */
  List<String> unsettledJobs(long answeredSinceMs) {
    Set<String> placedJobs = new HashSet<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      worker.tasks.values().stream()
          .filter(SimulatedTask::isAlive)
          .forEach(task -> placedJobs.add(task.job));
    }
    List<String> unsettled = new ArrayList<>();
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.allJobs()) {
      String id = submitted.spec.id();
      if (!submitted.accepted || submitted.terminalPhase != null) {
        continue;
      }
      if (submitted.answeredAt < answeredSinceMs) {
        unsettled.add(id + " was last answered about at " + submitted.answeredAt);
      } else if (submitted.cancelRequested || !placedJobs.contains(id)) {
        unsettled.add(
            id + (submitted.cancelRequested ? " is not called cancelled" : " runs nowhere"));
      }
    }
    return unsettled;
  }

  /**
   * Checks at the end of a run that a minimum share of the jobs of each class, of each team and of
   * the largest jobs of each class was served, and that the largest jobs started in time. The
   * largest jobs of a class are the tenth with the most tasks, at least one job. Jobs whose
   * cancellation was requested do not count. {@code maxStartDelayMs} limits the delay from
   * submission to the first start.
   */
  void checkServed(double minServedShare, long maxStartDelayMs) {
    Map<String, List<SimulatedClients.SubmittedJob>> groups = new TreeMap<>();
    for (SimulatedClients.SubmittedJob job : cluster.clients.allJobs()) {
      if (job.accepted && !job.cancelRequested && !job.alwaysFails) {
        groups.computeIfAbsent("class " + job.spec.jobClass(), key -> new ArrayList<>()).add(job);
        groups.computeIfAbsent("team " + job.spec.team(), key -> new ArrayList<>()).add(job);
      }
    }
    groups.forEach(
        (name, jobs) -> {
          checkServedShare(name, jobs, minServedShare);
          if (name.startsWith("class ")) {
            jobs.sort(Comparator.comparingInt(submitted -> -submitted.spec.tasks()));
            List<SimulatedClients.SubmittedJob> largest =
                jobs.subList(0, Math.max(1, jobs.size() / 10));
            checkServedShare("largest of " + name, largest, minServedShare);
            largest.forEach(submitted -> checkStartDelay(submitted, maxStartDelayMs));
          }
        });
  }

  /** Checks the share of jobs served in a group: services that started and other jobs done. */
  private void checkServedShare(
      String name, List<SimulatedClients.SubmittedJob> jobs, double minServedShare) {
    long servedJobs =
        jobs.stream()
            .filter(
                job ->
                    job.spec.isService() ? job.firstStartAt >= 0 : "done".equals(job.terminalPhase))
            .count();
    if (servedJobs < minServedShare * jobs.size()) {
      reportViolation("unserved", name + ": " + servedJobs + " of " + jobs.size());
    }
  }

  private void checkStartDelay(SimulatedClients.SubmittedJob submitted, long maxStartDelayMs) {
    long waitedMs =
        (submitted.firstStartAt < 0 ? cluster.now : submitted.firstStartAt) - submitted.submittedAt;
    if (waitedMs > maxStartDelayMs) {
      reportViolation("late_start", submitted.spec.id() + " began after " + waitedMs + " ms");
    }
  }

  /**
   * Reports a job that an answer calls queued, though one of its tasks had been running for longer
   * than an answer may lag when it was asked about. Answers to requests during faults and shortly
   * after them are not checked.
   */
  void checkQueued(String job, long requestedAt) {
    if (requestedAt - MAX_RECOVERY_MS < cluster.faultsEndMs) {
      return;
    }
    for (StartedTask started : startedTasksByJob.getOrDefault(job, List.of())) {
      if (started.isPresent() && started.atMs < requestedAt - MAX_STATUS_LAG_MS) {
        reportViolation("state_lag", job + " called queued, " + started);
        return;
      }
    }
  }

  /**
   * Reports a job that an answer calls queued or running although the cancellation of one of its
   * dependencies was confirmed longer ago than the cancellation limit.
   */
  void checkOrphaned(SimulatedClients.SubmittedJob submitted) {
    Long confirmedAt = cluster.clients.dependencyCancelConfirmedAt(submitted.spec.id());
    double cancelMs = cluster.settings[0].workers().cancellationDeadlineS() * 1000;
    if (confirmedAt != null
        && cluster.now > Math.max(confirmedAt, submitted.acceptedAt) + cancelMs) {
      reportViolation("orphaned", submitted.spec.id());
    }
  }

  /**
   * Checks the accepted jobs, the team limits, and that cancelled jobs have stopped. In simulated
   * time this runs after every event, in real time at intervals.
   */
  void check() {
    checkAcceptedJobs();
    boolean hasTeamLimits =
        cluster.settings[0].teams().stream().anyMatch(team -> team.maxCpus() > 0);
    if (!hasTeamLimits && !cluster.clients.hasConfirmedCancel()) {
      return; // the other rules are checked when a task starts or an answer arrives
    }
    Map<String, Double> cpusByTeam = new HashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (!task.isRunning()) {
          continue;
        }
        JobSpec spec = cluster.clients.spec(task.job);
        cpusByTeam.merge(spec.team(), spec.cpus(), Double::sum);
        Long confirmedAt = cluster.clients.cancelConfirmedAt(task.job);
        double cancelMs = cluster.settings[0].workers().cancellationDeadlineS() * 1000;
        if (confirmedAt != null && cluster.now > confirmedAt + cancelMs) {
          reportViolation("ran_cancelled", task.name());
        }
      }
    }
    for (Settings.Team team : cluster.settings[0].teams()) {
      if (team.maxCpus() > 0
          && cpusByTeam.getOrDefault(team.name(), 0.0) > team.maxCpus() + CPU_ROUNDING_TOLERANCE) {
        reportViolation("quota", team.name() + " uses " + cpusByTeam.get(team.name()));
      }
    }
  }
}
