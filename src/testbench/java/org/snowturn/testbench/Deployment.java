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
 * Regions of stand-ins in this process and their controllers in processes of their own. Ends all
 * processes that it started, however this process ends.
 */
final class Deployment implements AutoCloseable {
  private final List<String> command;
  private final Path root;
  private final Path dir;
  private final Map<String, String> environment;
  private final List<Region> regions = new ArrayList<>();
  private final List<PeerRelay> relays = new ArrayList<>();
  private final Thread atExit = new Thread(this::killAll, "stop");

  /** One region: its stand-ins, and its processes. */
  static final class Region {
    final LoopbackPlan plan;
    final LoopbackCluster cluster;
    final List<ControllerProcess> controllers = new ArrayList<>();

    private Region(LoopbackPlan plan) {
      this.plan = plan;
      this.cluster = new LoopbackCluster(plan);
    }

    /** The controller of this name, or null. */
    ControllerProcess findController(String name) {
      return controllers.stream()
          .filter(controller -> controller.name.equals(name))
          .findFirst()
          .orElse(null);
    }
  }

  /**
   * Starts nothing yet.
   *
   * @param command how a controller is started; its settings file is added
   * @param dir for settings and logs
   * @param environment what controllers find in their environment, beside this process's own
   */
  Deployment(List<String> command, Path root, Path dir, Map<String, String> environment) {
    this.command = command;
    this.root = root;
    this.dir = dir;
    this.environment = environment;
  }

  List<Region> regions() {
    return regions;
  }

  /** Opens the stand-ins of the regions; machines come up. */
  void open(List<LoopbackPlan> plans) throws IOException {
    open(plans, PeerAddresses.DIRECT);
  }

  /** The same, with a relay that can be cut on each way between two controllers. */
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
    Runtime.getRuntime().addShutdownHook(atExit);
    for (LoopbackPlan plan : plans) {
      open(new Region(plan), addresses);
    }
  }

  private void open(Region part, PeerAddresses addresses) throws IOException {
    regions.add(part);
    LoopbackCluster.Outside outside = part.cluster.open();
    List<String> zones = part.plan.zones();
    for (String name : part.plan.controllers()) {
      String zone = zones.get(part.controllers.size() % zones.size());
      part.controllers.add(new ControllerProcess(name, zone, dir));
    }
    Map<String, InetSocketAddress> serving = new HashMap<>();
    for (ControllerProcess controller : part.controllers) {
      serving.put(controller.name, controller.servingAddress);
      controller.writeSettings(
          SettingsFile.render(
              controller, part.controllers, part.plan, part.cluster, outside, addresses));
    }
    part.cluster.start(serving);
  }

  void startControllers() throws IOException {
    for (Region p : regions) {
      for (ControllerProcess controller : p.controllers) {
        start(controller);
      }
    }
  }

  /** Starts one controller, for the first time or again. */
  void start(ControllerProcess controller) throws IOException {
    controller.start(command, root, environment);
  }

  /** Cuts the way between two controllers in one direction, or opens it again. */
  void setPeerLinkCut(String from, String to, boolean cut) {
    relays.stream().filter(r -> r.isFrom(from) && r.isTo(to)).forEach(r -> r.setCut(cut));
  }

  private void killAll() {
    regions.forEach(p -> p.controllers.forEach(ControllerProcess::kill));
  }

  @Override
  public void close() {
    killAll();
    relays.forEach(PeerRelay::close);
    regions.forEach(p -> p.cluster.close());
    try {
      Runtime.getRuntime().removeShutdownHook(atExit);
    } catch (IllegalStateException e) {
      return; // already on the way out, where the hook has ended them
    }
  }
}
