package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RateMeter;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Groups the leader's writes into transactions within the state service's limits.
 *
 * <p>Every transaction carries the leader key's version, and each key's own last version: one that
 * is executed late, after this leader has lost its place or has written the key again, changes
 * nothing. A reply that never came is settled by reading.
 */
public final class RecordWriter {
  /** Slots of this urgency or more can wait a while. */
  public static final int CAN_WAIT = 20;

  /** The share of the budget that is kept for slots that cannot wait. */
  private static final double KEPT = 0.4;

  /**
   * So long a slot stands behind more urgent ones; then one in so many goes first. In a flood of
   * one priority there is always a slot of that one, and those below it would never be written.
   */
  private static final long PATIENCE_MS = 1_500;

  private static final long PATIENCE_CAN_WAIT_MS = 15_000;
  private static final int ONE_IN = 5;

  /**
   * What has waited so long for spare changes goes, one at a time: a leader that always has
   * something to write would never clear away cancelled jobs, and each next leader read them all.
   */
  private static final long SPARE_PATIENCE_MS = 10_000;

  private static final long SPARE_EVERY_MS = 2_000;

  private static final int TIMEOUT_MS = 1500;
  private static final int IN_FLIGHT = 3;
  private static final int MAX_BYTES = 40_000;

  /** When a whole transaction's turn comes. */
  public enum Turn {
    /** Before all others: somebody has been told that it will happen soon. */
    FIRST,
    /** Before all slots. */
    NEXT,
    /** With what no slot that cannot wait has a use for. */
    SPARE
  }

  /** A transaction of its own that begins or ends something. */
  private record Special(
      Turn turn,
      List<Condition> when,
      List<Change> apply,
      CoreRuntime.ReplyHandler then,
      long since) {}

  /** What the writer needs of the leader. */
  public interface Host {
    boolean hasAuthority();

    /** Whether the term is over for good. */
    boolean over();

    long token();

    void leaderKeyLost();

    void guardFailed(String key);

    /** The state service finds a value too long, or wrong in another way. */
    void notTaken(String key);
  }

  private final CoreRuntime runtime;
  private final Host host;
  private final Supplier<Settings.StateLimits> limits;
  private final DoubleUnaryOperator share;
  private final Map<String, PendingRecord> slots = new HashMap<>();
  private final TreeMap<Integer, LinkedHashMap<String, PendingRecord>> dirty = new TreeMap<>();
  private final Map<Turn, ArrayDeque<Special>> specials = new EnumMap<>(Turn.class);
  private final RateMeter spent = new RateMeter(3_000);
  private double budget;
  private long filledAt;
  private int inFlight;
  private int mostTogether = Integer.MAX_VALUE;
  private long pauseUntil;
  private boolean slotsTurn;
  private long nextSpareAt;

  /** How many slots went since one that had waited long did. */
  private int passed;

  /**
   * Has nothing to write yet.
   *
   * @param limits may become smaller at any time
   * @param share of so many changes a second for all, those that this leader may make now
   */
  public RecordWriter(
      CoreRuntime runtime,
      Host host,
      Supplier<Settings.StateLimits> limits,
      DoubleUnaryOperator share) {
    this.share = share;
    this.runtime = runtime;
    this.host = host;
    this.limits = limits;
    this.budget = rate();
    this.filledAt = runtime.now();
    for (Turn t : Turn.values()) {
      specials.put(t, new ArrayDeque<>());
    }
  }

  /** Whether the term that it writes for is over. */
  public boolean over() {
    return host.over();
  }

  /** The changes a second that are the leader's: the rest is for the users of all nodes. */
  private double rate() {
    return share.applyAsDouble(limits.get().writeRps());
  }

  public PendingRecord slot(
      String key, long stamp, Supplier<JsonNode> content, Supplier<Condition> guard) {
    return slots.computeIfAbsent(key, k -> new PendingRecord(k, stamp, content, guard));
  }

  public void forget(PendingRecord record) {
    unqueue(record);
    slots.remove(record.key);
  }

