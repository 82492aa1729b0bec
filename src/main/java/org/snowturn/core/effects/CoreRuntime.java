package org.snowturn.core.effects;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.admission.StateRequestBudget;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Collects the effects of the present input, and remembers what to do with each reply and when a
 * timer expires. Only the core's thread may use it.
 */
public final class CoreRuntime {
  /** Continues after a reply. */
  public interface ReplyHandler {
    /** Takes the reply; status and body are only meaningful if the outcome is an answer. */
    void onReply(Outcome outcome, int status, JsonNode body);
  }

  private static final long MIN_RETRY_DELAY_MS = 50;
  private static final long MAX_RETRY_DELAY_MS = 2_000;
  private static final int TOO_MANY_REQUESTS = 429;

  private record Timer(long at, long order, Runnable run) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** A call that has no reply yet. */
  private record OpenCall(ReplyHandler then, boolean countsRequests) {}

  private final Map<Long, OpenCall> openCalls = new HashMap<>();
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
  public void setStateRequestBudget(StateRequestBudget requestBudget) {
    budget = requestBudget;
  }

  /** The source of all random draws of this node. */
  public RandomGenerator random() {
    return random;
  }

  /** The monotonic time of the present input, in milliseconds. */
  public long now() {
    return now;
  }

  /** Delays between the tries of one call. */
  public Backoff backoff() {
    return backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
  }

  /** The same between other bounds, in milliseconds. */
  public Backoff backoff(long minMs, long maxMs) {
    return new Backoff(random, minMs, maxMs);
  }

  /** What the reply that is being handled asks for, in milliseconds; 0 if nothing. */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /** While a failed reply is handled: repeats the call after the delay that is due. */
  public void retry(Backoff backoff, Runnable run) {
    schedule(backoff.next(retryAfterMs), run);
  }

  /** Runs something at the first tick after this delay, in milliseconds. */
  public void schedule(long ms, Runnable run) {
    timers.add(new Timer(now + ms, timerOrder++, run));
  }

  /** Runs the timers that have expired. */
  public void tick() {
    while (!timers.isEmpty() && timers.peek().at <= now) {
      timers.poll().run.run();
    }
  }

  /** The time of day of the present input, in milliseconds since the epoch. */
  public long wallMs() {
    return wallMs;
  }

  /** Sets both clocks for the next input. */
  public void setTime(long nowMs, long wallMs) {
    now = nowMs;
    this.wallMs = wallMs;
  }

  /** A read or write of a term; see {@link #readState} and {@link #writeState}. */
  public void callState(
      String method, String path, JsonNode body, int timeoutMs, ReplyHandler then) {
    callState(RequestClass.WORK, method, path, body, timeoutMs, then);
  }

  /** A call to the state service, if the request budget allows it; else it counts as refused. */
  public void callState(
      RequestClass purpose,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      ReplyHandler then) {
    if (withinBudget(purpose, then)) {
      call(Effect.Target.STATE, null, method, path, body, timeoutMs, then);
    }
  }

  /**
   * Reads from the state service for a term.
   *
   * @param path of a key or a range, from {@link StateMessage}
   */
  public void readState(String path, int timeoutMs, Consumer<StateReply> then) {
    readState(RequestClass.WORK, path, timeoutMs, then);
  }

  /**
   * Reads from the state service.
   *
   * @param path of a key or a range, from {@link StateMessage}
   */
  public void readState(
      RequestClass purpose, String path, int timeoutMs, Consumer<StateReply> then) {
    callState(purpose, "GET", path, null, timeoutMs, typed(then));
  }

  /** Makes the changes for a term in one transaction if all conditions hold (compare-and-swap). */
  public void writeState(
      List<Condition> conditions, List<Change> changes, int timeoutMs, Consumer<StateReply> then) {
    writeState(RequestClass.WORK, conditions, changes, timeoutMs, then);
  }

  /** Makes the changes in one transaction if all conditions hold (compare-and-swap). */
  public void writeState(
      RequestClass purpose,
      List<Condition> conditions,
      List<Change> changes,
      int timeoutMs,
      Consumer<StateReply> then) {
    JsonNode body = StateMessage.transaction(conditions, changes);
    callState(purpose, "POST", StateMessage.TXN_PATH, body, timeoutMs, typed(then));
  }

  private static ReplyHandler typed(Consumer<StateReply> then) {
    return (outcome, status, body) -> then.accept(new StateReply(outcome, status, body));
  }

  /** A question for changes, which may be held open. */
  public void watchState(RequestClass purpose, String path, int timeoutMs, ReplyHandler then) {
    if (withinBudget(purpose, then)) {
      call(Effect.Target.STATE_WATCH, null, "GET", path, null, timeoutMs, then);
    }
  }

  private boolean withinBudget(RequestClass purpose, ReplyHandler then) {
    if (budget == null || budget.tryAcquire(purpose, now)) {
      return true;
    }
    rejected.add(then);
    return false;
  }

  /**
   * Tells who asked that calls were refused here. Not at once: nobody expects an answer while still
   * asking.
   */
  public void deliverBudgetRefusals() {
    List<ReplyHandler> all = rejected;
    rejected = new ArrayList<>();
    all.forEach(handler -> handler.onReply(Outcome.REFUSED, 0, null));
  }

  /** A call on which this node's authority rests: it waits for no others. */
  public void callForAuthority(
      String method, String path, JsonNode body, int timeoutMs, ReplyHandler then) {
    withinBudget(RequestClass.AUTHORITY, then);
    call(Effect.Target.AUTHORITY, null, method, path, body, timeoutMs, then);
  }

  /**
   * A call to another service.
   *
   * @param addr the worker's address; null for the other targets
   * @param body null for none
   */
  public void call(
      Effect.Target target,
      String addr,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      ReplyHandler then) {
    long id = nextId++;
    boolean changes = path.equals(StateMessage.TXN_PATH); // refused for either rate
    boolean state = target != Effect.Target.CLOUD && target != Effect.Target.WORKER;
    openCalls.put(id, new OpenCall(then, state && !changes));
    effects.add(new Effect.Call(id, target, addr, method, path, body, timeoutMs));
  }

  /** Answers a request; {@code body} may be null. */
  public void answer(long exchange, int status, JsonNode body) {
    effects.add(new Effect.Answer(exchange, status, body, 0));
  }

  /** Answers a request that is to be made again after some seconds. */
  public void answerUnavailable(long exchange, int status, int retryAfterS) {
    effects.add(new Effect.Answer(exchange, status, null, retryAfterS));
  }

  /** Sends a message to all peers. */
  public void broadcast(PeerMessage message) {
    effects.add(new Effect.Broadcast(message));
  }

  /** Structured lines for the log. */
  public EventLog events() {
    return events;
  }

  /** Hands a reply to whoever made the call. */
  public void handleReply(Input.Reply reply) {
    OpenCall open = openCalls.remove(reply.call());
    if (open != null) {
      if (reply.status() == TOO_MANY_REQUESTS && open.countsRequests && budget != null) {
        budget.refusedThere(now);
      }
      retryAfterMs = reply.retryAfterMs();
      open.then.onReply(reply.outcome(), reply.status(), reply.body());
      retryAfterMs = 0;
    }
  }

  /** All effects since the last time. */
  public List<Effect> drainEffects() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
