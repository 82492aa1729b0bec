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
  private static final int MAX_OPEN = 200;

  private static final int UNAVAILABLE = 503;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final ConnectivityMonitor connectivity;
  private final BooleanSupplier ownLink;
  private final Map<Long, CoreRuntime.ReplyHandler> open = new HashMap<>();
  private int openForPeers;
  private long lastRequestId;
  private long relayed;

  /**
   * Relays nothing yet.
   *
   * @param ownLink whether the state service answers this node
   */
  public StateRequestRelay(
      Settings settings,
      CoreRuntime runtime,
      ConnectivityMonitor connectivity,
      BooleanSupplier ownLink) {
    this.settings = settings;
    this.runtime = runtime;
    this.connectivity = connectivity;
    this.ownLink = ownLink;
    // A peer may still be about to answer what the previous process of this node asked: restarted
    // within a fraction of a second, this one would take it for the answer to a request of its own.
    this.lastRequestId = runtime.random().nextLong() >>> 2;
  }

  /** Whether the state service answers this node itself. */
  public boolean direct() {
    return ownLink.getAsBoolean();
  }

  /** Whether there is any way to the state service. */
  public boolean possible() {
    return direct() || connectivity.peerWithStateService() != null;
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
      CoreRuntime.ReplyHandler then) {
    String peer = direct() ? null : connectivity.peerWithStateService();
    if (peer == null) {
      runtime.callState(purpose, method, path, body, timeoutMs, then);
      return;
    }
    if (tooLong(body) || open.size() >= MAX_OPEN) {
      then.onReply(Outcome.REFUSED, UNAVAILABLE, null);
      return;
    }
    long id = ++lastRequestId;
    relayed++;
    open.put(id, then);
    runtime.broadcast(
        new PeerMessage.RelayRequest(settings.node(), peer, id, method, path, body, timeoutMs));
    runtime.schedule(timeoutMs, () -> complete(id, Outcome.UNKNOWN, 0, null));
  }

  private static boolean tooLong(JsonNode body) {
    return body != null && Json.bytes(body).length > MAX_BODY_BYTES;
  }

  private void complete(long id, Outcome outcome, int status, JsonNode body) {
    CoreRuntime.ReplyHandler then = open.remove(id);
    if (then != null) {
      then.onReply(outcome, status, body);
    }
  }

  /** A peer asks this node to make a call, which is not handed on any further. */
  public void onRequest(PeerMessage.RelayRequest request) {
    if (!request.to().equals(settings.node())) {
      return;
    }
    if (!direct() || openForPeers >= MAX_OPEN) {
      reply(request, Outcome.REFUSED, UNAVAILABLE, null);
      return;
    }
    openForPeers++;
    runtime.callState(
        RequestClass.USERS,
        request.method(),
        request.path(),
        request.body(),
        request.timeoutMs(),
        (outcome, status, body) -> {
          openForPeers--;
          boolean tooLong = tooLong(body);
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
  public long relayed() {
    return relayed;
  }
}
