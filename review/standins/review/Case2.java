package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/** One task of an array fails once on the only machine that is up. */
final class Case2 extends Case {
  private static final String JOB = "wk-000001";
  private static final int FLAKES = 3;
  private static final double BOUND_S = 90;

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

  private boolean isAnyRunning() {
    for (int task = 0; task < FLAKES; task++) {
      if (deployment.isRunning(JOB + "/" + task)) {
        return true;
      }
    }
    return false;
  }

  @Override
  String run() throws Exception {
    ObjectNode job =
        Deployment.job(JOB, "seller-payout", "marketplace-core-00", "batch", "high", FLAKES);
    job.put("cores", 4.0).put("ram_gb", 10.0);
    deployment.upload(job, 5_000);
    if (trouble) {
      deployment.failOnce(JOB + "/0");
    }
    int status = deployment.submit(job);
    require(status == 200 || status == 201, "the job was not accepted");
    int expected = trouble ? FLAKES - 1 : FLAKES;
    boolean haveEnded = await(25, () -> deployment.resultCount(JOB) == expected);
    require(haveEnded, "the tasks did not run");

    // From here on nothing fails. The wait is counted from the last moment with a task or without
    // a machine that fits and has room.
    double waitingSince = deployment.seconds();
    int startsBefore = deployment.starts();
    while (deployment.seconds() < 115
        && deployment.seconds() - waitingSince <= BOUND_S + 2
        && deployment.resultCount(JOB) < FLAKES) {
      if (isAnyRunning() || deployment.cloud.idleMachines().isEmpty()) {
        waitingSince = deployment.seconds();
      }
      Net.sleep(200);
    }
    double waitedS = deployment.seconds() - waitingSince;
    String seen =
        String.format(
            "%s has %d of %d tasks done, %d starts since the error, no task for %.0f s, answer %s;"
                + " machines that fit and have room: %s",
            JOB,
            deployment.resultCount(JOB),
            FLAKES,
            deployment.starts() - startsBefore,
            waitedS,
            deployment.poll(deployment.nodes.get(0), JOB).text(),
            deployment.cloud.idleMachines());
    deployment.record("test", seen);
    return deployment.resultCount(JOB) < FLAKES && waitedS > BOUND_S ? seen : null;
  }
}
