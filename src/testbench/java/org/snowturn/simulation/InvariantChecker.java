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

/** Watches every step of the world for the rules of PROTOCOL. */
final class InvariantChecker {
  private static final long MAX_UNANSWERED_MS = 75_000;
  private static final long MAX_WAIT_MS = 90_000;

  /** Within this time a leader hears of what its peers, or the state service, know. */
  private static final long PROPAGATION_MS = 1_000;

  /** Longer than the time between two ticks of a node. */
  private static final long LEADER_OVERLAP_MS = 100;

  /** A task that was started on a machine, and may have left it since. */
  private record StartedTask(SimulatedWorker worker, SimulatedWorker.Task task, long atMs) {
    boolean isPresent() {
      return task.present && worker.has(task);
    }

    @Override
    public String toString() {
      return "attempt " + task.attempt + " on " + worker.rented.id + " since " + atMs;
    }
  }

  private final Map<String, List<StartedTask>> tasksOfJob = new HashMap<>();

  /** Tasks that have begun to run, in all. */
  long startedTasks;

  private final SimulatedCluster cluster;
  private long nextJobCheckAt;
  private SimulatedCluster.Node lastLeader;
  private long lastLeaderInputAt;
  private boolean isCheckingLeaders;
  private final Map<String, Long> waitingSince = new HashMap<>();
  final TreeSet<String> violatedRules = new TreeSet<>();
  final List<String> violationDetails = new ArrayList<>();

  InvariantChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void reportViolation(String rule, String detail) {
    violatedRules.add(rule);
    if (violationDetails.size() < 5) {
      violationDetails.add(cluster.now + " " + rule + ": " + detail);
    }
  }

  /** A task has its image and starts. */
  void onTaskStarted(SimulatedWorker worker, SimulatedWorker.Task task, JobSpec spec) {
    checkDependenciesDone(task, spec);
    checkNotCancelled(task);
    cluster.clients.started(task.job);
    startedTasks++;
    int[] sameZone = {0};
    int[] otherZone = {0};
    List<StartedTask> ofJob = tasksOfJob.computeIfAbsent(task.job, k -> new ArrayList<>());
    ofJob.removeIf(s -> !s.isPresent());
    StartedTask now = new StartedTask(worker, task, cluster.now);
    for (StartedTask s : ofJob) {
      if (s.task.index == task.index) {
        reportViolation("ran_twice", task.name() + ": " + s + ", and " + now);
      }
      (s.worker.rented.zone.equals(worker.rented.zone) ? sameZone : otherZone)[0]++;
    }
    ofJob.add(now);
    if ((worker.rented.spot && !spec.spot())
        || (spec.zone() != null && !spec.zone().equals(worker.rented.zone))
        || (spec.spreadAcrossZones() && sameZone[0] + 1 > spec.perZoneLimit())
        || (spec.singleZone() && otherZone[0] > 0)) {
      reportViolation("wrong_place", task.name() + " on " + worker.rented.id);
    }
  }

  /**
   * From when its user was told that a job is cancelled, by whichever node and answer, no start of
   * it may leave. A leader hears what its peers have told in a moment, not at once.
   */
  private void checkNotCancelled(SimulatedWorker.Task task) {
    Long confirmedAt = cluster.clients.cancelConfirmed(task.job);
    if (confirmedAt != null && task.startLeftAt > confirmedAt + PROPAGATION_MS) {
      reportViolation(
          "started_cancelled",
          task.name() + ", told at " + confirmedAt + ", sent at " + task.startLeftAt);
    }
  }

  /** All that a job needs must be durably done before any task of it starts. */
  private void checkDependenciesDone(SimulatedWorker.Task task, JobSpec spec) {
    for (String id : spec.dependencies()) {
      JsonNode outcome = cluster.state.peek("d/" + id);
      if (outcome == null || !outcome.path("p").asText().equals("done")) {
        reportViolation("too_early", task.name() + " before " + id);
      }
    }
  }

