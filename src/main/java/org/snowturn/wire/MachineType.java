package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** A row of the cloud's catalog. */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Reads the catalog. */
  public static List<MachineType> parseCatalog(JsonNode node) throws MalformedException {
    List<MachineType> out = new ArrayList<>();
    for (JsonNode row : new Fields(node).node("hulls")) {
      Fields fields = new Fields(row);
      List<String> zones = new ArrayList<>();
      fields.node("fields").forEach(zone -> zones.add(zone.asText()));
      out.add(
          new MachineType(
              fields.text("label"),
              fields.number("cores", 0, 1e6),
              fields.number("cards", 0, 1e6, 0),
              fields.number("ram_gb", 0, 1e9),
              fields.number("local_gb", 0, 1e9, 0),
              fields.number("pull_gb_per_s", 0, 1e9, 1),
              fields.number("hourly", 0, 1e9, 0),
              fields.number("market_price", 0, 1e9, 0),
              fields.number("ready_s", 0, 1e9, 60),
              List.copyOf(zones)));
    }
    return List.copyOf(out);
  }

  /** Whether one task of the job fits an empty machine of this type. */
  public boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus && spec.gpus() <= gpus && spec.memoryGb() <= memoryGb;
  }
}
