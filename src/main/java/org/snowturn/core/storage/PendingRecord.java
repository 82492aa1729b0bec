package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.snowturn.wire.StateMessage.Condition;

/**
 * One key that the leader writes: its last known version, how far its writing is, and what is to be
 * done once its present content is durable. The content is produced when it is sent, so that a
 * record that changes several times before its turn is written once.
 */
public final class PendingRecord {
  /** How far the writing of a record is. */
  private enum State {
    /** Nothing to write. */
    IDLE,
    /** In the queue. */
    QUEUED,
    /** Sent, and the reply is not known. */
    IN_FLIGHT,
    /** Sent, and changed again since. */
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
   * Not written yet.
   *
   * @param version the key's version, as it was read; 0: it does not exist
   * @param content the value to write; null deletes the key
   * @param guard a condition on another key, under which alone this one may be written; null: none
   */
  PendingRecord(String key, long version, Supplier<JsonNode> content, Supplier<Condition> guard) {
    this.key = key;
    this.version = version;
    this.content = content;
    this.guard = guard;
  }

  /** The key in the state service. */
  public String key() {
    return key;
  }

  /** Takes over the version that the key has in the state service; 0: it does not exist. */
  public void setVersion(long newVersion) {
    version = newVersion;
  }

  /** Whether the key exists in the state service, as far as is known. */
  public boolean isStored() {
    return version != 0;
  }

  /** Whether a write was sent whose effect is not known yet. */
  public boolean isInFlight() {
    return state == State.IN_FLIGHT || state == State.IN_FLIGHT_AND_QUEUED;
  }

  /** Whether there is something to write that has not been sent. */
  public boolean isQueued() {
    return state == State.QUEUED || state == State.IN_FLIGHT_AND_QUEUED;
  }

  /** The urgency with which it is queued; smaller ones go first. */
  public int urgency() {
    return urgency;
  }

  /** What waits for the queued content to be durable. */
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

  /** Marks a dequeued record as sent; returns the actions that wait for what was sent. */
  List<Runnable> beginWrite() {
    state = State.IN_FLIGHT;
    List<Runnable> actions = onDurable;
    onDurable = new ArrayList<>();
    return actions;
  }

  /** The effect of what was sent is known. */
  void endWrite() {
    state = isQueued() ? State.QUEUED : State.IDLE;
  }

  /** The effect of what was sent is known, and with it the key's version. */
  void endWrite(long newVersion) {
    version = newVersion;
    endWrite();
  }

  /** The write did not happen: its actions wait for the next one, before those added since. */
  void restoreDurableActions(List<Runnable> actions) {
    onDurable.addAll(0, actions);
  }
}
