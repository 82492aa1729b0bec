package org.snowturn.simulation;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.snowturn.config.Settings;
import org.snowturn.net.HttpCaller;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * One region of a scale run: the stand-ins' world in real time, reached by the region's controllers
 * over HTTP, and the load on them. Its methods may be called from any thread.
 */
public final class LoopbackCluster implements AutoCloseable {
  private static final int MAX_USER_CONNECTIONS = 200;
  private static final long PROBE_INTERVAL_MS = 500;
  private static final long POLL_INTERVAL_MS = 3_300;
  private static final long LEASE_CHECK_INTERVAL_MS = 100;
  private static final long SAMPLE_INTERVAL_MS = 100;
  private static final long QUERY_TIMEOUT_S = 30;
  private static final long MACHINE_BOOT_MS = 3_000;
  private static final double MEMORY_PER_CPU_GB = 4.5;

  /** Machines have so much more room than their share of the standing tasks takes. */
  private static final double CPU_HEADROOM = 1.15;

  private static final int MIN_CPUS_PER_MACHINE = 8;
  private static final int ADDRESSES_PER_OCTET = 250;
  private static final int FIRST_REGION_OCTET = 16;

  private final LoopbackPlan plan;
  private final SimulatedCluster cluster;
  private final RealTimeDriver driver;
  private final SimulatedServer server;
  private final List<RemoteEndpoint> endpoints = new ArrayList<>();
  private final List<XnioWorker> ioWorkers = new ArrayList<>();
  private final LoadGenerator loadGenerator;
  private final DirectedLinks links;
  private final Set<Long> tokensSeen = new HashSet<>();
  private int workersPort;
  private long lastStartCount;
  private long lastStartAt;
  private long longestPauseMs;
  private boolean isTrackingPauses;

  /** Where a controller finds the outside, and what it is told of itself. */
  public record ServiceAddresses(
      Map<String, InetSocketAddress> state, Map<String, InetSocketAddress> cloud) {}

  /** Builds the region; nothing runs yet. */
  public LoopbackCluster(LoopbackPlan plan) {
    this.plan = plan;
    double cpus =
        Math.max(
            MIN_CPUS_PER_MACHINE,
            Math.ceil(plan.concurrentTasks() * CPU_HEADROOM / plan.workers()));
    SimulationParameters parameters =
        new SimulationParameters(
            cpus,
            cpus * MEMORY_PER_CPU_GB,
            POLL_INTERVAL_MS,
            false,
            LEASE_CHECK_INTERVAL_MS,
            id -> address(id));
    this.cluster =
        SimulatedCluster.ofProcesses(plan.seed(), new Settings[] {settings()}, parameters);
    this.links = new DirectedLinks(cluster);
    cluster.links(links);
    cluster.cloud.perZone = plan.rentablePerZone();
    cluster.cloud.bootMs = MACHINE_BOOT_MS;
    cluster.cloud.listLagMs = (long) (plan.cloudLimits().listLagS() * 1000);
    this.driver = new RealTimeDriver(cluster, "world-" + plan.regionNumber());
    this.server = new SimulatedServer(cluster, driver);
    this.loadGenerator = new LoadGenerator(cluster, plan);
  }

  private Settings settings() {
    InetSocketAddress unusedAddress = new InetSocketAddress(0);
    List<Settings.Team> teams = new ArrayList<>();
    for (Team t : teams()) {
      teams.add(new Settings.Team(t.name(), 0, t.maxCpus(), 0, 0));
    }
    return new Settings(
        plan.controllers().get(0),
        plan.zones().get(0),
        unusedAddress,
        unusedAddress,
        List.of(),
        unusedAddress,
        unusedAddress,
        plan.zones(),
        teams,
        List.of(),
        plan.workerSettings(),
        plan.stateLimits(),
        plan.stateLimits(),
        plan.cloudLimits(),
        plan.maxConnections());
  }

  /** A team and the most that its tasks may use. */
  public record Team(String name, double maxCpus) {}

