package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.snowturn.wire.StateMessage.Condition;

/** One key that the leader writes, and how far its writing is. */
public final class PendingRecord {
  public final String key;
  public final Supplier<JsonNode> content;
  public final Supplier<Condition> guard;
  public long stamp;
  public boolean dirty;
  public boolean inFlight;
  public int urgency = Integer.MAX_VALUE;
  public long since;
  public List<Runnable> onDurable = new ArrayList<>();

  /**
   * Not written yet.
   *
   * @param stamp the key's version, as it was read; 0: it does not exist
   */
  public PendingRecord(
      String key, long stamp, Supplier<JsonNode> content, Supplier<Condition> guard) {
    this.key = key;
    this.stamp = stamp;
    this.content = content;
    this.guard = guard;
  }
}
