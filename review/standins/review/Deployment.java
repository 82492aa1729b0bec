package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment: controllers in processes of their own, started with the command of the deploy
 * file, and the stand-ins for the state service, the cloud, the workers and the users.
 */
final class Deployment implements AutoCloseable {
  /** Settings of the deployment, in the form of the site pages. */
  record Settings(
      List<String> zones,
      List<String> teams,
      String objectives,
      double reportS,
      double leaseS,
      double cancelS,
      StateService.Limits state,
      StateService.Limits nextState,
      double cloudRps,
      double listLagS,
      String machineLimits) {}

  /** One controller. */
  final class Node {
    final String name;
    final String zone;
    final int port;
    final int peerPort;
    final Path settingsFile;
    final Path log;
    Process process;
    boolean wasKilled;
    int unexpectedEnds;
    boolean couldNotListen;

    Node(String name, String zone) throws Exception {
      this.name = name;
      this.zone = zone;
      this.port = freePort();
      this.peerPort = freePort();
      this.settingsFile = folder.resolve(name + ".toml");
      this.log = folder.resolve(name + ".log");
    }

    void start() throws Exception {
      synchronized (lifecycle) {
        if (!isOver) {
          startProcess();
        }
      }
    }

    private void startProcess() throws Exception {
      List<String> command = new ArrayList<>(runCommand());
      command.add(settingsFile.toString());
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().put("LOG_LEVEL", "info");
      process = builder.start();
      if (System.getenv("REVIEW_PIDS") != null) {
        Files.writeString(
            Path.of(System.getenv("REVIEW_PIDS")),
            process.pid() + "\n",
            java.nio.file.StandardOpenOption.CREATE,
            java.nio.file.StandardOpenOption.APPEND);
      }
      wasKilled = false;
      record(name, "started");
    }

    void kill() {
      if (process != null) {
        wasKilled = true;
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    boolean isReady() {
      return Net.call(port, "GET", "/ready", null, 1_000).status() == 200;
    }
  }

  final Settings settings;
  final List<Node> nodes = new ArrayList<>();
  final StateService state;
  final Cloud cloud;
  private final Path root;
  private final Path folder;
  private final PrintWriter record;
  private final long startedAt = Net.nowMs();
  private final Map<String, JsonNode> specs = new ConcurrentHashMap<>();
  private final Map<String, Long> runMs = new ConcurrentHashMap<>();
  private final Set<String> failures = ConcurrentHashMap.newKeySet();
  private final Set<String> results = ConcurrentHashMap.newKeySet();
  private final Map<String, Set<String>> runningOn = new HashMap<>();
  private final Map<String, Integer> losses = new HashMap<>();
  private final Set<Integer> ports = new HashSet<>();
  private final Thread hook = new Thread(this::killAll);
  private final Object lifecycle = new Object();
  private boolean isOver;
  private int starts;
  private volatile boolean watching;

  Deployment(Path root, Path caseFolder, Settings settings, List<Cloud.Type> types)
      throws Exception {
    this.root = root;
    this.settings = settings;
    this.folder = Files.createTempDirectory("snowturn-review");
    this.record =
        new PrintWriter(
            Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
    Runtime.getRuntime().addShutdownHook(hook);
    state = new StateService(settings.state);
    cloud = new Cloud(this, types, settings.zones, settings.listLagS);
    for (int i = 0; i < 3; i++) {
      nodes.add(new Node("drift-" + i, settings.zones.get(i % settings.zones.size())));
    }
    for (Node node : nodes) {
      Files.writeString(node.settingsFile, toml(node, state.open(), cloud.open()));
    }
  }

  private List<String> runCommand() throws Exception {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        String command = line.substring(7, line.lastIndexOf('"'));
        return Arrays.asList(command.trim().split("\\s+"));
      }
    }
    throw new IllegalStateException("no run command in deploy/service.toml");
  }

