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

/** The command line. */
@Command(
    name = "snowturn",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A controller of the snowturn cluster scheduler.")
public final class Main implements Callable<Integer> {
  private static final int BAD_SETTINGS = 2;

  @Option(names = "--config", paramLabel = "FILE", description = "The platform's settings (TOML).")
  private Path config;

  @Option(
      names = "--tunables",
      paramLabel = "FILE",
      description = "The operators' own settings (XML); defaults apply without it.")
  private Path tunables;

  @Option(names = "--check", description = "Check the settings and exit.")
  private boolean check;

  @Option(
      names = "--rehearse",
      hidden = true,
      description = "Start on loopback, serve a few requests, exit: the build records the classes.")
  private boolean rehearse;

  private final long beganNanos = System.nanoTime();

  /** Reports the version that the build wrote into the jar. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"snowturn " + (version == null ? "(not packaged)" : version)};
    }
  }

  /** Starts the program. */
  public static void main(String[] args) {
    setUpLogging(System.getenv("LOG_LEVEL"));
    CommandLine line = new CommandLine(new Main());
    line.setParameterExceptionHandler(
        (e, a) -> {
          System.err.println("snowturn: " + e.getMessage());
          return BAD_SETTINGS;
        });
    int status = line.execute(args);
    if (status != Daemon.KEEPS_RUNNING) {
      System.exit(status);
    }
  }

  private static void setUpLogging(String level) {
    String name = level == null ? "info" : level.toLowerCase(Locale.ROOT);
    boolean known =
        name.equals("error") || name.equals("warn") || name.equals("info") || name.equals("debug");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known ? name : "info");
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
      System.err.println("snowturn: --config FILE is missing");
      return BAD_SETTINGS;
    }
    Settings settings;
    Tunables figures;
    try {
      settings = SettingsReader.read(config);
      figures = tunables == null ? Tunables.defaults() : TunablesReader.read(tunables);
    } catch (SettingsException e) {
      System.err.println("snowturn: " + e.getMessage());
      return BAD_SETTINGS;
    }
    if (check) {
      System.out.println("settings are valid");
      return 0;
    }
    return new Daemon(settings, figures, beganNanos).start();
  }
}
