package org.snowturn.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snowturn.config.Settings;
import org.snowturn.core.TestSettings;
import org.snowturn.core.model.Job;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Submissions;

/**
 * Guards against a wrong order of jobs when not all objectives can be met. The objectives of class
 * "c" are a start within 2 s and 50 s, the job's deadline, and an end within 250 s.
 */
class SchedulingOrderTest {
  private final SchedulingOrder order = new SchedulingOrder(settings(), 30);
  private int jobs;

  private static Settings settings() {
    return TestSettings.with(
        new Settings.Objective("wait", "c", 0.8, 1, 2),
        new Settings.Objective("wait", "c", 0.99, 1, 50),
        new Settings.Objective("deadline", "c", 0.95, 1, 0),
        new Settings.Objective("finished", "c", 0.98, 1, 250));
  }

  /** Returns a job submitted at time 0, with a deadline if {@code dueS} is positive. */
  private Job job(String jobClass, int tasks, double estimateS, double dueS) throws Exception {
    ObjectNode object = Submissions.array("wk-00000" + ++jobs, tasks).put("jobclass", jobClass);
    object.put("guess_s", estimateS);
    if (dueS > 0) {
      object.put("due_s", dueS);
    }
    return new Job(jobs, JobSpec.parse(object), 0, 1);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 100, 400, URGENT", // 1 s left to start within 2 s
    "5, 100, 400, CAN_WAIT", // 45 s left to start within 50 s
    "25, 100, 400, URGENT", // 25 s left to start within 50 s
    "60, 30, 400, CAN_WAIT", // too late to start in time; other objectives are far off
    "290, 100, 400, URGENT", // 10 s of slack before the deadline
    "301, 100, 400, CAN_WAIT", // deadline missed; 1.5 times the deadline is far off
    "490, 100, 400, URGENT", // 10 s of slack before 1.5 times the deadline
    "501, 100, 400, ALL_MISSED", // all objectives missed
    "90, 40, 90, URGENT", // 5 s of slack before 1.5 times the deadline
    "140, 40, 90, CAN_WAIT", // deadlines missed; 70 s of slack before the end objective
    "190, 40, 90, URGENT", // 20 s of slack before the end objective
    "211, 40, 90, ALL_MISSED",
  })
  void urgencyFollowsTheObjectivesThatCanStillBeMet(
      double nowS, double estimateS, double dueS, SchedulingOrder.Urgency urgency)
      throws Exception {
    assertEquals(urgency, order.urgency(job("c", 4, estimateS, dueS), nowS * 1000));
  }

  /** Without objectives a job is never late, and comes before jobs that missed all of theirs. */
  @Test
  void aJobWithoutObjectivesCanWait() throws Exception {
    assertEquals(SchedulingOrder.Urgency.CAN_WAIT, order.urgency(job("other", 4, 10, 0), 500_000));
  }

  @Test
  void amongEqualsTheLeastWorkGoesFirst() throws Exception {
    Job hopeless = job("c", 1, 40, 60);
    Job large = job("c", 50, 100, 400);
    Job small = job("c", 5, 100, 400);
    Job idle = job("other", 1, 1, 0);
    List<Job> jobs = order.sorted(List.of(hopeless, idle, large, small), 490_000);
    assertEquals(List.of(small, large, idle, hopeless), jobs);
  }
}
