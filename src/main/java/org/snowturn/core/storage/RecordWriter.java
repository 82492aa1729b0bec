package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;
import org.snowturn.config.Settings;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.StateReply;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Writes the leader's records, grouped into transactions within the state service's limits.
 *
 * <p>Every transaction is conditional on the leader key's version and on each key's own last
 * version: one that is executed late, after this leader has lost its place or has written the key
 * again, changes nothing. A reply that never came is settled by reading.
 */
public final class RecordWriter {
  /** Records of this urgency or more are deferrable: they can wait for seconds. */
  public static final int DEFERRABLE_URGENCY = 20;

  static final int TIMEOUT_MS = 1500;

  private static final long PAUSE_AFTER_REFUSAL_MS = 200;

  /**
   * A transaction that has waited so long for spare budget is sent without any. A leader that
   * always has something to write would otherwise never delete the records of cancelled jobs, and
   * every next leader would read them all.
   */
  private static final long MAX_SPARE_WAIT_MS = 10_000;

  private static final long OVERDUE_SPARE_INTERVAL_MS = 2_000;

  /** When a whole transaction's turn comes. */
  public enum TransactionPriority {
    /** Before all others: somebody has been told that it will happen soon. */
    IMMEDIATE,
    /** Before all records, in turn with those that are not deferrable. */
    NORMAL,
    /** With budget for which no record that is not deferrable has a use. */
    BACKGROUND
  }

  /** A transaction of its own that begins or ends something. */
  private record Transaction(
      TransactionPriority turn,
      List<Condition> conditions,
      List<Change> changes,
      CoreRuntime.ReplyHandler onReply,
      long queuedSinceMs) {}

  /** What the writer needs of the leader. */
  public interface Host {
    /** Whether this node may act as leader now. */
    boolean hasAuthority();

    /** Whether the term is over for good. */
    boolean over();

    /** The term's fencing token: the version of the leader key. */
    long token();

    /** The leader key has changed: the term is over. */
    void leaderKeyLost();

    /** A guard of a record has another version than was thought. */
    void guardFailed(String key);

    /** The state service finds a value too long, or wrong in another way. */
    void recordRejected(String key);
  }

