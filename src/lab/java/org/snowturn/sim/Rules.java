package org.snowturn.sim;

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
final class Rules {
  private static final long UNANSWERED_MS = 75_000;
  private static final long WAIT_MS = 90_000;

  /** Within this time a leader hears of what its peers, or the state service, know. */
  private static final long HEARD_OF_MS = 1_000;

  /** Longer than the time between two ticks of a node. */
  private static final long JUST_NOW_MS = 100;

  /** A task that was started on a machine, and may have left it since. */
  private record Started(StandInWorker on, StandInWorker.Task task, long atMs) {
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
  long starts;

  private final World world;
  private long nextLookAt;
  private World.Node leader;
  private long ledAt;
  private boolean asking;
  private final Map<String, Long> waitsSince = new HashMap<>();
  final TreeSet<String> broken = new TreeSet<>();
  final List<String> details = new ArrayList<>();

  Rules(World world) {
    this.world = world;
  }

  void broke(String rule, String detail) {
    broken.add(rule);
    if (details.size() < 5) {
      details.add(world.now + " " + rule + ": " + detail);
    }
  }

  /** A task has its image and starts. */
  void started(StandInWorker w, StandInWorker.Task t, JobSpec spec) {
    checkAwaited(t, spec);
    checkWanted(t);
    world.users.started(t.job);
    starts++;
    int[] sameZone = {0};
    int[] otherZone = {0};
    List<Started> ofJob = started.computeIfAbsent(t.job, k -> new ArrayList<>());
    ofJob.removeIf(s -> !s.present());
    Started now = new Started(w, t, world.now);
    for (Started s : ofJob) {
      if (s.task.index == t.index) {
        broke("ran_twice", t.name() + ": " + s + ", and " + now);
      }
      (s.on.rented.zone.equals(w.rented.zone) ? sameZone : otherZone)[0]++;
    }
    ofJob.add(now);
    if ((w.rented.spot && !spec.spot())
        || (spec.zone() != null && !spec.zone().equals(w.rented.zone))
        || (spec.spread() && sameZone[0] + 1 > spec.perZoneLimit())
        || (spec.oneZone() && otherZone[0] > 0)) {
      broke("wrong_place", t.name() + " on " + w.rented.id);
    }
  }

  /**
   * From when its user was told that a job is cancelled, by whichever node and answer, no start of
   * it may leave. A leader hears what its peers have told in a moment, not at once.
   */
  private void checkWanted(StandInWorker.Task t) {
    Long told = world.users.cancelConfirmed(t.job);
    if (told != null && t.startLeftAt > told + HEARD_OF_MS) {
      broke("started_cancelled", t.name() + ", told at " + told + ", sent at " + t.startLeftAt);
    }
  }

  /** All that a job needs must be durably done before any task of it starts. */
  private void checkAwaited(StandInWorker.Task t, JobSpec spec) {
    for (String id : spec.awaits()) {
      JsonNode over = world.state.peek("d/" + id);
      if (over == null || !over.path("p").asText().equals("done")) {
        broke("too_early", t.name() + " before " + id);
      }
    }
  }

  /**
   * A node has taken an input as the leader. If another did so just now, both are asked at this
   * very moment: at none may two have authority, whatever the state service has given whom.
   */
  void leads(World.Node n) {
    World.Node other = leader;
    boolean both = other != null && other != n && world.now - ledAt < JUST_NOW_MS;
    if (other != n) {
      world.deliverKept();
    }
    leader = n;
    ledAt = world.now;
    if (both && !asking) {
      asking = true;
      if (other.leadsNow() && n.leadsNow()) {
        broke("two_leaders", other.name + " and " + n.name);
      }
      asking = false;
    }
  }

  /** Once all troubles are over, a job about which no question is answered for so long is lost. */
  private void checkKnown() {
    if (world.now < nextLookAt) {
      return;
    }
    nextLookAt = world.now + 1_000;
    if (world.now > world.calmFrom) {
      checkWaiting();
    }
    for (Users.Mine m : world.users.all()) {
      long from = Math.max(m.acceptedAt, Math.max(m.answeredAt, world.calmFrom));
      if (m.accepted && world.calmFrom < world.now && world.now - from > UNANSWERED_MS) {
        broke("forgotten", m.spec.id() + " has not been answered about since " + m.answeredAt);
      }
    }
  }

  /**
   * Once all troubles are over, no job is left waiting while a machine that fits has room and its
   * team is under its limit. Waiting is a job of which no task is on any machine.
   */
  private void checkWaiting() {
    if (!world.sabotage.contains("unseen_sick")
        && world.workers.values().stream().anyMatch(Rules::fails)) {
      waitsSince.clear(); // machines that fail whatever starts there are a trouble that goes on
      return;
    }
    Map<String, Double> use = new HashMap<>();
    Set<String> placed = new HashSet<>();
    Map<StandInWorker, Integer> taken = new HashMap<>();
    for (StandInWorker w : world.workers.values()) {
      for (StandInWorker.Task t : w.tasks.values()) {
        if (t.alive()) {
          JobSpec s = world.users.spec(t.job);
          placed.add(t.job);
          use.merge(s.team(), s.cpus(), Double::sum);
          taken.merge(w, (int) Math.ceil(Math.max(s.cpus(), s.memoryGb() / 4)), Integer::sum);
        }
      }
    }
    for (Users.Mine m : world.users.all()) {
      boolean could =
          m.accepted
              && !m.wantsCancel
              && !m.broken
              && m.terminal == null
              && !placed.contains(m.spec.id())
              && !world.users.allDone(m)
              && released(m.spec)
              && underLimit(m.spec, use)
              && world.workers.values().stream().anyMatch(w -> hasRoom(w, m.spec, taken));
      if (!could) {
        waitsSince.remove(m.spec.id());
      } else if (world.now - waitsSince.computeIfAbsent(m.spec.id(), k -> world.now) > WAIT_MS) {
        broke("left_waiting", m.spec.id() + " since " + waitsSince.get(m.spec.id()));
      }
    }
  }

