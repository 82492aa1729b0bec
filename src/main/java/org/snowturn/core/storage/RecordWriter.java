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
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.effects.StateReply;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Writes the leader's records, grouped into transactions within the state service's limits.
 *
 * <p>Every transaction is conditional on the version of the leader key and on the last known
 * version of each record's key. A transaction that is executed late, after this leader has been
 * replaced or has written the key again, therefore changes nothing. If no reply arrives, the
 * current versions are read.
 */
public final class RecordWriter {
  /**
   * Lowest urgency number of a deferrable record. Deferrable records can wait for seconds; those
   * with smaller numbers cannot.
   */
  public static final int DEFERRABLE_URGENCY = 20;

  static final int TIMEOUT_MS = 1500;

  private static final long PAUSE_AFTER_REFUSAL_MS = 200;

  /**
   * Maximum time that a background transaction waits for unreserved budget; after that it uses the
   * reserved budget too. A leader under constant load would otherwise never delete the records of
   * cancelled jobs, and every later leader would have to read them all.
   */
  private static final long MAX_BACKGROUND_WAIT_MS = 10_000;

  /** Minimum time between two background transactions that use the reserved budget. */
  private static final long OVERDUE_BACKGROUND_INTERVAL_MS = 2_000;

  /** The priority of a transaction that is submitted as a whole. */
  public enum TransactionPriority {
    /** Sent before everything else, since a user was promised its effect soon. */
    IMMEDIATE,
    /** Sent before records, except that it alternates with those that are not deferrable. */
    NORMAL,
    /** Sent after all records, with budget that is not reserved for records. */
    BACKGROUND
  }

  /** A transaction that was submitted as a whole. */
  private record Transaction(
      TransactionPriority priority,
      List<Condition> conditions,
      List<Change> changes,
      CoreRuntime.ReplyHandler onReply,
      long queuedSinceMs) {}

  /** The writer's view of the leader's term, and its callbacks to the leader. */
  public interface Host {
    /** Returns whether this node may act as the leader now. */
    boolean hasAuthority();

    /** Returns whether the leader's term is over. A term that is over does not resume. */
    boolean isTermOver();

    /** Returns the term's fencing token, which is the version of the leader key. */
    long token();

    /** Handles a change of the leader key, which ends the term. */
    void onLeaderKeyLost();

    /**
     * Handles a failed guard of a record.
     *
     * @param key the guard's key, which has another version than the guard requires
     */
    void onGuardFailed(String key);

    /**
     * Handles a record that the state service rejected because its value is too long or otherwise
     * invalid.
     *
     * @param key the record's key
     */
    void onRecordRejected(String key);
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
  private long committedRevision;
  private boolean isRecordBatchNext;
  private long nextOverdueBackgroundAtMs;

  /**
   * Creates a writer with nothing to write.
   *
   * @param runtime the runtime that makes the calls
   * @param host the leader
   * @param limits supplies the state service's limits, which may become smaller at any time
   * @param leaderWriteRate maps the state service's write rate to this leader's current part of it;
   *     both in changes per second
   */
  public RecordWriter(
      CoreRuntime runtime,
      Host host,
      Supplier<Settings.StateLimits> limits,
      DoubleUnaryOperator leaderWriteRate) {
    this.runtime = runtime;
    this.host = host;
    this.limits = limits;
    this.budget = new WriteBudget(limits, leaderWriteRate, runtime.now());
    this.settlement = new BatchSettlement(runtime, host, queue, budget);
    for (TransactionPriority priority : TransactionPriority.values()) {
      transactions.put(priority, new ArrayDeque<>());
    }
  }

  /**
   * Returns the highest known revision of this term's executed transactions; 0 if there is none. At
   * that revision the leader key still had this term's version.
   */
  public long committedRevision() {
    return committedRevision;
  }

  private void recordCommit(StateReply reply) {
    if (!reply.isOk()) {
      return;
    }
    try {
      committedRevision = Math.max(committedRevision, StateMessage.revision(reply.body()));
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.REQUEST, "transaction", e);
    }
  }

  /** Returns whether the leader's term is over. */
  public boolean isTermOver() {
    return host.isTermOver();
  }

  /**
   * Returns the record of a key, and adds it if there is none. The parameters other than the key
   * apply only to a record that is added.
   *
   * @param key the key in the state service
   * @param version the key's version in the state service; 0 if the key does not exist
   * @param content supplies the value when it is sent; a null value deletes the key
   * @param guard supplies a condition on another key that every write of this key requires; a null
   *     condition requires nothing
   */
  public PendingRecord getOrAddRecord(
      String key, long version, Supplier<JsonNode> content, Supplier<Condition> guard) {
    return records.computeIfAbsent(key, k -> new PendingRecord(k, version, content, guard));
  }

  /** Removes a record, so that it is no longer written. */
  public void remove(PendingRecord record) {
    queue.remove(record);
    records.remove(record.key());
  }

  /**
   * Queues a record to be written.
   *
   * @param record the record to write
   * @param urgency records with smaller numbers are written first; see {@link #DEFERRABLE_URGENCY}
   * @param onDurable called once the current content or a later one is durable; may be null
   */
  public void enqueue(PendingRecord record, int urgency, Runnable onDurable) {
    if (onDurable != null) {
      record.addDurableAction(onDurable);
    }
    queue.add(record, urgency, runtime.now());
  }

  /**
   * Queues a whole transaction.
   *
   * @param priority when the transaction is sent, relative to others and to records
   * @param conditions the conditions of the transaction; the leader key's condition is added
   * @param changes the changes to make if all conditions hold
   * @param onReply called with the reply, unless the call was refused and is repeated, or the
   *     leader key has changed
   */
  public void submit(
      TransactionPriority priority,
      List<Condition> conditions,
      List<Change> changes,
      CoreRuntime.ReplyHandler onReply) {
    transactions
        .get(priority)
        .add(new Transaction(priority, conditions, changes, onReply, runtime.now()));
  }

