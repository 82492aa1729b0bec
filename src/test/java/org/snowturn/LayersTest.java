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

/** Guards against dependencies between packages that the architecture forbids. */
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

  /** The jar of the service leaves these packages out: see pom.xml. */
  @Test
  void theServiceDoesNotDependOnTheTestbench() {
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

  /** Core packages that each core package may depend on, besides itself and org.snowturn.core. */
  private static final Map<String, Set<String>> ALLOWED_CORE_DEPENDENCIES =
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

  /** Classes of storage that read, write and watch records; the others define record formats. */
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
  void modelAndElectionUseOnlyTheFormatsOfRecords() {
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
                .anyMatch(
                    name -> type.getName().equals(name) || type.getName().startsWith(name + "$")));
  }

  /** Core packages that may depend on all others, and that no other core package may use. */
  private static final Set<String> TOP_CORE_PACKAGES = Set.of("leader");

  @Test
  void corePackagesDependOnlyOnAllowedCorePackages() {
    Set<String> packages = new TreeSet<>(ALLOWED_CORE_DEPENDENCIES.keySet());
    packages.addAll(TOP_CORE_PACKAGES);
    for (var entry : ALLOWED_CORE_DEPENDENCIES.entrySet()) {
      Set<String> forbidden = new TreeSet<>(packages);
      forbidden.remove(entry.getKey());
      forbidden.removeAll(entry.getValue());
      noClasses()
          .that()
          .resideInAPackage("org.snowturn.core." + entry.getKey() + "..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              forbidden.stream()
                  .map(name -> "org.snowturn.core." + name + "..")
                  .toArray(String[]::new))
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("org.snowturn.core.Controller")
          .check(classes);
    }
    slices().matching("org.snowturn.core.(*)..").should().beFreeOfCycles().check(classes);
  }

  @Test
  void codeOutsideTheCoreUsesOnlyItsInterface() {
    noClasses()
        .that()
        .resideOutsideOfPackages("org.snowturn.core..", "org.snowturn.simulation..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            Stream.concat(ALLOWED_CORE_DEPENDENCIES.keySet().stream(), TOP_CORE_PACKAGES.stream())
                // Messages between peers contain types of both packages; the HTTP server uses
                // types of connectivity.
                .filter(name -> !Set.of("admission", "connectivity").contains(name))
                .map(name -> "org.snowturn.core." + name + "..")
                .toArray(String[]::new))
        .check(classes);
  }
}
