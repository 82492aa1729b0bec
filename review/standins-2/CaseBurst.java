import com.fasterxml.jackson.databind.node.ObjectNode;

/** Arrays of small tasks come four times as often; one machine has the cores for all of them. */
final class CaseBurst {
  private static final int TASKS = 500;

  /** Arrivals of the class a second, and the factor of its burst. */
  private static final double RATE = 0.19326;

  private static final int FACTOR = 4;
  private static final double RUN_S = 40;
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
    // What arrives in the time in which one array does otherwise.
    int arrays = stage.hasTrouble ? FACTOR : 1;
    for (int i = 1; i <= arrays; i++) {
      ObjectNode job = Jobs.array(job(i), "marketplace-core", "seller-payout", TASKS);
      job.put("cores", 0.03).put("ram_gb", 0.12).put("guess_s", RUN_S);
      stage.submit(job, RUN_S);
      Stage.sleep(1 / (RATE * arrays));
    }
    Worker worker = machine.worker;
    stage.await(
        WATCHED_S,
        () -> {
          int done = 0;
          for (int i = 1; i <= arrays; i++) {
            done += stage.jobs.resultCount(job(i));
          }
          return done == arrays * TASKS
              || (worker.tooLongMessages + worker.tooLongAnswers > 0
                  && worker.tasksKilledByLease > 0);
        });
    stage.record.line(
        "state    longer than %d bytes: %d messages to %s, %d answers to its reports;"
            + " reports that it couldn't send: %d; running tasks killed there with its lease: %d",
        Worker.MAX_BYTES, worker.tooLongMessages, machine.id, worker.tooLongAnswers,
        worker.tooLongReports, worker.tasksKilledByLease);
    if (worker.tooLongMessages + worker.tooLongAnswers > 0 && worker.tasksKilledByLease > 0) {
      stage.record.broken(
          "message_size",
          "%d messages to a worker and %d answers were longer than 64 KiB; it had more tasks than a report"
              + " may list, and %d running tasks were killed with its lease",
          worker.tooLongMessages, worker.tooLongAnswers, worker.tasksKilledByLease);
    }
  }
}