  private int freePort() throws Exception {
    while (true) {
      int port = 12_000 + new java.util.Random().nextInt(18_000);
      try (ServerSocket socket =
          new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (ports.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      } catch (java.net.BindException e) {
        // in use; the loop tries another one
      }
    }
  }

  private String toml(Node self, int statePort, int cloudPort) {
    StringBuilder toml = new StringBuilder();
    toml.append("node = \"" + self.name + "\"\nlocation = \"" + self.zone + "\"\n");
    toml.append("serve_on = \"127.0.0.1:" + self.port + "\"\n");
    toml.append("peer_bind = \"127.0.0.1:" + self.peerPort + "\"\n");
    for (Node peer : nodes) {
      if (peer != self) {
        toml.append("[[peers]]\nnode = \"" + peer.name + "\"\nlocation = \"" + peer.zone);
        toml.append("\"\naddr = \"127.0.0.1:" + peer.peerPort + "\"\n");
      }
    }
    toml.append("[outside]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
    toml.append("state = \"127.0.0.1:" + statePort + "\"\n");
    toml.append("[deployment]\ninitial_size = 3\nzones = [");
    settings.zones.forEach(zone -> toml.append("\"" + zone + "\", "));
    toml.append("]\nclock_error_ms = 1000.0\n");
    for (String team : settings.teams) {
      toml.append("[[deployment.teams]]\nname = \"" + team + "\"\ncpus = 0.0\ncpus_max = 0.0\n");
      toml.append("gpus = 0.0\ngpus_max = 0.0\n");
    }
    toml.append(settings.objectives);
    toml.append("[deployment.workers]\nreport_s = " + settings.reportS);
    toml.append("\nlease_s = " + settings.leaseS + "\ngang_wait_s = 45.0\ngang_peer_s = 5.0\n");
    toml.append("cancel_s = " + settings.cancelS + "\n");
    append(toml, "deployment.state", settings.state);
    if (settings.nextState != null) {
      append(toml, "deployment.state.next", settings.nextState);
    }
    toml.append("[deployment.cloud]\n");
    toml.append("rps = " + settings.cloudRps + "\nlist_lag_s = " + settings.listLagS + "\n");
    toml.append("[deployment.machine_limits]\n" + settings.machineLimits);
    return toml.toString();
  }

  private static void append(StringBuilder toml, String table, StateService.Limits limits) {
    toml.append("[" + table + "]\nrps = " + limits.rps() + "\nwrite_rps = ");
    toml.append(limits.writeRps() + "\nvalue_kb = " + limits.valueKb());
    toml.append("\ntxn_ops = " + limits.txnOps() + "\n");
  }

  /** Starts all controllers and waits until each is ready; a process that ends is restarted. */
  void startControllers() throws Exception {
    for (Node node : nodes) {
      node.start();
    }
    watching = true;
    Net.run(this::restartEnded);
    long until = Net.nowMs() + 20_000;
    for (Node node : nodes) {
      while (!node.isReady()) {
        if (Net.nowMs() > until) {
          throw new IllegalStateException(node.name + " does not become ready");
        }
        Net.sleep(200);
      }
    }
  }

  /** Restarts a process that has ended by itself 3 s later, as the site pages tell. */
  private void restartEnded() {
    Map<Node, Long> endedAt = new HashMap<>();
    while (watching) {
      for (Node node : nodes) {
        if (!node.wasKilled && node.process != null && !node.process.isAlive()) {
          if (!endedAt.containsKey(node)) {
            endedAt.put(node, Net.nowMs());
            node.unexpectedEnds++;
            node.couldNotListen |= node.process.exitValue() == 1;
            record(
                node.name,
                "ended by itself, status " + node.process.exitValue() + ": " + lastLine(node.log));
          } else if (Net.nowMs() - endedAt.get(node) > 3_000 && watching) {
            endedAt.remove(node);
            try {
              node.start();
            } catch (Exception e) {
              record(node.name, "could not be started: " + e);
            }
          }
        }
      }
      Net.sleep(50);
    }
  }

  private static String lastLine(Path log) {
    try {
      List<String> lines = Files.readAllLines(log);
      return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    } catch (Exception e) {
      return "";
    }
  }

  /** Returns whether a controller found its port taken, which is no fault of its own. */
  boolean couldNotListen() {
    return nodes.stream().anyMatch(node -> node.couldNotListen);
  }

  int unexpectedEnds() {
    return nodes.stream().mapToInt(node -> node.unexpectedEnds).sum();
  }

  int indexOf(String node) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).name.equals(node)) {
        return i;
      }
    }
    return -1;
  }

  synchronized void record(String who, String what) {
    record.printf("%8.3f %-10s %s%n", (Net.nowMs() - startedAt) / 1000.0, who, what);
    record.flush();
  }

  double seconds() {
    return (Net.nowMs() - startedAt) / 1000.0;
  }

  // --- Users ---

  /** A submission with the fields that every job needs. */
  static ObjectNode job(
      String id, String jobClass, String team, String shape, String rank, int flakes) {
    ObjectNode job = Net.object().put("id", id).put("jobclass", jobClass).put("owner", team);
    job.put("shape", shape).put("rank", rank).put("flakes", flakes);
    job.put("cores", 1.0).put("cards", 0.0).put("ram_gb", 2.0);
    job.put("bundle", "img-01").put("size_gb", 0.1);
    job.putNull("hulls").putNull("field");
    job.put("same_place", false).put("spread", false).put("loaners", !shape.equals("service"));
    job.put("guess_s", shape.equals("service") ? 0.0 : 20.0).put("cairn_s", 0.0);
    job.put("stash_s", 0.0).putNull("due_s");
    return job;
  }

  /** Uploads the description for the workers. */
  void upload(JsonNode spec, long taskRunMs) {
    specs.put(spec.path("id").asText(), spec);
    runMs.put(spec.path("id").asText(), taskRunMs);
  }

  /** Submits a job as a user does, for up to 60 s; returns the last status. */
  int submit(JsonNode spec) {
    return submit(spec, 0);
  }

  /** Submits a job as a user does, beginning at the given node. */
  int submit(JsonNode spec, int firstNode) {
    String id = spec.path("id").asText();
    long until = Net.nowMs() + 60_000;
    int status = 0;
    for (int i = firstNode; Net.nowMs() < until; i++) {
      Node node = nodes.get(i % nodes.size());
      status = Net.call(node.port, "POST", "/v2/runs", Net.bytes(spec), 5_000).status();
      record("user", "submit " + id + " to " + node.name + ": " + status);
      if (status == 200 || status == 201 || status == 400 || status == 422) {
        return status;
      }
      Net.sleep(1_000);
    }
    return status;
  }

  /** Asks a node for the state of a job. */
  Net.Answer poll(Node node, String id) {
    Net.Answer answer = Net.call(node.port, "GET", "/v2/runs/" + id, null, 2_000);
    record("user", "poll " + id + " at " + node.name + ": " + answer.status() + " " + answer.text());
    return answer;
  }

  // --- What workers tell ---

  JsonNode spec(String job) {
    return specs.get(job);
  }

  long runMs(String job) {
    return runMs.getOrDefault(job, 1_000L);
  }

  boolean hasResult(String task) {
    return results.contains(task);
  }

  /** Makes the next start of a task end with an error. */
  void failOnce(String task) {
    failures.add(task);
  }

  boolean takeFailure(String task) {
    return failures.remove(task);
  }

  void onResult(String task) {
    results.add(task);
  }

  long resultCount(String job) {
    return results.stream().filter(task -> Worker.jobOf(task).equals(job)).count();
  }

  synchronized void onStarted(Worker worker, String task, long attempt) {
    starts++;
    Set<String> machines = runningOn.computeIfAbsent(task, key -> new HashSet<>());
    if (!machines.isEmpty() && !machines.contains(worker.id)) {
      record("test", "ran_twice: " + task + " starts on " + worker.id + ", is on " + machines);
    }
    machines.add(worker.id);
    record(worker.id, "runs " + task + " try " + attempt);
  }

  synchronized void onGone(Worker worker, String task, long attempt, String why) {
    Set<String> machines = runningOn.get(task);
    if (machines != null) {
      machines.remove(worker.id);
    }
    if (machines != null && (why.equals("lapsed") || why.equals("machine_gone"))) {
      losses.merge(task, 1, Integer::sum);
    }
    record(worker.id, "ends " + task + " try " + attempt + " " + why);
  }

  synchronized boolean isRunning(String task) {
    return !runningOn.getOrDefault(task, Set.of()).isEmpty();
  }

  /** Returns how often a task was on a machine and was lost with its session or machine. */
  synchronized int losses(String task) {
    return losses.getOrDefault(task, 0);
  }

  synchronized int starts() {
    return starts;
  }

  synchronized void onOversize(String what, int bytes) {
    record("size", what + " has " + bytes + " bytes");
  }

  /** Ends all processes; none is started after that. */
  private void killAll() {
    watching = false;
    synchronized (lifecycle) {
      isOver = true;
      nodes.forEach(Node::kill);
    }
  }

  @Override
  public void close() {
    killAll();
    cloud.close();
    state.close();
    record("test", "all processes ended");
    record.close();
  }

  /** Returns the folder with the settings and the logs of the controllers. */
  Path folder() {
    return folder;
  }
}