  /**
   * A node has taken an input as the leader. If another did so just now, both are asked at this
   * very moment: at none may two have authority, whatever the state service has given whom.
   */
  void onLeaderInput(SimulatedCluster.Node node) {
    SimulatedCluster.Node other = lastLeader;
    boolean both =
        other != null && other != node && cluster.now - lastLeaderInputAt < LEADER_OVERLAP_MS;
    if (other != node) {
      cluster.deliverHeldHeartbeats();
    }
    lastLeader = node;
    lastLeaderInputAt = cluster.now;
    if (both && !isCheckingLeaders) {
      isCheckingLeaders = true;
      if (other.leadsNow() && node.leadsNow()) {
        reportViolation("two_leaders", other.name + " and " + node.name);
      }
      isCheckingLeaders = false;
    }
  }

  /** Once all troubles are over, a job about which no question is answered for so long is lost. */
  private void checkAcceptedJobs() {
    if (cluster.now < nextJobCheckAt) {
      return;
    }
    nextJobCheckAt = cluster.now + 1_000;
    if (cluster.now > cluster.faultsEndMs) {
      checkWaitingJobs();
    }
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
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
   * Once all troubles are over, no job is left waiting while a machine that fits has room and its
   * team is under its limit. Waiting is a job of which no task is on any machine.
   */
  private void checkWaitingJobs() {
    if (!cluster.seededBugs.contains("unseen_sick")
        && cluster.workers.values().stream().anyMatch(InvariantChecker::isFailing)) {
      waitingSince.clear(); // machines that fail whatever starts there are a trouble that goes on
      return;
    }
    Map<String, Double> cpusByTeam = new HashMap<>();
    Set<String> placedJobs = new HashSet<>();
    Map<SimulatedWorker, Integer> takenCpus = new HashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        if (task.alive()) {
          JobSpec spec = cluster.clients.spec(task.job);
          placedJobs.add(task.job);
          cpusByTeam.merge(spec.team(), spec.cpus(), Double::sum);
          takenCpus.merge(
              worker, (int) Math.ceil(Math.max(spec.cpus(), spec.memoryGb() / 4)), Integer::sum);
        }
      }
    }
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      boolean isStartable =
          submitted.accepted
              && !submitted.cancelRequested
              && !submitted.broken
              && submitted.terminal == null
              && !placedJobs.contains(submitted.spec.id())
              && !cluster.clients.allDone(submitted)
              && areDependenciesDone(submitted.spec)
              && isWithinTeamLimit(submitted.spec, cpusByTeam)
              && cluster.workers.values().stream()
                  .anyMatch(worker -> hasRoom(worker, submitted.spec, takenCpus));
      if (!isStartable) {
        waitingSince.remove(submitted.spec.id());
      } else if (cluster.now - waitingSince.computeIfAbsent(submitted.spec.id(), k -> cluster.now)
          > MAX_WAIT_MS) {
        reportViolation(
            "left_waiting",
            submitted.spec.id() + " since " + waitingSince.get(submitted.spec.id()));
      }
    }
  }

  private static boolean isFailing(SimulatedWorker worker) {
    return worker.failing && !worker.dead;
  }

  private boolean areDependenciesDone(JobSpec spec) {
    for (String id : spec.dependencies()) {
      JsonNode outcome = cluster.state.peek("d/" + id);
      if (outcome == null || !outcome.path("p").asText().equals("done")) {
        return false;
      }
    }
    return true;
  }

  private boolean isWithinTeamLimit(JobSpec spec, Map<String, Double> cpusByTeam) {
    for (Settings.Team team : cluster.settings[0].teams()) {
      if (team.name().equals(spec.team()) && team.cpusMax() > 0) {
        return cpusByTeam.getOrDefault(team.name(), 0.0) + spec.cpus() * spec.minConcurrentTasks()
            <= team.cpusMax();
      }
    }
    return true;
  }

  private static boolean hasRoom(
      SimulatedWorker worker, JobSpec spec, Map<SimulatedWorker, Integer> takenCpus) {
    return !worker.dead
        && !worker.hung
        && !worker.outboundDropped
        && Double.isNaN(worker.noticeS)
        && worker.rented.goneAt == Long.MAX_VALUE
        && (spec.spot() || !worker.rented.spot)
        && (spec.zone() == null || spec.zone().equals(worker.rented.zone))
        && takenCpus.getOrDefault(worker, 0) + spec.cpus() <= worker.cluster.parameters.cpus()
        && takenCpus.getOrDefault(worker, 0) + spec.memoryGb() / 4
            <= worker.cluster.parameters.memoryGb() / 4;
  }

  /**
   * What is left open once all troubles are over: jobs that were accepted, are not over, and have
   * no task on any machine, or about which nobody has answered since then.
   */
  List<String> unsettledJobs(long answeredSince) {
    Set<String> placedJobs = new HashSet<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      worker.tasks.values().stream()
          .filter(SimulatedWorker.Task::alive)
          .forEach(task -> placedJobs.add(task.job));
    }
    List<String> open = new ArrayList<>();
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      String id = submitted.spec.id();
      if (!submitted.accepted || submitted.terminal != null) {
        continue;
      }
      if (submitted.answeredAt < answeredSince) {
        open.add(id + " was last answered about at " + submitted.answeredAt);
      } else if (submitted.cancelRequested || !placedJobs.contains(id)) {
        open.add(id + (submitted.cancelRequested ? " is not called cancelled" : " runs nowhere"));
      }
    }
    return open;
  }

  /**
   * At the end of a day: so much of each class, of each team and of each class's largest jobs must
   * have been served, and the largest begun in time. Largest is the tenth of a class with the most
   * tasks, at least one; cancelled jobs do not count.
   */
  void checkServed(double minServedShare, long maxStartDelayMs) {
    Map<String, List<SimulatedClients.SubmittedJob>> groups = new TreeMap<>();
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      if (submitted.accepted && !submitted.cancelRequested && !submitted.broken) {
        groups
            .computeIfAbsent("class " + submitted.spec.jobClass(), g -> new ArrayList<>())
            .add(submitted);
        groups
            .computeIfAbsent("team " + submitted.spec.team(), g -> new ArrayList<>())
            .add(submitted);
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

  private void checkServedShare(
      String name, List<SimulatedClients.SubmittedJob> jobs, double minServedShare) {
    long servedJobs =
        jobs.stream()
            .filter(
                submitted ->
                    submitted.spec.service()
                        ? submitted.firstStartAt >= 0
                        : "done".equals(submitted.terminal))
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

  /** A job is called queued or running, though one that it needs was cancelled long ago. */
  void checkOrphaned(SimulatedClients.SubmittedJob submitted) {
    Long confirmedAt = cluster.clients.dependencyCancelConfirmed(submitted.spec.id());
    double cancelMs = cluster.settings[0].workers().cancelS() * 1000;
    if (confirmedAt != null
        && cluster.now > Math.max(confirmedAt, submitted.acceptedAt) + cancelMs) {
      reportViolation("orphaned", submitted.spec.id());
    }
  }

  /** Looks at the whole world, after every event. */
  void check() {
    checkAcceptedJobs();
    boolean hasTeamLimits =
        cluster.settings[0].teams().stream().anyMatch(team -> team.cpusMax() > 0);
    if (!hasTeamLimits && !cluster.clients.anyCancelConfirmed()) {
      return; // nothing that time alone can break; a start is checked when it happens
    }
    Map<String, Double> cpusByTeam = new HashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        if (!task.present) {
          continue;
        }
        JobSpec spec = cluster.clients.spec(task.job);
        cpusByTeam.merge(spec.team(), spec.cpus(), Double::sum);
        Long confirmedAt = cluster.clients.cancelConfirmed(task.job);
        double cancelMs = cluster.settings[0].workers().cancelS() * 1000;
        if (confirmedAt != null && cluster.now > confirmedAt + cancelMs) {
          reportViolation("ran_cancelled", task.name());
        }
      }
    }
    for (Settings.Team team : cluster.settings[0].teams()) {
      if (team.cpusMax() > 0 && cpusByTeam.getOrDefault(team.name(), 0.0) > team.cpusMax() + 1e-6) {
        reportViolation("quota", team.name() + " uses " + cpusByTeam.get(team.name()));
      }
    }
  }
}
