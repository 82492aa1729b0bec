package org.snowturn.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Copies of sites, drawn days and reports, on files of our own. */
class WorkloadCommandTest {
  private static final Path HERE = Path.of("src/test/resources/days");
  private static final String SITE = HERE.resolve("site.toml").toString();

  @TempDir private Path dir;

  private static JsonNode toml(Path p) throws IOException {
    return new TomlMapper().readTree(p.toFile());
  }

  @Test
  void aCopyHasAnotherSizeAndTheSameControllers() throws IOException {
    Path to = dir.resolve("copy.toml");
    assertEquals(
        0,
        WorkloadCommand.run(
            "copy", SITE, to.toString(), "--size", "1.5", "--restart", "0.2", "--team", "two=9"));
    JsonNode node = toml(to);
    assertEquals(30, node.at("/capacity/0/count").asInt());
    assertEquals(47, node.at("/capacity/0/spot").asInt());
    assertEquals(8, node.at("/jobs/0/initial").asInt());
    assertEquals(0.6, node.at("/jobs/0/arrivals/rate").asDouble(), 1e-9);
    assertEquals(3, node.at("/nodes/count").asInt());
    assertEquals(0.2, node.at("/nodes/restart_delay_s").asDouble());
    assertEquals("two", node.at("/teams/1/name").asText());
    assertTrue(Files.readString(to).contains("cpu_share = 0.5"), "no exponents");
  }

  @Test
  void drawnDaysRepeatAndNameOnlyWhatTheSiteHas() throws IOException {
    String a = dir.resolve("a").toString();
    String b = dir.resolve("b").toString();
    assertEquals(
        0, WorkloadCommand.run("draw", SITE, a, "--count", "20", "--size", "3", "--flood", "8"));
    assertEquals(
        0, WorkloadCommand.run("draw", SITE, b, "--from", "7", "--count", "1", "--size", "3"));
    assertNotEquals(
        Files.readString(Path.of(a, "drawn-6.toml")), Files.readString(Path.of(a, "drawn-7.toml")));
    for (int seed = 1; seed <= 20; seed++) {
      JsonNode day = toml(Path.of(a, "drawn-" + seed + ".toml")).at("/day/0");
      boolean allAtOnce = false;
      for (JsonNode f : day.path("faults")) {
        double at = f.path("at_s").asDouble();
        assertTrue(at >= 40 && at <= 300, "within the day: " + at);
        allAtOnce |= f.path("kind").asText().equals("node_crash") && f.path("count").asInt() == 3;
      }
      assertTrue(allAtOnce, "seed " + seed);
    }
  }

  @Test
  void aDayOfMeetingsHasItsKindsAndTheRefusalBeforeTheOutage() throws IOException {
    assertEquals(
        0, WorkloadCommand.run("draw", SITE, dir.toString(), "--count", "30", "--meetings"));
    Set<String> kinds = new TreeSet<>();
    for (int seed = 1; seed <= 30; seed++) {
      JsonNode day = toml(dir.resolve("drawn-" + seed + ".toml")).at("/day/0");
      boolean meets = false;
      for (JsonNode f : day.path("faults")) {
        kinds.add(f.path("kind").asText());
        for (JsonNode g : day.path("faults")) {
          double apart = g.path("at_s").asDouble() - f.path("at_s").asDouble();
          boolean pair =
              f.path("mode").asText().equals("refuse")
                  && g.path("kind").asText().equals("state_outage");
          meets |= pair && apart > 0 && apart < 5;
        }
      }
      assertTrue(meets, "seed " + seed);
      assertTrue(day.at("/jobs/0/cancelled").asDouble() > 0);
    }
    assertTrue(kinds.containsAll(Set.of("late_writes", "late_reports", "machine_deaf")));
    assertTrue(kinds.containsAll(Set.of("machine_mute", "cancel_now", "cancel_at_end")));
    assertTrue(kinds.containsAll(Set.of("odd_requests", "close_looks")));
  }

  @Test
  void whatIsWrongEndsWithStatusTwo() {
    String to = dir.resolve("x.toml").toString();
    assertEquals(2, WorkloadCommand.run("copy", SITE, to, "--size", "0"));
    assertEquals(2, WorkloadCommand.run("copy", SITE, to, "--restart", "-1"));
    assertEquals(2, WorkloadCommand.run("copy", SITE, to, "--mix", "other=2"));
    assertEquals(2, WorkloadCommand.run("copy", HERE.resolve("none.toml").toString(), to));
    assertEquals(2, WorkloadCommand.run("copy", HERE.resolve("report.json").toString(), to));
    assertEquals(2, WorkloadCommand.run("draw", SITE, to, "--count", "0"));
    assertEquals(2, WorkloadCommand.run("judge", SITE));
    assertEquals(2, WorkloadCommand.run("copy", SITE));
  }

  private DayReport withChanged(Consumer<ObjectNode> change) throws Exception {
    ObjectNode object =
        (ObjectNode) new ObjectMapper().readTree(HERE.resolve("report.json").toFile());
    ((ObjectNode) object.at("/classes/nightly"))
        .put("told_done", object.at("/classes/nightly/jobs").asInt());
    change.accept(object);
    Path p = dir.resolve("changed.json");
    new ObjectMapper().writeValue(p.toFile(), object);
    return DayReport.read(p);
  }

  @Test
  void aDayFailsByItsLargestJobsWhatWaitsAndItsProcessorTime() throws Exception {
    assertFalse(withChanged(object -> {}).fails());
    DayReport large =
        withChanged(
            object ->
                object.putObject("largest").putObject("nightly").put("jobs", 10).put("started", 4));
    assertEquals("largest nightly", large.leastServed().getKey());
    assertTrue(large.fails());
    assertTrue(withChanged(object -> object.putObject("idle").put("neglected", 1)).fails());
    assertTrue(
        withChanged(object -> object.putObject("spent").putArray("processes").add(401.0).add(1.0))
            .fails());
    DayReport slips =
        withChanged(object -> object.putObject("idle").putObject("slips").put("some", 2));
    assertTrue(slips.summaryLine().contains("some=2"), slips.summaryLine());
  }

  @Test
  void aDayOnWhichAClassIsServedLessThanHalfFails() throws Exception {
    DayReport r = DayReport.read(HERE.resolve("report.json"));
    assertEquals("nightly", r.leastServed().getKey());
    assertEquals(0.4, r.leastServed().getValue(), 1e-9);
    assertTrue(r.fails());
    assertEquals(0, r.unexpectedExits());
    assertEquals(12, r.processorS(), 1e-9);
    assertEquals(1, WorkloadCommand.run("judge", HERE.resolve("report.json").toString()));
  }
}