  /** Asks for the slot's content to be written; smaller urgencies go first. */
  public void mark(PendingRecord record, int urgency, Runnable onDurable) {
    if (onDurable != null) {
      record.onDurable.add(onDurable);
    }
    if (!record.dirty || urgency < record.urgency) {
      record.since = record.dirty ? record.since : runtime.now();
      unqueue(record);
      record.dirty = true;
      record.urgency = urgency;
      dirty.computeIfAbsent(urgency, u -> new LinkedHashMap<>()).put(record.key, record);
    }
  }

  /** Queues one whole transaction; the leader key's condition is added. */
  public void whole(
      Turn turn, List<Condition> when, List<Change> apply, CoreRuntime.ReplyHandler then) {
    specials.get(turn).add(new Special(turn, when, apply, then, runtime.now()));
  }

  /** Removes records that no longer mean anything, when there is time for it. */
  public void drop(List<Condition> when, List<Change> drops) {
    int most = Math.max(1, limits.get().txnOps());
    for (int i = 0; i < drops.size(); i += most) {
      whole(Turn.SPARE, when, drops.subList(i, Math.min(drops.size(), i + most)), (o, s, b) -> {});
    }
  }

  /** Takes a slot out of the queue: its content is about to be removed. */
  public void clear(PendingRecord record) {
    unqueue(record);
    record.onDurable.clear();
  }

  private void unqueue(PendingRecord record) {
    if (record.dirty) {
      LinkedHashMap<String, PendingRecord> queue = dirty.get(record.urgency);
      queue.remove(record.key);
      if (queue.isEmpty()) {
        dirty.remove(record.urgency);
      }
      record.dirty = false;
      record.urgency = Integer.MAX_VALUE;
    }
  }

  /** Whether what cannot wait is queueing up. */
  public boolean pressed() {
    return specials.get(Turn.NEXT).size() > 1 || (budget < rate() * KEPT && urgentWaits());
  }

  private boolean urgentWaits() {
    return !dirty.isEmpty() && dirty.firstKey() < CAN_WAIT;
  }

  /** Changes a second that this term has made lately. */
  public double spent() {
    return spent.perSecond(runtime.now());
  }

  public int waiting() {
    int n = 0;
    for (var q : dirty.values()) {
      n += q.size();
    }
    return n;
  }

  public void flush() {
    long now = runtime.now();
    double rate = rate();
    budget = Math.min(rate, budget + rate * (now - filledAt) / 1000.0);
    filledAt = now;
    while (inFlight < IN_FLIGHT && now >= pauseUntil && host.hasAuthority() && sendOne()) {
      // each pass sends one transaction
    }
  }

  private boolean sendOne() {
    Special special = specials.get(Turn.FIRST).peek();
    if (special != null) {
      return send(special, 0);
    }
    special = specials.get(Turn.SPARE).peek();
    if (special != null
        && runtime.now() - special.since > SPARE_PATIENCE_MS
        && runtime.now() >= nextSpareAt
        && send(special, 0)) {
      nextSpareAt = runtime.now() + SPARE_EVERY_MS;
      return true;
    }
    special = specials.get(Turn.NEXT).peek();
    if (special != null) {
      // In turn with placements: after an outage hundreds of jobs are over at once, and their
      // records alone would keep every start waiting for seconds.
      if (urgentWaits() && slotsTurn && sendSlots()) {
        slotsTurn = false;
        return true;
      }
      boolean sent = send(special, 0);
      slotsTurn |= sent;
      return sent;
    }
    if (sendSlots()) {
      return true;
    }
    special = specials.get(Turn.SPARE).peek();
    return special != null && send(special, rate() * KEPT);
  }

