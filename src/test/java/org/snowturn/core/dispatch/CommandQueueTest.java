package org.snowturn.core.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Command;
import org.snowturn.wire.Json;
import org.snowturn.wire.MessageSize;

/**
 * Guards against a direct start that a machine executes once more after it has come back without
 * its memory, in its first agent epoch and with no token (ran_twice).
 */
class CommandQueueTest {
  private static final long TOKEN = 7;
  private static final long RAISED_TOKEN = 12;
  private static final Command START = new Command(Command.Op.START, "wk-000001", 0, 70, 0);
  private static final Command STOP = new Command(Command.Op.STOP, "wk-000001", 0, 70, 0);

  private final CoreRuntime runtime = new CoreRuntime(1);
  private final Machine machine = new Machine(0, "i-1", TOKEN);
  private final CommandQueue queue = new CommandQueue(runtime, new Host(), machine);

  /** Counts the starts that have to go in answers as placements that are pending. */
  private static final class Host extends TestCommandHost {
    @Override
    public void onStartDue(Machine machine) {
      machine.addPendingPlacements(1);
    }

    @Override
    public void raiseToken(Machine machine) {
      machine.fence.raiseToken(RAISED_TOKEN);
    }
  }

  @BeforeEach
  void setUp() {
    runtime.setTime(1_000, 1_000);
    machine.setAddress("a:1");
  }

  /** Flushes the queue and returns the message that it sends, if it sends one. */
  private List<Effect.Call> flush() {
    queue.flush();
    return runtime.drainEffects().stream()
        .filter(Effect.Call.class::isInstance)
        .map(Effect.Call.class::cast)
        .toList();
  }

  private void refuse(Effect.Call call, long agentEpoch) {
    ObjectNode heartbeat = Json.object().put("drift", "i-1").put("addr", "a:1").put("hull", "t8");
    heartbeat.put("field", "z").put("loaners", true).put("thaw", agentEpoch).put("tally", 1);
    heartbeat.put("baton", 0).putArray("flakes");
    runtime.handleReply(new Input.Reply(call.id(), Outcome.ANSWERED, 409, heartbeat));
  }

  @Test
  void noStartIsSentDirectlyInTheFirstAgentEpoch() {
    machine.session.setEpoch(1);
    queue.add(START);
    queue.add(STOP);

    JsonNode body = flush().get(0).body();

    assertEquals(1, body.path("orders").size());
    assertEquals("halt", body.path("orders").get(0).path("verb").asText());
    assertEquals(1, machine.pendingPlacements(), "the host is told of the start");
  }

  @Test
  void startsAreSentDirectlyFromTheSecondAgentEpochOn() {
    machine.session.setEpoch(2);
    queue.add(START);

    JsonNode body = flush().get(0).body();

    assertEquals("start", body.path("orders").get(0).path("verb").asText());
    assertEquals(2, body.path("thaw").asLong());
  }

  @Test
  void machineThatIsBackInAnEarlierEpochGetsHigherTokenThanItsFormerStarts() {
    machine.session.setEpoch(3);
    queue.add(START);
    refuse(flush().get(0), 1);

    JsonNode body = flush().get(0).body();

    assertTrue(body.path("orders").isEmpty());
    assertEquals(1, body.path("thaw").asLong());
    assertEquals(RAISED_TOKEN, body.path("baton").asLong());
  }

  @Test
  void firstMessageNamesTheRecordedAgentEpoch() {
    machine.session.setRecordedEpoch(4);
    queue.probe();

    assertEquals(4, flush().get(0).body().path("thaw").asLong());
  }

  private static Command longCommand(Command.Op op, int task) {
    return new Command(op, "wk-123456789012345678", task, Long.MAX_VALUE, 0);
  }

  private void fillBeyondOneMessage() {
    machine.session.setEpoch(2);
    for (int task = 0; task < 800; task++) {
      queue.add(longCommand(Command.Op.START, task));
      queue.add(longCommand(Command.Op.STOP, 1_000 + task));
    }
  }

  private void answer(Effect.Call call, Outcome outcome) {
    runtime.handleReply(new Input.Reply(call.id(), outcome, 500, null));
  }

  /** Guards against a message that the machine refuses, and all its commands with it. */
  @Test
  void commandsBeyondTheMaximumSizeFollowInFurtherMessages() {
    fillBeyondOneMessage();
    Effect.Call first = flush().get(0);
    assertTrue(Json.bytes(first.body()).length <= MessageSize.MAX_BYTES);
    int stops = 0;
    for (JsonNode order : first.body().path("orders")) {
      stops += order.path("verb").asText().equals("halt") ? 1 : 0;
    }
    assertEquals(first.body().path("orders").size(), stops, "stops leave before starts");
    assertTrue(flush().isEmpty(), "one message at a time");

    int sent = stops;
    Effect.Call call = first;
    while (sent < 1_600) {
      refuse(call, 2);
      call = flush().get(0);
      assertTrue(Json.bytes(call.body()).length <= MessageSize.MAX_BYTES);
      sent += call.body().path("orders").size();
    }
    assertEquals(1_600, sent);
  }

  /** Guards against starts that overtake the stops which make room for them. */
  @Test
  void startsWithoutRoomInAnUnansweredMessageAreNotSent() {
    fillBeyondOneMessage();
    answer(flush().get(0), Outcome.UNKNOWN);
    Effect.Call second = flush().get(0);
    assertTrue(
        second.body().path("orders").findValuesAsText("verb").stream().allMatch("halt"::equals));
    assertFalse(machine.fence.canStartArrive(Long.MAX_VALUE, 699), "it was never sent");
  }
}
