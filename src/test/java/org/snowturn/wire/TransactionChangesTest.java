package org.snowturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/** Guards against a transaction that the state service refuses each time, since it is too long. */
class TransactionChangesTest {
  private static final List<Condition> CONDITIONS =
      List.of(new Condition("j/wk-000001", 0), new Condition("d/wk-000001", 0));

  private static Change change(String text) {
    return Change.put("x/wk-000001/0", Json.object().put("text", text));
  }

  @Test
  void escapedTextCountsAsItIsWritten() {
    TransactionChanges changes = new TransactionChanges(CONDITIONS, 12);
    while (changes.add(change("\"".repeat(2_000)))) {
      assertTrue(changes.list().size() <= 12);
    }
    assertFalse(changes.list().isEmpty());
    int bytes = Json.bytes(StateMessage.transaction(CONDITIONS, changes.list())).length;
    assertTrue(bytes <= MessageSize.MAX_BYTES, bytes + " bytes");
  }

  @Test
  void theLongestValueFitsAlone() {
    TransactionChanges changes = new TransactionChanges(CONDITIONS, 12);
    assertTrue(changes.add(change("x".repeat(TransactionChanges.MAX_VALUE_BYTES - 11))));
    assertFalse(changes.add(change("x".repeat(MessageSize.MAX_BYTES))));
    assertEquals(1, changes.list().size());
  }

  @Test
  void theNumberOfChangesIsLimited() {
    TransactionChanges changes = new TransactionChanges(CONDITIONS, 1);
    assertTrue(changes.add(change("a")));
    assertFalse(changes.add(change("b")));
  }
}
