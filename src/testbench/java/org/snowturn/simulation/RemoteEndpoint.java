package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongFunction;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.net.HttpCaller;
import org.snowturn.wire.Json;
import org.xnio.XnioIoThread;

/** A controller in a process of its own, reached over HTTP on the loopback interface. */
final class RemoteEndpoint extends Endpoint {
  private static final String RUNS_PATH = "/v2/runs";
  private static final String READY_PATH = "/ready";
  private static final String USERS = "users";
  private static final int HEARTBEAT_TIMEOUT_MS = 4_000;
  private static final int SUBMIT_TIMEOUT_MS = 5_000;
  private static final int POLL_TIMEOUT_MS = 2_000;
  private static final int PROBE_TIMEOUT_MS = 1_000;

  private final RealTimeDriver driver;
  private final InetSocketAddress address;
  private final WorkerConnections workerConnections;
  private final XnioIoThread usersThread;
  private final HttpCaller usersCaller;

  /**
   * Time of the last heartbeat answered with status 200, in milliseconds of the simulation's clock,
   * or {@link Long#MIN_VALUE} if there was none. Only the leader answers with this status.
   */
  long lastHeartbeatAnswerAt = Long.MIN_VALUE;

  private final SimulatedCluster cluster;

  /**
   * Creates an endpoint that counts as unavailable until a {@link #probe} succeeds.
   *
   * @param name the controller's name
   * @param address the address on which the controller serves
   * @param cluster the simulated cluster around the controller
   * @param driver runs the handling of responses
   * @param workerConnections the connections for heartbeats
   * @param usersThread the I/O thread for users' requests
   * @param usersCaller the connections for users' requests, used on {@code usersThread} only
   */
  RemoteEndpoint(
      String name,
      InetSocketAddress address,
      SimulatedCluster cluster,
      RealTimeDriver driver,
      WorkerConnections workerConnections,
      XnioIoThread usersThread,
      HttpCaller usersCaller) {
    super(name);
    this.address = address;
    this.cluster = cluster;
    this.driver = driver;
    this.workerConnections = workerConnections;
    this.usersThread = usersThread;
    this.usersCaller = usersCaller;
  }

  @Override
  void heartbeat(String from, JsonNode report, ResponseHandler handler) {
    cluster.messageLog.logMessage(cluster.now, from, name, "/checkin", report);
    SimulatedWorker worker = cluster.workers.get(from);
    byte[] reportBytes =
        worker == null ? Json.bytes(report) : worker.messages.layout().write(report);
    workerConnections.withConnection(
        from,
        address,
        caller ->
            caller.call(
                "POST",
                "/checkin",
                reportBytes,
                HEARTBEAT_TIMEOUT_MS,
                (outcome, status, body, retryAfterS) -> {
                  JsonNode json = parseOrNull(body);
                  driver.post(() -> onHeartbeatResponse(from, outcome, status, json, handler));
                }));
  }

  private void onHeartbeatResponse(
      String from, Outcome outcome, int status, JsonNode body, ResponseHandler handler) {
    boolean isAnswered = outcome == Outcome.ANSWERED;
    if (isAnswered && status == 200) {
      lastHeartbeatAnswerAt = cluster.now;
    }
    // The time at which the answer left the controller is unknown, so the starts that it contains
    // are not checked against cancellations.
    cluster.answerSentAt = Long.MIN_VALUE;
    int receivedStatus = isAnswered ? status : 0;
    cluster.messageLog.logMessage(cluster.now, name, from, "" + receivedStatus, body);
    cluster.send(name, from, () -> handler.onResponse(receivedStatus, body));
  }

  @Override
  void request(String from, LongFunction<Input> input, ResponseHandler handler) {
    Input userInput = input.apply(0);
    if (userInput instanceof Input.Submit submit) {
      call("POST", RUNS_PATH, Json.bytes(submit.spec().toJson()), SUBMIT_TIMEOUT_MS, handler);
    } else if (userInput instanceof Input.Poll poll) {
      call("GET", RUNS_PATH + "/" + poll.job(), null, POLL_TIMEOUT_MS, handler);
    } else if (userInput instanceof Input.Cancel cancel) {
      call("POST", RUNS_PATH + "/" + cancel.job() + "/cancel", null, SUBMIT_TIMEOUT_MS, handler);
    } else {
      throw new IllegalArgumentException(
          "expected a submission, poll or cancellation by a user, got: " + userInput);
    }
  }

  /** Updates {@link #isUp} from the controller's readiness check, as a load balancer does. */
  void probe() {
    call("GET", READY_PATH, null, PROBE_TIMEOUT_MS, (status, body) -> isUp = status == 200);
  }

  private void call(
      String method, String path, byte[] body, int timeoutMs, ResponseHandler handler) {
    boolean isProbe = path.equals(READY_PATH);
    if (!isProbe) {
      cluster.messageLog.logMessage(cluster.now, USERS, name, method + " " + path, null);
    }
    usersThread.execute(
        () ->
            usersCaller.call(
                method,
                path,
                body,
                timeoutMs,
                (outcome, status, bytes, retryAfterS) -> {
                  JsonNode json = parseOrNull(bytes);
                  int receivedStatus = outcome == Outcome.ANSWERED ? status : 0;
                  driver.post(
                      () -> {
                        if (!isProbe) {
                          cluster.messageLog.logMessage(
                              cluster.now, name, USERS, receivedStatus + " " + path, json);
                        }
                        handler.onResponse(receivedStatus, json);
                      });
                }));
  }

  /** Returns the parsed body, or null if it is empty or malformed. */
  private static JsonNode parseOrNull(byte[] body) {
    try {
      return body == null || body.length == 0 ? null : Json.parse(body);
    } catch (IOException e) {
      return null;
    }
  }
}
