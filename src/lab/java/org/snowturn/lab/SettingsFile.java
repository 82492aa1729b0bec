package org.snowturn.lab;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.snowturn.sim.Region;
import org.snowturn.sim.RegionPlan;

/** Writes a controller's settings for a scale run, in the platform's form. */
final class SettingsFile {
  private SettingsFile() {}

  static String of(
      ControllerProcess self,
      List<ControllerProcess> all,
      RegionPlan plan,
      Region region,
      Region.Outside outside,
      PeerAddresses addresses)
      throws IOException {
    StringBuilder s = new StringBuilder();
    text(s, "node", self.name);
    text(s, "location", self.zone);
    text(s, "serve_on", at(self.serving));
    text(s, "peer_bind", at(self.peerBind));
    for (ControllerProcess p : all) {
      if (p != self) {
        s.append("[[peers]]\n");
        text(s, "node", p.name);
        text(s, "location", p.zone);
        text(s, "addr", at(addresses.of(self, p)));
      }
    }
    s.append("[outside]\n");
    text(s, "cloud", at(outside.cloud().get(self.name)));
    text(s, "state", at(outside.state().get(self.name)));
    s.append("[deployment]\ninitial_size = ").append(all.size()).append('\n');
    s.append("zones = [");
    plan.zones().forEach(z -> s.append('"').append(z).append("\", "));
    s.append("]\nclock_error_ms = 250.0\n");
    for (Region.Team t : region.teams()) {
      s.append("[[deployment.teams]]\n");
      text(s, "name", t.name());
      number(s, "cpus_max", t.mostCpus());
    }
    objective(s, "deadline", "short", 0.99, "times = 1.0");
    objective(s, "wait", "urgent", 0.95, "within_s = 1.3");
    limits(s, plan);
    return s.toString();
  }

  private static void limits(StringBuilder s, RegionPlan plan) {
    s.append("[deployment.workers]\n");
    number(s, "report_s", plan.figures().reportS());
    number(s, "lease_s", plan.figures().leaseS());
    number(s, "cancel_s", plan.figures().cancelS());
    s.append("[deployment.state]\n");
    number(s, "rps", plan.state().rps());
    number(s, "write_rps", plan.state().writeRps());
    number(s, "value_kb", plan.state().valueKb());
    s.append("txn_ops = ").append(plan.state().txnOps()).append('\n');
    s.append("[deployment.cloud]\n");
    number(s, "rps", plan.cloud().rps());
    number(s, "list_lag_s", plan.cloud().listLagS());
    s.append("[deployment.machine_limits]\n");
    s.append("max_connections = ").append(plan.maxConnections()).append('\n');
  }

  private static void objective(
      StringBuilder s, String kind, String jobClass, double share, String more) {
    s.append("[[deployment.objectives]]\n");
    text(s, "kind", kind);
    text(s, "class", jobClass);
    number(s, "share", share);
    s.append(more).append('\n');
  }

  private static void text(StringBuilder s, String name, String value) {
    s.append(name).append(" = \"").append(value).append("\"\n");
  }

  private static void number(StringBuilder s, String name, double value) {
    s.append(String.format(Locale.ROOT, "%s = %.3f%n", name, value));
  }

  private static String at(java.net.InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }
}
