package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.snowturn.core.recovery.Backoff;

/** Collects effects, and remembers what to do with each reply and when a time has come. */
final class Calls {
  /** Continues after a reply. */
  interface Then {
    void on(Outcome outcome, int status, JsonNode body);
  }

  /** Failed calls to the outside are repeated after this long at first, and at the most. */
  private static final long AGAIN_LEAST_MS = 50;

  private static final long AGAIN_MOST_MS = 2_000;

  private record Timer(long at, long order, Runnable run) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  private final Map<Long, Then> waiting = new HashMap<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final RandomGenerator random;
  private long timerOrder;
  private long retryAfterMs;
  private List<Effect> effects = new ArrayList<>();
  private long nextId = 1;
  private long now;
  private long wall;

  /** All that is drawn at random is drawn from this seed. */
  Calls(long seed) {
    random = new SplittableRandom(seed);
  }

  long now() {
    return now;
  }

  /** Delays between the tries of one call. */
  Backoff backoff() {
    return backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS);
  }

  /** The same between other bounds, in milliseconds. */
  Backoff backoff(long leastMs, long mostMs) {
    return new Backoff(random, leastMs, mostMs);
  }

  /** What the reply that is being handled asks for, in milliseconds; 0 if nothing. */
  long retryAfterMs() {
    return retryAfterMs;
  }

  /** In the handling of a reply that failed: does it once more when it is time. */
  void again(Backoff backoff, Runnable run) {
    after(backoff.next(retryAfterMs), run);
  }

  /** Does something at the first tick after this time, in milliseconds. */
  void after(long ms, Runnable run) {
    timers.add(new Timer(now + ms, timerOrder++, run));
  }

  /** Time has passed. */
  void tick() {
    while (!timers.isEmpty() && timers.peek().at <= now) {
      timers.poll().run.run();
    }
  }

  long wall() {
    return wall;
  }

  void at(long nowMs, long wallMs) {
    now = nowMs;
    wall = wallMs;
  }

  void state(String method, String path, JsonNode body, int timeoutMs, Then then) {
    call(Effect.Target.STATE, null, method, path, body, timeoutMs, then);
  }

  /** A call on which this node's authority rests: it waits for no others. */
  void authority(String method, String path, JsonNode body, int timeoutMs, Then then) {
    call(Effect.Target.AUTHORITY, null, method, path, body, timeoutMs, then);
  }

  void call(
      Effect.Target target,
      String addr,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      Then then) {
    long id = nextId++;
    waiting.put(id, then);
    effects.add(new Effect.Call(id, target, addr, method, path, body, timeoutMs));
  }

  void answer(long exchange, int status, JsonNode body) {
    effects.add(new Effect.Answer(exchange, status, body, 0));
  }

  void refuse(long exchange, int status, int retryAfterS) {
    effects.add(new Effect.Answer(exchange, status, null, retryAfterS));
  }

  void toPeers(PeerRecord message) {
    effects.add(new Effect.ToPeers(message));
  }

  void note(String text) {
    effects.add(new Effect.Note(text));
  }

  void reply(Input.Reply r) {
    Then then = waiting.remove(r.call());
    if (then != null) {
      retryAfterMs = r.retryAfterMs();
      then.on(r.outcome(), r.status(), r.body());
      retryAfterMs = 0;
    }
  }

  List<Effect> drain() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
