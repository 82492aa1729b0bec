import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The load balancer's view of the nodes, by its probes of GET /ready. */
final class Balancer {
  private static final class Health {
    boolean isHealthy;
    boolean wasHealthy;
    int failuresInRow;
    int successesInRow;
    int lastSix;
    double unhealthySince;
  }

  private static final double BACK_AFTER_S = 3;

  private final Stage stage;
  private final Map<Stage.Controller, Health> healths = new HashMap<>();
  private int turn;

  Balancer(Stage stage) {
    this.stage = stage;
    for (Stage.Controller node : stage.controllers.values()) {
      Health health = new Health();
      healths.put(node, health);
      Thread prober = new Thread(() -> probe(node, health), "balancer");
      prober.setDaemon(true);
      prober.start();
    }
  }

  private void probe(Stage.Controller node, Health health) {
    try {
      while (true) {
        double sentAt = stage.record.seconds();
        update(node, health, node.isReady());
        Stage.sleep(Math.max(0, sentAt + 1 - stage.record.seconds()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void update(Stage.Controller node, Health health, boolean isSuccess) {
    health.failuresInRow = isSuccess ? 0 : health.failuresInRow + 1;
    health.successesInRow = isSuccess ? health.successesInRow + 1 : 0;
    health.lastSix = (health.lastSix << 1 | (isSuccess ? 0 : 1)) & 0x3f;
    if (health.isHealthy && (health.failuresInRow >= 2 || Integer.bitCount(health.lastSix) >= 3)) {
      health.isHealthy = false;
      health.unhealthySince = stage.record.seconds();
      stage.record.line("balancer %s is unhealthy", node.name);
    } else if (!health.isHealthy
        && (!health.wasHealthy && isSuccess
            || health.successesInRow >= 2
                && stage.record.seconds() - health.unhealthySince >= BACK_AFTER_S)) {
      health.isHealthy = true;
      health.wasHealthy = true;
      health.lastSix = 0;
      stage.record.line("balancer %s is healthy", node.name);
    }
  }

  /** Returns one of these nodes for a new connection: the next healthy one; null if none is. */
  synchronized Stage.Controller pick(List<Stage.Controller> nodes) {
    for (int i = 0; i < nodes.size(); i++) {
      Stage.Controller node = nodes.get(turn++ % nodes.size());
      if (healths.get(node).isHealthy) {
        return node;
      }
    }
    return null;
  }
}