  /**
   * Deletes obsolete records in background transactions, whose replies are ignored.
   *
   * @param conditions the conditions of every transaction
   * @param deletions the deletions to make
   */
  public void deleteLater(List<Condition> conditions, List<Change> deletions) {
    int maxChanges = Math.max(1, limits.get().maxTransactionOps());
    for (int i = 0; i < deletions.size(); i += maxChanges) {
      List<Change> changes = deletions.subList(i, Math.min(deletions.size(), i + maxChanges));
      submit(TransactionPriority.BACKGROUND, conditions, changes, (outcome, status, body) -> {});
    }
  }

  /**
   * Removes a record from the queue and drops its actions, since its content is about to be
   * deleted.
   */
  public void cancelWrite(PendingRecord record) {
    queue.remove(record);
    record.clearDurableActions();
  }

  /** Returns whether writes that are not deferrable wait for budget. */
  public boolean isBacklogged() {
    return transactions.get(TransactionPriority.NORMAL).size() > 1
        || (budget.available() < budget.reserved() && queue.hasUrgent());
  }

  /** Returns the recent write rate of this term in changes per second. */
  public double writeRate() {
    return budget.writeRate(runtime.now());
  }

  /** Returns the number of queued records. */
  public int queuedRecordCount() {
    return queue.size();
  }

  /** Sends as many transactions as the budget allows. */
  public void flush() {
    long now = runtime.now();
    budget.refill(now);
    while (budget.canSend(now) && host.hasAuthority() && sendNext()) {
      // each iteration sends one transaction
    }
  }

  private boolean sendNext() {
    Transaction first = transactions.get(TransactionPriority.IMMEDIATE).peek();
    if (first != null) {
      return send(first, 0);
    }
    if (sendOverdueBackground()) {
      return true;
    }
    Transaction next = transactions.get(TransactionPriority.NORMAL).peek();
    if (next != null) {
      return alternateWithRecords(next);
    }
    if (sendRecords()) {
      return true;
    }
    Transaction background = transactions.get(TransactionPriority.BACKGROUND).peek();
    return background != null && send(background, budget.reserved());
  }

  private boolean sendOverdueBackground() {
    Transaction background = transactions.get(TransactionPriority.BACKGROUND).peek();
    long now = runtime.now();
    if (background == null
        || now - background.queuedSinceMs <= MAX_BACKGROUND_WAIT_MS
        || now < nextOverdueBackgroundAtMs
        || !send(background, 0)) {
      return false;
    }
    nextOverdueBackgroundAtMs = now + OVERDUE_BACKGROUND_INTERVAL_MS;
    return true;
  }

  /**
   * Sends a whole transaction or a batch of records, in alternation. After an outage hundreds of
   * jobs end at once, and sending their transactions first would delay every start for seconds.
   */
  private boolean alternateWithRecords(Transaction transaction) {
    if (queue.hasUrgent() && isRecordBatchNext && sendRecords()) {
      isRecordBatchNext = false;
      return true;
    }
    boolean isSent = send(transaction, 0);
    isRecordBatchNext |= isSent;
    return isSent;
  }

  /**
   * Sends a whole transaction if the budget suffices. A transaction with more changes than the
   * bucket holds is sent when the bucket is full.
   *
   * @param transaction the first transaction of its priority
   * @param reserved number of changes that must remain in the budget
   */
  private boolean send(Transaction transaction, double reserved) {
    int cost = transaction.changes.size();
    if (budget.available() - reserved < Math.min(cost, budget.rate() - reserved)) {
      return false;
    }
    transactions.get(transaction.priority).poll();
    budget.spend(cost, runtime.now());
    List<Condition> conditions = new ArrayList<>(transaction.conditions);
    conditions.add(0, leaderCondition());
    runtime.writeState(
        conditions, transaction.changes, TIMEOUT_MS, reply -> onReply(transaction, reply));
    return true;
  }

  private Condition leaderCondition() {
    return new Condition(StorageKeys.LEADER, host.token());
  }

  private void onReply(Transaction transaction, StateReply reply) {
    budget.onCallEnded();
    recordCommit(reply);
    if (reply.isRefused()) {
      budget.pauseUntil(runtime.now() + PAUSE_AFTER_REFUSAL_MS);
      transactions.get(transaction.priority).addFirst(transaction);
    } else if (reply.failedKeys().contains(StorageKeys.LEADER)) {
      host.onLeaderKeyLost();
    } else {
      transaction.onReply.onReply(reply.outcome(), reply.status(), reply.body());
    }
  }

  private boolean sendRecords() {
    int maxRecords = budget.maxChanges();
    int maxIfDeferrable = budget.maxChangesIfDeferrable(queue.size());
    PendingRecord overdue = maxRecords < 1 ? null : queue.findOverdue(runtime.now());
    RecordBatch batch = RecordBatch.collect(queue, overdue, maxRecords, maxIfDeferrable);
    if (batch.isEmpty()) {
      return false;
    }
    queue.countSent(batch.size(), batch.first() == overdue);
    budget.spend(batch.size(), runtime.now());
    batch.beginWrites(queue);
    runtime.writeState(
        batch.conditions(leaderCondition()),
        batch.changes(),
        TIMEOUT_MS,
        reply -> {
          budget.onCallEnded();
          recordCommit(reply);
          settlement.onReply(batch, reply);
        });
    return true;
  }
}
