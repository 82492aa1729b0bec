import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A controller stands still while a job begins and ends; its user then comes to it. */
final class CaseNews {
  private static final String FIRST = "wk-000009";
  private static final String JOB = "wk-000001";
  private static final double FROZEN_S = 14;
  private static final double RUN_S = 8;
  private static final double POLL_S = 5;
  private static final int POLLS_AFTERWARDS = 8;

  private CaseNews() {}

  public static void main(String[] args) {
    Stage.play(new Stage.Plan(), CaseNews::play);
  }

  private static void play(Stage stage) throws Exception {
    stage.state.newsOrder = StateService.NewsOrder.NEWEST_FIRST;
    stage.cloud.addUp(stage.plan.hulls.get(0), "bangkok-a", true);
    stage.startControllers();
    stage.awaitLeader();
    Balancer balancer = new Balancer(stage);
    // A first job fetches the image.
    stage.submit(Jobs.array(FIRST, "marketplace-core", "seller-payout", 1), 0.5);
    if (!stage.await(20, () -> stage.jobs.resultCount(FIRST) == 1)) {
      throw new Stage.CannotRun("the first job didn't end");
    }
    Stage.sleep(2);
    Stage.Controller leader = stage.leader();
    Stage.Controller other =
        stage.controllers.values().stream().filter(node -> node != leader).findFirst().get();
    // The balancer takes the user to these two in turn, as long as they are healthy.
    List<Stage.Controller> nodes = List.of(other, leader);
    if (stage.hasTrouble) {
      other.freeze(true);
    }
    double beganAt = stage.record.seconds();
    ObjectNode job = Jobs.array(JOB, "marketplace-core", "seller-payout", 1);
    stage.jobs.upload(job, RUN_S);
    if (stage.ask(leader, "POST", "/v2/runs", job, 5_000).status() != 201) {
      throw new Stage.CannotRun("not accepted");
    }
    boolean isDone = false;
    int right = 0;
    int wrong = 0;
    int polls = 0;
    boolean isFrozen = stage.hasTrouble;
    double nextPollAt = beganAt + POLL_S;
    while (polls < POLLS_AFTERWARDS) {
      double now = stage.record.seconds();
      if (isFrozen && now >= beganAt + FROZEN_S) {
        other.freeze(false);
        isFrozen = false;
      }
      if (now >= nextPollAt) {
        nextPollAt = now + POLL_S;
        polls += now >= beganAt + FROZEN_S ? 1 : 0;
        Stage.Controller node = balancer.pick(nodes);
        String phase = node == null ? null : phaseAt(stage, node);
        if (phase != null && phase.equals("done")) {
          isDone = true;
          right += node == other ? 1 : 0;
        } else if (phase != null && isDone) {
          wrong++;
          stage.record.line("state    %s was called done before", JOB);
        }
      }
      Stage.sleep(0.05);
    }
    if (!isDone) {
      throw new Stage.CannotRun("the job wasn't called done");
    }
    if (wrong > 0) {
      stage.record.broken(
          "went_back",
          "%s was called done, and afterwards something else %d times, by %s",
          JOB, wrong, other.name);
    } else if (right == 0) {
      throw new Stage.CannotRun("the user didn't come to " + other.name);
    }
  }

  /** Returns the phase that a node answers, "404", or null if it doesn't answer with either. */
  private static String phaseAt(Stage stage, Stage.Controller node) {
    Http.Answer answer = stage.ask(node, "GET", "/v2/runs/" + JOB, null, 2_000);
    if (answer.status() == 404) {
      return "404";
    }
    return answer.status() == 200 ? answer.body().path("phase").asText() : null;
  }
}
