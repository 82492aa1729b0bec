package org.snowturn.core.assignment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.dispatch.CommandQueue;
import org.snowturn.wire.Command;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.Json;
import org.snowturn.wire.MessageSize;
import org.snowturn.wire.TaskStatus;
import org.snowturn.wire.TaskStatus.State;

/**
 * Guards against running work that is lost, or cancelled work that goes on, on a machine with more
 * tasks than a message can hold (docs/incidents/full-reports.md).
 */
class FullHeartbeatTest extends HeartbeatCommandsFixture {
  /** Returns a heartbeat that lists this many running tasks of a job that is gone. */
  private Heartbeat tasksOfRemovedJob(int tasks) {
    List<TaskStatus> list = new ArrayList<>();
    for (int task = 0; task < tasks; task++) {
      list.add(new TaskStatus("wk-000009", task, Long.MAX_VALUE >> 12, State.RUNNING, null));
    }
    return report(2, list);
  }

  /** Guards against an answer that the worker refuses, or that renews a lease without a stop. */
  @Test
  void stopsWithoutRoomInTheAnswerAreSentDirectlyAndTheLeaseIsNotRenewed() {
    machine.setAddress("a:1");
    HeartbeatCommands.Answer complete = answer(tasksOfRemovedJob(600));
    assertTrue(complete.renewsLease());
    assertEquals(600, complete.commands().size());

    HeartbeatCommands.Answer answer = heartbeatCommands.respond(machine, tasksOfRemovedJob(1_100));
    assertFalse(answer.renewsLease());
    int bytes = Json.bytes(Command.heartbeatResponse(TOKEN, answer.commands())).length;
    assertTrue(bytes <= MessageSize.MAX_BYTES, bytes + " bytes");
    ((CommandQueue) machine.commands()).flush();
    assertTrue(
        runtime.drainEffects().stream()
            .filter(Effect.Call.class::isInstance)
            .anyMatch(call -> ((Effect.Call) call).path().equals("/commands")));
  }

  /**
   * Guards against running work that is lost because ended tasks are listed until the heartbeat is
   * too long: the machine then shows them only in replies to direct messages.
   */
  @Test
  void overfullMachineIsToldDirectlyWhatItMayForget() {
    machine.setAddress("a:1");
    List<TaskStatus> list = new ArrayList<>(tasksOfRemovedJob(600).tasks());
    list.add(status("wk-000008", 70, State.ENDED));
    Heartbeat reply = report(2, list);
    heartbeats.apply(machine, reply);
    heartbeatCommands.forgetIfOverfull(machine, reply);
    ((CommandQueue) machine.commands()).flush();
    String sent = runtime.drainEffects().toString();
    assertTrue(sent.contains("forget") && sent.contains("wk-000008/0"), sent);
  }
}
