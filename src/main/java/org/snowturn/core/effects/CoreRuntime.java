package org.snowturn.core.effects;

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
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.admission.StateRequestBudget;
import org.snowturn.core.recovery.Backoff;

/** Collects effects, and remembers what to do with each reply and when a time has come. */
public final class CoreRuntime {
  /** Continues after a reply. */
  public interface ReplyHandler {
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
  private record Open(ReplyHandler then, boolean countsRequests) {}

  private final Map<Long, Open> openCalls = new HashMap<>();
  private StateRequestBudget budget;

  /**
   * Calls that were not made for want of budget: told as refused once the present input is over.
   */
  private List<ReplyHandler> rejected = new ArrayList<>();

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final RandomGenerator random;
  private long timerOrder;
  private long retryAfterMs;
  private List<Effect> effects = new ArrayList<>();
  private final EventLog events = new EventLog(effect -> effects.add(effect), this::wallMs);
  private long nextId = 1;
  private long now;
  private long wallMs;

  /** All that is drawn at random is drawn from this seed. */
  public CoreRuntime(long seed) {
    random = new SplittableRandom(seed);
  }

  /** From now on, calls to the state service have to find room in this. */
  public void limitStateRequests(StateRequestBudget b) {
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
  public void retry(Backoff backoff, Runnable run) {
    schedule(backoff.next(retryAfterMs), run);
  }

  /** Does something at the first tick after this time, in milliseconds. */
  public void schedule(long ms, Runnable run) {
    timers.add(new Timer(now + ms, timerOrder++, run));
  }

  /** Time has passed. */
  public void tick() {
    while (!timers.isEmpty() && timers.peek().at <= now) {
      timers.poll().run.run();
    }
  }

  public long wallMs() {
    return wallMs;
  }

  public void setTime(long nowMs, long wallMs) {
    now = nowMs;
    this.wallMs = wallMs;
  }

  /** What a term reads or writes. */
  public void callState(
      String method, String path, JsonNode body, int timeoutMs, ReplyHandler then) {
    callState(RequestClass.WORK, method, path, body, timeoutMs, then);
  }

  public void callState(
      RequestClass purpose,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      ReplyHandler then) {
    if (mayAsk(purpose, then)) {
      call(Effect.Target.STATE, null, method, path, body, timeoutMs, then);
    }
  }

  /** A question for changes, which may be held open. */
  public void watchState(RequestClass purpose, String path, int timeoutMs, ReplyHandler then) {
    if (mayAsk(purpose, then)) {
      call(Effect.Target.STATE_WATCH, null, "GET", path, null, timeoutMs, then);
    }
  }

  private boolean mayAsk(RequestClass purpose, ReplyHandler then) {
    if (budget == null || budget.take(purpose, now)) {
      return true;
    }
    rejected.add(then);
    return false;
  }

  /**
   * Tells who asked that calls were refused here. Not at once: nobody expects an answer while still
   * asking.
   */
  public void rejectUnbudgeted() {
    List<ReplyHandler> all = rejected;
    rejected = new ArrayList<>();
    all.forEach(t -> t.on(Outcome.REFUSED, 0, null));
  }

  /** A call on which this node's authority rests: it waits for no others. */
  public void callForAuthority(
      String method, String path, JsonNode body, int timeoutMs, ReplyHandler then) {
    mayAsk(RequestClass.AUTHORITY, then);
    call(Effect.Target.AUTHORITY, null, method, path, body, timeoutMs, then);
  }

  public void call(
      Effect.Target target,
      String addr,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      ReplyHandler then) {
    long id = nextId++;
    boolean changes = path.equals("/txn"); // refused for either rate
    boolean state = target != Effect.Target.CLOUD && target != Effect.Target.WORKER;
    openCalls.put(id, new Open(then, state && !changes));
    effects.add(new Effect.Call(id, target, addr, method, path, body, timeoutMs));
  }

  public void answer(long exchange, int status, JsonNode body) {
    effects.add(new Effect.Answer(exchange, status, body, 0));
  }

  public void answerUnavailable(long exchange, int status, int retryAfterS) {
    effects.add(new Effect.Answer(exchange, status, null, retryAfterS));
  }

  public void broadcast(PeerMessage message) {
    effects.add(new Effect.Broadcast(message));
  }

  /** Structured lines for the log. */
  public EventLog events() {
    return events;
  }

  public void note(String text) {
    effects.add(new Effect.Note(text));
  }

  public void handleReply(Input.Reply reply) {
    Open open = openCalls.remove(reply.call());
    if (open != null) {
      if (reply.status() == 429 && open.countsRequests && budget != null) {
        budget.refusedThere(now);
      }
      retryAfterMs = reply.retryAfterMs();
      open.then.on(reply.outcome(), reply.status(), reply.body());
      retryAfterMs = 0;
    }
  }

  public List<Effect> drainEffects() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
