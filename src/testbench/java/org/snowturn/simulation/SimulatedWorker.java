package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.wire.JobSpec;

/** The simulated worker, as PROTOCOL describes it. */
final class SimulatedWorker {
  private static final long BLOCKED_REPORT_RETRY_MS = 200;
  private static final long HUNG_RETRY_MS = 300;
  private static final int MAX_REDIRECT_DELAY_MS = 500;
  private static final long EARLY_REPORT_DELAY_MS = 500;
  private static final long NEXT_ENDPOINT_DELAY_MS = 1_000;
  private static final long ANSWER_TIMEOUT_MS = 4_000;

  final SimulatedCluster cluster;
  final SimulatedCloud.RentedMachine machine;
  final String addr;
  final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
  final WorkerMessages messages;
  private final Set<String> images = new HashSet<>();

  /** Keys of the attempts that have ended here and are no longer listed. */
  private final Set<String> formerAttempts = new HashSet<>();

  boolean dead;
  boolean hung;

  /** Whether every task that starts fails. */
  boolean failing;

  /** Whether no heartbeat leaves the machine. */
  boolean outboundDropped;

  /** Factor by which tasks run longer than usual. */
  double runtimeFactor = 1;

  /** Announced time until the cloud reclaims the machine; NaN if none is announced. */
  double reclaimNoticeS = Double.NaN;

  private long session = 1;
  private long reportSequence;
  private long token;
  private long leaseRenewedAt;
  private int endpointIndex;
  private long latestReport; // changes when a report is sent, answered or timed out
  private long latestTimer; // only the report of the latest timer is sent
  private long earlyReportAt = Long.MIN_VALUE / 2;
  private boolean shouldReportSoon;
  private boolean isAwaitingAnswer;
  private boolean isSeekingEndpoint; // the last heartbeat found no leader
  private long reportSentAt;

  SimulatedWorker(SimulatedCluster cluster, SimulatedCloud.RentedMachine machine) {
    this.cluster = cluster;
    this.machine = machine;
    this.addr = cluster.parameters.addressByMachine().apply(machine.id);
    this.messages = new WorkerMessages(cluster, machine.id);
  }

  private Settings.Workers workerSettings() {
    return cluster.settings[0].workers();
  }

  /** Starts the lease and the heartbeats. */
  void boot() {
    leaseRenewedAt = cluster.now;
    endpointIndex = cluster.random.nextInt(cluster.endpoints.size());
    checkLeaseRegularly();
    cluster.state.runningOn(machine.id).forEach(this::restore);
    report();
  }

  /** Restores a task that a leader of another version started before this simulation. */
  private void restore(String[] fields) {
    SimulatedTask task = new SimulatedTask(fields[0], Long.parseLong(fields[1]), 0);
    tasks.put(task.key(), task);
    if (fields[2].equals("running")) {
      run(task, cluster.clients.spec(task.job), session);
    } else {
      task.end(fields[3]);
    }
  }

  /** Returns the first token of the latest term that the machine has heard of; 0 if of none. */
  long term() {
    return cluster.state.firstTokenOfTerm(token);
  }

  /** Returns whether the machine still has a task, in any phase. */
  boolean hasTask(SimulatedTask task) {
    return tasks.get(task.key()) == task;
  }

  /** Restarts the machine at once with its name and address but without its memory. */
  void reboot() {
    tasks.clear();
    images.clear();
    session = 1;
    reportSequence = 0;
    token = 0;
    leaseRenewedAt = cluster.now;
  }

  /** Stops the machine and all its tasks for good. */
  void shutDown() {
    dead = true;
    tasks.clear();
  }

  /** Ends the session, with all its tasks, if its lease has expired. */
  private void endExpiredSession() {
    long leaseMs = (long) (workerSettings().leaseS() * 1000);
    if (cluster.now - leaseRenewedAt > leaseMs
        && !cluster.seededBugs.contains("immortal_sessions")) {
      formerAttempts.addAll(tasks.keySet());
      tasks.clear();
      session++;
      leaseRenewedAt = cluster.now;
      onChange();
    }
  }

  private void checkLeaseRegularly() {
    if (dead) {
      return;
    }
    endExpiredSession();
    cluster.after(cluster.parameters.leaseCheckIntervalMs(), this::checkLeaseRegularly);
  }

  private ObjectNode statusBody() {
    ObjectNode body = machine.describe(addr);
    body.put("thaw", session).put("tally", ++reportSequence).put("baton", token);
    if (!Double.isNaN(reclaimNoticeS)) {
      body.put("recall_s", reclaimNoticeS);
    }
    ArrayNode list = body.putArray("flakes");
    messages.inListedOrder(tasks.values()).forEach(task -> list.add(task.describe()));
    return body;
  }

