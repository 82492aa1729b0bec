import com.fasterxml.jackson.databind.node.ObjectNode;

/** Arrays of small tasks come four times as often; one machine has the cores for all of them. */
final class CaseBurst {
  private static final int TASKS = 350;
  private static final int FACTOR = 4;
  private static final double RUN_S = 20;
  private static final double WATCHED_S = 60;

  private CaseBurst() {}

  public static void main(String[] args) {
    Stage.play(new Stage.Plan(), CaseBurst::play);
  }

  private static String job(int number) {
    return "wk-00000" + number;
  }

  private static void play(Stage stage) throws Exception {
    Cloud.Machine machine = stage.cloud.addUp(stage.plan.hulls.get(1), "bangkok-a", true);
    stage.startControllers();
    stage.awaitLeader();
    int arrays = stage.hasTrouble ? FACTOR : 1;
    for (int i = 1; i <= arrays; i++) {
      ObjectNode job = Jobs.array(job(i), "marketplace-core", "seller-payout", TASKS);
      job.put("cores", 0.04).put("ram_gb", 0.15);
      stage.submit(job, RUN_S);
    }
    Worker worker = machine.worker;
    boolean isDone =
        stage.await(
            WATCHED_S,
            () -> {
              int done = 0;
              for (int i = 1; i <= arrays; i++) {
                done += stage.jobs.resultCount(job(i));
              }
              return done == arrays * TASKS || worker.tasksKilledByLease > 0;
            });
    if (isDone && worker.tasksKilledByLease > 0) {
      Stage.sleep(2);
    }
    stage.record.line(
        "state    longer than %d bytes: %d messages to %s, %d answers to its reports, %d of its reports;"
            + " tasks killed there since its lease ended: %d",
        Worker.MAX_BYTES, worker.tooLongMessages, machine.id, worker.tooLongAnswers,
        worker.tooLongReports, worker.tasksKilledByLease);
    if (worker.tooLongMessages + worker.tooLongAnswers > 0 && worker.tasksKilledByLease > 0) {
      stage.record.broken(
          "message_size",
          "%d messages to a worker and %d answers were longer than 64 KiB; it had so many tasks that its own"
              + " reports were too, %d were refused, and %d running tasks were killed with its lease",
          worker.tooLongMessages, worker.tooLongAnswers, worker.tooLongReports,
          worker.tasksKilledByLease);
    }
  }
}
