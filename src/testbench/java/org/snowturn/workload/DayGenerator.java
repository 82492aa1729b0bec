package org.snowturn.workload;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Generates random days for a site from the faults that site files list. The draw favours the
 * combinations that are hardest to survive: faults within seconds of each other, a crash of all
 * nodes at once, repeated crashes of one node, and all of these during a burst of jobs.
 */
final class DayGenerator {
  /** Longest interval between a fault and one that closely follows it, in seconds. */
  private static final double MAX_CLOSE_INTERVAL_S = 6;

  /** Probability that a fault closely follows the one before it. */
  private static final double CLOSE_FAULT_PROBABILITY = 0.55;

  /** Probability that another crash of one node follows a crash. */
  private static final double REPEATED_CRASH_PROBABILITY = 0.4;

  /** Share of the arrays that users cancel if overlapping faults are generated. */
  private static final double CANCELLED_SHARE = 0.3;

  /**
   * Time without new faults at the end of a day, in seconds. It shows whether the cluster recovers
   * from the last fault.
   */
  private static final double RECOVERY_TIME_S = 90;

  /** Length of the period in which faults may start, in seconds, if the day is too short. */
  private static final double MIN_FAULT_PERIOD_S = 20;

  private final SiteFile site;
  private final Map<String, List<ObjectNode>> faultsByKind;
  private final double machineScale;
  private final double maxBurstFactor;
  private final double brokenShare;
  private final boolean hasGuests;
  private final boolean hasOverlappingFaults;

  /**
   * Creates a generator of days for a site.
   *
   * @param site the site whose classes, zones and machine types the faults refer to
   * @param faultsByKind the faults to choose from, by kind
   * @param machineScale the number of machines of the site, relative to the sites that list the
   *     faults; numbers of affected machines are multiplied by it
   * @param maxBurstFactor the largest factor by which a burst multiplies arrivals
   * @param brokenShare the share of the arrays that fail on every machine
   * @param hasGuests whether a guest team submits jobs, as on a day of the site
   * @param hasOverlappingFaults whether the state service refuses first the busiest node, then all
   *     nodes, while users cancel jobs
   */
  DayGenerator(
      SiteFile site,
      Map<String, List<ObjectNode>> faultsByKind,
      double machineScale,
      double maxBurstFactor,
      double brokenShare,
      boolean hasGuests,
      boolean hasOverlappingFaults) {
    this.hasOverlappingFaults = hasOverlappingFaults;
    this.brokenShare = brokenShare;
    this.hasGuests = hasGuests;
    this.site = site;
    this.faultsByKind = faultsByKind;
    this.machineScale = machineScale;
    this.maxBurstFactor = maxBurstFactor;
  }

  /**
   * Generates the day of a seed. The same seed always gives the same day.
   *
   * @param seed the seed of the random choices
   * @param durationS the length of the day in seconds
   * @return the content of a file with this one day
   * @throws SiteFile.BadInput if guests are wanted and no day of the site has any, or a fault
   *     refers to something that the site lacks
   */
  ObjectNode generate(long seed, double durationS) throws SiteFile.BadInput {
    SplittableRandom random = new SplittableRandom(seed);
    List<ObjectNode> faults = new ArrayList<>();
    List<String> kinds = List.copyOf(faultsByKind.keySet());
    int faultCount = random.nextInt(5, 11);
    double startAt = site.warmupS();
    double endAt = Math.max(startAt + MIN_FAULT_PERIOD_S, durationS - RECOVERY_TIME_S);
    double at = random.nextDouble(startAt, endAt);
    for (int i = 0; i < faultCount; i++) {
      at =
          random.nextDouble() < CLOSE_FAULT_PROBABILITY
              ? at + random.nextDouble(MAX_CLOSE_INTERVAL_S)
              : random.nextDouble(startAt, endAt);
      at = Math.min(at, endAt);
      List<ObjectNode> candidates = faultsByKind.get(kinds.get(random.nextInt(kinds.size())));
      faults.add(vary(candidates.get(random.nextInt(candidates.size())), at, random));
    }
    if (faultsByKind.containsKey("job_burst")) {
      List<ObjectNode> candidates = faultsByKind.get("job_burst");
      ObjectNode burst =
          vary(
              candidates.get(random.nextInt(candidates.size())),
              random.nextDouble(startAt, endAt - 30),
              random);
      burst.put("factor", round(random.nextDouble(3, Math.max(3.1, maxBurstFactor))));
      faults.add(burst);
    }
    if (faultsByKind.containsKey("node_crash")) {
      double firstCrashAt = random.nextDouble(startAt, endAt);
      addCrash(faults, firstCrashAt, site.nodeCount());
      for (double crashAt = firstCrashAt;
          random.nextDouble() < REPEATED_CRASH_PROBABILITY && crashAt < endAt; ) {
        crashAt += random.nextDouble(0.2, 3);
        addCrash(faults, crashAt, 1);
      }
    }
    if (hasOverlappingFaults) {
      addRefusalThenOutage(faults, random.nextDouble(startAt, endAt), random);
    }
    faults.sort(Comparator.comparingDouble(fault -> fault.path("at_s").asDouble()));
    ObjectNode day = JsonNodeFactory.instance.objectNode();
    day.put("name", "drawn-" + seed).put("slot", "scale").put("light", false);
    day.put("seed", seed).put("duration_s", durationS);
    addJobs(day);
    ArrayNode list = day.putArray("faults");
    for (ObjectNode fault : faults) {
      site.checkReferences(fault);
      list.add(fault);
    }
    ObjectNode file = JsonNodeFactory.instance.objectNode();
    file.putArray("day").add(day);
    return file;
  }