  /** Sends a whole transaction if that leaves so much of the budget to others. */
  private boolean send(Special special, double left) {
    int cost = special.apply.size();
    if (budget - left < Math.min(cost, rate() - left)) {
      return false;
    }
    specials.get(special.turn).poll();
    budget -= cost;
    spent.add(cost, runtime.now());
    inFlight++;
    List<Condition> when = new ArrayList<>(special.when);
    when.add(0, new Condition(StorageKeys.LEADER, host.token()));
    runtime.callState(
        "POST",
        "/txn",
        StateMessage.txn(when, special.apply),
        TIMEOUT_MS,
        (outcome, status, body) -> {
          inFlight--;
          if (outcome == Outcome.REFUSED) {
            pauseUntil = runtime.now() + 200;
            specials.get(special.turn).addFirst(special);
          } else if (outcome == Outcome.ANSWERED
              && status == 409
              && StateMessage.failed(body).contains(StorageKeys.LEADER)) {
            host.leaderKeyLost();
          } else {
            special.then.on(outcome, status, body);
          }
        });
    return true;
  }

  private boolean sendSlots() {
    List<PendingRecord> taken = new ArrayList<>();
    List<Condition> when = new ArrayList<>();
    List<Change> apply = new ArrayList<>();
    when.add(new Condition(StorageKeys.LEADER, host.token()));
    Map<String, Condition> guards = new LinkedHashMap<>();
    int most = (int) Math.min(Math.min(limits.get().txnOps(), mostTogether), Math.floor(budget));
    int canWait = mostThatCanWait();
    int bytes = 0;
    PendingRecord overdue = most < 1 ? null : overdue();
    List<PendingRecord> first = overdue == null ? List.of() : List.of(overdue);
    List<Collection<PendingRecord>> queues = new ArrayList<>();
    queues.add(first);
    dirty.values().forEach(q -> queues.add(q.values()));
    outer:
    for (Collection<PendingRecord> queue : queues) {
      for (PendingRecord record : queue) {
        boolean urgent = record.urgency < CAN_WAIT || record == overdue;
        boolean enough = taken.size() >= (urgent ? most : canWait);
        if (enough || taken.size() >= most || bytes > MAX_BYTES) {
          break outer;
        }
        if (record.inFlight || (record == overdue && queue != first)) {
          continue;
        }
        JsonNode value = record.content.get();
        int size = value == null ? 50 : Json.bytes(value).length + 250;
        if (!taken.isEmpty() && bytes + size > MAX_BYTES) {
          continue;
        }
        bytes += size;
        taken.add(record);
        when.add(new Condition(record.key, record.stamp));
        apply.add(new Change(record.key, value, 0));
        Condition g = record.guard.get();
        if (g != null) {
          guards.put(g.key(), g);
        }
      }
    }
    if (taken.isEmpty()) {
      return false;
    }
    passed = taken.get(0) == overdue ? 0 : passed + taken.size();
    when.addAll(guards.values());
    budget -= taken.size();
    spent.add(taken.size(), runtime.now());
    inFlight++;
    List<List<Runnable>> actions = new ArrayList<>();
    List<Integer> urgencies = new ArrayList<>();
    for (PendingRecord record : taken) {
      urgencies.add(record.urgency);
      unqueue(record);
      record.inFlight = true;
      actions.add(record.onDurable);
      record.onDurable = new ArrayList<>();
    }
    runtime.callState(
        "POST",
        "/txn",
        StateMessage.txn(when, apply),
        TIMEOUT_MS,
        (outcome, status, body) ->
            settle(taken, apply, actions, urgencies, guards, outcome, status, body));
    return true;
  }

  /** The slot that has waited longest for its urgency behind others; null if none has its turn. */
  private PendingRecord overdue() {
    if (passed < ONE_IN - 1) {
      return null;
    }
    PendingRecord found = null;
    double longest = 1;
    boolean front = true;
    for (var queue : dirty.entrySet()) {
      PendingRecord head = null;
      for (PendingRecord record : queue.getValue().values()) {
        if (!record.inFlight) {
          head = record;
          break;
        }
      }
      boolean canWait = queue.getKey() >= CAN_WAIT;
      double patience = canWait ? PATIENCE_CAN_WAIT_MS : PATIENCE_MS;
      if (!front && head != null && (runtime.now() - head.since) / patience > longest) {
        longest = (runtime.now() - head.since) / patience;
        found = head;
      }
      front = false;
    }
    return found;
  }

