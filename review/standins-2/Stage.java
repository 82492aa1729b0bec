import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: three controllers as processes of their own, started with the command of the
 * deploy file, and a state service, a cloud, workers and users in this process.
 */
final class Stage implements AutoCloseable {
  /** A team of the settings; a limit of 0 means none. */
  record Team(String name, double cpus, double cpusMax) {}

  /** Settings of a deployment. */
  static final class Plan {
    List<String> zones = List.of("bangkok-a", "bangkok-b", "chiangmai");
    List<Team> teams = List.of(new Team("marketplace-core", 0, 0));
    double reportS = 1.5;
    double leaseS = 10.0;
    double cancelS = 30.0;
    double stateRps = 200.0;
    double stateWriteRps = 80.0;
    double stateValueKb = 16.0;
    int stateTxnOps = 24;
    double cloudRps = 6.0;
    double cloudListLagS = 5.0;
    int maxConnections = 1200;
    String objectives =
        """
        [[deployment.objectives]]
        kind = "deadline"
        class = "seller-payout"
        share = 0.9
        times = 1.0
        [[deployment.objectives]]
        kind = "deadline"
        class = "seller-payout"
        share = 0.975
        times = 1.5
        [[deployment.objectives]]
        kind = "wait"
        class = "seller-payout"
        within_s = 30.0
        share = 0.82
        [[deployment.objectives]]
        kind = "wait"
        class = "storefront"
        within_s = 1.0
        share = 0.95
        """;
    List<Cloud.Hull> hulls =
        List.of(
            new Cloud.Hull(
                "lanna-16", 16, 64, 40, 0.1, 1.19, 0.44, 3.0,
                List.of("bangkok-a", "bangkok-b", "chiangmai")),
            new Cloud.Hull(
                "lanna-64", 64, 256, 60, 0.15, 4.26, 1.38, 3.0,
                List.of("bangkok-a", "bangkok-b", "chiangmai")));
  }

  /** One controller and the doors of the outside services that it uses. */
  final class Controller {
    final String name;
    final String zone;
    final int servePort = Http.freePort();
    final int peerPort = Http.freePort();
    final int statePort = Http.freePort();
    final int cloudPort = Http.freePort();
    private Process process;
    volatile boolean wasStopped;

    Controller(String name, String zone) throws IOException {
      this.name = name;
      this.zone = zone;
    }

    String address() {
      return "127.0.0.1:" + servePort;
    }

    void start() throws IOException {
      List<String> command = new ArrayList<>(runCommand());
      command.add(temporary.resolve(name + ".toml").toString());
      ProcessBuilder builder =
          new ProcessBuilder(command)
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
      builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
      process = builder.start();
      wasStopped = false;
      record.line("process  %s started", name);
    }

    void kill() throws InterruptedException {
      if (process != null && process.isAlive()) {
        wasStopped = true;
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        record.line("process  %s killed", name);
      }
    }

    void freeze(boolean isFrozen) throws IOException, InterruptedException {
      new ProcessBuilder("kill", isFrozen ? "-STOP" : "-CONT", "" + process.pid())
          .start()
          .waitFor();
      record.line("process  %s %s", name, isFrozen ? "stands still" : "goes on");
    }

    boolean hasEndedByItself() {
      return process != null && !wasStopped && !process.isAlive();
    }

    int exitStatus() {
      return process.exitValue();
    }

    boolean isReady() {
      return Http.call(client, "GET", address(), "/ready", null, 1_000).status() == 200;
    }
  }

  /** A run may take 120 s. */
  private static final double LIMIT_S = 116;

  final Path root;
  final Path folder;
  final Path temporary;
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  final RunRecord record;
  final Jobs jobs;
  final Plan plan;
  final StateService state;
  final Cloud cloud;
  final Map<String, Controller> controllers = new LinkedHashMap<>();
  final HttpClient client = Http.newClient();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<String, String> doors = new LinkedHashMap<>();
  private final Map<String, String> peerAddresses = new HashMap<>();
  private final Thread hook;

