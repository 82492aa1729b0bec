package org.snowturn.daemon;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.snowturn.config.Settings;
import org.snowturn.config.SettingsException;
import org.snowturn.config.SettingsReader;
import org.snowturn.config.Tunables;
import org.snowturn.config.TunablesReader;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Entry point and command line of a controller process. */
@Command(
    name = "snowturn",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A controller of the snowturn cluster scheduler.")
public final class Main implements Callable<Integer> {
  /** Exit status for an invalid command line or invalid settings. */
  private static final int EXIT_USAGE_OR_SETTINGS_ERROR = 2;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "Settings file of the platform (TOML).")
  private Path config;

  @Option(
      names = "--tunables",
      paramLabel = "FILE",
      description = "Tunables file of the operators (XML); without it, default values apply.")
  private Path tunables;

  @Option(names = "--check", description = "Check the settings and tunables files and exit.")
  private boolean check;

  @Option(
      names = "--rehearse",
      hidden = true,
      description =
          "Serve a few requests on loopback and exit; the build records the loaded classes.")
  private boolean rehearse;

  private final long processStartNanos = System.nanoTime();

  /** Provider of the version that the build wrote into the jar. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"snowturn " + (version == null ? "(not packaged)" : version)};
    }
  }

  /**
   * Runs the command line. The process keeps running if a controller has started, and exits with
   * the status of the command otherwise.
   *
   * @param args options, see {@code --help}
   */
  public static void main(String[] args) {
    setUpLogging(System.getenv("LOG_LEVEL"));
    CommandLine commandLine = new CommandLine(new Main());
    commandLine.setParameterExceptionHandler(
        (error, arguments) -> {
          System.err.println("snowturn: " + error.getMessage());
          return EXIT_USAGE_OR_SETTINGS_ERROR;
        });
    int status = commandLine.execute(args);
    if (status != Daemon.KEEPS_RUNNING) {
      System.exit(status);
    }
  }

  private static void setUpLogging(String level) {
    String name = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    boolean isKnown =
        name.equals("error") || name.equals("warn") || name.equals("info") || name.equals("debug");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", isKnown ? name : "info");
    System.setProperty("org.slf4j.simpleLogger.log.io.undertow", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.xnio", "error");
    System.setProperty("org.slf4j.simpleLogger.log.org.jboss", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  @Override
  public Integer call() throws Exception {
    if (rehearse) {
      return ClassLoadingWarmup.run();
    }
    if (config == null) {
      System.err.println("snowturn: missing required option --config FILE");
      return EXIT_USAGE_OR_SETTINGS_ERROR;
    }
    Settings settings;
    Tunables tunableValues;
    try {
      settings = SettingsReader.read(config);
      tunableValues = tunables == null ? Tunables.defaults() : TunablesReader.read(tunables);
    } catch (SettingsException e) {
      System.err.println("snowturn: " + e.getMessage());
      return EXIT_USAGE_OR_SETTINGS_ERROR;
    }
    if (check) {
      System.out.println("settings are valid");
      return 0;
    }
    return new Daemon(settings, tunableValues, processStartNanos).start();
  }
}
