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
  private static final long UNANSWERED_MS = 75_000;
  private static final long WAIT_MS = 90_000;

  /** Within this time a leader hears of what its peers, or the state service, know. */
  private static final long HEARD_OF_MS = 1_000;

  /** Longer than the time between two ticks of a node. */
  private static final long JUST_NOW_MS = 100;

  /** A task that was started on a machine, and may have left it since. */
  private record Started(SimulatedWorker on, SimulatedWorker.Task task, long atMs) {
    boolean present() {
      return task.present && on.has(task);
    }

    @Override
    public String toString() {
      return "attempt " + task.attempt + " on " + on.rented.id + " since " + atMs;
    }
  }

  private final Map<String, List<Started>> started = new HashMap<>();

  /** Tasks that have begun to run, in all. */
  long startedTasks;

  private final SimulatedCluster cluster;
  private long nextLookAt;
  private SimulatedCluster.Node leader;
  private long ledAt;
  private boolean asking;
  private final Map<String, Long> waitsSince = new HashMap<>();
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
    checkAwaited(task, spec);
    checkWanted(task);
    cluster.clients.started(task.job);
    startedTasks++;
    int[] sameZone = {0};
    int[] otherZone = {0};
    List<Started> ofJob = started.computeIfAbsent(task.job, k -> new ArrayList<>());
    ofJob.removeIf(s -> !s.present());
    Started now = new Started(worker, task, cluster.now);
    for (Started s : ofJob) {
      if (s.task.index == task.index) {
        reportViolation("ran_twice", task.name() + ": " + s + ", and " + now);
      }
      (s.on.rented.zone.equals(worker.rented.zone) ? sameZone : otherZone)[0]++;
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
  private void checkWanted(SimulatedWorker.Task task) {
    Long told = cluster.clients.cancelConfirmed(task.job);
    if (told != null && task.startLeftAt > told + HEARD_OF_MS) {
      reportViolation(
          "started_cancelled", task.name() + ", told at " + told + ", sent at " + task.startLeftAt);
    }
  }

  /** All that a job needs must be durably done before any task of it starts. */
  private void checkAwaited(SimulatedWorker.Task task, JobSpec spec) {
    for (String id : spec.dependencies()) {
      JsonNode over = cluster.state.peek("d/" + id);
      if (over == null || !over.path("p").asText().equals("done")) {
        reportViolation("too_early", task.name() + " before " + id);
      }
    }
  }

  /**
   * A node has taken an input as the leader. If another did so just now, both are asked at this
   * very moment: at none may two have authority, whatever the state service has given whom.
   */
  void onLeaderInput(SimulatedCluster.Node node) {
    SimulatedCluster.Node other = leader;
    boolean both = other != null && other != node && cluster.now - ledAt < JUST_NOW_MS;
    if (other != node) {
      cluster.deliverHeldHeartbeats();
    }
    leader = node;
    ledAt = cluster.now;
    if (both && !asking) {
      asking = true;
      if (other.leadsNow() && node.leadsNow()) {
        reportViolation("two_leaders", other.name + " and " + node.name);
      }
      asking = false;
    }
  }

  /** Once all troubles are over, a job about which no question is answered for so long is lost. */
  private void checkKnown() {
    if (cluster.now < nextLookAt) {
      return;
    }
    nextLookAt = cluster.now + 1_000;
    if (cluster.now > cluster.faultsEndMs) {
      checkWaiting();
    }
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      long from =
          Math.max(submitted.acceptedAt, Math.max(submitted.answeredAt, cluster.faultsEndMs));
      if (submitted.accepted
          && cluster.faultsEndMs < cluster.now
          && cluster.now - from > UNANSWERED_MS) {
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
  private void checkWaiting() {
    if (!cluster.seededBugs.contains("unseen_sick")
        && cluster.workers.values().stream().anyMatch(InvariantChecker::fails)) {
      waitsSince.clear(); // machines that fail whatever starts there are a trouble that goes on
      return;
    }
    Map<String, Double> use = new HashMap<>();
    Set<String> placed = new HashSet<>();
    Map<SimulatedWorker, Integer> taken = new HashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        if (task.alive()) {
          JobSpec spec = cluster.clients.spec(task.job);
          placed.add(task.job);
          use.merge(spec.team(), spec.cpus(), Double::sum);
          taken.merge(
              worker, (int) Math.ceil(Math.max(spec.cpus(), spec.memoryGb() / 4)), Integer::sum);
        }
      }
    }
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      boolean could =
          submitted.accepted
              && !submitted.cancelRequested
              && !submitted.broken
              && submitted.terminal == null
              && !placed.contains(submitted.spec.id())
              && !cluster.clients.allDone(submitted)
              && released(submitted.spec)
              && underLimit(submitted.spec, use)
              && cluster.workers.values().stream()
                  .anyMatch(worker -> hasRoom(worker, submitted.spec, taken));
      if (!could) {
        waitsSince.remove(submitted.spec.id());
      } else if (cluster.now - waitsSince.computeIfAbsent(submitted.spec.id(), k -> cluster.now)
          > WAIT_MS) {
        reportViolation(
            "left_waiting", submitted.spec.id() + " since " + waitsSince.get(submitted.spec.id()));
      }
    }
  }

  private static boolean fails(SimulatedWorker worker) {
    return worker.failing && !worker.dead;
  }

  private boolean released(JobSpec spec) {
    for (String id : spec.dependencies()) {
      JsonNode over = cluster.state.peek("d/" + id);
      if (over == null || !over.path("p").asText().equals("done")) {
        return false;
      }
    }
    return true;
  }

  private boolean underLimit(JobSpec spec, Map<String, Double> use) {
    for (Settings.Team team : cluster.settings[0].teams()) {
      if (team.name().equals(spec.team()) && team.cpusMax() > 0) {
        return use.getOrDefault(team.name(), 0.0) + spec.cpus() * spec.minConcurrentTasks()
            <= team.cpusMax();
      }
    }
    return true;
  }

  private static boolean hasRoom(
      SimulatedWorker worker, JobSpec spec, Map<SimulatedWorker, Integer> taken) {
    return !worker.dead
        && !worker.hung
        && !worker.outboundDropped
        && Double.isNaN(worker.noticeS)
        && worker.rented.goneAt == Long.MAX_VALUE
        && (spec.spot() || !worker.rented.spot)
        && (spec.zone() == null || spec.zone().equals(worker.rented.zone))
        && taken.getOrDefault(worker, 0) + spec.cpus() <= worker.cluster.parameters.cpus()
        && taken.getOrDefault(worker, 0) + spec.memoryGb() / 4
            <= worker.cluster.parameters.memoryGb() / 4;
  }

  /**
   * What is left open once all troubles are over: jobs that were accepted, are not over, and have
   * no task on any machine, or about which nobody has answered since then.
   */
  List<String> unsettledJobs(long answeredSince) {
    Set<String> placed = new HashSet<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      worker.tasks.values().stream()
          .filter(SimulatedWorker.Task::alive)
          .forEach(task -> placed.add(task.job));
    }
    List<String> open = new ArrayList<>();
    for (SimulatedClients.SubmittedJob submitted : cluster.clients.all()) {
      String id = submitted.spec.id();
      if (!submitted.accepted || submitted.terminal != null) {
        continue;
      }
      if (submitted.answeredAt < answeredSince) {
        open.add(id + " was last answered about at " + submitted.answeredAt);
      } else if (submitted.cancelRequested || !placed.contains(id)) {
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
  void checkServed(double least, long beginMs) {
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
          served(name, jobs, least);
          if (name.startsWith("class ")) {
            jobs.sort(Comparator.comparingInt(submitted -> -submitted.spec.tasks()));
            List<SimulatedClients.SubmittedJob> largest =
                jobs.subList(0, Math.max(1, jobs.size() / 10));
            served("largest of " + name, largest, least);
            largest.forEach(submitted -> begun(submitted, beginMs));
          }
        });
  }

  private void served(String name, List<SimulatedClients.SubmittedJob> jobs, double least) {
    long n =
        jobs.stream()
            .filter(
                submitted ->
                    submitted.spec.service()
                        ? submitted.firstStartAt >= 0
                        : "done".equals(submitted.terminal))
            .count();
    if (n < least * jobs.size()) {
      reportViolation("unserved", name + ": " + n + " of " + jobs.size());
    }
  }

  private void begun(SimulatedClients.SubmittedJob submitted, long beginMs) {
    long waited =
        (submitted.firstStartAt < 0 ? cluster.now : submitted.firstStartAt) - submitted.submittedAt;
    if (waited > beginMs) {
      reportViolation("late_start", submitted.spec.id() + " began after " + waited + " ms");
    }
  }

  /** A job is called queued or running, though one that it needs was cancelled long ago. */
  void checkOrphaned(SimulatedClients.SubmittedJob submitted) {
    Long told = cluster.clients.dependencyCancelConfirmed(submitted.spec.id());
    double cancelMs = cluster.settings[0].workers().cancelS() * 1000;
    if (told != null && cluster.now > Math.max(told, submitted.acceptedAt) + cancelMs) {
      reportViolation("orphaned", submitted.spec.id());
    }
  }

  /** Looks at the whole world, after every event. */
  void check() {
    checkKnown();
    boolean limits = cluster.settings[0].teams().stream().anyMatch(team -> team.cpusMax() > 0);
    if (!limits && !cluster.clients.anyCancelConfirmed()) {
      return; // nothing that time alone can break; a start is checked when it happens
    }
    Map<String, Double> use = new HashMap<>();
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        if (!task.present) {
          continue;
        }
        JobSpec spec = cluster.clients.spec(task.job);
        use.merge(spec.team(), spec.cpus(), Double::sum);
        Long told = cluster.clients.cancelConfirmed(task.job);
        double cancelMs = cluster.settings[0].workers().cancelS() * 1000;
        if (told != null && cluster.now > told + cancelMs) {
          reportViolation("ran_cancelled", task.name());
        }
      }
    }
    for (Settings.Team team : cluster.settings[0].teams()) {
      if (team.cpusMax() > 0 && use.getOrDefault(team.name(), 0.0) > team.cpusMax() + 1e-6) {
        reportViolation("quota", team.name() + " uses " + use.get(team.name()));
      }
    }
  }
}
