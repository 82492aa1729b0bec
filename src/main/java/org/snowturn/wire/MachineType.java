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
    for (JsonNode n : new Fields(node).node("hulls")) {
      Fields f = new Fields(n);
      List<String> zones = new ArrayList<>();
      f.node("fields").forEach(z -> zones.add(z.asText()));
      out.add(
          new MachineType(
              f.text("label"),
              f.number("cores", 0, 1e6),
              f.number("cards", 0, 1e6, 0),
              f.number("ram_gb", 0, 1e9),
              f.number("local_gb", 0, 1e9, 0),
              f.number("pull_gb_per_s", 0, 1e9, 1),
              f.number("hourly", 0, 1e9, 0),
              f.number("market_price", 0, 1e9, 0),
              f.number("ready_s", 0, 1e9, 60),
              List.copyOf(zones)));
    }
    return List.copyOf(out);
  }

  /** Whether one task of the job fits an empty machine of this type. */
  public boolean fits(JobSpec s) {
    return s.cpus() <= cpus && s.gpus() <= gpus && s.memoryGb() <= memoryGb;
  }
}
