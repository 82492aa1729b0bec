package org.snowturn.testbench;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.snowturn.simulation.LoopbackCluster;
import org.snowturn.simulation.LoopbackPlan;

/** Generates the settings file of a controller for a scale or soak run. */
final class SettingsFile {
  private SettingsFile() {}

  /**
   * Returns the text of a controller's settings file, in TOML.
   *
   * @param self the controller
   * @param all all controllers of the region, including {@code self}
   * @param plan zones and limits of the region
   * @param cluster simulated cluster that defines the teams
   * @param externalServices addresses of the cloud and the state service for each controller
   * @param addresses addresses under which controllers connect to their peers
   */
  static String render(
      ControllerProcess self,
      List<ControllerProcess> all,
      LoopbackPlan plan,
      LoopbackCluster cluster,
      LoopbackCluster.ServiceAddresses externalServices,
      PeerAddresses addresses)
      throws IOException {
    StringBuilder toml = new StringBuilder();
    appendText(toml, "node", self.name);
    appendText(toml, "location", self.zone);
    appendText(toml, "serve_on", hostAndPort(self.servingAddress));
    appendText(toml, "peer_bind", hostAndPort(self.peerBindAddress));
    for (ControllerProcess peer : all) {
      if (peer != self) {
        toml.append("[[peers]]\n");
        appendText(toml, "node", peer.name);
        appendText(toml, "location", peer.zone);
        appendText(toml, "addr", hostAndPort(addresses.resolve(self, peer)));
      }
    }
    toml.append("[outside]\n");
    appendText(toml, "cloud", hostAndPort(externalServices.cloud().get(self.name)));
    appendText(toml, "state", hostAndPort(externalServices.state().get(self.name)));
    toml.append("[deployment]\ninitial_size = ").append(all.size()).append('\n');
    toml.append("zones = [");
    plan.zones().forEach(zone -> toml.append('"').append(zone).append("\", "));
    toml.append("]\nclock_error_ms = 250.0\n");
    for (LoopbackCluster.Team team : cluster.teams()) {
      toml.append("[[deployment.teams]]\n");
      appendText(toml, "name", team.name());
      appendNumber(toml, "cpus_max", team.maxCpus());
    }
    appendObjective(toml, "deadline", "short", 0.99, "times = 1.0");
    appendObjective(toml, "wait", "urgent", 0.95, "within_s = 1.3");
    appendLimits(toml, plan);
    return toml.toString();
  }

  private static void appendLimits(StringBuilder toml, LoopbackPlan plan) {
    toml.append("[deployment.workers]\n");
    appendNumber(toml, "report_s", plan.workerSettings().heartbeatIntervalS());
    appendNumber(toml, "lease_s", plan.workerSettings().leaseS());
    appendNumber(toml, "cancel_s", plan.workerSettings().cancellationDeadlineS());
    toml.append("[deployment.state]\n");
    appendNumber(toml, "rps", plan.stateLimits().maxRps());
    appendNumber(toml, "write_rps", plan.stateLimits().maxWriteRps());
    appendNumber(toml, "value_kb", plan.stateLimits().maxValueKb());
    toml.append("txn_ops = ").append(plan.stateLimits().maxTransactionOps()).append('\n');
    toml.append("[deployment.cloud]\n");
    appendNumber(toml, "rps", plan.cloudLimits().maxRps());
    appendNumber(toml, "list_lag_s", plan.cloudLimits().listLagS());
    toml.append("[deployment.machine_limits]\n");
    toml.append("max_connections = ").append(plan.maxConnections()).append('\n');
  }

  private static void appendObjective(
      StringBuilder toml, String kind, String jobClass, double share, String targetEntry) {
    toml.append("[[deployment.objectives]]\n");
    appendText(toml, "kind", kind);
    appendText(toml, "class", jobClass);
    appendNumber(toml, "share", share);
    toml.append(targetEntry).append('\n');
  }

  private static void appendText(StringBuilder toml, String name, String value) {
    toml.append(name).append(" = \"").append(value).append("\"\n");
  }

  private static void appendNumber(StringBuilder toml, String name, double value) {
    toml.append(String.format(Locale.ROOT, "%s = %.3f%n", name, value));
  }

  private static String hostAndPort(java.net.InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
