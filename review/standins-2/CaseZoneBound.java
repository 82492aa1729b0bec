import com.fasterxml.jackson.databind.node.ObjectNode;

/** An array bound to one zone loses the only machine there. */
final class CaseZoneBound {
  private static final String JOB = "wk-000001";
  private static final double LIMIT_S = 90;

  private CaseZoneBound() {}

  public static void main(String[] args) {
    Stage.play(new Stage.Plan(), CaseZoneBound::play);
  }

  private static void play(Stage stage) throws Exception {
    Cloud.Machine machine = stage.cloud.addUp(stage.plan.hulls.get(0), "chiangmai", true);
    stage.startControllers();
    stage.awaitLeader();
    ObjectNode job = Jobs.array(JOB, "marketplace-core", "seller-payout", 3);
    job.put("field", "chiangmai");
    stage.submit(job, 8);
    if (!stage.await(15, () -> stage.jobs.running(JOB).size() == 3)) {
      throw new Stage.CannotRun("the tasks didn't start");
    }
    Stage.sleep(2);
    if (stage.hasTrouble) {
      stage.cloud.fail(machine);
    }
    double troubleAt = stage.record.seconds();
    boolean isDone = stage.await(LIMIT_S, () -> stage.jobs.resultCount(JOB) == 3);
    if (isDone) {
      stage.awaitDone(JOB);
      return;
    }
    int asked = stage.cloud.requestsIn("chiangmai");
    stage.record.line(
        "state    phase %s; machines that the cloud has to give in chiangmai: %d spot, %d ordinary; requests for machines there: %d",
        stage.phase(JOB), stage.cloud.room("lanna-16", "chiangmai", true),
        stage.cloud.room("lanna-16", "chiangmai", false), asked);
    if (asked > 0 || !stage.jobs.running(JOB).isEmpty()) {
      return; // slow, but not left alone: that doesn't count
    }
    stage.record.broken(
        "accepted_runs",
        "%s has had no task on a machine for %.0f s, though the cloud has machines to give in its zone; none was asked for",
        JOB, stage.record.seconds() - troubleAt);
  }
}
