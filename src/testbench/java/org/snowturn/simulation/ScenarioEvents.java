package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** What the events of a scenario do, by their names: {@code at SECONDS EVENT ARGUMENTS}. */
final class ScenarioEvents {
  /** The first argument of an event in its line. */
  private static final int FIRST = 3;

  private static final int SECOND = FIRST + 1;
  private static final int THIRD = FIRST + 2;

  /** Events that are no faults. */
  private static final Set<String> OF_CLIENTS =
      Set.of("submit", "cancel", "resubmit", "poll", "ready");

  /** Carries out an event. */
  private interface Action {
    void run(SimulatedCluster cluster, ScenarioLine line);
  }

  private static final Map<String, Action> ACTIONS = new HashMap<>();

  static {
    clients();
    controllers();
    stateService();
    network();
    cloud();
    machines();
  }

  private ScenarioEvents() {}

  /** Makes the event of a line happen at its time. */
  static void schedule(SimulatedCluster cluster, ScenarioLine line) {
    Action action = ACTIONS.get(line.word(2));
    if (action == null) {
      throw new ScenarioFormatException(line, "unknown event");
    }
    cluster.after(line.millis(1), () -> action.run(cluster, line));
  }

  /** When the fault of a line is over, in seconds; 0 for an event that is no fault. */
  static double faultEndsS(ScenarioLine line) {
    return OF_CLIENTS.contains(line.word(2)) ? 0 : line.number(1) + line.largestNumber(FIRST);
  }

