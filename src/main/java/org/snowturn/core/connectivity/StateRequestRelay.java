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
  /** Longer ones do not fit a record that the version before this one would skip. */
  private static final int MOST_BYTES = 3_000;

  /** So many may be under way through peers, and from peers; the next is refused at once. */
  private static final int MOST_OPEN = 200;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final ConnectivityMonitor connectivity;
  private final BooleanSupplier ownLink;
  private final Map<Long, CoreRuntime.ReplyHandler> open = new HashMap<>();
  private int forPeers;
  private long seq;
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
    // A peer may still be about to answer what this node's former life asked: back within a
    // fraction
    // of a second, this one would take it for the answer to a question of its own, about another
    // job.
    this.seq = runtime.random().nextLong() >>> 2;
  }

  /** Whether the state service answers this node itself. */
  public boolean direct() {
    return ownLink.getAsBoolean();
  }

  /** Whether there is any way to the state service. */
  public boolean possible() {
    return ownLink.getAsBoolean() || connectivity.peerWithState() != null;
  }

  /** One call to the state service, whichever way. */
  public void state(
      RequestClass purpose,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      CoreRuntime.ReplyHandler then) {
    String peer = ownLink.getAsBoolean() ? null : connectivity.peerWithState();
    if (peer == null) {
      runtime.callState(purpose, method, path, body, timeoutMs, then);
      return;
    }
    boolean tooLong = body != null && Json.bytes(body).length > MOST_BYTES;
    if (tooLong || open.size() >= MOST_OPEN) {
      then.on(Outcome.REFUSED, 503, null);
      return;
    }
    long mine = ++seq;
    relayed++;
    open.put(mine, then);
    runtime.broadcast(
        new PeerMessage.RelayRequest(settings.node(), peer, mine, method, path, body, timeoutMs));
    runtime.schedule(timeoutMs, () -> answer(mine, Outcome.UNKNOWN, 0, null));
  }

  private void answer(long id, Outcome outcome, int status, JsonNode body) {
    CoreRuntime.ReplyHandler then = open.remove(id);
    if (then != null) {
      then.on(outcome, status, body);
    }
  }

  /** A peer asks: for this node only, and not handed on any further. */
  public void asked(PeerMessage.RelayRequest r) {
    if (!r.to().equals(settings.node())) {
      return;
    }
    if (!ownLink.getAsBoolean() || forPeers >= MOST_OPEN) {
      reply(r, Outcome.REFUSED, 503, null);
      return;
    }
    forPeers++;
    runtime.callState(
        RequestClass.USERS,
        r.method(),
        r.path(),
        r.body(),
        r.timeoutMs(),
        (outcome, status, body) -> {
          forPeers--;
          boolean tooLong = body != null && Json.bytes(body).length > MOST_BYTES;
          reply(r, tooLong ? Outcome.UNKNOWN : outcome, status, tooLong ? null : body);
        });
  }

  private void reply(PeerMessage.RelayRequest r, Outcome outcome, int status, JsonNode body) {
    runtime.broadcast(
        new PeerMessage.RelayReply(settings.node(), r.from(), r.seq(), outcome, status, body));
  }

  /** A peer answers. */
  public void answered(PeerMessage.RelayReply r) {
    if (r.to().equals(settings.node())) {
      answer(r.seq(), r.outcome(), r.status(), r.body());
    }
  }

  /** How many calls went through a peer. */
  public long relayed() {
    return relayed;
  }
}