  /** The teams: each may use twice its even part of the region. */
  public List<Team> teams() {
    List<Team> teams = new ArrayList<>();
    double maxCpus =
        plan.maxTeamCpus() > 0
            ? plan.maxTeamCpus()
            : Math.ceil(2.0 * plan.concurrentTasks() / plan.teams())
                + LoadGenerator.MAX_TASKS_PER_JOB;
    for (int i = 0; i < plan.teams(); i++) {
      teams.add(new Team(LoadGenerator.teamName(i), maxCpus));
    }
    return teams;
  }

  private String address(String machine) {
    int n = Integer.parseInt(machine.substring(machine.indexOf('-') + 1));
    int third = n / ADDRESSES_PER_OCTET % ADDRESSES_PER_OCTET;
    return "127."
        + (FIRST_REGION_OCTET + plan.regionNumber())
        + "."
        + third
        + "."
        + (1 + n % ADDRESSES_PER_OCTET)
        + ":"
        + workersPort;
  }

  /** Opens the stand-ins' ports. */
  public ServiceAddresses open() throws IOException {
    XnioWorker state = ioWorkers("state", 1);
    XnioWorker workers = ioWorkers("hollow", 2);
    Map<String, InetSocketAddress> ports = server.start(plan.controllers(), state, workers);
    workersPort = server.workersPort();
    return new ServiceAddresses(ports, server.cloud());
  }

