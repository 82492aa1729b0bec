package org.snowturn;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
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

  @Test
  void packagesHaveNoCycles() {
    slices().matching("org.snowturn.(*)..").should().beFreeOfCycles().check(classes);
  }
}
