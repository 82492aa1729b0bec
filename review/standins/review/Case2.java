package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/** An array of small tasks, of which more fit on a machine than one message can name. */
final class Case2 extends Case {
  private static final int FLAKES = 1_500;

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
    ObjectNode service =
        Deployment.job(
            "wk-000001", "storefront", "marketplace-core-00", "service", "production", 1);
    service.put("cores", 1.0).put("ram_gb", 4.0);
    deployment.upload(service, 0);
    require(deployment.submit(service) == 201, "the service was not accepted");
    require(await(25, () -> deployment.isRunning("wk-000001/0")), "the service did not start");

    ObjectNode array =
        Deployment.job(
            "wk-000002", "thumb-fixups", "marketplace-core-01", "batch", "low", FLAKES);
    array.put("cores", trouble ? 0.01 : 0.1).put("ram_gb", trouble ? 0.04 : 0.4);
    array.put("loaners", false);
    deployment.upload(array, 5_000);
    require(deployment.submit(array) == 201, "the array was not accepted");
    await(105 - deployment.seconds(), () -> deployment.resultCount("wk-000002") == FLAKES);

    Map<String, Integer> oversize = deployment.oversize();
    String seen =
        "longer than 64 KiB: "
            + oversize
            + "; wk-000002 has "
            + deployment.resultCount("wk-000002")
            + " of "
            + FLAKES
            + " tasks done; the replica of wk-000001 was lost "
            + deployment.losses("wk-000001/0")
            + " times";
    deployment.record("test", seen);
    return oversize.isEmpty() ? null : seen;
  }
}
