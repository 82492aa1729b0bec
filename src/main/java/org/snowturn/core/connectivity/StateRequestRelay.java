package org.snowturn.core.connectivity;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.wire.Json;

/**
 * Sends users' requests to the state service through a peer while this node's own link to it is
 * down and the peer's link is up. Requests take at most one hop: a peer calls the state service
 * itself or refuses.
 *
 * <p>The outcome of a request that the peer does not answer is {@link Outcome#UNKNOWN}, as if the
 * state service had not answered. It is {@link Outcome#REFUSED} only if the peer replies that the
 * request was refused, or if this node did not send it.
 */
public final class StateRequestRelay {
  /**
   * Maximum length of a relayed body, so that a message stays within the limit of nodes that run
   * the previous version.
   */
  private static final int MAX_BODY_BYTES = 3_000;

  /**
   * Maximum number of open requests in each direction: those sent to peers and those received from
   * peers. Further ones are refused at once.
   */
  private static final int MAX_OPEN_REQUESTS = 200;

  /** HTTP status of a request that was refused, and so not executed. */
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final ConnectivityMonitor connectivity;
  private final BooleanSupplier hasOwnLink;
  private final Map<Long, CoreRuntime.ReplyHandler> openRequests = new HashMap<>();
  private int openPeerRequests;
  private long lastRequestId;
  private long relayedRequests;

  /**
   * Creates a relay without open requests.
   *
   * @param connectivity chooses the peer that requests go through
   * @param hasOwnLink supplies whether the state service answers this node
   */
  public StateRequestRelay(
      Settings settings,
      CoreRuntime runtime,
      ConnectivityMonitor connectivity,
      BooleanSupplier hasOwnLink) {
    this.settings = settings;
    this.runtime = runtime;
    this.connectivity = connectivity;
    this.hasOwnLink = hasOwnLink;
    // Ids start at a random number: a peer may still answer a request of the previous process of
    // this node, and after a restart within a fraction of a second its reply must not match a
    // request of this process.
    this.lastRequestId = runtime.random().nextLong() >>> 2;
  }

  /** Returns whether the state service answers this node directly. */
  public boolean hasDirectLink() {
    return hasOwnLink.getAsBoolean();
  }

  /** Returns whether the state service can be reached directly or through a peer. */
  public boolean canReachStateService() {
    return hasDirectLink() || connectivity.peerWithStateService() != null;
  }

  /**
   * Makes one call to the state service. It goes through a peer if the direct link is down and a
   * peer's link is up; otherwise it goes directly.
   *
   * @param requestClass request class that a direct call is counted in
   * @param body body of the request; null for none
   * @param timeoutMs time after which the outcome is {@link Outcome#UNKNOWN}, in milliseconds
   * @param onResult handles the result
   */
  public void callState(
      RequestClass requestClass,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      CoreRuntime.ReplyHandler onResult) {
    String peer = hasDirectLink() ? null : connectivity.peerWithStateService();
    if (peer == null) {
      runtime.callState(requestClass, method, path, body, timeoutMs, onResult);
      return;
    }
    if (isTooLong(body) || openRequests.size() >= MAX_OPEN_REQUESTS) {
      onResult.onReply(Outcome.REFUSED, SERVICE_UNAVAILABLE, null);
      return;
    }
    long id = ++lastRequestId;
    relayedRequests++;
    openRequests.put(id, onResult);
    runtime.broadcast(
        new PeerMessage.RelayRequest(settings.node(), peer, id, method, path, body, timeoutMs));
    runtime.schedule(timeoutMs, () -> complete(id, Outcome.UNKNOWN, 0, null));
  }

  private static boolean isTooLong(JsonNode body) {
    return body != null && Json.bytes(body).length > MAX_BODY_BYTES;
  }

  private void complete(long id, Outcome outcome, int status, JsonNode body) {
    CoreRuntime.ReplyHandler onResult = openRequests.remove(id);
    if (onResult != null) {
      onResult.onReply(outcome, status, body);
    }
  }

  /**
   * Handles a peer's request to call the state service. It is refused, and never relayed further,
   * if this node has no direct link or too many requests of peers are open. Requests to other nodes
   * are ignored.
   */
  public void onRequest(PeerMessage.RelayRequest request) {
    if (!request.to().equals(settings.node())) {
      return;
    }
    if (!hasDirectLink() || openPeerRequests >= MAX_OPEN_REQUESTS) {
      reply(request, Outcome.REFUSED, SERVICE_UNAVAILABLE, null);
      return;
    }
    openPeerRequests++;
    runtime.callState(
        RequestClass.USERS,
        request.method(),
        request.path(),
        request.body(),
        request.timeoutMs(),
        (outcome, status, body) -> {
          openPeerRequests--;
          boolean tooLong = isTooLong(body);
          reply(request, tooLong ? Outcome.UNKNOWN : outcome, status, tooLong ? null : body);
        });
  }

  private void reply(PeerMessage.RelayRequest request, Outcome outcome, int status, JsonNode body) {
    runtime.broadcast(
        new PeerMessage.RelayReply(
            settings.node(), request.from(), request.requestId(), outcome, status, body));
  }

  /** Handles the reply to a relayed request. Replies to other nodes are ignored. */
  public void onReply(PeerMessage.RelayReply reply) {
    if (reply.to().equals(settings.node())) {
      complete(reply.requestId(), reply.outcome(), reply.status(), reply.body());
    }
  }

  /** Returns the number of requests sent through a peer since this process started. */
  public long relayedRequests() {
    return relayedRequests;
  }
}
