package org.snowturn.core.reach;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.admission.Purpose;
import org.snowturn.core.calls.Calls;
import org.snowturn.wire.Json;

/**
 * Users' requests to the state service, through a peer where this node's own link is down and the
 * peer's is not. One hop: a peer asks the state service itself or refuses.
 *
 * <p>What a peer does not answer stays unknown, as if the state service had not answered; only what
 * the peer says was not executed counts as refused.
 */
public final class Relays {
  /** Longer ones do not fit a record that the version before this one would skip. */
  private static final int MOST_BYTES = 3_000;

  /** So many may be under way through peers, and from peers; the next is refused at once. */
  private static final int MOST_OPEN = 200;

  private final Settings settings;
  private final Calls calls;
  private final ConnectivityMonitor surroundings;
  private final BooleanSupplier ownLink;
  private final Map<Long, Calls.Then> open = new HashMap<>();
  private int forPeers;
  private long seq;
  private long relayed;

  /**
   * Relays nothing yet.
   *
   * @param ownLink whether the state service answers this node
   */
  public Relays(
      Settings settings, Calls calls, ConnectivityMonitor surroundings, BooleanSupplier ownLink) {
    this.settings = settings;
    this.calls = calls;
    this.surroundings = surroundings;
    this.ownLink = ownLink;
    // A peer may still be about to answer what this node's former life asked: back within a
    // fraction
    // of a second, this one would take it for the answer to a question of its own, about another
    // job.
    this.seq = calls.random().nextLong() >>> 2;
  }

  /** Whether the state service answers this node itself. */
  public boolean direct() {
    return ownLink.getAsBoolean();
  }

  /** Whether there is any way to the state service. */
  public boolean possible() {
    return ownLink.getAsBoolean() || surroundings.peerWithState() != null;
  }

  /** One call to the state service, whichever way. */
  public void state(
      Purpose purpose, String method, String path, JsonNode body, int timeoutMs, Calls.Then then) {
    String peer = ownLink.getAsBoolean() ? null : surroundings.peerWithState();
    if (peer == null) {
      calls.state(purpose, method, path, body, timeoutMs, then);
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
    calls.toPeers(new PeerRecord.Relay(settings.node(), peer, mine, method, path, body, timeoutMs));
    calls.after(timeoutMs, () -> answer(mine, Outcome.UNKNOWN, 0, null));
  }

  private void answer(long id, Outcome outcome, int status, JsonNode body) {
    Calls.Then then = open.remove(id);
    if (then != null) {
      then.on(outcome, status, body);
    }
  }

  /** A peer asks: for this node only, and not handed on any further. */
  public void asked(PeerRecord.Relay r) {
    if (!r.to().equals(settings.node())) {
      return;
    }
    if (!ownLink.getAsBoolean() || forPeers >= MOST_OPEN) {
      reply(r, Outcome.REFUSED, 503, null);
      return;
    }
    forPeers++;
    calls.state(
        Purpose.USERS,
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

  private void reply(PeerRecord.Relay r, Outcome outcome, int status, JsonNode body) {
    calls.toPeers(
        new PeerRecord.Relayed(settings.node(), r.from(), r.seq(), outcome, status, body));
  }

  /** A peer answers. */
  public void answered(PeerRecord.Relayed r) {
    if (r.to().equals(settings.node())) {
      answer(r.seq(), r.outcome(), r.status(), r.body());
    }
  }

  /** How many calls went through a peer. */
  public long relayed() {
    return relayed;
  }
}
