package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.snowturn.wire.StateMessage.Condition;

/**
 * A key that the leader writes: its last known version, the state of its write, and the actions to
 * run once its current content is durable. The content is produced when it is sent, so that several
 * changes of a queued record take one write.
 */
public final class PendingRecord {
  /** The state of a record's write. */
  private enum State {
    /** There is nothing to write. */
    IDLE,
    /** The record is in the write queue. */
    QUEUED,
    /** The record was sent, and the outcome is unknown. */
    IN_FLIGHT,
    /** The record was sent, the outcome is unknown, and the record has been queued again. */
    IN_FLIGHT_AND_QUEUED
  }

  private final String key;
  private final Supplier<JsonNode> content;
  private final Supplier<Condition> guard;
  private long version;
  private State state = State.IDLE;
  private int urgency = Integer.MAX_VALUE;
  private long queuedSinceMs;
  private List<Runnable> onDurable = new ArrayList<>();

  /**
   * Creates a record with nothing to write.
   *
   * @param version the key's version in the state service; 0 if the key does not exist
   * @param content supplies the value to write; a null value deletes the key
   * @param guard supplies a condition on another key that every write of this key requires; a null
   *     condition requires nothing
   */
  PendingRecord(String key, long version, Supplier<JsonNode> content, Supplier<Condition> guard) {
    this.key = key;
    this.version = version;
    this.content = content;
    this.guard = guard;
  }

  /** Returns the key in the state service. */
  public String key() {
    return key;
  }

  /**
   * Sets the last known version of the key.
   *
   * @param newVersion the key's version in the state service; 0 if the key does not exist
   */
  public void setVersion(long newVersion) {
    version = newVersion;
  }

  /** Returns whether the key exists in the state service, by its last known version. */
  public boolean isStored() {
    return version != 0;
  }

  /** Returns whether a write was sent and its outcome is still unknown. */
  public boolean isInFlight() {
    return state == State.IN_FLIGHT || state == State.IN_FLIGHT_AND_QUEUED;
  }

  /** Returns whether the record is queued to be written. */
  public boolean isQueued() {
    return state == State.QUEUED || state == State.IN_FLIGHT_AND_QUEUED;
  }

  /**
   * Returns the urgency with which the record is queued; smaller numbers are written first. It is
   * {@link Integer#MAX_VALUE} while the record is not queued.
   */
  public int urgency() {
    return urgency;
  }

  /** Returns the actions to run once the queued content is durable. */
  public List<Runnable> durableActions() {
    return List.copyOf(onDurable);
  }

  long queuedSinceMs() {
    return queuedSinceMs;
  }

  JsonNode content() {
    return content.get();
  }

  Condition guard() {
    return guard.get();
  }

  Condition versionCondition() {
    return new Condition(key, version);
  }

  void addDurableAction(Runnable action) {
    onDurable.add(action);
  }

  void clearDurableActions() {
    onDurable.clear();
  }

  void enqueue(int newUrgency, long sinceMs) {
    state = isInFlight() ? State.IN_FLIGHT_AND_QUEUED : State.QUEUED;
    urgency = newUrgency;
    queuedSinceMs = sinceMs;
  }

  void dequeue() {
    state = isInFlight() ? State.IN_FLIGHT : State.IDLE;
    urgency = Integer.MAX_VALUE;
  }

  /**
   * Marks a dequeued record as sent.
   *
   * @return the actions to run once the sent content is durable
   */
  List<Runnable> beginWrite() {
    state = State.IN_FLIGHT;
    List<Runnable> actions = onDurable;
    onDurable = new ArrayList<>();
    return actions;
  }

  /** Ends a write whose outcome is known. */
  void endWrite() {
    state = isQueued() ? State.QUEUED : State.IDLE;
  }

  /**
   * Ends a write whose outcome is known, and sets the key's version.
   *
   * @param newVersion the key's version in the state service; 0 if the key does not exist
   */
  void endWrite(long newVersion) {
    version = newVersion;
    endWrite();
  }

  /**
   * Puts back the actions of a write that may not have been executed, so that they run after the
   * next write, before the actions that were added since.
   */
  void restoreDurableActions(List<Runnable> actions) {
    onDurable.addAll(0, actions);
  }
}