  /** Adds the guest team of the site and the shares of broken and cancelled arrays, if wanted. */
  private void addJobs(ObjectNode day) throws SiteFile.BadInput {
    ObjectNode guestDay = hasGuests ? site.dayWithGuests() : null;
    if (hasGuests && guestDay == null) {
      throw new SiteFile.BadInput("--guests: no [[day]] of the site has teams");
    }
    if (guestDay != null) {
      for (String field : List.of("teams", "jobs", "targets")) {
        if (guestDay.has(field)) {
          day.set(field, guestDay.get(field).deepCopy());
        }
      }
    }
    if (brokenShare > 0) {
      setArrayShare(day, "broken", brokenShare);
    }
    if (hasOverlappingFaults) {
      setArrayShare(day, "cancelled", CANCELLED_SHARE);
    }
  }

  /** Sets a share for each class of arrays, and adds classes that the day does not list. */
  private void setArrayShare(ObjectNode day, String field, double share) {
    ArrayNode jobs = day.withArray("/jobs");
    for (String name : site.arrayClasses()) {
      ObjectNode found = null;
      for (JsonNode node : jobs) {
        found = node.path("name").asText().equals(name) ? (ObjectNode) node : found;
      }
      (found == null ? jobs.addObject().put("name", name) : found).put(field, share);
    }
  }

  /**
   * Adds a period in which the state service refuses the busiest node, and an outage of the state
   * service that begins seconds later.
   */
  private static void addRefusalThenOutage(
      List<ObjectNode> faults, double at, SplittableRandom random) {
    ObjectNode refused = JsonNodeFactory.instance.objectNode();
    refused.put("at_s", round(at)).put("kind", "node_cut").put("count", 1).put("busiest", true);
    refused
        .put("from_state", true)
        .put("mode", "refuse")
        .put("for_s", round(random.nextDouble(2, 30)));
    faults.add(refused);
    ObjectNode outage = JsonNodeFactory.instance.objectNode();
    outage.put("at_s", round(at + random.nextDouble(0.5, 4))).put("kind", "state_outage");
    faults.add(outage.put("for_s", round(random.nextDouble(20, 120))));
  }

  private static void addCrash(List<ObjectNode> faults, double at, int count) {
    ObjectNode fault = JsonNodeFactory.instance.objectNode();
    fault.put("at_s", round(at)).put("kind", "node_crash").put("count", count).put("busiest", true);
    faults.add(fault);
  }

  /**
   * Returns a copy of a fault at another time, with its durations, factors and number of machines
   * varied by up to half.
   */
  private ObjectNode vary(ObjectNode original, double at, SplittableRandom random) {
    ObjectNode fault = original.deepCopy();
    fault.put("at_s", round(at));
    for (String field : List.of("for_s", "factor", "every_s")) {
      if (fault.path(field).isNumber()) {
        fault.put(field, round(fault.path(field).asDouble() * random.nextDouble(0.5, 1.5)));
      }
    }
    JsonNode count = fault.path("count");
    boolean affectsMachines = fault.path("kind").asText().startsWith("machine_");
    if (affectsMachines && count.isNumber()) {
      fault.put(
          "count",
          Math.max(1, Math.round(count.asDouble() * machineScale * random.nextDouble(0.5, 1.5))));
    }
    fault.remove("upgrade"); // a copied site has no earlier version to upgrade from
    return fault;
  }

  /** Rounds to one decimal place. */
  private static double round(double value) {
    return Math.round(value * 10) / 10.0;
  }
}
