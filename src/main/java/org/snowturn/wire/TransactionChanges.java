package org.snowturn.wire;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * The changes of one transaction. It accepts changes only as long as their number and the size of
 * the transaction, as it is written, stay within the limits of the state service.
 */
public final class TransactionChanges {
  /** Maximum size of a value that fits into a transaction beside its key and a few conditions. */
  public static final int MAX_VALUE_BYTES = MessageSize.MAX_BYTES - 4096;

  /** Size of the comma that separates two changes. */
  private static final int SEPARATOR_BYTES = 1;

  private final List<Change> changes = new ArrayList<>();
  private final int maxChanges;
  private int bytes;

  /**
   * Creates a transaction without changes.
   *
   * @param conditions the conditions of the transaction
   * @param maxChanges maximum number of changes
   */
  public TransactionChanges(List<Condition> conditions, int maxChanges) {
    this.maxChanges = maxChanges;
    this.bytes = Json.bytes(StateMessage.transaction(conditions, List.of())).length;
  }

  /**
   * Adds a change if the transaction has room for it.
   *
   * @return whether the change was added
   */
  public boolean add(Change change) {
    int changeBytes = Json.bytes(StateMessage.changeNode(change)).length + SEPARATOR_BYTES;
    if (changes.size() >= maxChanges || bytes + changeBytes > MessageSize.MAX_BYTES) {
      return false;
    }
    bytes += changeBytes;
    changes.add(change);
    return true;
  }

  /** Returns the changes, in the order in which they were added. */
  public List<Change> list() {
    return List.copyOf(changes);
  }
}
