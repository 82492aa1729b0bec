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
  private final List<Part> parts = new ArrayList<>();
  private final List<PeerRelay> relays = new ArrayList<>();
  private final Thread atExit = new Thread(this::killAll, "stop");

  /** One region: its stand-ins, and its processes. */
  static final class Part {
    final LoopbackPlan plan;
    final LoopbackCluster region;
    final List<ControllerProcess> controllers = new ArrayList<>();

    private Part(LoopbackPlan plan) {
      this.plan = plan;
      this.region = new LoopbackCluster(plan);
    }

    /** The controller of this name, or null. */
    ControllerProcess named(String name) {
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

  List<Part> parts() {
    return parts;
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
          PeerRelay relay = new PeerRelay(from.name, to.name, to.peerBind);
          relays.add(relay);
          return relay.address();
        });
  }

  private void open(List<LoopbackPlan> plans, PeerAddresses addresses) throws IOException {
    Files.createDirectories(dir);
    Runtime.getRuntime().addShutdownHook(atExit);
    for (LoopbackPlan plan : plans) {
      open(new Part(plan), addresses);
    }
  }

  private void open(Part part, PeerAddresses addresses) throws IOException {
    parts.add(part);
    LoopbackCluster.ServiceAddresses outside = part.region.open();
    List<String> zones = part.plan.zones();
    for (String name : part.plan.controllers()) {
      String zone = zones.get(part.controllers.size() % zones.size());
      part.controllers.add(new ControllerProcess(name, zone, dir));
    }
    Map<String, InetSocketAddress> serving = new HashMap<>();
    for (ControllerProcess controller : part.controllers) {
      serving.put(controller.name, controller.serving);
      controller.configure(
          SettingsFile.of(
              controller, part.controllers, part.plan, part.region, outside, addresses));
    }
    part.region.start(serving);
  }

  void startControllers() throws IOException {
    for (Part p : parts) {
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
  void cutPeers(String from, String to, boolean cut) {
    relays.stream().filter(r -> r.isFrom(from) && r.isTo(to)).forEach(r -> r.cut(cut));
  }

  private void killAll() {
    parts.forEach(p -> p.controllers.forEach(ControllerProcess::kill));
  }

  @Override
  public void close() {
    killAll();
    relays.forEach(PeerRelay::close);
    parts.forEach(p -> p.region.close());
    try {
      Runtime.getRuntime().removeShutdownHook(atExit);
    } catch (IllegalStateException e) {
      return; // already on the way out, where the hook has ended them
    }
  }
}
