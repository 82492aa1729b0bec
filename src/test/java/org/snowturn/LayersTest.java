package org.snowturn;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
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
            "org.snowturn.front..",
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
        .resideOutsideOfPackages("org.snowturn.lab..", "org.snowturn.sim..", "org.snowturn.days..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.snowturn.lab..",
            "org.snowturn.sim..",
            "org.snowturn.days..",
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
          Map.entry("evidence", Set.of()),
          Map.entry("admission", Set.of()),
          Map.entry("records", Set.of()),
          Map.entry("calls", Set.of("admission", "recovery")),
          Map.entry("model", Set.of("calls", "records", "evidence")),
          Map.entry("store", Set.of("calls", "records", "admission", "recovery")),
          Map.entry("reach", Set.of("calls", "admission")),
          Map.entry("authority", Set.of("calls", "records", "admission", "recovery")),
          Map.entry(
              "act",
              Set.of("calls", "records", "store", "model", "recovery", "admission", "evidence")),
          Map.entry(
              "decide",
              Set.of("calls", "records", "store", "model", "act", "admission", "recovery")),
          Map.entry(
              "users",
              Set.of("calls", "records", "store", "model", "reach", "admission", "recovery")));

  /** A term holds everything together, and the controller the terms. */
  private static final Set<String> ABOVE = Set.of("term");

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
        .resideOutsideOfPackages("org.snowturn.core..", "org.snowturn.sim..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            Stream.concat(CORE.keySet().stream(), ABOVE.stream())
                // what peers tell each other is made of the first two; the last is for the HTTP
                // side
                .filter(p -> !Set.of("admission", "reach", "connections").contains(p))
                .map(p -> "org.snowturn.core." + p + "..")
                .toArray(String[]::new))
        .check(classes);
  }
}
