package org.snowturn.testbench;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.simulation.LoopbackCluster;
import org.snowturn.simulation.LoopbackPlan;

/**
 * Regions with simulated workers, state service and cloud in this process, and with controllers in
 * processes of their own. A shutdown hook kills the controllers if this process exits without
 * closing the deployment.
 */
final class Deployment implements AutoCloseable {
  private final List<String> command;
  private final Path workingDirectory;
  private final Path dir;
  private final Map<String, String> environment;
  private final List<Region> regions = new ArrayList<>();
  private final List<PeerRelay> relays = new ArrayList<>();
  private final Thread shutdownHook = new Thread(this::killControllers, "stop");

  /** One region: its simulated cluster and its controllers. */
  static final class Region {
    final LoopbackPlan plan;
    final LoopbackCluster cluster;
    final List<ControllerProcess> controllers = new ArrayList<>();

    private Region(LoopbackPlan plan) {
      this.plan = plan;
      this.cluster = new LoopbackCluster(plan);
    }

    /** Returns the controller with this name, or null if there is none. */
    ControllerProcess findController(String name) {
      return controllers.stream()
          .filter(controller -> controller.name.equals(name))
          .findFirst()
          .orElse(null);
    }
  }

  /**
   * Creates a deployment without regions and processes.
   *
   * @param command command line that starts a controller; the path of the settings file is appended
   * @param workingDirectory working directory of the controllers
   * @param dir directory for the controllers' settings files and logs
   * @param environment variables added to this process's environment for the controllers
   */
  Deployment(
      List<String> command, Path workingDirectory, Path dir, Map<String, String> environment) {
    this.command = command;
    this.workingDirectory = workingDirectory;
    this.dir = dir;
    this.environment = environment;
  }

  /** Returns the opened regions, in the order of their plans. */
  List<Region> regions() {
    return regions;
  }

  /** Opens the simulated clusters and boots their machines; controllers connect directly. */
  void open(List<LoopbackPlan> plans) throws IOException {
    open(plans, PeerAddresses.DIRECT);
  }

  /**
   * Opens the simulated clusters like {@link #open(List)}, with a relay on each directed link
   * between two controllers, so that {@link #setPeerLinkCut} can cut it.
   */
  void openWithRelays(List<LoopbackPlan> plans) throws IOException {
    open(
        plans,
        (from, to) -> {
          PeerRelay relay = new PeerRelay(from.name, to.name, to.peerBindAddress);
          relays.add(relay);
          return relay.address();
        });
  }

  private void open(List<LoopbackPlan> plans, PeerAddresses addresses) throws IOException {
    Files.createDirectories(dir);
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    for (LoopbackPlan plan : plans) {
      open(new Region(plan), addresses);
    }
  }

  private void open(Region region, PeerAddresses addresses) throws IOException {
    regions.add(region);
    LoopbackCluster.ServiceAddresses externalServices = region.cluster.open();
    List<String> zones = region.plan.zones();
    for (String name : region.plan.controllers()) {
      String zone = zones.get(region.controllers.size() % zones.size());
      region.controllers.add(new ControllerProcess(name, zone, dir));
    }
    Map<String, InetSocketAddress> servingAddresses = new HashMap<>();
    for (ControllerProcess controller : region.controllers) {
      servingAddresses.put(controller.name, controller.servingAddress);
      controller.writeSettings(
          SettingsFile.render(
              controller,
              region.controllers,
              region.plan,
              region.cluster,
              externalServices,
              addresses));
    }
    region.cluster.start(servingAddresses);
  }

  /** Starts the controllers of all regions. */
  void startControllers() throws IOException {
    for (Region region : regions) {
      for (ControllerProcess controller : region.controllers) {
        start(controller);
      }
    }
  }

  /** Starts or restarts one controller. */
  void start(ControllerProcess controller) throws IOException {
    controller.start(command, workingDirectory, environment);
  }

  /** Cuts or restores the directed link between two controllers; needs relays. */
  void setPeerLinkCut(String from, String to, boolean isCut) {
    relays.stream()
        .filter(relay -> relay.isFrom(from) && relay.isTo(to))
        .forEach(relay -> relay.setCut(isCut));
  }

  private void killControllers() {
    regions.forEach(region -> region.controllers.forEach(ControllerProcess::kill));
  }

  @Override
  public void close() {
    killControllers();
    relays.forEach(PeerRelay::close);
    regions.forEach(region -> region.cluster.close());
    try {
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
    } catch (IllegalStateException e) {
      return; // this process is shutting down and runs the hook
    }
  }
}