  /** Sends a heartbeat, or waits while none can leave. */
  private void report() {
    if (dead) {
      return;
    }
    ObjectNode report = hung || outboundDropped ? null : statusBody();
    if (report == null || messages.isReportTooLong(report)) {
      reportAfter(BLOCKED_REPORT_RETRY_MS);
      return;
    }
    isAwaitingAnswer = true;
    isSeekingEndpoint = false;
    shouldReportSoon = false;
    reportSentAt = cluster.now;
    Endpoint endpoint = cluster.endpoints.get(endpointIndex);
    long sessionAtSend = session;
    long thisReport = ++latestReport;
    cluster.heartbeatsSent++;
    Runnable deliver =
        () ->
            endpoint.heartbeat(
                addr,
                report,
                (status, reply) -> {
                  if (thisReport == latestReport && !dead && !hung) {
                    latestReport++;
                    isAwaitingAnswer = false;
                    handleAnswer(status, reply, reportSentAt, sessionAtSend);
                  }
                });
    cluster.after(cluster.heartbeatDelayMs, () -> cluster.send(addr, endpoint.name, deliver));
    cluster.deliverCopies(addr, report);
    cluster.after(ANSWER_TIMEOUT_MS, () -> giveUp(thisReport));
  }

  /** Gives up waiting for the answer to a heartbeat, unless it has arrived. */
  private void giveUp(long report) {
    if (report == latestReport) {
      latestReport++;
      isAwaitingAnswer = false;
      reportToNextEndpoint(NEXT_ENDPOINT_DELAY_MS);
    }
  }

  private void reportToNextEndpoint(long delayMs) {
    isSeekingEndpoint = true;
    endpointIndex = (endpointIndex + 1) % cluster.endpoints.size();
    reportAfter(delayMs);
  }

  private void handleAnswer(int status, JsonNode reply, long sentAt, long sessionAtSend) {
    if (status == 421 && reply != null && reply.has("steward")) {
      List<String> names = cluster.endpoints.stream().map(endpoint -> endpoint.name).toList();
      int index = names.indexOf(reply.path("steward").asText());
      if (index >= 0 && index != endpointIndex) {
        endpointIndex = index;
        reportAfter(cluster.random.nextInt(MAX_REDIRECT_DELAY_MS));
        return;
      }
    }
    if (status != 200) {
      reportToNextEndpoint(NEXT_ENDPOINT_DELAY_MS);
      return;
    }
    // An answer without a token is dropped; it only keeps the worker at this endpoint.
    if (reply.has("baton") && !messages.isTooLong(reply)) {
      executeAnswer(reply, sentAt, sessionAtSend);
    }
    long intervalMs = (long) (workerSettings().heartbeatIntervalS() * 1000);
    long usualDelayMs = intervalMs * 3 / 4 + cluster.random.nextInt((int) (intervalMs / 2));
    reportAfter(shouldReportSoon ? EARLY_REPORT_DELAY_MS : usualDelayMs);
  }

  private void executeAnswer(JsonNode answer, long sentAt, long sessionAtSend) {
    long answeredToken = answer.path("baton").asLong();
    TokenOwnership.check(cluster, cluster.endpoints.get(endpointIndex).name, answeredToken);
    if (answeredToken >= token && sessionAtSend == session) {
      updateToken(answeredToken);
      leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
      executeCommands(answer.path("orders"), cluster.answerSentAt);
    }
  }

  private void reportAfter(long delayMs) {
    long thisTimer = ++latestTimer;
    cluster.after(
        delayMs,
        () -> {
          if (thisTimer == latestTimer) {
            report();
          }
        });
  }

  /** Records a token; a higher one is reported early, at most once in half a lease. */
  private void updateToken(long receivedToken) {
    if (receivedToken > token && cluster.now - earlyReportAt >= workerSettings().leaseS() * 500) {
      earlyReportAt = cluster.now;
      shouldReportSoon = true;
      if (!isAwaitingAnswer) {
        reportAfter(EARLY_REPORT_DELAY_MS);
      }
    }
    token = Math.max(token, receivedToken);
  }

  /** Reports a change of the tasks or the session early, at most once in half a second. */
  private void onChange() {
    shouldReportSoon = true;
    if (!isAwaitingAnswer && !isSeekingEndpoint) {
      reportAfter(Math.max(0, reportSentAt + EARLY_REPORT_DELAY_MS - cluster.now));
    }
  }

