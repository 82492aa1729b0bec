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
 * Draws a day from all kinds of trouble that sites name, weighted to what hurts: troubles that fall
 * within seconds of each other, all nodes at once, one node again and again, in a flood.
 */
final class DayGenerator {
  /** A trouble comes this soon after the one before it, as often as {@link #TOGETHER} says. */
  private static final double SOON_S = 6;

  private static final double TOGETHER = 0.55;
  private static final double AGAIN = 0.4;

  /** The share of the arrays whose users cancel them, on a day of meetings. */
  private static final double CANCELLED = 0.3;

  /** After the last trouble there is time to see what came of it. */
  private static final double CALM_S = 90;

  private final SiteFile site;
  private final Map<String, List<ObjectNode>> troubles;
  private final double size;
  private final double flood;
  private final double broken;
  private final boolean guests;
  private final boolean meetings;

  /**
   * Days for a site.
   *
   * @param troubles what may happen, by kind
   * @param size how many times as many machines there are as where the troubles were named
   * @param flood the most that a burst multiplies arrivals by
   * @param broken the share of the arrays that fail wherever they run
   * @param guests whether a guest team comes, as on a day of the site
   * @param meetings whether the busiest node is refused alone, then all are, while users cancel
   */
  DayGenerator(
      SiteFile site,
      Map<String, List<ObjectNode>> troubles,
      double size,
      double flood,
      double broken,
      boolean guests,
      boolean meetings) {
    this.meetings = meetings;
    this.broken = broken;
    this.guests = guests;
    this.site = site;
    this.troubles = troubles;
    this.size = size;
    this.flood = flood;
  }

  /** The day of a seed: always the same. */
  ObjectNode generate(long seed, double duration) throws SiteFile.BadInput {
    SplittableRandom r = new SplittableRandom(seed);
    List<ObjectNode> faults = new ArrayList<>();
    List<String> kinds = List.copyOf(troubles.keySet());
    int n = r.nextInt(5, 11);
    double from = site.warmupS();
    double until = Math.max(from + 20, duration - CALM_S);
    double at = r.nextDouble(from, until);
    for (int i = 0; i < n; i++) {
      at = r.nextDouble() < TOGETHER ? at + r.nextDouble(SOON_S) : r.nextDouble(from, until);
      at = Math.min(at, until);
      List<ObjectNode> some = troubles.get(kinds.get(r.nextInt(kinds.size())));
      faults.add(vary(some.get(r.nextInt(some.size())), at, r));
    }
    if (troubles.containsKey("job_burst")) {
      List<ObjectNode> some = troubles.get("job_burst");
      ObjectNode burst = vary(some.get(r.nextInt(some.size())), r.nextDouble(from, until - 30), r);
      burst.put("factor", round(r.nextDouble(3, Math.max(3.1, flood))));
      faults.add(burst);
    }
    if (troubles.containsKey("node_crash")) {
      double crash = r.nextDouble(from, until);
      crash(faults, crash, site.nodeCount());
      for (double t = crash; r.nextDouble() < AGAIN && t < until; ) {
        t += r.nextDouble(0.2, 3);
        crash(faults, t, 1);
      }
    }
    if (meetings) {
      refusedThenOut(faults, r.nextDouble(from, until), r);
    }
    faults.sort(Comparator.comparingDouble(f -> f.path("at_s").asDouble()));
    ObjectNode day = JsonNodeFactory.instance.objectNode();
    day.put("name", "drawn-" + seed).put("slot", "scale").put("light", false);
    day.put("seed", seed).put("duration_s", duration);
    who(day);
    ArrayNode list = day.putArray("faults");
    for (ObjectNode f : faults) {
      site.checkReferences(f);
      list.add(f);
    }
    ObjectNode file = JsonNodeFactory.instance.objectNode();
    file.putArray("day").add(day);
    return file;
  }

  /** Who comes on the day: guests as the site names them, and jobs that are broken. */
  private void who(ObjectNode day) throws SiteFile.BadInput {
    ObjectNode like = guests ? site.dayWithGuests() : null;
    if (guests && like == null) {
      throw new SiteFile.BadInput("--guests: no day of the site has any");
    }
    if (like != null) {
      for (String field : List.of("teams", "jobs", "targets")) {
        if (like.has(field)) {
          day.set(field, like.get(field).deepCopy());
        }
      }
    }
    if (broken > 0) {
      ofArrays(day, "broken", broken);
    }
    if (meetings) {
      ofArrays(day, "cancelled", CANCELLED);
    }
  }

  private void ofArrays(ObjectNode day, String field, double share) {
    ArrayNode jobs = day.withArray("/jobs");
    for (String name : site.arrayClasses()) {
      ObjectNode found = null;
      for (JsonNode node : jobs) {
        found = node.path("name").asText().equals(name) ? (ObjectNode) node : found;
      }
      (found == null ? jobs.addObject().put("name", name) : found).put(field, share);
    }
  }

  /** The state service refuses the busiest node alone, and a moment later everybody. */
  private static void refusedThenOut(List<ObjectNode> faults, double at, SplittableRandom r) {
    ObjectNode refused = JsonNodeFactory.instance.objectNode();
    refused.put("at_s", round(at)).put("kind", "node_cut").put("count", 1).put("busiest", true);
    refused.put("from_state", true).put("mode", "refuse").put("for_s", round(r.nextDouble(2, 30)));
    faults.add(refused);
    ObjectNode out = JsonNodeFactory.instance.objectNode();
    out.put("at_s", round(at + r.nextDouble(0.5, 4))).put("kind", "state_outage");
    faults.add(out.put("for_s", round(r.nextDouble(20, 120))));
  }

  private static void crash(List<ObjectNode> faults, double at, int count) {
    ObjectNode f = JsonNodeFactory.instance.objectNode();
    f.put("at_s", round(at)).put("kind", "node_crash").put("count", count).put("busiest", true);
    faults.add(f);
  }

  private ObjectNode vary(ObjectNode named, double at, SplittableRandom r) {
    ObjectNode f = named.deepCopy();
    f.put("at_s", round(at));
    for (String field : List.of("for_s", "factor", "every_s")) {
      if (f.path(field).isNumber()) {
        f.put(field, round(f.path(field).asDouble() * r.nextDouble(0.5, 1.5)));
      }
    }
    JsonNode count = f.path("count");
    boolean machines = f.path("kind").asText().startsWith("machine_");
    if (machines && count.isNumber()) {
      f.put("count", Math.max(1, Math.round(count.asDouble() * size * r.nextDouble(0.5, 1.5))));
    }
    f.remove("upgrade"); // a copy has no version before it
    return f;
  }

  private static double round(double x) {
    return Math.round(x * 10) / 10.0;
  }
}