  private XnioWorker ioWorkers(String role, int count) throws IOException {
    XnioWorker w =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, role + "-" + plan.regionNumber())
                    .set(Options.WORKER_IO_THREADS, count)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    ioWorkers.add(w);
    return w;
  }

  /** Starts the world; machines come up, and users' and workers' requests go to the controllers. */
  public void start(Map<String, InetSocketAddress> serving) throws IOException {
    ByteBufferPool buffers = new DefaultByteBufferPool(false, 16 * 1024, 256, 8);
    XnioWorker workers = ioWorkers("report", 2);
    XnioWorker users = ioWorkers("users", 1);
    WorkerConnections links =
        new WorkerConnections(List.of(workers.getIoThread(0), workers.getIoThread(1)), buffers);
    XnioIoThread usersThread = users.getIoThread(0);
    for (String name : plan.controllers()) {
      InetSocketAddress at = serving.get(name);
      HttpCaller caller = new HttpCaller(at, usersThread, buffers, MAX_USER_CONNECTIONS);
      endpoints.add(new RemoteEndpoint(name, at, cluster, driver, links, usersThread, caller));
    }
    driver.start();
    driver.post(
        () -> {
          cluster.endpoints.addAll(endpoints);
          for (int i = 0; i < plan.workers(); i++) {
            cluster.cloud.rent(plan.zones().get(i % plan.zones().size()), false);
          }
          probe();
          sample();
        });
  }

  private void probe() {
    endpoints.forEach(RemoteEndpoint::probe);
    cluster.after(PROBE_INTERVAL_MS, this::probe);
  }

  private void sample() {
    if (cluster.invariants.startedTasks != lastStartCount) {
      lastStartCount = cluster.invariants.startedTasks;
      lastStartAt = cluster.now;
    } else if (isTrackingPauses) {
      longestPauseMs = Math.max(longestPauseMs, cluster.now - lastStartAt);
    }
    cluster.workers.values().forEach(worker -> tokensSeen.add(worker.token()));
    cluster.after(SAMPLE_INTERVAL_MS, this::sample);
  }

  /** How many tasks of standing arrays there will be. */
  public int standingTasks() {
    return loadGenerator.standingTasks();
  }

  /** Submits the standing arrays, which run until the end. */
  public void submitStandingJobs() {
    driver.post(loadGenerator::submitStandingJobs);
  }

  /** From now on short arrays and urgent jobs come at their rates, and pauses are counted. */
  public void startArrivals() {
    driver.post(
        () -> {
          lastStartAt = cluster.now;
          isTrackingPauses = true;
          loadGenerator.startArrivals();
        });
  }

  /** Ends so many machines at once, with all that is on them. */
  public void failWorkers(int count) {
    driver.post(
        () -> {
          int remaining = count;
          for (SimulatedWorker worker : List.copyOf(cluster.workers.values())) {
            if (remaining > 0 && !worker.dead) {
              cluster.cloud.fail(worker.rented);
              remaining--;
            }
          }
        });
  }

  /** Ends all machines of a zone at once. */
  public void failZone(String zone) {
    driver.post(
        () ->
            List.copyOf(cluster.workers.values()).stream()
                .filter(worker -> !worker.dead && worker.rented.zone.equals(zone))
                .forEach(worker -> cluster.cloud.fail(worker.rented)));
  }

  /** The state service does not answer for so long. */
  public void startStateOutage(long durationMs) {
    driver.post(() -> cluster.state.outage(durationMs));
  }

  /** What can go wrong in this region. */
  public LoopbackFaults faults() {
    return new LoopbackFaults(cluster, driver, links);
  }

  /** Random jobs come for so long from now on, one within each so many milliseconds. */
  public void startRandomJobs(long durationMs, int intervalMs) {
    List<String> names = teams().stream().map(Team::name).toList();
    driver.post(
        () -> new RandomJobs(cluster, names, 1, intervalMs).until(cluster.now + durationMs));
  }

  /** Users ask at all nodes within milliseconds, repeat and submit what never runs, for so long. */
  public void startStressClients(long durationMs) {
    driver.post(
        () -> {
          cluster.clients.readAfterWrite(durationMs);
          cluster.clients.sendInvalidRequests(durationMs);
        });
  }

  /** Every message from now on is written there, a line each. */
  public void recordMessages(Writer out) {
    driver.post(() -> cluster.messages = new MessageWriter(out));
  }

  /** Jobs that are open though nothing is in trouble any more; see {@code Rules.unsettled}. */
  public List<String> unsettledJobs(long answeredSince) throws TimeoutException {
    return query(() -> cluster.invariants.unsettledJobs(answeredSince));
  }

  /** Which controller leads by the leader key, or null. */
  public String leaderByKey() throws TimeoutException {
    return query(cluster.state::leader);
  }

  /** Which controllers are ready for users. */
  public List<String> readyControllers() throws TimeoutException {
    return query(() -> endpoints.stream().filter(e -> e.isUp).map(e -> e.name).toList());
  }

  /** What has happened so far. */
  public LoopbackStatus status() throws TimeoutException {
    return query(this::currentStatus);
  }

  private LoopbackStatus currentStatus() {
    long running = 0;
    int up = 0;
    for (SimulatedWorker worker : cluster.workers.values()) {
      up += worker.dead ? 0 : 1;
      for (SimulatedWorker.Task task : worker.tasks.values()) {
        running += task.present ? 1 : 0;
      }
    }
    List<String> broken = new ArrayList<>(cluster.invariants.violatedRules);
    broken.addAll(cluster.invariants.violationDetails);
    return new LoopbackStatus(
        cluster.now,
        cluster.invariants.startedTasks,
        running,
        up,
        loadGenerator.finishedJobs(),
        lastAnsweringController(),
        tokensSeen.size(),
        longestPauseMs,
        cluster.state.writes,
        cluster.state.requests,
        cluster.state.refusals.getOrDefault("429", 0),
        cluster.heartbeats,
        cluster.commands,
        broken);
  }

  private String lastAnsweringController() {
    RemoteEndpoint last = null;
    for (RemoteEndpoint e : endpoints) {
      last = last == null || e.lastHeartbeatAnswerAt > last.lastHeartbeatAnswerAt ? e : last;
    }
    return last == null || last.lastHeartbeatAnswerAt == Long.MIN_VALUE ? null : last.name;
  }

  /** How long tasks of urgent jobs waited for their start, from when the job was due, in ms. */
  public Histogram urgentDelays() throws TimeoutException {
    return query(() -> loadGenerator.urgentDelays().copy());
  }

  /** How long submissions took to be accepted, from when they were due, in ms. */
  public Histogram acceptDelays() throws TimeoutException {
    return query(() -> loadGenerator.acceptDelays().copy());
  }

  private <T> T query(Supplier<T> question) throws TimeoutException {
    CompletableFuture<T> result = new CompletableFuture<>();
    driver.post(() -> result.complete(question.get()));
    try {
      return result.get(QUERY_TIMEOUT_S, TimeUnit.SECONDS);
    } catch (InterruptedException | ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() {
    driver.stop();
    server.stop();
    ioWorkers.forEach(XnioWorker::shutdownNow);
  }
}
