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

/** A controller that is a process of its own, reached over loopback. */
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

  /** The last check-in that it answered with 200, in the world's time; the leader does. */
  long lastHeartbeatAnswerAt = Long.MIN_VALUE;

  private final SimulatedCluster cluster;

  RemoteEndpoint(
      String name,
      InetSocketAddress addr,
      SimulatedCluster cluster,
      RealTimeDriver loop,
      WorkerConnections links,
      XnioIoThread usersThread,
      HttpCaller users) {
    super(name);
    this.address = addr;
    this.cluster = cluster;
    this.driver = loop;
    this.workerConnections = links;
    this.usersThread = usersThread;
    this.usersCaller = users;
  }

  @Override
  void heartbeat(String from, JsonNode report, ResponseHandler answer) {
    cluster.messages.logMessage(cluster.now, from, name, "/checkin", report);
    workerConnections.withConnection(
        from,
        address,
        caller ->
            caller.call(
                "POST",
                "/checkin",
                Json.bytes(report),
                HEARTBEAT_TIMEOUT_MS,
                (outcome, status, body, retryAfterS) -> {
                  JsonNode json = parseOrNull(body);
                  driver.post(() -> onHeartbeatResponse(from, outcome, status, json, answer));
                }));
  }

  private void onHeartbeatResponse(
      String from, Outcome outcome, int status, JsonNode body, ResponseHandler answer) {
    boolean answered = outcome == Outcome.ANSWERED;
    if (answered && status == 200) {
      lastHeartbeatAnswerAt = cluster.now;
    }
    // When the answer left its node cannot be seen from here: no start is judged by it.
    cluster.answerLeftAt = Long.MIN_VALUE;
    int got = answered ? status : 0;
    cluster.messages.logMessage(cluster.now, name, from, "" + got, body);
    cluster.send(name, from, () -> answer.onResponse(got, body));
  }

  @Override
  void request(String from, LongFunction<Input> input, ResponseHandler answer) {
    Input i = input.apply(0);
    if (i instanceof Input.Submit s) {
      call("POST", RUNS_PATH, Json.bytes(s.spec().toJson()), SUBMIT_TIMEOUT_MS, answer);
    } else if (i instanceof Input.Poll p) {
      call("GET", RUNS_PATH + "/" + p.job(), null, POLL_TIMEOUT_MS, answer);
    } else if (i instanceof Input.Cancel c) {
      call("POST", RUNS_PATH + "/" + c.job() + "/cancel", null, SUBMIT_TIMEOUT_MS, answer);
    } else {
      throw new IllegalArgumentException("no request of a user: " + i);
    }
  }

  /** Asks whether the node is ready, as the load balancer does. */
  void probe() {
    call("GET", READY_PATH, null, PROBE_TIMEOUT_MS, (status, body) -> isUp = status == 200);
  }

  private void call(
      String method, String path, byte[] body, int timeoutMs, ResponseHandler answer) {
    boolean probe = path.equals(READY_PATH);
    if (!probe) {
      cluster.messages.logMessage(cluster.now, USERS, name, method + " " + path, null);
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
                  int got = outcome == Outcome.ANSWERED ? status : 0;
                  driver.post(
                      () -> {
                        if (!probe) {
                          cluster.messages.logMessage(
                              cluster.now, name, USERS, got + " " + path, json);
                        }
                        answer.onResponse(got, json);
                      });
                }));
  }

  private static JsonNode parseOrNull(byte[] body) {
    try {
      return body == null || body.length == 0 ? null : Json.parse(body);
    } catch (IOException e) {
      return null;
    }
  }
}
