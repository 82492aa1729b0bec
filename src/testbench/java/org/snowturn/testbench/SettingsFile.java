package org.snowturn.testbench;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.snowturn.simulation.LoopbackCluster;
import org.snowturn.simulation.LoopbackPlan;

/** Writes a controller's settings for a scale run, in the platform's form. */
final class SettingsFile {
  private SettingsFile() {}

  static String render(
      ControllerProcess self,
      List<ControllerProcess> all,
      LoopbackPlan plan,
      LoopbackCluster region,
      LoopbackCluster.Outside outside,
      PeerAddresses addresses)
      throws IOException {
    StringBuilder s = new StringBuilder();
    text(s, "node", self.name);
    text(s, "location", self.zone);
    text(s, "serve_on", at(self.servingAddress));
    text(s, "peer_bind", at(self.peerBindAddress));
    for (ControllerProcess p : all) {
      if (p != self) {
        s.append("[[peers]]\n");
        text(s, "node", p.name);
        text(s, "location", p.zone);
        text(s, "addr", at(addresses.resolve(self, p)));
      }
    }
    s.append("[outside]\n");
    text(s, "cloud", at(outside.cloud().get(self.name)));
    text(s, "state", at(outside.state().get(self.name)));
    s.append("[deployment]\ninitial_size = ").append(all.size()).append('\n');
    s.append("zones = [");
    plan.zones().forEach(z -> s.append('"').append(z).append("\", "));
    s.append("]\nclock_error_ms = 250.0\n");
    for (LoopbackCluster.Team t : region.teams()) {
      s.append("[[deployment.teams]]\n");
      text(s, "name", t.name());
      number(s, "cpus_max", t.mostCpus());
    }
    objective(s, "deadline", "short", 0.99, "times = 1.0");
    objective(s, "wait", "urgent", 0.95, "within_s = 1.3");
    limits(s, plan);
    return s.toString();
  }

  private static void limits(StringBuilder text, LoopbackPlan plan) {
    text.append("[deployment.workers]\n");
    number(text, "report_s", plan.figures().reportS());
    number(text, "lease_s", plan.figures().leaseS());
    number(text, "cancel_s", plan.figures().cancelS());
    text.append("[deployment.state]\n");
    number(text, "rps", plan.state().rps());
    number(text, "write_rps", plan.state().writeRps());
    number(text, "value_kb", plan.state().valueKb());
    text.append("txn_ops = ").append(plan.state().txnOps()).append('\n');
    text.append("[deployment.cloud]\n");
    number(text, "rps", plan.cloud().rps());
    number(text, "list_lag_s", plan.cloud().listLagS());
    text.append("[deployment.machine_limits]\n");
    text.append("max_connections = ").append(plan.maxConnections()).append('\n');
  }

  private static void objective(
      StringBuilder s, String kind, String jobClass, double share, String more) {
    s.append("[[deployment.objectives]]\n");
    text(s, "kind", kind);
    text(s, "class", jobClass);
    number(s, "share", share);
    s.append(more).append('\n');
  }

  private static void text(StringBuilder text, String name, String value) {
    text.append(name).append(" = \"").append(value).append("\"\n");
  }

  private static void number(StringBuilder text, String name, double value) {
    text.append(String.format(Locale.ROOT, "%s = %.3f%n", name, value));
  }

  private static String at(java.net.InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }
}
