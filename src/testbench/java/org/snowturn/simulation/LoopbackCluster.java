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
 * One region of a scale run: a simulated cluster in real time, which the region's controllers reach
 * over HTTP, and the load on the controllers. Its methods may be called from any thread.
 */
public final class LoopbackCluster implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int MAX_POOLED_BUFFERS = 256;
  private static final int MAX_BUFFERS_PER_THREAD = 8;
  private static final int MAX_USER_CONNECTIONS = 200;
  private static final long PROBE_INTERVAL_MS = 500;
  private static final long POLL_INTERVAL_MS = 3_300;
  private static final long LEASE_CHECK_INTERVAL_MS = 100;
  private static final long SAMPLE_INTERVAL_MS = 100;
  private static final long QUERY_TIMEOUT_S = 30;
  private static final long MACHINE_BOOT_MS = 3_000;
  private static final double MEMORY_PER_CPU_GB = 4.5;
  private static final int MIN_CPUS_PER_MACHINE = 8;
  private static final int ADDRESSES_PER_OCTET = 250;

  /** Ratio of a machine's CPUs to its share of the concurrent tasks, which use one CPU each. */
  private static final double CPU_HEADROOM = 1.15;

  /** Second octet of the machine addresses of region 0; the next region uses the next value. */
  private static final int FIRST_REGION_OCTET = 16;

  private final LoopbackPlan plan;
  private final SimulatedCluster cluster;
  private final RealTimeDriver driver;
  private final SimulatedServer server;
  private final List<RemoteEndpoint> endpoints = new ArrayList<>();
  private final List<XnioWorker> ioWorkers = new ArrayList<>();
  private final LoadGenerator loadGenerator;
  private final DirectedLinks links;
  private final Set<Long> termsSeen = new HashSet<>();
  private int workersPort;
  private long lastStartCount;
  private long lastStartAt;
  private long longestPauseMs;
  private boolean isTrackingPauses;

  /** Addresses of state service and cloud, by the name of the controller that uses them. */
  public record ServiceAddresses(
      Map<String, InetSocketAddress> state, Map<String, InetSocketAddress> cloud) {}

  /** Creates a region that does not run yet. */
  public LoopbackCluster(LoopbackPlan plan) {
    this.plan = plan;
    double taskCpus = plan.concurrentTasks() * CPU_HEADROOM / plan.workers();
    double cpus = Math.max(MIN_CPUS_PER_MACHINE, Math.ceil(taskCpus));
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
    cluster.setLinkDelays(links);
    cluster.cloud.capacityPerZone = plan.rentablePerZone();
    cluster.cloud.bootMs = MACHINE_BOOT_MS;
    cluster.cloud.listLagMs = (long) (plan.cloudLimits().listLagS() * 1000);
    this.driver = new RealTimeDriver(cluster, "world-" + plan.regionNumber());
    this.server = new SimulatedServer(cluster, driver);
    this.loadGenerator = new LoadGenerator(cluster, plan);
  }

  private Settings settings() {
    InetSocketAddress unusedAddress = new InetSocketAddress(0);
    List<Settings.Team> teams = new ArrayList<>();
    for (Team team : teams()) {
      teams.add(new Settings.Team(team.name(), 0, team.maxCpus(), 0, 0));
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

  /** A team that submits jobs, and the maximum number of CPUs that its tasks may use. */
  public record Team(String name, double maxCpus) {}

  /**
   * Returns the teams. Unless the plan sets their limit, each may use twice its even share of the
   * concurrent tasks plus the largest job.
   */
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

  /**
   * Returns the address of a machine: an IPv4 loopback address determined by the region and by the
   * number after the first hyphen of the machine's name, and the port of all workers.
   */
  private String address(String machine) {
    int machineNumber = Integer.parseInt(machine.substring(machine.indexOf('-') + 1));
    int thirdOctet = machineNumber / ADDRESSES_PER_OCTET % ADDRESSES_PER_OCTET;
    return "127."
        + (FIRST_REGION_OCTET + plan.regionNumber())
        + "."
        + thirdOctet
        + "."
        + (1 + machineNumber % ADDRESSES_PER_OCTET)
        + ":"
        + workersPort;
  }

  /** Opens the ports of the simulated services and workers. */
  public ServiceAddresses open() throws IOException {
    XnioWorker state = createIoWorker("state", 1);
    XnioWorker workers = createIoWorker("hollow", 2);
    Map<String, InetSocketAddress> ports = server.start(plan.controllers(), state, workers);
    workersPort = server.workersPort();
    return new ServiceAddresses(ports, server.cloudAddresses());
  }

  private XnioWorker createIoWorker(String role, int threadCount) throws IOException {
    XnioWorker ioWorker =
        Xnio.getInstance()
            .createWorker(
                OptionMap.builder()
                    .set(Options.WORKER_NAME, role + "-" + plan.regionNumber())
                    .set(Options.WORKER_IO_THREADS, threadCount)
                    .set(Options.WORKER_TASK_CORE_THREADS, 1)
                    .set(Options.WORKER_TASK_MAX_THREADS, 1)
                    .set(Options.TCP_NODELAY, true)
                    .getMap());
    ioWorkers.add(ioWorker);
    return ioWorker;
  }

  /** Rents the planned machines and starts sending requests to the controllers, given by name. */
  public void start(Map<String, InetSocketAddress> controllerAddresses) throws IOException {
    ByteBufferPool buffers =
        new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, MAX_BUFFERS_PER_THREAD);
    XnioWorker workers = createIoWorker("report", 2);
    XnioWorker users = createIoWorker("users", 1);
    WorkerConnections workerConnections =
        new WorkerConnections(List.of(workers.getIoThread(0), workers.getIoThread(1)), buffers);
    XnioIoThread usersThread = users.getIoThread(0);
    for (String name : plan.controllers()) {
      InetSocketAddress address = controllerAddresses.get(name);
      HttpCaller usersCaller = new HttpCaller(address, usersThread, buffers, MAX_USER_CONNECTIONS);
      endpoints.add(
          new RemoteEndpoint(
              name, address, cluster, driver, workerConnections, usersThread, usersCaller));
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

  /** Probes all controllers, now and at intervals. */
  private void probe() {
    endpoints.forEach(RemoteEndpoint::probe);
    cluster.after(PROBE_INTERVAL_MS, this::probe);
  }

  /** Updates the longest pause between task starts and the terms seen, now and at intervals. */
  private void sample() {
    if (cluster.invariants.startedTasks != lastStartCount) {
      lastStartCount = cluster.invariants.startedTasks;
      lastStartAt = cluster.now;
    } else if (isTrackingPauses) {
      longestPauseMs = Math.max(longestPauseMs, cluster.now - lastStartAt);
    }
    cluster.workers.values().forEach(worker -> termsSeen.add(worker.term()));
    cluster.after(SAMPLE_INTERVAL_MS, this::sample);
  }

  /** Returns the number of tasks of the standing arrays. */
  public int standingTasks() {
    return loadGenerator.standingTasks();
  }

  /** Submits the standing arrays, which last until the end of the run. */
  public void submitStandingJobs() {
    driver.post(loadGenerator::submitStandingJobs);
  }

  /** Starts arrivals of short arrays and urgent jobs, and tracks pauses between task starts. */
  public void startArrivals() {
    driver.post(
        () -> {
          lastStartAt = cluster.now;
          isTrackingPauses = true;
          loadGenerator.startArrivals();
        });
  }

  /** Fails a number of machines at once, with all tasks on them. */
  public void failWorkers(int count) {
    driver.post(
        () -> {
          int remaining = count;
          for (SimulatedWorker worker : List.copyOf(cluster.workers.values())) {
            if (remaining > 0 && !worker.dead) {
              cluster.cloud.fail(worker.machine);
              remaining--;
            }
          }
        });
  }

  /** Fails all machines of a zone at once. */
  public void failZone(String zone) {
    driver.post(
        () ->
            List.copyOf(cluster.workers.values()).stream()
                .filter(worker -> !worker.dead && worker.machine.zone.equals(zone))
                .forEach(worker -> cluster.cloud.fail(worker.machine)));
  }

  /** Makes the state service unavailable for a duration, in milliseconds. */
  public void startStateOutage(long durationMs) {
    driver.post(() -> cluster.state.startOutage(durationMs));
  }

  /** Returns the faults that can be injected into this region. */
  public LoopbackFaults faults() {
    return new LoopbackFaults(cluster, driver, links);
  }

  /** Starts submitting random jobs for a duration, at most {@code intervalMs} apart. */
  public void startRandomJobs(long durationMs, int intervalMs) {
    List<String> names = teams().stream().map(Team::name).toList();
    driver.post(
        () -> new RandomJobs(cluster, names, 1, intervalMs).submitUntil(cluster.now + durationMs));
  }

  /**
   * Starts users that read at all controllers within milliseconds after a job was accepted or
   * ended, repeat submissions, cancel finished jobs and submit jobs that can never run.
   */
  public void startStressClients(long durationMs) {
    driver.post(
        () -> {
          cluster.clients.enableReadsAfterWrite(durationMs);
          cluster.clients.sendInvalidRequests(durationMs);
        });
  }

  /** Starts writing every message to {@code out}, one line each. */
  public void recordMessages(Writer out) {
    driver.post(() -> cluster.messageLog = new MessageWriter(out));
  }

  /**
   * Returns descriptions of the jobs that are still open after all faults have ended. Users must
   * have had an answer about each job since {@code answeredSinceMs} of {@link
   * LoopbackStatus#nowMs}.
   */
  public List<String> unsettledJobs(long answeredSinceMs) throws TimeoutException {
    return query(() -> cluster.invariants.unsettledJobs(answeredSinceMs));
  }

  /** Returns the controller that holds the leader key, or null if the key is absent. */
  public String leaderByKey() throws TimeoutException {
    return query(cluster.state::leader);
  }

  /** Returns the names of the controllers that are ready for users. */
  public List<String> readyControllers() throws TimeoutException {
    return query(
        () ->
            endpoints.stream()
                .filter(endpoint -> endpoint.isUp)
                .map(endpoint -> endpoint.name)
                .toList());
  }

  /** Returns the current counters and state of the region. */
  public LoopbackStatus status() throws TimeoutException {
    return query(this::currentStatus);
  }

  private LoopbackStatus currentStatus() {
    long runningTasks = 0;
    int workersUp = 0;
    for (SimulatedWorker worker : cluster.workers.values()) {
      workersUp += worker.dead ? 0 : 1;
      for (SimulatedTask task : worker.tasks.values()) {
        runningTasks += task.isRunning() ? 1 : 0;
      }
    }
    List<String> violations = new ArrayList<>(cluster.invariants.violatedRules);
    violations.addAll(cluster.invariants.violationDetails);
    return new LoopbackStatus(
        cluster.now,
        cluster.invariants.startedTasks,
        runningTasks,
        workersUp,
        loadGenerator.finishedJobs(),
        lastAnsweringController(),
        termsSeen.size(),
        longestPauseMs,
        cluster.state.writes,
        cluster.state.requests,
        cluster.state.refusals.getOrDefault("429", 0),
        cluster.heartbeatsSent,
        cluster.commandsReceived,
        violations);
  }

  /** Returns the controller that last answered a heartbeat as leader, or null if none has. */
  private String lastAnsweringController() {
    RemoteEndpoint last = null;
    for (RemoteEndpoint endpoint : endpoints) {
      last =
          last == null || endpoint.lastHeartbeatAnswerAt > last.lastHeartbeatAnswerAt
              ? endpoint
              : last;
    }
    return last == null || last.lastHeartbeatAnswerAt == Long.MIN_VALUE ? null : last.name;
  }

  /** Returns the delays, in ms, from the scheduled submission of urgent jobs to task starts. */
  public Histogram urgentDelays() throws TimeoutException {
    return query(() -> loadGenerator.urgentDelays().copy());
  }

  /** Returns the delays, in ms, from the scheduled submission of jobs to their acceptance. */
  public Histogram acceptDelays() throws TimeoutException {
    return query(() -> loadGenerator.acceptDelays().copy());
  }

  /** Returns a value that is computed on the thread of the driver. */
  private <T> T query(Supplier<T> value) throws TimeoutException {
    CompletableFuture<T> result = new CompletableFuture<>();
    driver.post(() -> result.complete(value.get()));
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