  private static void clients() {
    ACTIONS.put(
        "submit", (cluster, line) -> line.jobs(FIRST).forEach(job -> submit(cluster, job, line)));
    ACTIONS.put("cancel", (cluster, line) -> line.jobs(FIRST).forEach(cluster.clients::cancel));
    ACTIONS.put("resubmit", (cluster, line) -> line.jobs(FIRST).forEach(cluster.clients::resubmit));
    ACTIONS.put("poll", (cluster, line) -> cluster.clients.pollOnce(line.word(FIRST)));
    ACTIONS.put(
        "read-after-write", (cluster, line) -> cluster.clients.readAfterWrite(line.millis(FIRST)));
    ACTIONS.put(
        "invalid-requests",
        (cluster, line) -> cluster.clients.sendInvalidRequests(line.millis(FIRST)));
    ACTIONS.put(
        "cancel-now",
        (cluster, line) ->
            cluster.clients.cancelNow(
                line.count(FIRST), line.has(SECOND) ? line.millis(SECOND) : 0));
    ACTIONS.put(
        "cancel-at-end",
        (cluster, line) -> {
          cluster.clients.cancelAtEnd(line.number(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.clients.cancelAtEnd(0));
        });
  }

  private static void controllers() {
    ACTIONS.put("start", (cluster, line) -> cluster.node(line.word(FIRST)).start());
    ACTIONS.put("crash", ScenarioEvents::crash);
    ACTIONS.put(
        "pause", (cluster, line) -> cluster.node(node(cluster, line)).pause(line.millis(SECOND)));
    ACTIONS.put(
        "cut",
        (cluster, line) ->
            ClusterFaults.cut(
                cluster,
                node(cluster, line),
                line.word(SECOND),
                line.millis(THIRD),
                line.has(THIRD + 1) && line.word(THIRD + 1).equals("hold")
                    ? SimulatedCluster.Cut.HOLD
                    : SimulatedCluster.Cut.DROP));
    ACTIONS.put(
        "ready",
        (cluster, line) -> {
          boolean expected = line.word(SECOND).equals("yes");
          if (cluster.node(line.word(FIRST)).core.ready() != expected) {
            cluster.invariants.reportViolation("ready", line.text());
          }
        });
  }

  private static void stateService() {
    ACTIONS.put(
        "record-done", (cluster, line) -> line.jobs(FIRST).forEach(cluster.state::recordDone));
    ACTIONS.put(
        "lower-limits",
        (cluster, line) -> cluster.state.limits = cluster.settings[0].nextStateLimits());
    ACTIONS.put("outage", (cluster, line) -> cluster.state.outage(line.millis(FIRST)));
    ACTIONS.put(
        "refuse",
        (cluster, line) -> cluster.state.refuse(node(cluster, line), line.millis(SECOND)));
    ACTIONS.put(
        "lose-replies",
        (cluster, line) -> {
          cluster.state.loseReplies = line.number(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.state.loseReplies = 0);
        });
    ACTIONS.put(
        "slow-state",
        (cluster, line) -> {
          cluster.state.slowdown = line.count(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.state.slowdown = 1);
        });
    ACTIONS.put("corrupt", (cluster, line) -> cluster.state.corrupt(line.word(FIRST)));
    ACTIONS.put("slow-watch", (cluster, line) -> cluster.state.watchDelayMs = line.millis(FIRST));
    ACTIONS.put(
        "late-transactions",
        (cluster, line) -> {
          cluster.state.lateTransactions = line.number(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.state.lateTransactions = 0);
        });
  }

  private static void network() {
    ACTIONS.put(
        "cut-zone", (cluster, line) -> cluster.cutZone(line.word(FIRST), line.millis(SECOND)));
    ACTIONS.put(
        "late-commands",
        (cluster, line) -> {
          cluster.delayCommands(line.millis(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.delayCommands(0));
        });
    ACTIONS.put(
        "late-command-replies",
        (cluster, line) -> {
          cluster.delayCommandReplies(line.millis(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.delayCommandReplies(0));
        });
    ACTIONS.put(
        "slow-links",
        (cluster, line) -> {
          cluster.linkDelayMs = line.millis(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.linkDelayMs = 0);
        });
    ACTIONS.put(
        "slow-heartbeats",
        (cluster, line) -> {
          cluster.heartbeatDelayMs = line.millis(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.heartbeatDelayMs = 0);
        });
    ACTIONS.put(
        "hold-heartbeats",
        (cluster, line) -> {
          cluster.holdHeartbeats(true);
          cluster.after(line.millis(FIRST), () -> cluster.holdHeartbeats(false));
        });
    ACTIONS.put(
        "duplicate-heartbeats",
        (cluster, line) -> {
          cluster.duplicateHeartbeats(line.millis(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.duplicateHeartbeats(0));
        });
  }

  private static void cloud() {
    ACTIONS.put(
        "cloud-outage",
        (cluster, line) -> {
          cluster.cloud.outage = true;
          cluster.after(line.millis(FIRST), () -> cluster.cloud.outage = false);
        });
    ACTIONS.put("lose-rental-reply", (cluster, line) -> cluster.cloud.loseNextRentalReply = true);
    ACTIONS.put("list-lag", (cluster, line) -> cluster.cloud.listLagMs = line.millis(FIRST));
    ACTIONS.put(
        "fail-many",
        (cluster, line) ->
            manyWorkers(cluster, line).forEach(worker -> cluster.cloud.fail(worker.rented)));
    ACTIONS.put("fail", (cluster, line) -> cluster.cloud.fail(workerOfTask(cluster, line).rented));
    ACTIONS.put(
        "reclaim", (cluster, line) -> cluster.cloud.end(workerOfTask(cluster, line).rented.id));
    ACTIONS.put(
        "preemption-notice",
        (cluster, line) -> {
          SimulatedWorker worker = workerOfTask(cluster, line);
          worker.noticeS = line.number(SECOND);
          cluster.after(line.millis(SECOND), () -> cluster.cloud.end(worker.rented.id));
        });
  }

  private static void machines() {
    lasting("hang", ClusterFaults::hang);
    lasting("isolate", ClusterFaults::isolate);
    ACTIONS.put("reboot", (cluster, line) -> workerOfTask(cluster, line).reboot());
    ACTIONS.put("failing", (cluster, line) -> workerOfTask(cluster, line).failing = true);
    ACTIONS.put("failing-machine", (cluster, line) -> worker(cluster, line).failing = true);
    ACTIONS.put(
        "failing-many",
        (cluster, line) -> manyWorkers(cluster, line).forEach(worker -> worker.failing = true));
    ACTIONS.put("slow", (cluster, line) -> workerOfTask(cluster, line).slow = line.number(SECOND));
    ACTIONS.put(
        "slow-machine", (cluster, line) -> worker(cluster, line).slow = line.number(SECOND));
    dropping("drop-inbound", SimulatedCluster::dropInbound);
    dropping("drop-outbound", ClusterFaults::dropOutbound);
  }

  /** Does something to a machine for a while. */
  private interface LastingFault {
    void on(SimulatedCluster cluster, SimulatedWorker worker, long ms);
  }

  /** A fault of the machine that has a task, and of many. */
  private static void lasting(String name, LastingFault fault) {
    ACTIONS.put(
        name,
        (cluster, line) -> fault.on(cluster, workerOfTask(cluster, line), line.millis(SECOND)));
    many(name, fault);
  }

  /** A fault of the machine with an index, of many, and of a zone's. */
  private static void dropping(String name, LastingFault fault) {
    ACTIONS.put(
        name, (cluster, line) -> fault.on(cluster, worker(cluster, line), line.millis(SECOND)));
    many(name, fault);
    ACTIONS.put(
        name + "-zone",
        (cluster, line) -> {
          Consumer<SimulatedWorker> drop = worker -> fault.on(cluster, worker, line.millis(SECOND));
          cluster.workers.values().stream()
              .filter(worker -> worker.rented.zone.equals(line.word(FIRST)))
              .forEach(drop);
        });
  }

  private static void many(String name, LastingFault fault) {
    ACTIONS.put(
        name + "-many",
        (cluster, line) ->
            manyWorkers(cluster, line)
                .forEach(worker -> fault.on(cluster, worker, line.millis(SECOND))));
  }

  private static void submit(SimulatedCluster cluster, String job, ScenarioLine line) {
    Map<String, String> options = line.named(THIRD);
    Map<Integer, Long> stragglers = new HashMap<>();
    if (options.containsKey("straggler")) {
      String[] parts = options.get("straggler").split(":", -1);
      stragglers.put(Integer.parseInt(parts[0]), millis(parts[1]));
    }
    List<String> dependencies = new ArrayList<>();
    if (options.containsKey("dependencies")) {
      dependencies = line.jobs(options.get("dependencies"));
    }
    long number = line.jobNumber(job);
    if (options.containsKey("chain") && number > line.jobNumber(line.jobs(FIRST).get(0))) {
      dependencies = List.of(SimulatedJobs.id(number - 1));
    }
    cluster.clients.submit(
        SimulatedJobs.spec(job, line.word(SECOND), options, dependencies),
        millis(options.getOrDefault("run", "10")),
        stragglers);
    cluster.clients.job(job).broken = options.containsKey("broken");
  }

  private static long millis(String seconds) {
    return (long) (Double.parseDouble(seconds) * 1000);
  }

  private static void crash(SimulatedCluster cluster, ScenarioLine line) {
    long ms = line.millis(SECOND);
    switch (line.word(FIRST)) {
      case "all" -> cluster.nodes.forEach(node -> node.crash(ms));
      case "standbys" -> {
        SimulatedCluster.Node leader = cluster.leader();
        cluster.nodes.stream().filter(node -> node != leader).forEach(node -> node.crash(ms));
      }
      default -> cluster.node(node(cluster, line)).crash(ms);
    }
  }

  /** The node that the first argument names, by its name or by its role. */
  private static String node(SimulatedCluster cluster, ScenarioLine line) {
    SimulatedCluster.Node leader = cluster.leader();
    switch (line.word(FIRST)) {
      case "standby", "another" -> {
        return cluster.nodes.stream().filter(node -> node != leader).findFirst().orElseThrow().name;
      }
      case "leader?" -> {
        return leader == null ? "n0" : leader.name;
      }
      case "leader" -> {
        if (leader == null) {
          throw new ScenarioFormatException(line, "at " + cluster.now + " nobody leads");
        }
        return leader.name;
      }
      default -> {
        return line.word(FIRST);
      }
    }
  }

  /** The machine that runs the task that the first argument names. */
  private static SimulatedWorker workerOfTask(SimulatedCluster cluster, ScenarioLine line) {
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        if (task.alive() && task.name().equals(line.word(FIRST))) {
          return worker;
        }
      }
    }
    throw new ScenarioFormatException(line, "at " + cluster.now + " no machine has the task");
  }

  /** The machine with the index that the first argument names. */
  private static SimulatedWorker worker(SimulatedCluster cluster, ScenarioLine line) {
    return cluster.workers.values().stream()
        .skip(line.count(FIRST))
        .findFirst()
        .orElseThrow(() -> new ScenarioFormatException(line, "no such machine"));
  }

  /** As many machines as the first argument says, from all over the cluster. */
  private static List<SimulatedWorker> manyWorkers(SimulatedCluster cluster, ScenarioLine line) {
    List<SimulatedWorker> all = List.copyOf(cluster.workers.values());
    int count = line.count(FIRST);
    List<SimulatedWorker> some = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      some.add(all.get(i * all.size() / count));
    }
    return some;
  }
}
