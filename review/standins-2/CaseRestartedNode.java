import com.fasterxml.jackson.databind.node.ObjectNode;

/** A controller that doesn't lead crashes and comes back; users ask it about a running service. */
final class CaseRestartedNode {
  private static final String JOB = "wk-000001";

  /** "The state may lag by up to 3 s". */
  private static final double LAG_S = 3;

  private static final double BACK_AFTER_S = 3;
  private static final double WATCHED_S = 30;
  private static final double POLL_S = 5;

  private CaseRestartedNode() {}

  public static void main(String[] args) {
    Stage.play(new Stage.Plan(), CaseRestartedNode::play);
  }

  private static void play(Stage stage) throws Exception {
    stage.cloud.addUp(stage.plan.hulls.get(0), "bangkok-a", false);
    stage.startControllers();
    stage.awaitLeader();
    ObjectNode job = Jobs.array(JOB, "marketplace-core", "storefront", 2);
    job.put("shape", "service").put("rank", "production").put("cores", 2.0).put("ram_gb", 7.0);
    job.put("loaners", false).put("guess_s", 0.0).putNull("due_s");
    stage.submit(job, 0);
    if (!stage.await(20, () -> stage.jobs.running(JOB).size() == 2)) {
      throw new Stage.CannotRun("the service didn't start");
    }
    boolean isShown =
        stage.await(
            15,
            () -> {
              Stage.sleep(2);
              boolean all = true;
              for (Stage.Controller node : stage.controllers.values()) {
                all &= phaseAt(stage, node).equals("running");
              }
              return all;
            });
    if (!isShown) {
      stage.record.broken("lag", "%s runs, but not all nodes call it running", JOB);
      return;
    }
    Stage.Controller leader = stage.leader();
    Stage.Controller other =
        stage.controllers.values().stream().filter(node -> node != leader).findFirst().get();
    if (stage.hasTrouble) {
      other.kill();
      Stage.sleep(BACK_AFTER_S);
      other.start();
    }
    if (!stage.await(20, other::isReady)) {
      throw new Stage.CannotRun(other.name + " isn't ready again");
    }
    stage.record.line("process  %s is ready", other.name);
    Stage.sleep(LAG_S + 1);
    double from = stage.record.seconds();
    int wrong = 0;
    int right = 0;
    while (stage.record.seconds() < from + WATCHED_S) {
      boolean hasRunForLong =
          stage.jobs.running(JOB).stream()
              .anyMatch(run -> Jobs.nowMs() - run.sinceMs() > LAG_S * 1000);
      String phase = phaseAt(stage, other);
      phaseAt(stage, leader);
      boolean stillRuns = !stage.jobs.running(JOB).isEmpty();
      if (hasRunForLong && stillRuns && phase.equals("queued")) {
        wrong++;
      } else if (phase.equals("running")) {
        right++;
      }
      Stage.sleep(POLL_S);
    }
    stage.record.line("state    %s answered %d times running, %d times queued", other.name, right, wrong);
    if (wrong > 0) {
      stage.record.broken(
          "lag",
          "%s called %s queued (no task runs) %d times and running %d times, for %.0f s, while its tasks ran all the time",
          other.name, JOB, wrong, right, WATCHED_S);
    } else if (right == 0) {
      throw new Stage.CannotRun(other.name + " answered nothing");
    }
  }

  private static String phaseAt(Stage stage, Stage.Controller node) {
    Http.Answer answer = stage.ask(node, "GET", "/v2/runs/" + JOB, null, 2_000);
    return answer.status() == 200 ? answer.body().path("phase").asText() : "?";
  }
}
