package org.snowturn.wire;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * A machine type in the cloud's catalog.
 *
 * @param memoryGb memory in GB
 * @param cacheGb local disk space for images in GB
 * @param fetchGbPerS rate at which images are fetched, in GB per second
 * @param hourlyPrice price of an on-demand machine per hour
 * @param hourlySpotPrice current price of a spot machine per hour
 * @param bootS expected time in seconds from the rental to the first heartbeat
 * @param zones zones in which the type is offered; empty if the catalog does not say
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double hourlyPrice,
    double hourlySpotPrice,
    double bootS,
    List<String> zones) {
  private static final double MAX_COUNT = 1e6;
  private static final double MAX_GB = 1e9;
  private static final double MAX_GB_PER_S = 1e9;
  private static final double MAX_PRICE = 1e9;
  private static final double MAX_BOOT_S = 1e9;
  private static final double DEFAULT_FETCH_GB_PER_S = 1;
  private static final double DEFAULT_BOOT_S = 60;

  /**
   * Parses the catalog.
   *
   * @throws MalformedException if a required field is missing or a value is invalid
   */
  public static List<MachineType> parseCatalog(JsonNode node) throws MalformedException {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode entry : new Fields(node).node("hulls")) {
      Fields fields = new Fields(entry);
      List<String> zones = new ArrayList<>();
      fields.node("fields").forEach(zone -> zones.add(zone.asText()));
      types.add(
          new MachineType(
              fields.text("label"),
              fields.number("cores", 0, MAX_COUNT),
              fields.number("cards", 0, MAX_COUNT, 0),
              fields.number("ram_gb", 0, MAX_GB),
              fields.number("local_gb", 0, MAX_GB, 0),
              fields.number("pull_gb_per_s", 0, MAX_GB_PER_S, DEFAULT_FETCH_GB_PER_S),
              fields.number("hourly", 0, MAX_PRICE, 0),
              fields.number("market_price", 0, MAX_PRICE, 0),
              fields.number("ready_s", 0, MAX_BOOT_S, DEFAULT_BOOT_S),
              List.copyOf(zones)));
    }
    return List.copyOf(types);
  }

  /** Returns whether one task of the job fits an empty machine of this type. */
  public boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus && spec.gpus() <= gpus && spec.memoryGb() <= memoryGb;
  }
}