  /**
   * How many slots that can wait the next transaction may hold in all: they leave a share of the
   * budget to placements, which else would find it spent on results, and go several at a time.
   */
  private int mostThatCanWait() {
    int left = (int) Math.floor(budget - rate() * KEPT);
    int enough = Math.min(waiting(), Math.max(1, limits.get().txnOps() / 2));
    return left < enough ? 0 : left;
  }

  private void settle(
      List<PendingRecord> taken,
      List<Change> apply,
      List<List<Runnable>> actions,
      List<Integer> urgencies,
      Map<String, Condition> guards,
      Outcome outcome,
      int status,
      JsonNode body) {
    inFlight--;
    if (outcome == Outcome.ANSWERED && status == 200) {
      try {
        long epoch = StateMessage.epoch(body);
        for (int i = 0; i < taken.size(); i++) {
          PendingRecord record = taken.get(i);
          record.inFlight = false;
          record.stamp = apply.get(i).value() == null ? 0 : epoch;
        }
        actions.forEach(list -> list.forEach(Runnable::run));
        return;
      } catch (MalformedException e) {
        runtime.note("unusable reply to a write: " + e.getMessage());
      }
    }
    if (outcome == Outcome.ANSWERED && status == 400 && taken.size() == 1) {
      // The same again would be refused for ever: it waits until there is something else to write.
      PendingRecord record = taken.get(0);
      record.onDurable.addAll(0, actions.get(0));
      record.inFlight = false;
      mostTogether = Integer.MAX_VALUE; // it was this value, not the number of changes
      runtime.note("the state service will not have " + record.key + ": " + body);
      host.notTaken(record.key);
      return;
    }
    for (int i = 0; i < taken.size(); i++) {
      PendingRecord record = taken.get(i);
      record.onDurable.addAll(0, actions.get(i));
      mark(record, urgencies.get(i), null);
    }
    if (outcome == Outcome.ANSWERED && status == 400) {
      // Too many changes, or one of them too long: fewer at a time tell which.
      mostTogether = Math.max(1, taken.size() / 2);
      runtime.note("the state service will not have " + taken.size() + " changes at once: " + body);
      taken.forEach(record -> record.inFlight = false);
      return;
    }
    if (outcome == Outcome.REFUSED) {
      taken.forEach(record -> record.inFlight = false);
      pauseUntil = runtime.now() + 200;
      return;
    }
    List<String> failed =
        outcome == Outcome.ANSWERED && status == 409 ? StateMessage.failed(body) : List.of();
    if (failed.contains(StorageKeys.LEADER)) {
      host.leaderKeyLost();
      return;
    }
    for (String key : failed) {
      if (guards.containsKey(key)) {
        host.guardFailed(key);
      }
    }
    if (failed.isEmpty()) {
      pauseUntil = runtime.now() + 100;
      taken.forEach(this::reread);
    } else {
      for (PendingRecord record : taken) {
        if (failed.contains(record.key)) {
          reread(record);
        } else {
          record.inFlight = false;
        }
      }
    }
  }

  /** Learns a key's present version; the slot stays in flight until then. */
  private void reread(PendingRecord record) {
    reread(record, runtime.backoff());
  }

  private void reread(PendingRecord record, Backoff backoff) {
    runtime.callState("GET", "/kv/" + record.key, null, TIMEOUT_MS, rereadThen(record, backoff));
  }

  private CoreRuntime.ReplyHandler rereadThen(PendingRecord record, Backoff backoff) {
    return (outcome, status, body) -> {
      if (outcome == Outcome.ANSWERED && status == 404) {
        record.stamp = 0;
        record.inFlight = false;
        return;
      }
      if (outcome == Outcome.ANSWERED && status == 200) {
        try {
          record.stamp = StateMessage.entry(body).stamp();
          record.inFlight = false;
          return;
        } catch (MalformedException e) {
          runtime.note("unusable reply for " + record.key + ": " + e.getMessage());
        }
      }
      if (!host.over()) {
        runtime.retry(backoff, () -> reread(record, backoff));
      }
    };
  }
}