  /** Opens the services; the controllers are not started yet. */
  Stage(Plan plan) throws IOException {
    this.plan = plan;
    root = Path.of(System.getProperty("root")).toAbsolutePath();
    folder = Path.of(System.getProperty("folder")).toAbsolutePath();
    temporary = Files.createTempDirectory("review-2-");
    record = new RunRecord(folder.resolve("record.txt"));
    record.line("trouble  %s", hasTrouble ? "yes" : "no");
    jobs = new Jobs(record);
    state =
        new StateService(
            plan.stateRps, plan.stateWriteRps, plan.stateValueKb, plan.stateTxnOps);
    for (int i = 0; i < 3; i++) {
      Controller controller =
          new Controller("drift-" + i, plan.zones.get(i % plan.zones.size()));
      controllers.put(controller.name, controller);
      doors.put(controller.name, controller.address());
    }
    cloud =
        new Cloud(
            record,
            jobs,
            new Worker.Timing(plan.reportS, plan.leaseS),
            doors,
            plan.cloudRps,
            plan.cloudListLagS,
            plan.hulls);
    hook = new Thread(this::endProcesses);
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Lets a controller reach a peer through another address, such as that of a proxy. */
  void setPeerAddress(String from, String to, String address) {
    peerAddresses.put(from + ">" + to, address);
  }

  /** Wraps the state service's door of one node; set before {@link #startControllers}. */
  final Map<String, Http.Handler> stateDoors = new HashMap<>();

  /** Writes the settings and starts all controllers. */
  void startControllers() throws IOException {
    for (Controller controller : controllers.values()) {
      servers.add(
          Http.serve(
              controller.statePort,
              stateDoors.getOrDefault(controller.name, state.door())));
      servers.add(Http.serve(controller.cloudPort, cloud.door()));
      Files.writeString(temporary.resolve(controller.name + ".toml"), settings(controller));
    }
    for (Controller controller : controllers.values()) {
      controller.start();
    }
  }

  private String settings(Controller own) {
    StringBuilder text = new StringBuilder();
    text.append("node = \"").append(own.name).append("\"\n");
    text.append("location = \"").append(own.zone).append("\"\n");
    text.append("serve_on = \"").append(own.address()).append("\"\n");
    text.append("peer_bind = \"127.0.0.1:").append(own.peerPort).append("\"\n");
    for (Controller peer : controllers.values()) {
      if (peer != own) {
        text.append("[[peers]]\nnode = \"").append(peer.name).append("\"\n");
        text.append("location = \"").append(peer.zone).append("\"\n");
        text.append("addr = \"")
            .append(
                peerAddresses.getOrDefault(
                    own.name + ">" + peer.name, "127.0.0.1:" + peer.peerPort))
            .append("\"\n");
      }
    }
    text.append("[outside]\ncloud = \"127.0.0.1:").append(own.cloudPort).append("\"\n");
    text.append("state = \"127.0.0.1:").append(own.statePort).append("\"\n");
    text.append("[deployment]\ninitial_size = 3\nzones = [");
    plan.zones.forEach(zone -> text.append('"').append(zone).append("\", "));
    text.append("]\nclock_error_ms = 1000.0\n");
    for (Team team : plan.teams) {
      text.append("[[deployment.teams]]\nname = \"").append(team.name).append("\"\n");
      text.append("cpus = ").append(team.cpus).append("\ncpus_max = ").append(team.cpusMax);
      text.append("\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    text.append(plan.objectives);
    text.append(
        String.format(
            Locale.ROOT,
            """
            [deployment.workers]
            report_s = %s
            lease_s = %s
            gang_wait_s = 45.0
            gang_peer_s = 5.0
            cancel_s = %s
            [deployment.state]
            rps = %s
            write_rps = %s
            value_kb = %s
            txn_ops = %d
            [deployment.cloud]
            rps = %s
            list_lag_s = %s
            [deployment.machine_limits]
            cores = 0.34
            memory_mb = 205.0
            max_connections = %d
            """,
            plan.reportS,
            plan.leaseS,
            plan.cancelS,
            plan.stateRps,
            plan.stateWriteRps,
            plan.stateValueKb,
            plan.stateTxnOps,
            plan.cloudRps,
            plan.cloudListLagS,
            plan.maxConnections));
    return text.toString();
  }

  private List<String> runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run")) {
        String value = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(value.trim().split("\\s+"));
      }
    }
    throw new IOException("deploy/service.toml has no run command");
  }

  static void sleep(double seconds) throws InterruptedException {
    Thread.sleep((long) (seconds * 1000));
  }

  /** A condition that is waited for. */
  interface Check {
    boolean holds() throws Exception;
  }

  /** Waits until a condition holds; returns false if it doesn't within the time. */
  boolean await(double seconds, Check check) throws Exception {
    double until = record.seconds() + seconds;
    while (record.seconds() < until) {
      if (check.holds()) {
        return true;
      }
      sleep(0.1);
    }
    return check.holds();
  }

  /** Waits until all controllers are ready and one leads. */
  void awaitLeader() throws Exception {
    boolean isUp =
        await(
            25,
            () ->
                leader() != null
                    && controllers.values().stream().allMatch(Controller::isReady));
    if (!isUp) {
      StringBuilder ended = new StringBuilder();
      for (Controller controller : controllers.values()) {
        if (controller.hasEndedByItself()) {
          ended.append(", ").append(controller.name).append(" ended with status ")
              .append(controller.exitStatus());
        }
      }
      throw new CannotRun("no leader within 25 s" + ended);
    }
    record.line("process  %s leads", leader().name);
  }

