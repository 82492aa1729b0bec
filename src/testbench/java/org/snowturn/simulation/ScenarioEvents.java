package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Actions of scenario events by event name: {@code at SECONDS EVENT ARGUMENTS}. */
final class ScenarioEvents {
  /** Word index of an event's first argument in its line. */
  private static final int FIRST = 3;

  private static final int SECOND = FIRST + 1;
  private static final int THIRD = FIRST + 2;

  /** Events that are requests of clients or checks, not faults. */
  private static final Set<String> NON_FAULT_EVENTS =
      Set.of("submit", "cancel", "resubmit", "poll", "ready");

  /** Action of an event. */
  private interface Action {
    void run(SimulatedCluster cluster, ScenarioLine line);
  }

  private static final Map<String, Action> ACTIONS = new HashMap<>();

  static {
    registerClientEvents();
    registerControllerEvents();
    registerStateServiceEvents();
    registerNetworkEvents();
    registerHeartbeatEvents();
    registerCloudEvents();
    registerMachineEvents();
  }

  private ScenarioEvents() {}

  /** Schedules the event of a line at its time. */
  static void schedule(SimulatedCluster cluster, ScenarioLine line) {
    Action action = ACTIONS.get(line.word(2));
    if (action == null) {
      throw new ScenarioFormatException(line, "unknown event");
    }
    cluster.after(line.millis(1), () -> action.run(cluster, line));
  }

  /** Returns the time in seconds at which the fault of a line ends, or 0 if it is not a fault. */
  static double faultEndsS(ScenarioLine line) {
    return NON_FAULT_EVENTS.contains(line.word(2)) ? 0 : line.number(1) + line.largestNumber(FIRST);
  }

