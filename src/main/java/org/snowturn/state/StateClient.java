package org.snowturn.state;

import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.net.HttpCaller;

/**
 * The client of the state service. It keeps this node's share of the request rate; what exceeds it
 * is refused at once, since a late answer helps nobody. What the node's authority rests on has
 * connections of its own and always passes, whatever else is under way.
 */
public final class StateClient {
  /** One node may use this share of the common rate; the rest is the other nodes'. */
  private static final double SHARE = 0.7;

  private final HttpCaller caller;
  private final HttpCaller watches;
  private final HttpCaller authority;
  private final double rate;
  private double budget;
  private long filledAtNanos = System.nanoTime();

  /** Uses three callers, so that neither watches nor bulk work keep the others waiting. */
  public StateClient(
      HttpCaller caller, HttpCaller watches, HttpCaller authority, Settings.StateLimits limits) {
    this.authority = authority;
    this.caller = caller;
    this.watches = watches;
    this.rate = limits.rps() * SHARE;
    this.budget = rate;
  }

  /** Makes the call and hands in its reply. */
  public void call(Effect.Call c, Consumer<Input> reply) {
    boolean always = c.target() == Effect.Target.AUTHORITY;
    if (!spend() && !always) {
      reply.accept(new Input.Reply(c.id(), Outcome.REFUSED, 429, null));
      return;
    }
    HttpCaller via =
        switch (c.target()) {
          case AUTHORITY -> authority;
          case STATE_WATCH -> watches;
          default -> caller;
        };
    via.call(c, reply);
  }

  private boolean spend() {
    long now = System.nanoTime();
    budget = Math.min(rate, budget + rate * (now - filledAtNanos) / 1e9);
    filledAtNanos = now;
    if (budget < 1) {
      return false;
    }
    budget -= 1;
    return true;
  }
}