  private final CoreRuntime runtime;
  private final Host host;
  private final Supplier<Settings.StateLimits> limits;
  private final Map<String, PendingRecord> records = new HashMap<>();
  private final Map<TransactionPriority, ArrayDeque<Transaction>> transactions =
      new EnumMap<>(TransactionPriority.class);
  private final WriteQueue queue = new WriteQueue();
  private final WriteBudget budget;
  private final BatchSettlement settlement;
  private boolean recordsNext;
  private long nextOverdueSpareMs;

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
    this.runtime = runtime;
    this.host = host;
    this.limits = limits;
    this.budget = new WriteBudget(limits, share, runtime.now());
    this.settlement = new BatchSettlement(runtime, host, queue, budget);
    for (TransactionPriority turn : TransactionPriority.values()) {
      transactions.put(turn, new ArrayDeque<>());
    }
  }

  /** Whether the term that it writes for is over. */
  public boolean over() {
    return host.over();
  }

  /**
   * The record of a key; it is made if there is none.
   *
   * @param stamp the key's version, as it was read; 0: it does not exist
   * @param content the value to write when its turn comes; null deletes the key
   * @param guard a condition on another key, under which alone this one may be written; null: none
   */
  public PendingRecord pendingRecord(
      String key, long stamp, Supplier<JsonNode> content, Supplier<Condition> guard) {
    return records.computeIfAbsent(key, k -> new PendingRecord(k, stamp, content, guard));
  }

  /** Writes the record no more. */
  public void forget(PendingRecord record) {
    queue.remove(record);
    records.remove(record.key());
  }

  /**
   * Asks for the record's content to be written; smaller urgencies go first.
   *
   * @param onDurable called once the content as it is now, or a later one, is durable; may be null
   */
  public void enqueue(PendingRecord record, int urgency, Runnable onDurable) {
    if (onDurable != null) {
      record.addDurableAction(onDurable);
    }
    queue.add(record, urgency, runtime.now());
  }

  /** Queues one whole transaction; the leader key's condition is added. */
  public void submit(
      TransactionPriority turn,
      List<Condition> when,
      List<Change> apply,
      CoreRuntime.ReplyHandler then) {
    transactions.get(turn).add(new Transaction(turn, when, apply, then, runtime.now()));
  }

  /** Removes records that no longer mean anything, when there is time for it. */
  public void deleteLater(List<Condition> when, List<Change> drops) {
    int most = Math.max(1, limits.get().txnOps());
    for (int i = 0; i < drops.size(); i += most) {
      List<Change> part = drops.subList(i, Math.min(drops.size(), i + most));
      submit(TransactionPriority.BACKGROUND, when, part, (outcome, status, body) -> {});
    }
  }

  /** Takes a record out of the queue: its content is about to be removed. */
  public void cancel(PendingRecord record) {
    queue.remove(record);
    record.clearDurableActions();
  }

  /** Whether what is not deferrable is queueing up. */
  public boolean backlogged() {
    return transactions.get(TransactionPriority.NORMAL).size() > 1
        || (budget.available() < budget.reserved() && queue.hasUrgent());
  }

  /** Changes a second that this term has made lately. */
  public double writeRate() {
    return budget.writeRate(runtime.now());
  }

  /** How many records wait to be written. */
  public int queuedRecords() {
    return queue.size();
  }

  /** Sends what the budget allows. */
  public void flush() {
    long now = runtime.now();
    budget.refill(now);
    while (budget.maySend(now) && host.hasAuthority() && sendOne()) {
      // each pass sends one transaction
    }
  }

  private boolean sendOne() {
    Transaction first = transactions.get(TransactionPriority.IMMEDIATE).peek();
    if (first != null) {
      return send(first, 0);
    }
    if (sendOverdueSpare()) {
      return true;
    }
    Transaction next = transactions.get(TransactionPriority.NORMAL).peek();
    if (next != null) {
      return sendInTurnWithRecords(next);
    }
    if (sendRecords()) {
      return true;
    }
    Transaction spare = transactions.get(TransactionPriority.BACKGROUND).peek();
    return spare != null && send(spare, budget.reserved());
  }

  private boolean sendOverdueSpare() {
    Transaction spare = transactions.get(TransactionPriority.BACKGROUND).peek();
    long now = runtime.now();
    if (spare == null
        || now - spare.queuedSinceMs <= MAX_SPARE_WAIT_MS
        || now < nextOverdueSpareMs
        || !send(spare, 0)) {
      return false;
    }
    nextOverdueSpareMs = now + OVERDUE_SPARE_INTERVAL_MS;
    return true;
  }

  /**
   * After an outage hundreds of jobs are over at once, and their transactions alone would keep
   * every start waiting for seconds.
   */
  private boolean sendInTurnWithRecords(Transaction transaction) {
    if (queue.hasUrgent() && recordsNext && sendRecords()) {
      recordsNext = false;
      return true;
    }
    boolean sent = send(transaction, 0);
    recordsNext |= sent;
    return sent;
  }

  /** Sends a whole transaction if that leaves so much of the budget to others. */
  private boolean send(Transaction transaction, double reserve) {
    int cost = transaction.changes.size();
    if (budget.available() - reserve < Math.min(cost, budget.rate() - reserve)) {
      return false;
    }
    transactions.get(transaction.turn).poll();
    budget.spend(cost, runtime.now());
    List<Condition> conditions = new ArrayList<>(transaction.conditions);
    conditions.add(0, leaderCondition());
    runtime.writeState(
        conditions, transaction.changes, TIMEOUT_MS, reply -> settle(transaction, reply));
    return true;
  }

  private Condition leaderCondition() {
    return new Condition(StorageKeys.LEADER, host.token());
  }

  private void settle(Transaction transaction, StateReply reply) {
    budget.callEnded();
    if (reply.isNotExecuted()) {
      budget.pauseUntil(runtime.now() + PAUSE_AFTER_REFUSAL_MS);
      transactions.get(transaction.turn).addFirst(transaction);
    } else if (reply.failedKeys().contains(StorageKeys.LEADER)) {
      host.leaderKeyLost();
    } else {
      transaction.onReply.onReply(reply.outcome(), reply.status(), reply.body());
    }
  }

  private boolean sendRecords() {
    int maxRecords = budget.maxChanges();
    int maxIfDeferrable = budget.maxChangesIfDeferrable(queue.size());
    PendingRecord overdue = maxRecords < 1 ? null : queue.overdue(runtime.now());
    RecordBatch batch = RecordBatch.collect(queue, overdue, maxRecords, maxIfDeferrable);
    if (batch.isEmpty()) {
      return false;
    }
    queue.recordSent(batch.size(), batch.first() == overdue);
    budget.spend(batch.size(), runtime.now());
    batch.begin(queue);
    runtime.writeState(
        batch.conditions(leaderCondition()),
        batch.changes(),
        TIMEOUT_MS,
        reply -> {
          budget.callEnded();
          settlement.settle(batch, reply);
        });
    return true;
  }
}
