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
 * Users' requests to the state service, through a peer where this node's own link is down and the
 * peer's is not. One hop: a peer asks the state service itself or refuses.
 *
 * <p>What a peer does not answer stays unknown, as if the state service had not answered; only what
 * the peer says was not executed counts as refused.
 */
public final class StateRequestRelay {
  /** A message must not be longer than what nodes of the previous version read. */
  private static final int MAX_BODY_BYTES = 3_000;

  /** So many may be open through peers, and from peers; the next is refused at once. */
  private static final int MAX_OPEN_REQUESTS = 200;

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
   * Relays nothing yet.
   *
   * @param hasOwnLink whether the state service answers this node
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
    // A peer may still be about to answer what the previous process of this node asked: restarted
    // within a fraction of a second, this one would take it for the answer to a request of its own.
    this.lastRequestId = runtime.random().nextLong() >>> 2;
  }

  /** Whether the state service answers this node itself. */
  public boolean hasDirectLink() {
    return hasOwnLink.getAsBoolean();
  }

  /** Whether there is any way to the state service. */
  public boolean canReachStateService() {
    return hasDirectLink() || connectivity.peerWithStateService() != null;
  }

  /**
   * Makes one call to the state service, directly or through a peer.
   *
   * @param body null for none
   */
  public void callState(
      RequestClass purpose,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      CoreRuntime.ReplyHandler onResult) {
    String peer = hasDirectLink() ? null : connectivity.peerWithStateService();
    if (peer == null) {
      runtime.callState(purpose, method, path, body, timeoutMs, onResult);
      return;
    }
    if (isTooLong(body) || openRequests.size() >= MAX_OPEN_REQUESTS) {
      onResult.on(Outcome.REFUSED, SERVICE_UNAVAILABLE, null);
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
      onResult.on(outcome, status, body);
    }
  }

  /** A peer asks this node to make a call, which is not handed on any further. */
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

  /** A peer tells what came of a call that it was asked to make. */
  public void onReply(PeerMessage.RelayReply reply) {
    if (reply.to().equals(settings.node())) {
      complete(reply.requestId(), reply.outcome(), reply.status(), reply.body());
    }
  }

  /** How many calls went through a peer. */
  public long relayedRequests() {
    return relayedRequests;
  }
}