  private static void registerClientEvents() {
    ACTIONS.put(
        "submit", (cluster, line) -> line.jobIds(FIRST).forEach(job -> submit(cluster, job, line)));
    ACTIONS.put("cancel", (cluster, line) -> line.jobIds(FIRST).forEach(cluster.clients::cancel));
    ACTIONS.put(
        "resubmit", (cluster, line) -> line.jobIds(FIRST).forEach(cluster.clients::resubmit));
    ACTIONS.put("poll", (cluster, line) -> cluster.clients.pollOnce(line.word(FIRST)));
    ACTIONS.put(
        "read-after-write",
        (cluster, line) -> cluster.clients.enableReadsAfterWrite(line.millis(FIRST)));
    ACTIONS.put(
        "invalid-requests",
        (cluster, line) -> cluster.clients.sendInvalidRequests(line.millis(FIRST)));
    ACTIONS.put(
        "cancel-now",
        (cluster, line) ->
            cluster.clients.cancelRunningJobs(
                line.integer(FIRST), line.hasWord(SECOND) ? line.millis(SECOND) : 0));
    ACTIONS.put(
        "cancel-at-end",
        (cluster, line) -> {
          cluster.clients.cancelOnCompletion(line.number(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.clients.cancelOnCompletion(0));
        });
  }

  private static void registerControllerEvents() {
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
                line.hasWord(THIRD + 1) && line.word(THIRD + 1).equals("hold")
                    ? SimulatedCluster.Cut.HOLD
                    : SimulatedCluster.Cut.DROP));
    ACTIONS.put(
        "ready",
        (cluster, line) -> {
          boolean expected = line.word(SECOND).equals("yes");
          if (cluster.node(line.word(FIRST)).core.isReady() != expected) {
            cluster.invariants.reportViolation("ready", line.text());
          }
        });
  }

  private static void registerStateServiceEvents() {
    ACTIONS.put(
        "record-done", (cluster, line) -> line.jobIds(FIRST).forEach(cluster.state::recordDone));
    ACTIONS.put(
        "lower-limits",
        (cluster, line) -> cluster.state.limits = cluster.settings[0].nextStateLimits());
    ACTIONS.put("outage", (cluster, line) -> cluster.state.startOutage(line.millis(FIRST)));
    ACTIONS.put(
        "refuse",
        (cluster, line) -> cluster.state.refuse(node(cluster, line), line.millis(SECOND)));
    ACTIONS.put(
        "lose-replies",
        (cluster, line) -> {
          cluster.state.replyLossProbability = line.number(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.state.replyLossProbability = 0);
        });
    ACTIONS.put(
        "slow-state",
        (cluster, line) -> {
          cluster.state.slowdown = line.integer(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.state.slowdown = 1);
        });
    ACTIONS.put("corrupt", (cluster, line) -> cluster.state.corrupt(line.word(FIRST)));
    ACTIONS.put("slow-watch", (cluster, line) -> cluster.state.watchDelayMs = line.millis(FIRST));
    ACTIONS.put(
        "late-transactions",
        (cluster, line) -> {
          cluster.state.lateTransactionProbability = line.number(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.state.lateTransactionProbability = 0);
        });
  }

  private static void registerNetworkEvents() {
    ACTIONS.put(
        "cut-zone", (cluster, line) -> cluster.cutZone(line.word(FIRST), line.millis(SECOND)));
    ACTIONS.put(
        "late-commands",
        (cluster, line) -> {
          cluster.delayCommands(line.millis(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.delayCommands(0));
        });
    ACTIONS.put(
        "duplicate-commands",
        (cluster, line) -> {
          cluster.duplicateCommands(line.millis(FIRST));
          cluster.after(line.millis(SECOND), () -> cluster.duplicateCommands(0));
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
          cluster.messageDelayMs = line.millis(FIRST);
          cluster.after(line.millis(SECOND), () -> cluster.messageDelayMs = 0);
        });
  }

  private static void registerHeartbeatEvents() {
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

  private static void registerCloudEvents() {
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
            manyWorkers(cluster, line).forEach(worker -> cluster.cloud.fail(worker.machine)));
    ACTIONS.put("fail", (cluster, line) -> cluster.cloud.fail(workerOfTask(cluster, line).machine));
    ACTIONS.put(
        "reclaim",
        (cluster, line) -> cluster.cloud.terminate(workerOfTask(cluster, line).machine.id));
    ACTIONS.put(
        "preemption-notice",
        (cluster, line) -> {
          SimulatedWorker worker = workerOfTask(cluster, line);
          worker.reclaimNoticeS = line.number(SECOND);
          cluster.after(line.millis(SECOND), () -> cluster.cloud.terminate(worker.machine.id));
        });
  }

  private static void registerMachineEvents() {
    registerLasting("hang", ClusterFaults::hang);
    registerLasting("isolate", ClusterFaults::isolate);
    ACTIONS.put("reboot", (cluster, line) -> workerOfTask(cluster, line).reboot());
    ACTIONS.put("failing", (cluster, line) -> workerOfTask(cluster, line).failing = true);
    ACTIONS.put("failing-machine", (cluster, line) -> worker(cluster, line).failing = true);
    ACTIONS.put(
        "failing-many",
        (cluster, line) -> manyWorkers(cluster, line).forEach(worker -> worker.failing = true));
    ACTIONS.put(
        "slow", (cluster, line) -> workerOfTask(cluster, line).runtimeFactor = line.number(SECOND));
    ACTIONS.put(
        "slow-machine",
        (cluster, line) -> worker(cluster, line).runtimeFactor = line.number(SECOND));
    registerDropping("drop-inbound", SimulatedCluster::dropInbound);
    registerDropping("drop-outbound", ClusterFaults::dropOutbound);
  }

  /** Fault of one machine that ends after a time. */
  private interface LastingFault {
    void apply(SimulatedCluster cluster, SimulatedWorker worker, long ms);
  }

  /** Registers a fault for the machine that runs a task, and for many machines. */
  private static void registerLasting(String name, LastingFault fault) {
    ACTIONS.put(
        name,
        (cluster, line) -> fault.apply(cluster, workerOfTask(cluster, line), line.millis(SECOND)));
    registerMany(name, fault);
  }

  /** Registers a fault for the machine with an index, for many machines and for a zone. */
  private static void registerDropping(String name, LastingFault fault) {
    ACTIONS.put(
        name, (cluster, line) -> fault.apply(cluster, worker(cluster, line), line.millis(SECOND)));
    registerMany(name, fault);
    ACTIONS.put(
        name + "-zone",
        (cluster, line) -> {
          Consumer<SimulatedWorker> drop =
              worker -> fault.apply(cluster, worker, line.millis(SECOND));
          cluster.workers.values().stream()
              .filter(worker -> worker.machine.zone.equals(line.word(FIRST)))
              .forEach(drop);
        });
  }

  /** Registers a fault for many machines. */
  private static void registerMany(String name, LastingFault fault) {
    ACTIONS.put(
        name + "-many",
        (cluster, line) ->
            manyWorkers(cluster, line)
                .forEach(worker -> fault.apply(cluster, worker, line.millis(SECOND))));
  }

  private static void submit(SimulatedCluster cluster, String job, ScenarioLine line) {
    Map<String, String> options = line.options(THIRD);
    Map<Integer, Long> stragglers = new HashMap<>();
    if (options.containsKey("straggler")) {
      String[] parts = options.get("straggler").split(":", -1);
      stragglers.put(Integer.parseInt(parts[0]), millis(parts[1]));
    }
    List<String> dependencies = new ArrayList<>();
    if (options.containsKey("dependencies")) {
      dependencies = line.jobIds(options.get("dependencies"));
    }
    long number = line.jobNumber(job);
    if (options.containsKey("chain") && number > line.jobNumber(line.jobIds(FIRST).get(0))) {
      dependencies = List.of(SimulatedJobs.id(number - 1));
    }
    cluster.clients.submit(
        SimulatedJobs.spec(job, line.word(SECOND), options, dependencies),
        millis(options.getOrDefault("run", "10")),
        stragglers);
    cluster.clients.job(job).alwaysFails = options.containsKey("broken");
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

  /** Returns the name of the node that the first argument names by its name or role. */
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
          throw new ScenarioFormatException(line, "no node is leader at " + cluster.now + " ms");
        }
        return leader.name;
      }
      default -> {
        return line.word(FIRST);
      }
    }
  }

  /** Returns the machine that runs the task named by the first argument. */
  private static SimulatedWorker workerOfTask(SimulatedCluster cluster, ScenarioLine line) {
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedTask task : worker.tasks.values()) {
        if (task.isAlive() && task.name().equals(line.word(FIRST))) {
          return worker;
        }
      }
    }
    throw new ScenarioFormatException(
        line, "no machine runs task " + line.word(FIRST) + " at " + cluster.now + " ms");
  }

  /** Returns the machine whose index is the first argument. */
  private static SimulatedWorker worker(SimulatedCluster cluster, ScenarioLine line) {
    return cluster.workers.values().stream()
        .skip(line.integer(FIRST))
        .findFirst()
        .orElseThrow(
            () -> new ScenarioFormatException(line, "no machine has index " + line.word(FIRST)));
  }

  /** Returns evenly distributed machines; the first argument is their number. */
  private static List<SimulatedWorker> manyWorkers(SimulatedCluster cluster, ScenarioLine line) {
    List<SimulatedWorker> all = List.copyOf(cluster.workers.values());
    int count = line.integer(FIRST);
    List<SimulatedWorker> selected = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      selected.add(all.get(i * all.size() / count));
    }
    return selected;
  }
}