  private static boolean fails(StandInWorker w) {
    return w.sick && !w.dead;
  }

  private boolean released(JobSpec s) {
    for (String id : s.awaits()) {
      JsonNode over = world.state.peek("d/" + id);
      if (over == null || !over.path("p").asText().equals("done")) {
        return false;
      }
    }
    return true;
  }

  private boolean underLimit(JobSpec s, Map<String, Double> use) {
    for (Settings.Team t : world.settings[0].teams()) {
      if (t.name().equals(s.team()) && t.cpusMax() > 0) {
        return use.getOrDefault(t.name(), 0.0) + s.cpus() * s.together() <= t.cpusMax();
      }
    }
    return true;
  }

  private static boolean hasRoom(StandInWorker w, JobSpec s, Map<StandInWorker, Integer> taken) {
    return !w.dead
        && !w.hung
        && !w.mute
        && Double.isNaN(w.noticeS)
        && w.rented.goneAt == Long.MAX_VALUE
        && (s.spot() || !w.rented.spot)
        && (s.zone() == null || s.zone().equals(w.rented.zone))
        && taken.getOrDefault(w, 0) + s.cpus() <= w.world.sizes.cpus()
        && taken.getOrDefault(w, 0) + s.memoryGb() / 4 <= w.world.sizes.memoryGb() / 4;
  }

  /**
   * What is left open once all troubles are over: jobs that were accepted, are not over, and have
   * no task on any machine, or about which nobody has answered since then.
   */
  List<String> unsettled(long answeredSince) {
    Set<String> placed = new HashSet<>();
    for (StandInWorker w : world.workers.values()) {
      w.tasks.values().stream().filter(StandInWorker.Task::alive).forEach(t -> placed.add(t.job));
    }
    List<String> open = new ArrayList<>();
    for (Users.Mine m : world.users.all()) {
      String id = m.spec.id();
      if (!m.accepted || m.terminal != null) {
        continue;
      }
      if (m.answeredAt < answeredSince) {
        open.add(id + " was last answered about at " + m.answeredAt);
      } else if (m.wantsCancel || !placed.contains(id)) {
        open.add(id + (m.wantsCancel ? " is not called cancelled" : " runs nowhere"));
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
    Map<String, List<Users.Mine>> groups = new TreeMap<>();
    for (Users.Mine m : world.users.all()) {
      if (m.accepted && !m.wantsCancel && !m.broken) {
        groups.computeIfAbsent("class " + m.spec.jobClass(), g -> new ArrayList<>()).add(m);
        groups.computeIfAbsent("team " + m.spec.team(), g -> new ArrayList<>()).add(m);
      }
    }
    groups.forEach(
        (name, jobs) -> {
          served(name, jobs, least);
          if (name.startsWith("class ")) {
            jobs.sort(Comparator.comparingInt(m -> -m.spec.tasks()));
            List<Users.Mine> largest = jobs.subList(0, Math.max(1, jobs.size() / 10));
            served("largest of " + name, largest, least);
            largest.forEach(m -> begun(m, beginMs));
          }
        });
  }

  private void served(String name, List<Users.Mine> jobs, double least) {
    long n =
        jobs.stream()
            .filter(m -> m.spec.service() ? m.firstStartAt >= 0 : "done".equals(m.terminal))
            .count();
    if (n < least * jobs.size()) {
      broke("unserved", name + ": " + n + " of " + jobs.size());
    }
  }

  private void begun(Users.Mine m, long beginMs) {
    long waited = (m.firstStartAt < 0 ? world.now : m.firstStartAt) - m.submittedAt;
    if (waited > beginMs) {
      broke("late_start", m.spec.id() + " began after " + waited + " ms");
    }
  }

  /** A job is called queued or running, though one that it needs was cancelled long ago. */
  void calledLive(Users.Mine m) {
    Long told = world.users.neededCancelConfirmed(m.spec.id());
    double cancelMs = world.settings[0].workers().cancelS() * 1000;
    if (told != null && world.now > Math.max(told, m.acceptedAt) + cancelMs) {
      broke("orphaned", m.spec.id());
    }
  }

  /** Looks at the whole world, after every event. */
  void check() {
    checkKnown();
    boolean limits = world.settings[0].teams().stream().anyMatch(t -> t.cpusMax() > 0);
    if (!limits && !world.users.anyCancelConfirmed()) {
      return; // nothing that time alone can break; a start is checked when it happens
    }
    Map<String, Double> use = new HashMap<>();
    for (StandInWorker w : world.workers.values()) {
      for (StandInWorker.Task t : w.tasks.values()) {
        if (!t.present) {
          continue;
        }
        JobSpec s = world.users.spec(t.job);
        use.merge(s.team(), s.cpus(), Double::sum);
        Long told = world.users.cancelConfirmed(t.job);
        double cancelMs = world.settings[0].workers().cancelS() * 1000;
        if (told != null && world.now > told + cancelMs) {
          broke("ran_cancelled", t.name());
        }
      }
    }
    for (Settings.Team t : world.settings[0].teams()) {
      if (t.cpusMax() > 0 && use.getOrDefault(t.name(), 0.0) > t.cpusMax() + 1e-6) {
        broke("quota", t.name() + " uses " + use.get(t.name()));
      }
    }
  }
}