  /** Returns the controller that the state service shows as the leader; null if there is none. */
  Controller leader() {
    JsonNode value = state.value("l/leader");
    return value == null ? null : controllers.get(value.path("node").asText());
  }

  /** Sends a user's request to one node and records it with its answer. */
  Http.Answer ask(Controller node, String method, String path, JsonNode body, long timeoutMs) {
    Http.Answer answer = Http.call(client, method, node.address(), path, body, timeoutMs);
    record.line(
        "user     %s %s at %s: %s %s",
        method, path, node.name, answer.status() == 0 ? "no answer" : answer.status(),
        answer.body() == null ? "" : answer.body());
    return answer;
  }

  /** Submits a job as a user does, with retries; fails if it isn't accepted within 60 s. */
  void submit(ObjectNode spec, double runSeconds) throws Exception {
    jobs.upload(spec, runSeconds);
    double until = record.seconds() + 60;
    int turn = 0;
    List<Controller> nodes = List.copyOf(controllers.values());
    while (record.seconds() < until) {
      Http.Answer answer =
          ask(nodes.get(turn++ % nodes.size()), "POST", "/v2/runs", spec, 5_000);
      if (answer.status() == 200 || answer.status() == 201) {
        return;
      }
      if (answer.status() == 400 || answer.status() == 422) {
        throw new CannotRun("refused: " + answer);
      }
      sleep(Math.max(1, answer.retryAfterS()));
    }
    throw new CannotRun("not accepted within 60 s");
  }

  /** Cancels a job as a user does, with retries. Returns the phase that was answered. */
  String cancel(String id) throws Exception {
    double until = record.seconds() + 60;
    int turn = 0;
    List<Controller> nodes = List.copyOf(controllers.values());
    while (record.seconds() < until) {
      Http.Answer answer =
          ask(
              nodes.get(turn++ % nodes.size()), "POST", "/v2/runs/" + id + "/cancel", null, 5_000);
      if (answer.status() == 200) {
        String phase = answer.body().path("phase").asText();
        if (phase.equals("aborted")) {
          jobs.confirmCancelled(id);
        }
        return phase;
      }
      sleep(Math.max(1, answer.retryAfterS()));
    }
    throw new CannotRun("cancel not answered within 60 s");
  }

  /** Asks for a job's phase at the nodes in turn; "?" if none of three answers. */
  String phase(String id) {
    for (Controller node : controllers.values()) {
      Http.Answer answer = ask(node, "GET", "/v2/runs/" + id, null, 2_000);
      if (answer.status() == 200) {
        return answer.body().path("phase").asText();
      }
      if (answer.status() == 404) {
        return "404";
      }
    }
    return "?";
  }

  /** Asks for a job's phase as a user does, about every 5 s, until it is done; at most four times. */
  boolean awaitDone(String id) throws InterruptedException {
    for (int i = 0; i < 4; i++) {
      if (phase(id).equals("done")) {
        return true;
      }
      sleep(5);
    }
    return false;
  }

  /** The case can't run here. */
  static final class CannotRun extends Exception {
    CannotRun(String reason) {
      super(reason);
    }
  }

  private void endProcesses() {
    for (Controller controller : controllers.values()) {
      if (controller.process != null) {
        controller.wasStopped = true;
        controller.process.destroyForcibly();
        try {
          controller.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("CASE_KEEP") == null) {
      try (Stream<Path> files = Files.walk(temporary)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      } catch (IOException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
  }

  /** What a case does. */
  interface Body {
    void play(Stage stage) throws Exception;
  }

  /** Plays a case and exits: 1 if a rule was broken, 0 if not, 2 if the case couldn't run. */
  static void play(Plan plan, Body body) {
    int status = 2;
    Thread limit =
        new Thread(
            () -> {
              try {
                sleep(LIMIT_S);
                System.out.println("could not run: not over within " + LIMIT_S + " s");
                System.exit(2);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    limit.setDaemon(true);
    limit.start();
    try (Stage stage = new Stage(plan)) {
      try {
        body.play(stage);
        for (Controller controller : stage.controllers.values()) {
          if (controller.hasEndedByItself()) {
            stage.record.broken(
                "ended", "%s has ended by itself, status %d", controller.name,
                controller.exitStatus());
          }
        }
        status = stage.record.broken().isEmpty() ? 0 : 1;
        stage.record.line(
            "result   %s", status == 0 ? "held" : "broken: " + stage.record.broken());
        stage.record.broken().forEach(System.out::println);
      } catch (CannotRun e) {
        stage.record.line("result   could not run: %s", e.getMessage());
        System.out.println("could not run: " + e.getMessage());
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(status);
  }
}
