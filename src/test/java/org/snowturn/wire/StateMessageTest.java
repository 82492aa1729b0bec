package org.snowturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a watch's changes that are applied in the order of the list, not of the events.
 */
class StateMessageTest {
  @Test
  void changesComeWithTheOldestFirstInWhateverOrderTheyAreListed() throws Exception {
    ObjectNode body = Json.object().put("epoch", 9);
    ArrayNode news = body.putArray("news");
    news.addObject().put("drop", "j/a").put("stamp", 9);
    news.addObject().put("write", "j/b").put("stamp", 8).putObject("value");
    news.addObject().put("write", "j/a").put("stamp", 7).putObject("value");

    List<StateMessage.Entry> changes = StateMessage.changes(body);

    assertEquals(
        List.of("j/a@7", "j/b@8", "j/a@9"),
        changes.stream().map(change -> change.key() + "@" + change.version()).toList());
  }
}
