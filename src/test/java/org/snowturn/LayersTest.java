package org.snowturn;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which package may know which. */
class LayersTest {
  private final JavaClasses classes =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.snowturn");

  @Test
  void coreDoesNoIoAndReadsNoClock() {
    noClasses()
        .that()
        .resideInAPackage("org.snowturn.core..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.nio..",
            "java.io..",
            "java.net..",
            "java.util.concurrent..",
            "io.undertow..",
            "org.xnio..",
            "org.slf4j..",
            "org.snowturn.net..",
            "org.snowturn.state..",
            "org.snowturn.cloud..",
            "org.snowturn.worker..",
            "org.snowturn.peer..",
            "org.snowturn.http..",
            "org.snowturn.daemon..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(classes);
  }

  @Test
  void wireStandsAlone() {
    noClasses()
        .that()
        .resideInAPackage("org.snowturn.wire..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.snowturn.core..",
            "org.snowturn.config..",
            "org.snowturn.net..",
            "io.undertow..",
            "org.xnio..",
            "java.net..")
        .check(classes);
  }

  /** What the service's jar leaves out: see pom.xml. */
  @Test
  void theServiceCarriesNothingOfTheLab() {
    noClasses()
        .that()
        .resideOutsideOfPackages(
            "org.snowturn.testbench..", "org.snowturn.simulation..", "org.snowturn.workload..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.snowturn.testbench..",
            "org.snowturn.simulation..",
            "org.snowturn.workload..",
            "org.apache.commons.math3..",
            "org.knowm.xchart..")
        .check(classes);
  }

  @Test
  void packagesHaveNoCycles() {
    slices().matching("org.snowturn.(*)..").should().beFreeOfCycles().check(classes);
  }

  /** What a package of the core may know, beside itself and the core's inputs and effects. */
  private static final Map<String, Set<String>> CORE =
      Map.ofEntries(
          Map.entry("recovery", Set.of()),
          Map.entry("health", Set.of()),
          Map.entry("admission", Set.of()),
          Map.entry("effects", Set.of("admission", "recovery")),
          Map.entry("model", Set.of("effects", "storage", "health")),
          Map.entry("storage", Set.of("effects", "admission", "recovery")),
          Map.entry("connectivity", Set.of("effects", "admission")),
          Map.entry("election", Set.of("effects", "storage", "admission", "recovery")),
          Map.entry(
              "assignment",
              Set.of("effects", "storage", "model", "recovery", "admission", "health", "dispatch")),
          Map.entry("dispatch", Set.of("effects", "model", "health")),
          Map.entry("dependency", Set.of("effects", "storage", "model", "assignment", "admission")),
          Map.entry("scheduling", Set.of("effects", "storage", "model", "assignment", "admission")),
          Map.entry(
              "autoscaling",
              Set.of("effects", "storage", "model", "assignment", "recovery", "scheduling")),
          Map.entry(
              "api",
              Set.of("effects", "storage", "model", "connectivity", "admission", "recovery")));

  /** The classes of storage that read, write and watch records, as opposed to their formats. */
  private static final String[] RECORD_ACCESS = {
    "org.snowturn.core.storage.RecordWriter",
    "org.snowturn.core.storage.RecordBatch",
    "org.snowturn.core.storage.BatchSettlement",
    "org.snowturn.core.storage.WriteBudget",
    "org.snowturn.core.storage.WriteQueue",
    "org.snowturn.core.storage.RangeReader",
    "org.snowturn.core.storage.JobLookup",
    "org.snowturn.core.storage.FormatGate"
  };

  @Test
  void modelAndElectionKnowTheFormatsOfRecordsOnly() {
    noClasses()
        .that()
        .resideInAnyPackage("org.snowturn.core.model..", "org.snowturn.core.election..")
        .should()
        .dependOnClassesThat(belongToAnyOf(RECORD_ACCESS))
        .check(classes);
  }

  @Test
  void formatsOfRecordsStandAlone() {
    noClasses()
        .that()
        .resideInAPackage("org.snowturn.core.storage..")
        .and(not(belongToAnyOf(RECORD_ACCESS)))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("org.snowturn.core.effects..", "org.snowturn.core.recovery..")
        .orShould()
        .dependOnClassesThat(belongToAnyOf(RECORD_ACCESS))
        .check(classes);
  }

  private static DescribedPredicate<JavaClass> belongToAnyOf(String... names) {
    return DescribedPredicate.describe(
        "belong to any of " + List.of(names),
        type ->
            Stream.of(names)
                .anyMatch(n -> type.getName().equals(n) || type.getName().startsWith(n + "$")));
  }

  /** A term holds everything together, and the controller the terms. */
  private static final Set<String> ABOVE = Set.of("leader");

  @Test
  void insideTheCoreWhatKnowsDoesNotDecideAndWhatDecidesDoesNotLead() {
    Set<String> all = new TreeSet<>(CORE.keySet());
    all.addAll(ABOVE);
    for (var e : CORE.entrySet()) {
      Set<String> others = new TreeSet<>(all);
      others.remove(e.getKey());
      others.removeAll(e.getValue());
      noClasses()
          .that()
          .resideInAPackage("org.snowturn.core." + e.getKey() + "..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              others.stream().map(p -> "org.snowturn.core." + p + "..").toArray(String[]::new))
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("org.snowturn.core.Controller")
          .check(classes);
    }
    slices().matching("org.snowturn.core.(*)..").should().beFreeOfCycles().check(classes);
  }

  @Test
  void theCoreIsEnteredByItsDoorOnly() {
    noClasses()
        .that()
        .resideOutsideOfPackages("org.snowturn.core..", "org.snowturn.simulation..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            Stream.concat(CORE.keySet().stream(), ABOVE.stream())
                // what peers tell each other is made of the first two; the last is for the HTTP
                // side
                .filter(p -> !Set.of("admission", "connectivity").contains(p))
                .map(p -> "org.snowturn.core." + p + "..")
                .toArray(String[]::new))
        .check(classes);
  }
}
