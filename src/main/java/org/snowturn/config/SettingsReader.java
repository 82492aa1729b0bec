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
  private static final double MIN_CANCEL_MARGIN_S = 2;

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
    JsonNode deployment = table(root, "deployment", "");
    JsonNode outside = table(root, "outside", "");
    String self = text(root, "node", "");
    List<Settings.Peer> peers = peers(root, self);
    List<String> zones = zones(deployment);
    List<Settings.Team> teams = teams(deployment);
    List<Settings.Objective> objectives = objectives(deployment);
    JsonNode workersTable = table(deployment, "workers", "deployment.");
    JsonNode stateTable = table(deployment, "state", "deployment.");
    JsonNode cloudTable = table(deployment, "cloud", "deployment.");
    String inState = "deployment.state.";
    String inCloud = "deployment.cloud.";
    Settings.StateLimits limits = limits(stateTable, inState, null);
    Settings.Workers workers = workers(workersTable);
    return new Settings(
        self,
        text(root, "location", ""),
        address(root, "serve_on", ""),
        address(root, "peer_bind", ""),
        peers,
        address(outside, "cloud", "outside."),
        address(outside, "state", "outside."),
        zones,
        teams,
        objectives,
        workers,
        limits,
        stateTable.has("next")
            ? limits(table(stateTable, "next", inState), inState + "next.", limits)
            : limits,
        new Settings.CloudLimits(
            positive(cloudTable, "rps", inCloud),
            number(cloudTable, "list_lag_s", inCloud, 0, null)),
        maxConnections(deployment));
  }

  private int maxConnections(JsonNode deployment) throws SettingsException {
    JsonNode table = deployment.path("machine_limits");
    return (int) number(table, "max_connections", "machine_limits.", 16, 1024.0);
  }

  private List<Settings.Peer> peers(JsonNode root, String self) throws SettingsException {
    Set<String> names = new HashSet<>(Set.of(self));
    List<Settings.Peer> peers = new ArrayList<>();
    for (JsonNode peer : root.path("peers")) {
      String name = text(peer, "node", "peers.");
      if (!names.add(name)) {
        throw bad("peers.node", "named twice: " + name);
      }
      peers.add(new Settings.Peer(name, address(peer, "addr", "peers.")));
    }
    return List.copyOf(peers);
  }

  private List<String> zones(JsonNode deployment) throws SettingsException {
    List<String> zones = new ArrayList<>();
    for (JsonNode zone : deployment.path("zones")) {
      zones.add(zone.asText());
    }
    if (zones.isEmpty()) {
      throw bad("deployment.zones", "missing or empty");
    }
    return List.copyOf(zones);
  }

  private List<Settings.Team> teams(JsonNode deployment) throws SettingsException {
    String at = "deployment.teams.";
    List<Settings.Team> teams = new ArrayList<>();
    for (JsonNode team : deployment.path("teams")) {
      teams.add(
          new Settings.Team(
              text(team, "name", at),
              guarantee(team, "cpus", at),
              number(team, "cpus_max", at, 0, 0.0),
              guarantee(team, "gpus", at),
              number(team, "gpus_max", at, 0, 0.0)));
    }
    return List.copyOf(teams);
  }

  private List<Settings.Objective> objectives(JsonNode deployment) throws SettingsException {
    String at = "deployment.objectives.";
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode objective : deployment.path("objectives")) {
      objectives.add(
          new Settings.Objective(
              text(objective, "kind", at),
              text(objective, "class", at),
              number(objective, "share", at, 0, 0.0),
              number(objective, "times", at, 0, 1.0),
              number(objective, "within_s", at, 0, 0.0)));
    }
    return List.copyOf(objectives);
  }

  private Settings.Workers workers(JsonNode table) throws SettingsException {
    String at = "deployment.workers.";
    Settings.Workers workers =
        new Settings.Workers(
            positive(table, "report_s", at),
            positive(table, "lease_s", at),
            positive(table, "cancel_s", at));
    if (workers.cancellationDeadlineS() <= workers.leaseS() + MIN_CANCEL_MARGIN_S) {
      throw bad("deployment.workers.cancel_s", "must exceed lease_s by more than 2 s");
    }
    return workers;
  }

  /** Limits of the state service; what a later table leaves out stays as it is now. */
  private Settings.StateLimits limits(JsonNode table, String at, Settings.StateLimits now)
      throws SettingsException {
    return new Settings.StateLimits(
        now != null && !table.has("rps") ? now.maxRps() : positive(table, "rps", at),
        now != null && !table.has("write_rps")
            ? now.maxWriteRps()
            : positive(table, "write_rps", at),
        now != null && !table.has("value_kb") ? now.maxValueKb() : positive(table, "value_kb", at),
        (int)
            number(table, "txn_ops", at, 2, now == null ? null : (double) now.maxTransactionOps()));
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
    double guarantee = number(team, name, at, 0, 0.0);
    double most = number(team, name + "_max", at, 0, 0.0);
    if (most > 0 && guarantee > most) {
      throw bad(at + name, "guarantee " + guarantee + " is above " + name + "_max " + most);
    }
    return guarantee;
  }

  private double positive(JsonNode in, String name, String at) throws SettingsException {
    double value = number(in, name, at, 0, null);
    if (value == 0) {
      throw bad(at + name, "must be above 0");
    }
    return value;
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
    double value = node.doubleValue();
    if (!(value >= min) || value > 1e12) {
      throw bad(at + name, "must be at least " + min);
    }
    return value;
  }

  private InetSocketAddress address(JsonNode in, String name, String at) throws SettingsException {
    String text = text(in, name, at);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && text.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
        return new InetSocketAddress(text.substring(0, colon), port);
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
