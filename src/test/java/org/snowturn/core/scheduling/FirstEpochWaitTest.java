package org.snowturn.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snowturn.config.Settings;
import org.snowturn.core.TestSettings;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/**
 * Guards against work that waits for a machine's next agent epoch although it is urgent. The lease
 * is 10 s; class "c" is to start within 30 s, class "d" has no such objective.
 */
class FirstEpochWaitTest {
  private final Settings settings =
      TestSettings.with(
          new Settings.Objective("wait", "c", 0.9, 1, 30),
          new Settings.Objective("deadline", "d", 0.9, 1, 0));
  private final CoreRuntime runtime = new CoreRuntime(1);
  private final FirstEpochWait firstEpochWait =
      new FirstEpochWait(runtime, settings, new SchedulingOrder(settings, 30));
  private final Machine machine = new Machine(0, "i-1", 7);

  @BeforeEach
  void machineIsHeardInItsFirstEpoch() {
    machine.session.setEpoch(1);
    machine.session.setLastAnswerAt(0);
  }

  private Job job(String jobClass, double estimateS, double dueS) throws Exception {
    ObjectNode object = Submissions.array("wk-000001", 2).put("jobclass", jobClass);
    object.put("guess_s", estimateS).put("due_s", dueS);
    return new Job(0, JobSpec.parse(object), 0, 1);
  }

  @ParameterizedTest
  @CsvSource({
    "0, c, 10, 60, true", // 10 s of the epoch left, 30 s to start
    "1, c, 10, 29, true", // 9 s left, 18 s of slack before the deadline
    "1, c, 10, 28, false", // 9 s left, 17 s of slack before the deadline
    "10, c, 10, 60, false", // the epoch should have ended
    "0, d, 10, 60, false", // no objective says how long the class can wait
  })
  void arraysWaitForAtMostHalfOfTheirSpareTime(
      long nowS, String jobClass, double estimateS, double dueS, boolean shouldWait)
      throws Exception {
    runtime.setTime(nowS * 1000, nowS * 1000);
    assertEquals(shouldWait, firstEpochWait.shouldWait(job(jobClass, estimateS, dueS), machine));
  }

  @Test
  void onlyNewArraysWaitAndOnlyForIdleMachinesInTheirFirstEpoch() throws Exception {
    runtime.setTime(0, 0);
    Job job = job("c", 10, 60);
    assertTrue(firstEpochWait.shouldWait(job, machine));
    machine.assigned.add(1);
    assertFalse(firstEpochWait.shouldWait(job, machine));
    machine.assigned.clear();
    machine.session.setEpoch(2);
    assertFalse(firstEpochWait.shouldWait(job, machine));
    machine.session.setEpoch(1);
    job.scheduling.setPlacedWallMs(1);
    assertFalse(firstEpochWait.shouldWait(job, machine));
  }
}