  private void end(SimulatedTask task, String cause) {
    task.end(cause);
    onChange();
  }

  /** Answers a status request of any sender. */
  void handleStatus(SimulatedCluster.ReplyHandler reply) {
    if (!dead && !hung) {
      reply.onReply(Outcome.ANSWERED, 200, statusBody());
    }
  }

  /** Handles a direct message; a hung machine does so when it resumes. */
  void handleCommand(JsonNode body, long sentAt, SimulatedCluster.ReplyHandler reply) {
    if (dead) {
      return;
    }
    cluster.commandsReceived++;
    if (hung) {
      cluster.after(HUNG_RETRY_MS, () -> handleCommand(body, sentAt, reply));
      return;
    }
    if (executeMessage(body, sentAt)) {
      cluster.scheduleCommandCopy(() -> handleCopy(body, sentAt));
      reply.onReply(Outcome.ANSWERED, 200, statusBody());
    } else {
      reply.onReply(Outcome.ANSWERED, 409, statusBody());
    }
  }

  /** Handles a late copy of a direct message, whose answer nobody waits for. */
  private void handleCopy(JsonNode body, long sentAt) {
    if (dead) {
      return;
    }
    if (hung) {
      cluster.after(HUNG_RETRY_MS, () -> handleCopy(body, sentAt));
      return;
    }
    executeMessage(body, sentAt);
  }

  /** Executes a direct message. Returns whether its token and session allowed that. */
  private boolean executeMessage(JsonNode body, long sentAt) {
    boolean isStale =
        body.path("baton").asLong() < token && !cluster.seededBugs.contains("any_token");
    if (isStale || body.path("thaw").asLong() != session || messages.isTooLong(body)) {
      return false;
    }
    updateToken(body.path("baton").asLong());
    executeCommands(body.path("orders"), sentAt);
    return true;
  }

  private void executeCommands(JsonNode orders, long sentAt) {
    for (JsonNode command : orders) {
      String name = command.path("flake").asText();
      long attempt = command.path("try").asLong();
      String key = name + "#" + attempt;
      SimulatedTask task = tasks.get(key);
      switch (command.path("verb").asText()) {
        case "start" -> {
          if (task == null) {
            start(name, attempt, key, sentAt);
          }
        }
        case "halt" -> {
          if (task != null && task.isAlive()) {
            end(task, "halted");
          }
        }
        case "forget" -> {
          if (task != null && !task.isAlive()) {
            formerAttempts.add(key);
            tasks.remove(key);
            onChange();
          }
        }
        default -> throw new IllegalStateException("unknown verb in command: " + command);
      }
    }
  }

  private void start(String name, long attempt, String key, long sentAt) {
    if (formerAttempts.contains(key)) {
      cluster.invariants.reportViolation("ended_attempt_started", key + " on " + machine.id);
    }
    SimulatedTask task = new SimulatedTask(name, attempt, sentAt);
    cluster.startsWithoutLease += outboundDropped ? 1 : 0;
    JobSpec spec = cluster.clients.spec(task.job);
    String refusal = task.refusalReason(cluster, tasks.values());
    tasks.put(key, task);
    onChange();
    long startSession = session;
    if (refusal != null) {
      end(task, refusal);
    } else if (images.contains(spec.image())) {
      // Runs at once, so that a halt later in the same message finds the task running.
      run(task, spec, startSession);
    } else {
      cluster.after(
          (long) (spec.imageGb() * 1000),
          () -> {
            images.add(spec.image());
            run(task, spec, startSession);
          });
    }
  }

  private void run(SimulatedTask task, JobSpec spec, long startSession) {
    if (dead || startSession != session || !task.isAlive()) {
      return;
    }
    task.run();
    onChange();
    cluster.invariants.onTaskStarted(this, task, spec);
    if (failing || cluster.clients.alwaysFails(task.job)) {
      end(task, "error");
    } else if (cluster.clients.hasResult(task.name())) {
      end(task, "done");
    } else if (!spec.isService()) {
      long ms = (long) (cluster.clients.runMs(task.job, task.index) * runtimeFactor);
      cluster.after(ms, () -> complete(task, startSession));
    }
  }

  /** Ends a task as done; a hung machine does so when it resumes. */
  private void complete(SimulatedTask task, long startSession) {
    if (hung) {
      cluster.after(HUNG_RETRY_MS, () -> complete(task, startSession));
    } else if (!dead && startSession == session && task.isAlive()) {
      cluster.clients.recordResult(task.name());
      end(task, "done");
    }
  }
}
