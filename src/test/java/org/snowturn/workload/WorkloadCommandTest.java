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

/** Guards against wrong copies of site files, wrong generated days, and failed days that pass. */
class WorkloadCommandTest {
  private static final Path RESOURCES = Path.of("src/test/resources/days");
  private static final String SITE = RESOURCES.resolve("site.toml").toString();

  @TempDir private Path directory;

  private static JsonNode readToml(Path path) throws IOException {
    return new TomlMapper().readTree(path.toFile());
  }

  @Test
  void aCopyHasAnotherSizeAndTheSameControllers() throws IOException {
    Path target = directory.resolve("copy.toml");
    assertEquals(
        0,
        WorkloadCommand.run(
            "copy",
            SITE,
            target.toString(),
            "--size",
            "1.5",
            "--restart",
            "0.2",
            "--team",
            "two=9"));
    JsonNode node = readToml(target);
    assertEquals(30, node.at("/capacity/0/count").asInt());
    assertEquals(47, node.at("/capacity/0/spot").asInt());
    assertEquals(8, node.at("/jobs/0/initial").asInt());
    assertEquals(0.6, node.at("/jobs/0/arrivals/rate").asDouble(), 1e-9);
    assertEquals(3, node.at("/nodes/count").asInt());
    assertEquals(0.2, node.at("/nodes/restart_delay_s").asDouble());
    assertEquals("two", node.at("/teams/1/name").asText());
    assertTrue(Files.readString(target).contains("cpu_share = 0.5"), "numbers have no exponents");
  }

  @Test
  void generatedDaysDifferBySeedAndHaveACrashOfAllNodes() throws IOException {
    String firstDirectory = directory.resolve("a").toString();
    String secondDirectory = directory.resolve("b").toString();
    assertEquals(
        0,
        WorkloadCommand.run(
            "draw", SITE, firstDirectory, "--count", "20", "--size", "3", "--flood", "8"));
    assertEquals(
        0,
        WorkloadCommand.run(
            "draw", SITE, secondDirectory, "--from", "7", "--count", "1", "--size", "3"));
    assertNotEquals(
        Files.readString(Path.of(firstDirectory, "drawn-6.toml")),
        Files.readString(Path.of(firstDirectory, "drawn-7.toml")));
    for (int seed = 1; seed <= 20; seed++) {
      JsonNode day = readToml(Path.of(firstDirectory, "drawn-" + seed + ".toml")).at("/day/0");
      boolean hasCrashOfAllNodes = false;
      for (JsonNode fault : day.path("faults")) {
        double at = fault.path("at_s").asDouble();
        assertTrue(at >= 40 && at <= 300, "within the day: " + at);
        hasCrashOfAllNodes |=
            fault.path("kind").asText().equals("node_crash") && fault.path("count").asInt() == 3;
      }
      assertTrue(hasCrashOfAllNodes, "seed " + seed);
    }
  }

  @Test
  void overlappingFaultsHaveAllKindsAndARefusalBeforeAnOutage() throws IOException {
    assertEquals(
        0, WorkloadCommand.run("draw", SITE, directory.toString(), "--count", "30", "--meetings"));
    Set<String> kinds = new TreeSet<>();
    for (int seed = 1; seed <= 30; seed++) {
      JsonNode day = readToml(directory.resolve("drawn-" + seed + ".toml")).at("/day/0");
      boolean hasRefusalBeforeOutage = false;
      for (JsonNode fault : day.path("faults")) {
        kinds.add(fault.path("kind").asText());
        for (JsonNode later : day.path("faults")) {
          double intervalS = later.path("at_s").asDouble() - fault.path("at_s").asDouble();
          boolean isRefusalAndOutage =
              fault.path("mode").asText().equals("refuse")
                  && later.path("kind").asText().equals("state_outage");
          hasRefusalBeforeOutage |= isRefusalAndOutage && intervalS > 0 && intervalS < 5;
        }
      }
      assertTrue(hasRefusalBeforeOutage, "seed " + seed);
      assertTrue(day.at("/jobs/0/cancelled").asDouble() > 0);
    }
    assertTrue(kinds.containsAll(Set.of("late_writes", "late_reports", "machine_deaf")));
    assertTrue(kinds.containsAll(Set.of("machine_mute", "cancel_now", "cancel_at_end")));
    assertTrue(kinds.containsAll(Set.of("odd_requests", "close_looks")));
  }

  @Test
  void invalidInputExitsWithStatusTwo() {
    String target = directory.resolve("x.toml").toString();
    assertEquals(2, WorkloadCommand.run("copy", SITE, target, "--size", "0"));
    assertEquals(2, WorkloadCommand.run("copy", SITE, target, "--restart", "-1"));
    assertEquals(2, WorkloadCommand.run("copy", SITE, target, "--mix", "other=2"));
    assertEquals(2, WorkloadCommand.run("copy", RESOURCES.resolve("none.toml").toString(), target));
    assertEquals(
        2, WorkloadCommand.run("copy", RESOURCES.resolve("report.json").toString(), target));
    assertEquals(2, WorkloadCommand.run("draw", SITE, target, "--count", "0"));
    assertEquals(2, WorkloadCommand.run("judge", SITE));
    assertEquals(2, WorkloadCommand.run("copy", SITE));
  }

  private DayReport readChanged(Consumer<ObjectNode> change) throws Exception {
    ObjectNode object =
        (ObjectNode) new ObjectMapper().readTree(RESOURCES.resolve("report.json").toFile());
    ((ObjectNode) object.at("/classes/nightly"))
        .put("told_done", object.at("/classes/nightly/jobs").asInt());
    change.accept(object);
    Path path = directory.resolve("changed.json");
    new ObjectMapper().writeValue(path.toFile(), object);
    return DayReport.read(path);
  }

  @Test
  void aDayFailsForUnservedLargeJobsNeglectedJobsOrProcessorTime() throws Exception {
    assertFalse(readChanged(object -> {}).fails());
    DayReport unservedLargeJobs =
        readChanged(
            object ->
                object.putObject("largest").putObject("nightly").put("jobs", 10).put("started", 4));
    assertEquals("largest nightly", unservedLargeJobs.leastServed().getKey());
    assertTrue(unservedLargeJobs.fails());
    assertTrue(readChanged(object -> object.putObject("idle").put("neglected", 1)).fails());
    assertTrue(
        readChanged(object -> object.putObject("spent").putArray("processes").add(401.0).add(1.0))
            .fails());
    DayReport withSlips =
        readChanged(object -> object.putObject("idle").putObject("slips").put("some", 2));
    assertTrue(withSlips.summaryLine().contains("some=2"), withSlips.summaryLine());
  }

  @Test
  void aDayFailsIfLessThanHalfOfAClassIsServed() throws Exception {
    DayReport report = DayReport.read(RESOURCES.resolve("report.json"));
    assertEquals("nightly", report.leastServed().getKey());
    assertEquals(0.4, report.leastServed().getValue(), 1e-9);
    assertTrue(report.fails());
    assertEquals(0, report.unexpectedExits());
    assertEquals(12, report.processorS(), 1e-9);
    assertEquals(1, WorkloadCommand.run("judge", RESOURCES.resolve("report.json").toString()));
  }
}
