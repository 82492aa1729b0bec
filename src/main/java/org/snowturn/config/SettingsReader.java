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

/** Reads and validates the platform's settings from a TOML file. */
public final class SettingsReader {
  /** Minimum time by which the cancellation deadline exceeds the worker lease. */
  private static final double MIN_CANCELLATION_MARGIN_S = 2;

  private static final int MIN_MAX_CONNECTIONS = 16;
  private static final double DEFAULT_MAX_CONNECTIONS = 1024;
  private static final double MAX_NUMBER = 1e12;
  private static final int MIN_TRANSACTION_OPS = 2;

  private final String file;

  private SettingsReader(String file) {
    this.file = file;
  }

  /**
   * Reads and validates the settings in a file. Unknown fields are ignored.
   *
   * @throws SettingsException if the file cannot be read, is not valid TOML, or contains invalid
   *     settings
   */
  public static Settings read(Path path) throws SettingsException {
    SettingsReader reader = new SettingsReader(path.toString());
    JsonNode root;
    try {
      root = new TomlMapper().readTree(Files.readString(path));
    } catch (JacksonException e) {
      var location = e.getLocation();
      throw reader.invalid(
          location == null ? "" : "line " + location.getLineNr(),
          "invalid TOML: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw reader.invalid("", "cannot read the file: " + e);
    }
    return reader.settings(root);
  }

  private Settings settings(JsonNode root) throws SettingsException {
    JsonNode deployment = table(root, "deployment", "");
    JsonNode outside = table(root, "outside", "");
    String ownNode = text(root, "node", "");
    List<Settings.Peer> peers = peers(root, ownNode);
    List<String> zones = zones(deployment);
    List<Settings.Team> teams = teams(deployment);
    List<Settings.Objective> objectives = objectives(deployment);
    JsonNode workersTable = table(deployment, "workers", "deployment.");
    JsonNode stateTable = table(deployment, "state", "deployment.");
    JsonNode cloudTable = table(deployment, "cloud", "deployment.");
    String statePrefix = "deployment.state.";
    String cloudPrefix = "deployment.cloud.";
    Settings.StateLimits limits = limits(stateTable, statePrefix, null);
    Settings.Workers workers = workers(workersTable);
    return new Settings(
        ownNode,
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
            ? limits(table(stateTable, "next", statePrefix), statePrefix + "next.", limits)
            : limits,
        new Settings.CloudLimits(
            positive(cloudTable, "rps", cloudPrefix),
            number(cloudTable, "list_lag_s", cloudPrefix, 0, null)),
        maxConnections(deployment));
  }

  private int maxConnections(JsonNode deployment) throws SettingsException {
    JsonNode table = deployment.path("machine_limits");
    return (int)
        number(
            table,
            "max_connections",
            "machine_limits.",
            MIN_MAX_CONNECTIONS,
            DEFAULT_MAX_CONNECTIONS);
  }

  private List<Settings.Peer> peers(JsonNode root, String ownNode) throws SettingsException {
    Set<String> names = new HashSet<>(Set.of(ownNode));
    List<Settings.Peer> peers = new ArrayList<>();
    for (JsonNode peer : root.path("peers")) {
      String name = text(peer, "node", "peers.");
      if (!names.add(name)) {
        throw invalid("peers.node", "duplicate node name: " + name);
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
      throw invalid("deployment.zones", "missing or empty, expected at least one zone");
    }
    return List.copyOf(zones);
  }

  private List<Settings.Team> teams(JsonNode deployment) throws SettingsException {
    String prefix = "deployment.teams.";
    List<Settings.Team> teams = new ArrayList<>();
    for (JsonNode team : deployment.path("teams")) {
      teams.add(
          new Settings.Team(
              text(team, "name", prefix),
              guarantee(team, "cpus", prefix),
              number(team, "cpus_max", prefix, 0, 0.0),
              guarantee(team, "gpus", prefix),
              number(team, "gpus_max", prefix, 0, 0.0)));
    }
    return List.copyOf(teams);
  }

  private List<Settings.Objective> objectives(JsonNode deployment) throws SettingsException {
    String prefix = "deployment.objectives.";
    List<Settings.Objective> objectives = new ArrayList<>();
    for (JsonNode objective : deployment.path("objectives")) {
      objectives.add(
          new Settings.Objective(
              text(objective, "kind", prefix),
              text(objective, "class", prefix),
              number(objective, "share", prefix, 0, 0.0),
              number(objective, "times", prefix, 0, 1.0),
              number(objective, "within_s", prefix, 0, 0.0)));
    }
    return List.copyOf(objectives);
  }

  private Settings.Workers workers(JsonNode table) throws SettingsException {
    String prefix = "deployment.workers.";
    Settings.Workers workers =
        new Settings.Workers(
            positive(table, "report_s", prefix),
            positive(table, "lease_s", prefix),
            positive(table, "cancel_s", prefix));
    if (workers.cancellationDeadlineS() <= workers.leaseS() + MIN_CANCELLATION_MARGIN_S) {
      throw invalid(
          "deployment.workers.cancel_s",
          "must exceed lease_s by more than " + MIN_CANCELLATION_MARGIN_S + " s");
    }
    return workers;
  }

  /**
   * Reads the limits of the state service.
   *
   * @param current limits that apply where the table has no value; null if all values are required
   */
  private Settings.StateLimits limits(JsonNode table, String prefix, Settings.StateLimits current)
      throws SettingsException {
    return new Settings.StateLimits(
        current != null && !table.has("rps") ? current.maxRps() : positive(table, "rps", prefix),
        current != null && !table.has("write_rps")
            ? current.maxWriteRps()
            : positive(table, "write_rps", prefix),
        current != null && !table.has("value_kb")
            ? current.maxValueKb()
            : positive(table, "value_kb", prefix),
        (int)
            number(
                table,
                "txn_ops",
                prefix,
                MIN_TRANSACTION_OPS,
                current == null ? null : (double) current.maxTransactionOps()));
  }

  private JsonNode table(JsonNode parent, String name, String prefix) throws SettingsException {
    JsonNode node = parent.path(name);
    if (!node.isObject()) {
      throw invalid(prefix + name, node.isMissingNode() ? "missing" : "expected a table");
    }
    return node;
  }

  private String text(JsonNode parent, String name, String prefix) throws SettingsException {
    JsonNode node = parent.path(name);
    if (!node.isTextual() || node.textValue().isBlank()) {
      throw invalid(
          prefix + name, node.isMissingNode() ? "missing" : "expected a non-blank string");
    }
    return node.textValue();
  }

  /** Reads a team's guarantee for a resource and checks that it does not exceed the maximum. */
  private double guarantee(JsonNode team, String name, String prefix) throws SettingsException {
    double guarantee = number(team, name, prefix, 0, 0.0);
    double max = number(team, name + "_max", prefix, 0, 0.0);
    if (max > 0 && guarantee > max) {
      throw invalid(prefix + name, "guarantee " + guarantee + " is above " + name + "_max " + max);
    }
    return guarantee;
  }

  private double positive(JsonNode parent, String name, String prefix) throws SettingsException {
    double value = number(parent, name, prefix, 0, null);
    if (value == 0) {
      throw invalid(prefix + name, "must be greater than 0");
    }
    return value;
  }

  private double number(
      JsonNode parent, String name, String prefix, double min, Double defaultValue)
      throws SettingsException {
    JsonNode node = parent.path(name);
    if (node.isMissingNode() && defaultValue != null) {
      return defaultValue;
    }
    if (!node.isNumber()) {
      throw invalid(prefix + name, node.isMissingNode() ? "missing" : "expected a number");
    }
    double value = node.doubleValue();
    if (!(value >= min) || value > MAX_NUMBER) {
      throw invalid(
          prefix + name, "must be from " + min + " to " + MAX_NUMBER + ", but is " + value);
    }
    return value;
  }

  private InetSocketAddress address(JsonNode parent, String name, String prefix)
      throws SettingsException {
    String text = text(parent, name, prefix);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && text.substring(0, colon).matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (IllegalArgumentException e) {
      // reported by the exception below
    }
    throw invalid(
        prefix + name,
        "expected an IPv4 address and a port, such as 127.0.0.1:8080, but found " + text);
  }

  private SettingsException invalid(String field, String problem) {
    return new SettingsException(
        file + ": " + (field.isEmpty() ? "" : field + ": ") + problem.replaceAll("\\s+", " "));
  }
}
