import com.fasterxml.jackson.databind.node.ObjectNode;

/** A controller stands still while a short job begins and ends; users then ask it. */
final class CaseNews {
  private static final String JOB = "wk-000001";
  private static final double FROZEN_S = 8;

  private CaseNews() {}

  public static void main(String[] args) {
    Stage.play(new Stage.Plan(), CaseNews::play);
  }

  private static void play(Stage stage) throws Exception {
    stage.state.newsOrder = StateService.NewsOrder.NEWEST_FIRST;
    stage.cloud.addUp(stage.plan.hulls.get(0), "bangkok-a", true);
    stage.startControllers();
    stage.awaitLeader();
    // A first job fetches the image, so that the second one is short.
    stage.submit(Jobs.array("wk-000009", "marketplace-core", "seller-payout", 1), 0.5);
    if (!stage.await(20, () -> stage.phase("wk-000009").equals("done"))) {
      throw new Stage.CannotRun("the first job didn't end");
    }
    Stage.Controller leader = stage.leader();
    Stage.Controller other =
        stage.controllers.values().stream().filter(node -> node != leader).findFirst().get();
    if (stage.hasTrouble) {
      other.freeze(true);
    }
    double frozenAt = stage.record.seconds();
    ObjectNode job = Jobs.array(JOB, "marketplace-core", "seller-payout", 1);
    stage.jobs.upload(job, 1);
    if (stage.ask(leader, "POST", "/v2/runs", job, 5_000).status() != 201) {
      throw new Stage.CannotRun("not accepted");
    }
    boolean isDone = false;
    while (stage.record.seconds() < frozenAt + FROZEN_S) {
      Http.Answer answer = stage.ask(leader, "GET", "/v2/runs/" + JOB, null, 2_000);
      if (!stage.hasTrouble) {
        stage.ask(other, "GET", "/v2/runs/" + JOB, null, 2_000);
      }
      isDone |= answer.status() == 200 && answer.body().path("phase").asText().equals("done");
      Stage.sleep(0.2);
    }
    if (stage.hasTrouble) {
      other.freeze(false);
    }
    if (!isDone) {
      throw new Stage.CannotRun("the job wasn't done in time");
    }
    Stage.sleep(1);
    double from = stage.record.seconds();
    int wrong = 0;
    while (stage.record.seconds() < from + 25) {
      Http.Answer answer = stage.ask(other, "GET", "/v2/runs/" + JOB, null, 2_000);
      if (answer.status() == 200 && !answer.body().path("phase").asText().equals("done")) {
        wrong++;
      }
      if (answer.status() == 404) {
        wrong++;
      }
      Stage.sleep(1);
    }
    if (wrong > 0) {
      stage.record.broken(
          "went_back", "%s was called done by %s, and then not done %d times by %s",
          JOB, leader.name, wrong, other.name);
    }
  }
}
