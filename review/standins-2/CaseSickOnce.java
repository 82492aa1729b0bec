import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A machine fails what it starts for some seconds, is sound again, and its work still waits. */
final class CaseSickOnce {
  private static final String JOB = "wk-000001";
  private static final String LATER = "wk-000002";

  /** "left waiting for 90 s while a machine that fits has room". */
  private static final double LIMIT_S = 90;

  private CaseSickOnce() {}

  public static void main(String[] args) {
    Stage.play(new Stage.Plan(), CaseSickOnce::play);
  }

  private static void play(Stage stage) throws Exception {
    Cloud.Machine machine =
        stage.cloud.addUp(stage.plan.hulls.get(0), "chiangmai", true);
    stage.startControllers();
    stage.awaitLeader();
    machine.worker.isSick = stage.hasTrouble;
    if (stage.hasTrouble) {
      stage.record.line("trouble  %s fails every task that it starts", machine.id);
    }
    ObjectNode job = Jobs.array(JOB, "marketplace-core", "seller-payout", 2);
    stage.submit(job, 3);
    if (stage.hasTrouble) {
      if (!stage.await(15, () -> stage.jobs.starts(JOB + "/0") + stage.jobs.starts(JOB + "/1") >= 2)) {
        throw new Stage.CannotRun("the tasks didn't start");
      }
      machine.worker.isSick = false;
      stage.record.line("trouble  over: %s is sound again", machine.id);
    }
    double soundAt = stage.record.seconds();
    // Another job of the same kind shows that the machine is sound, in use and has room.
    stage.submit(Jobs.array(LATER, "marketplace-core", "seller-payout", 1), 3);
    if (!stage.await(30, () -> stage.jobs.resultCount(LATER) == 1)) {
      throw new Stage.CannotRun("the machine did not run other work");
    }
    boolean isDone =
        stage.await(soundAt + LIMIT_S + 2 - stage.record.seconds(), () -> stage.jobs.resultCount(JOB) == 2);
    if (isDone) {
      stage.await(10, () -> stage.phase(JOB).equals("done"));
      return;
    }
    List<Jobs.Run> running = stage.jobs.allRunning();
    stage.record.line(
        "state    %s: %d of 2 tasks completed, phase %s; %s is up: %s, tasks on it %d, its type has 16 cores",
        JOB, stage.jobs.resultCount(JOB), stage.phase(JOB), machine.id, !machine.worker.isDead(),
        machine.worker.aliveTasks());
    if (running.isEmpty() && !machine.worker.isDead()) {
      stage.record.broken(
          "left_waiting",
          "%s has waited for %.0f s since the trouble was over, while %s was up, sound and empty",
          JOB, stage.record.seconds() - soundAt, machine.id);
    }
  }
}
