package review;

import java.nio.file.Files;
import java.nio.file.Path;

/** The frame of a case: starts the deployment, runs the case and turns its result into a status. */
abstract class Case {
  /** Whether the disruption takes place. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Deployment deployment;

  abstract Deployment.Settings settings();

  abstract java.util.List<Cloud.Type> types();

  /** Runs the case; returns what was seen if the rule was broken, or null if it held. */
  abstract String run() throws Exception;

  /** Thrown if something other than the disruption kept the case from running. */
  static final class CannotRun extends Exception {
    CannotRun(String reason) {
      super(reason);
    }
  }

  static void main(Case test, String[] args) {
    int status = 2;
    Deployment deployment = null;
    try {
      Path root = Path.of(args[0]).toAbsolutePath();
      Path folder = Path.of(args[1]).toAbsolutePath();
      deployment = new Deployment(root, folder, test.settings(), test.types());
      test.deployment = deployment;
      deployment.record("test", "disruption " + (test.trouble ? "on" : "off"));
      deployment.startControllers();
      String broken = test.run();
      status = broken == null ? 0 : 1;
      String verdict = broken == null ? "the rule held" : "the rule was broken: " + broken;
      deployment.record("test", verdict);
      System.out.println(verdict);
    } catch (Throwable e) {
      System.out.println("the case could not run: " + e);
      if (deployment != null) {
        deployment.record("test", "the case could not run: " + e);
      }
    }
    if (deployment != null) {
      deployment.close();
      deleteFolder(deployment.folder());
    }
    Runtime.getRuntime().halt(status);
  }

  private static void deleteFolder(Path folder) {
    try (var paths = Files.walk(folder)) {
      for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    } catch (Exception e) {
      System.out.println("temporary folder not removed");
    }
  }

  void require(boolean condition, String reason) throws CannotRun {
    if (!condition) {
      throw new CannotRun(reason);
    }
  }

  /** Waits until the condition holds, for at most this long; returns whether it held. */
  static boolean await(double seconds, java.util.function.BooleanSupplier condition) {
    long until = Net.nowMs() + (long) (seconds * 1000);
    while (Net.nowMs() < until) {
      if (condition.getAsBoolean()) {
        return true;
      }
      Net.sleep(100);
    }
    return condition.getAsBoolean();
  }
}
