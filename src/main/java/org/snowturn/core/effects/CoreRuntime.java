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
 * The core's access to calls, timers, clocks and the log. It collects the effects of the current
 * input and keeps the handlers of open calls. It is not thread-safe: only the core's thread may use
 * it.
 */
public final class CoreRuntime {
  /** A handler of the reply to a call. */
  public interface ReplyHandler {
    /**
     * Handles the reply.
     *
     * @param outcome whether the call was answered, and if not, whether it may have been executed
     * @param status the HTTP status; only meaningful if the call was answered
     * @param body the body of the answer; may be null
     */
    void onReply(Outcome outcome, int status, JsonNode body);
  }

  private static final long MIN_RETRY_DELAY_MS = 50;
  private static final long MAX_RETRY_DELAY_MS = 2_000;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;

  /**
   * An action that runs at the first tick at or after a time.
   *
   * @param atMs the monotonic time in milliseconds
   * @param order the number of the timer, which orders timers of the same time
   * @param action the action to run
   */
  private record Timer(long atMs, long order, Runnable action) implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
    }
  }

  /**
   * A call without a reply yet.
   *
   * @param replyHandler the handler of the reply
   * @param isLimitedByRequests whether a status 429 always means that the state service's limit on
   *     requests was exceeded
   */
  private record OpenCall(ReplyHandler replyHandler, boolean isLimitedByRequests) {}

  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private StateRequestBudget budget;

  /**
   * Handlers of calls that exceeded the request budget. They receive a refusal after the current
   * input has been handled.
   */
  private List<ReplyHandler> overBudgetHandlers = new ArrayList<>();

  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final RandomGenerator random;
  private long nextTimerOrder;
  private long retryAfterMs;
  private List<Effect> effects = new ArrayList<>();
  private final EventLog events = new EventLog(effect -> effects.add(effect), this::wallMs);
  private long nextCallId = 1;
  private long now;
  private long wallMs;

  /**
   * Creates a runtime without timers or open calls.
   *
   * @param seed the seed of all random numbers of this node
   */
  public CoreRuntime(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Sets the budget that limits calls to the state service from now on. */
  public void setStateRequestBudget(StateRequestBudget requestBudget) {
    budget = requestBudget;
  }

  /** Returns the source of all random numbers of this node. */
  public RandomGenerator random() {
    return random;
  }

  /** Returns the monotonic time of the current input, in milliseconds. */
  public long now() {
    return now;
  }

  /** Returns a new back-off for one call, with the default bounds. */
  public Backoff backoff() {
    return backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
  }

  /**
   * Returns a new back-off for one call.
   *
   * @param minMs the upper bound of the first delay, in milliseconds
   * @param maxMs the upper bound of all delays that no reply requests, in milliseconds
   */
  public Backoff backoff(long minMs, long maxMs) {
    return new Backoff(random, minMs, maxMs);
  }

  /**
   * Returns the delay before a retry that the reply being handled requests, in milliseconds. It is
   * 0 if the reply requests none, or if no reply is being handled.
   */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /**
   * Schedules a retry of the call whose failed reply is being handled. The delay is the next of the
   * back-off, or the one that the reply requests if that is longer.
   */
  public void retry(Backoff backoff, Runnable action) {
    schedule(backoff.nextDelayMs(retryAfterMs), action);
  }

  /**
   * Schedules an action for the first tick after a delay.
   *
   * @param delayMs the delay in milliseconds
   */
  public void schedule(long delayMs, Runnable action) {
    timers.add(new Timer(now + delayMs, nextTimerOrder++, action));
  }

  /** Runs the timers that have expired. */
  public void tick() {
    while (!timers.isEmpty() && timers.peek().atMs <= now) {
      timers.poll().action.run();
    }
  }

  /** Returns the wall-clock time of the current input, in milliseconds since the epoch. */
  public long wallMs() {
    return wallMs;
  }

  /** Sets both clocks for the next input. */
  public void setTime(long nowMs, long wallMs) {
    now = nowMs;
    this.wallMs = wallMs;
  }

  /**
   * Calls the state service on behalf of a term. Where they suffice, {@link #readState} and {@link
   * #writeState} are simpler.
   */
  public void callState(
      String method, String path, JsonNode body, int timeoutMs, ReplyHandler replyHandler) {
    callState(RequestClass.WORK, method, path, body, timeoutMs, replyHandler);
  }

  /**
   * Calls the state service. A call that exceeds the request budget is refused without being made.
   */
  public void callState(
      RequestClass requestClass,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      ReplyHandler replyHandler) {
    if (tryAcquireBudget(requestClass, replyHandler)) {
      call(Effect.Target.STATE, null, method, path, body, timeoutMs, replyHandler);
    }
  }

  /**
   * Reads from the state service on behalf of a term.
   *
   * @param path the path of a key or a range, from {@link StateMessage}
   */
  public void readState(String path, int timeoutMs, Consumer<StateReply> replyHandler) {
    readState(RequestClass.WORK, path, timeoutMs, replyHandler);
  }

  /**
   * Reads from the state service.
   *
   * @param path the path of a key or a range, from {@link StateMessage}
   */
  public void readState(
      RequestClass requestClass, String path, int timeoutMs, Consumer<StateReply> replyHandler) {
    callState(requestClass, "GET", path, null, timeoutMs, toReplyHandler(replyHandler));
  }

  /** Applies changes for a term in one transaction if all conditions hold (compare-and-swap). */
  public void writeState(
      List<Condition> conditions,
      List<Change> changes,
      int timeoutMs,
      Consumer<StateReply> replyHandler) {
    writeState(RequestClass.WORK, conditions, changes, timeoutMs, replyHandler);
  }

  /** Applies changes in one transaction if all conditions hold (compare-and-swap). */
  public void writeState(
      RequestClass requestClass,
      List<Condition> conditions,
      List<Change> changes,
      int timeoutMs,
      Consumer<StateReply> replyHandler) {
    JsonNode body = StateMessage.transaction(conditions, changes);
    callState(
        requestClass, "POST", StateMessage.TXN_PATH, body, timeoutMs, toReplyHandler(replyHandler));
  }

  private static ReplyHandler toReplyHandler(Consumer<StateReply> replyHandler) {
    return (outcome, status, body) -> replyHandler.accept(new StateReply(outcome, status, body));
  }

  /** Watches for changes by a long poll, which the state service may hold open. */
  public void watchState(
      RequestClass requestClass, String path, int timeoutMs, ReplyHandler replyHandler) {
    if (tryAcquireBudget(requestClass, replyHandler)) {
      call(Effect.Target.STATE_WATCH, null, "GET", path, null, timeoutMs, replyHandler);
    }
  }

  /** Takes one call out of the budget. Returns false and queues a refusal if none is left. */
  private boolean tryAcquireBudget(RequestClass requestClass, ReplyHandler replyHandler) {
    if (budget == null || budget.tryAcquire(requestClass, now)) {
      return true;
    }
    overBudgetHandlers.add(replyHandler);
    return false;
  }

  /**
   * Delivers a refusal to the handler of each call that exceeded the request budget. This is done
   * after the current input, so that no handler runs while its call is still being made.
   */
  public void deliverBudgetRefusals() {
    List<ReplyHandler> handlers = overBudgetHandlers;
    overBudgetHandlers = new ArrayList<>();
    handlers.forEach(handler -> handler.onReply(Outcome.REFUSED, 0, null));
  }

  /**
   * Makes a call that this node's authority depends on. The call counts towards the request budget,
   * which never refuses it.
   */
  public void callForAuthority(
      String method, String path, JsonNode body, int timeoutMs, ReplyHandler replyHandler) {
    tryAcquireBudget(RequestClass.AUTHORITY, replyHandler);
    call(Effect.Target.AUTHORITY, null, method, path, body, timeoutMs, replyHandler);
  }

  /**
   * Calls another service or a worker.
   *
   * @param address the worker's address; null for other targets
   * @param body the request body; null if there is none
   */
  public void call(
      Effect.Target target,
      String address,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      ReplyHandler replyHandler) {
    long id = nextCallId++;
    // A transaction can be refused for the limit on requests as well as for that on changes.
    boolean isTransaction = path.equals(StateMessage.TXN_PATH);
    boolean isStateCall = target != Effect.Target.CLOUD && target != Effect.Target.WORKER;
    openCalls.put(id, new OpenCall(replyHandler, isStateCall && !isTransaction));
    effects.add(new Effect.Call(id, target, address, method, path, body, timeoutMs));
  }

  /**
   * Answers a request.
   *
   * @param exchange the id of the request
   * @param body the body of the answer; may be null
   */
  public void answer(long exchange, int status, JsonNode body) {
    effects.add(new Effect.Answer(exchange, status, body, 0));
  }

  /**
   * Answers a request that the client is to repeat later.
   *
   * @param exchange the id of the request
   * @param retryAfterS the delay before the repetition, in seconds
   */
  public void answerUnavailable(long exchange, int status, int retryAfterS) {
    effects.add(new Effect.Answer(exchange, status, null, retryAfterS));
  }

  /** Sends a message to all peers. */
  public void broadcast(PeerMessage message) {
    effects.add(new Effect.Broadcast(message));
  }

  /** Returns the structured log. */
  public EventLog events() {
    return events;
  }

  /** Passes a reply to the handler of its call. */
  public void handleReply(Input.Reply reply) {
    OpenCall openCall = openCalls.remove(reply.callId());
    if (openCall != null) {
      if (reply.status() == STATUS_TOO_MANY_REQUESTS
          && openCall.isLimitedByRequests
          && budget != null) {
        budget.onServiceRefusal(now);
      }
      retryAfterMs = reply.retryAfterMs();
      openCall.replyHandler.onReply(reply.outcome(), reply.status(), reply.body());
      retryAfterMs = 0;
    }
  }

  /** Returns and clears the effects collected since the last call. */
  public List<Effect> drainEffects() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
