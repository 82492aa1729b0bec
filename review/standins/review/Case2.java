package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** A job bound to one zone loses its machine while machines of other zones have room. */
final class Case2 extends Case {
  private static final String ZONE = "chiangmai";
  private static final int FLAKES = 2;

  public static void main(String[] args) {
    main(new Case2(), args);
  }

  @Override
  Deployment.Settings settings() {
    return Sites.chiangHands();
  }

  @Override
  List<Cloud.Type> types() {
    return Sites.chiangHandsTypes();
  }

  @Override
  String run() throws Exception {
    ObjectNode other =
        Deployment.job("wk-000001", "seller-payout", "marketplace-core-00", "batch", "high", 10);
    other.put("cores", 4.0).put("ram_gb", 10.0).put("guess_s", 5.0);
    deployment.upload(other, 5_000);
    ObjectNode bound =
        Deployment.job(
            "wk-000002", "seller-payout", "marketplace-core-01", "batch", "high", FLAKES);
    bound.put("cores", 4.0).put("ram_gb", 10.0).put("guess_s", 30.0).put("field", ZONE);
    deployment.upload(bound, 30_000);
    require(deployment.submit(other) == 201, "wk-000001 was not accepted");
    require(deployment.submit(bound) == 201, "wk-000002 was not accepted");
    boolean isRunning =
        await(
            30,
            () ->
                deployment.resultCount("wk-000001") == 10
                    && deployment.isRunning("wk-000002/0")
                    && deployment.isRunning("wk-000002/1"));
    require(isRunning, "the jobs did not start");
    int hiredBefore = deployment.cloud.hiredIn(ZONE);
    if (trouble) {
      for (Worker worker : deployment.cloud.workers()) {
        if (worker.zone().equals(ZONE)) {
          worker.die();
        }
      }
    }
    double lostAt = deployment.seconds();
    // 90 s after the trouble, which is over at once: the machines that stopped stay away.
    await(
        Math.min(92, 113 - deployment.seconds()),
        () -> deployment.resultCount("wk-000002") == FLAKES);

    boolean isDone = deployment.resultCount("wk-000002") == FLAKES;
    boolean isBusy = deployment.isRunning("wk-000002/0") || deployment.isRunning("wk-000002/1");
    int hired = deployment.cloud.hiredIn(ZONE) - hiredBefore;
    int free = deployment.cloud.freeSpotIn(ZONE, types().get(0));
    String seen =
        String.format(
            "%.0f s after the loss wk-000002 has %d of %d tasks done, %s running, answer %s;"
                + " %d machines asked for in %s since, of %d that the cloud has there",
            deployment.seconds() - lostAt,
            deployment.resultCount("wk-000002"),
            FLAKES,
            isBusy ? "some" : "none",
            deployment.poll(deployment.nodes.get(0), "wk-000002").text(),
            hired,
            ZONE,
            free);
    deployment.record("test", seen);
    return isDone || isBusy || hired > 0 ? null : seen;
  }
}
