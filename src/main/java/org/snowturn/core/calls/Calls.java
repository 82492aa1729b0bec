package org.snowturn.core.calls;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.admission.Purpose;
import org.snowturn.core.admission.StateBudget;
import org.snowturn.core.recovery.Backoff;

/** Collects effects, and remembers what to do with each reply and when a time has come. */
public final class Calls {
  /** Continues after a reply. */
  public interface Then {
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

  /** A call that has no reply yet. */
  private record Open(Then then, boolean countsRequests) {}

  private final Map<Long, Open> waiting = new HashMap<>();
  private StateBudget budget;

  /**
   * Calls that were not made for want of budget: told as refused once the present input is over.
   */
  private List<Then> notMade = new ArrayList<>();

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final RandomGenerator random;
  private long timerOrder;
  private long retryAfterMs;
  private List<Effect> effects = new ArrayList<>();
  private final EventLog events = new EventLog(e -> effects.add(e), this::wall);
  private long nextId = 1;
  private long now;
  private long wall;

  /** All that is drawn at random is drawn from this seed. */
  public Calls(long seed) {
    random = new SplittableRandom(seed);
  }

  /** From now on, calls to the state service have to find room in this. */
  public void keep(StateBudget b) {
    budget = b;
  }

  public RandomGenerator random() {
    return random;
  }

  public long now() {
    return now;
  }

  /** Delays between the tries of one call. */
  public Backoff backoff() {
    return backoff(AGAIN_LEAST_MS, AGAIN_MOST_MS);
  }

  /** The same between other bounds, in milliseconds. */
  public Backoff backoff(long leastMs, long mostMs) {
    return new Backoff(random, leastMs, mostMs);
  }

  /** What the reply that is being handled asks for, in milliseconds; 0 if nothing. */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /** In the handling of a reply that failed: does it once more when it is time. */
  public void again(Backoff backoff, Runnable run) {
    after(backoff.next(retryAfterMs), run);
  }

  /** Does something at the first tick after this time, in milliseconds. */
  public void after(long ms, Runnable run) {
    timers.add(new Timer(now + ms, timerOrder++, run));
  }

  /** Time has passed. */
  public void tick() {
    while (!timers.isEmpty() && timers.peek().at <= now) {
      timers.poll().run.run();
    }
  }

  public long wall() {
    return wall;
  }

  public void at(long nowMs, long wallMs) {
    now = nowMs;
    wall = wallMs;
  }

  /** What a term reads or writes. */
  public void state(String method, String path, JsonNode body, int timeoutMs, Then then) {
    state(Purpose.WORK, method, path, body, timeoutMs, then);
  }

  public void state(
      Purpose purpose, String method, String path, JsonNode body, int timeoutMs, Then then) {
    if (mayAsk(purpose, then)) {
      call(Effect.Target.STATE, null, method, path, body, timeoutMs, then);
    }
  }

  /** A question for changes, which may be held open. */
  public void watch(Purpose purpose, String path, int timeoutMs, Then then) {
    if (mayAsk(purpose, then)) {
      call(Effect.Target.STATE_WATCH, null, "GET", path, null, timeoutMs, then);
    }
  }

  private boolean mayAsk(Purpose purpose, Then then) {
    if (budget == null || budget.take(purpose, now)) {
      return true;
    }
    notMade.add(then);
    return false;
  }

  /**
   * Tells who asked that calls were refused here. Not at once: nobody expects an answer while still
   * asking.
   */
  public void settle() {
    List<Then> all = notMade;
    notMade = new ArrayList<>();
    all.forEach(t -> t.on(Outcome.REFUSED, 0, null));
  }

  /** A call on which this node's authority rests: it waits for no others. */
  public void authority(String method, String path, JsonNode body, int timeoutMs, Then then) {
    mayAsk(Purpose.AUTHORITY, then);
    call(Effect.Target.AUTHORITY, null, method, path, body, timeoutMs, then);
  }

  public void call(
      Effect.Target target,
      String addr,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      Then then) {
    long id = nextId++;
    boolean changes = path.equals("/txn"); // refused for either rate
    boolean state = target != Effect.Target.CLOUD && target != Effect.Target.WORKER;
    waiting.put(id, new Open(then, state && !changes));
    effects.add(new Effect.Call(id, target, addr, method, path, body, timeoutMs));
  }

  public void answer(long exchange, int status, JsonNode body) {
    effects.add(new Effect.Answer(exchange, status, body, 0));
  }

  public void refuse(long exchange, int status, int retryAfterS) {
    effects.add(new Effect.Answer(exchange, status, null, retryAfterS));
  }

  public void toPeers(PeerRecord message) {
    effects.add(new Effect.ToPeers(message));
  }

  /** Structured lines for the log. */
  public EventLog events() {
    return events;
  }

  public void note(String text) {
    effects.add(new Effect.Note(text));
  }

  public void reply(Input.Reply r) {
    Open open = waiting.remove(r.call());
    if (open != null) {
      if (r.status() == 429 && open.countsRequests && budget != null) {
        budget.refusedThere(now);
      }
      retryAfterMs = r.retryAfterMs();
      open.then.on(r.outcome(), r.status(), r.body());
      retryAfterMs = 0;
    }
  }

  public List<Effect> drain() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
