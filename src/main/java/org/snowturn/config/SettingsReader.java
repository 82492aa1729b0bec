package org.snowturn.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Reads and checks the platform's TOML file. */
public final class SettingsReader {
  private final String file;

  private SettingsReader(String file) {
    this.file = file;
  }

  /** Reads a file. */
  public static Settings read(Path path) throws SettingsException {
    SettingsReader reader = new SettingsReader(path.toString());
    JsonNode root;
    try {
      root = new TomlMapper().readTree(Files.readString(path));
    } catch (JacksonException e) {
      var at = e.getLocation();
      throw reader.bad(
          at == null ? "" : "line " + at.getLineNr(), "not TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw reader.bad("", "cannot be read");
    }
    return reader.settings(root);
  }

  private Settings settings(JsonNode root) throws SettingsException {
    JsonNode dep = table(root, "deployment", "");
    JsonNode outside = table(root, "outside", "");
    String self = text(root, "node", "");
    Set<String> names = new HashSet<>(Set.of(self));
    List<Settings.Peer> peers = new ArrayList<>();
    for (JsonNode p : root.path("peers")) {
      String name = text(p, "node", "peers.");
      if (!names.add(name)) {
        throw bad("peers.node", "named twice: " + name);
      }
      peers.add(new Settings.Peer(name, address(p, "addr", "peers.")));
    }
    List<String> zones = new ArrayList<>();
    for (JsonNode z : dep.path("zones")) {
      zones.add(z.asText());
    }
    if (zones.isEmpty()) {
      throw bad("deployment.zones", "missing or empty");
    }
    List<Settings.Team> teams = new ArrayList<>();
    for (JsonNode t : dep.path("teams")) {
      String at = "deployment.teams.";
      teams.add(
          new Settings.Team(
              text(t, "name", at),
              guarantee(t, "cpus", at),
              number(t, "cpus_max", at, 0, 0.0),
              guarantee(t, "gpus", at),
              number(t, "gpus_max", at, 0, 0.0)));
    }
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode o : dep.path("objectives")) {
      String at = "deployment.objectives.";
      objectives.add(
          new Settings.Objective(
              text(o, "kind", at),
              text(o, "class", at),
              number(o, "share", at, 0, 0.0),
              number(o, "times", at, 0, 1.0),
              number(o, "within_s", at, 0, 0.0)));
    }
    JsonNode w = table(dep, "workers", "deployment.");
    JsonNode s = table(dep, "state", "deployment.");
    JsonNode c = table(dep, "cloud", "deployment.");
    String inWorkers = "deployment.workers.";
    String inState = "deployment.state.";
    String inCloud = "deployment.cloud.";
    Settings.StateLimits limits = limits(s, inState, null);
    Settings.Workers workers =
        new Settings.Workers(
            positive(w, "report_s", inWorkers),
            positive(w, "lease_s", inWorkers),
            positive(w, "cancel_s", inWorkers));
    if (workers.cancelS() <= workers.leaseS() + 2) {
      throw bad("deployment.workers.cancel_s", "must exceed lease_s by more than 2 s");
    }
    return new Settings(
        self,
        text(root, "location", ""),
        address(root, "serve_on", ""),
        address(root, "peer_bind", ""),
        List.copyOf(peers),
        address(outside, "cloud", "outside."),
        address(outside, "state", "outside."),
        List.copyOf(zones),
        List.copyOf(teams),
        List.copyOf(objectives),
        workers,
        limits,
        s.has("next") ? limits(table(s, "next", inState), inState + "next.", limits) : limits,
        new Settings.CloudLimits(
            positive(c, "rps", inCloud), number(c, "list_lag_s", inCloud, 0, null)),
        (int) number(dep.path("machine_limits"), "max_connections", "machine_limits.", 16, 1024.0));
  }

  /** Limits of the state service; what a later table leaves out stays as it is now. */
  private Settings.StateLimits limits(JsonNode s, String at, Settings.StateLimits now)
      throws SettingsException {
    return new Settings.StateLimits(
        now != null && !s.has("rps") ? now.rps() : positive(s, "rps", at),
        now != null && !s.has("write_rps") ? now.writeRps() : positive(s, "write_rps", at),
        now != null && !s.has("value_kb") ? now.valueKb() : positive(s, "value_kb", at),
        (int) number(s, "txn_ops", at, 2, now == null ? null : (double) now.txnOps()));
  }

  private JsonNode table(JsonNode in, String name, String at) throws SettingsException {
    JsonNode node = in.path(name);
    if (!node.isObject()) {
      throw bad(at + name, node.isMissingNode() ? "missing" : "table expected");
    }
    return node;
  }

  private String text(JsonNode in, String name, String at) throws SettingsException {
    JsonNode node = in.path(name);
    if (!node.isTextual() || node.textValue().isBlank()) {
      throw bad(at + name, node.isMissingNode() ? "missing" : "text expected");
    }
    return node.textValue();
  }

  /** What a team is guaranteed may not be more than what it may use. */
  private double guarantee(JsonNode team, String name, String at) throws SettingsException {
    double v = number(team, name, at, 0, 0.0);
    double most = number(team, name + "_max", at, 0, 0.0);
    if (most > 0 && v > most) {
      throw bad(at + name, "guarantee " + v + " is above " + name + "_max " + most);
    }
    return v;
  }

  private double positive(JsonNode in, String name, String at) throws SettingsException {
    double v = number(in, name, at, 0, null);
    if (v == 0) {
      throw bad(at + name, "must be above 0");
    }
    return v;
  }

  private double number(JsonNode in, String name, String at, double min, Double absent)
      throws SettingsException {
    JsonNode node = in.path(name);
    if (node.isMissingNode() && absent != null) {
      return absent;
    }
    if (!node.isNumber()) {
      throw bad(at + name, node.isMissingNode() ? "missing" : "number expected");
    }
    double v = node.doubleValue();
    if (!(v >= min) || v > 1e12) {
      throw bad(at + name, "must be at least " + min);
    }
    return v;
  }

  private InetSocketAddress address(JsonNode in, String name, String at) throws SettingsException {
    String t = text(in, name, at);
    int colon = t.lastIndexOf(':');
    try {
      int port = Integer.parseInt(t.substring(colon + 1));
      if (colon > 0 && t.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
        return new InetSocketAddress(t.substring(0, colon), port);
      }
    } catch (IllegalArgumentException e) {
      // falls through to the one message below
    }
    throw bad(at + name, "IP address and port expected");
  }

  private SettingsException bad(String field, String what) {
    return new SettingsException(
        file + ": " + (field.isEmpty() ? "" : field + ": ") + what.replaceAll("\\s+", " "));
  }
}
