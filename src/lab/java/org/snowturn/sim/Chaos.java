package org.snowturn.sim;

import java.util.List;
import java.util.Random;

/** Random jobs and random faults, drawn from the world's seed, until a time; then all is healed. */
final class Chaos {
  private static final int LEAST_PAUSE_MS = 500;
  private static final int MORE_PAUSE_MS = 5_000;

  private final World world;
  private final Random random;
  private long end;

  Chaos(World world) {
    this.world = world;
    this.random = world.random;
  }

  void start(long endMs) {
    end = endMs;
    world.after(
        2000,
        () -> new RandomJobs(world, List.of("u", "t"), LEAST_PAUSE_MS, MORE_PAUSE_MS).until(endMs));
    world.after(8000, this::fault);
    world.after(endMs, this::heal);
  }

  private World.Node node() {
    return world.nodes.get(random.nextInt(world.nodes.size()));
  }

  private StandInWorker worker() {
    List<StandInWorker> up =
        world.workers.values().stream().filter(w -> !w.dead && !w.hung).toList();
    return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
  }

  private void fault() {
    if (world.now > end) {
      return;
    }
    int ms = 1000 + random.nextInt(18_000);
    World.Cut how = random.nextBoolean() ? World.Cut.HOLD : World.Cut.DROP;
    StandInWorker w = worker();
    World.Node n = random.nextBoolean() && world.leader() != null ? world.leader() : node();
    switch (random.nextInt(13)) {
      case 0 -> n.crash(ms / 4);
      case 1 -> world.nodes.forEach(x -> x.crash(ms / 4));
      case 2 -> n.pause(ms);
      case 3 -> world.state.outage(ms);
      case 4 -> cut(n.name, List.of("state"), how, ms);
      case 5 -> cut(n.name, List.copyOf(world.workers.keySet()), how, ms);
      case 6 ->
          cut(
              n.name,
              world.nodes.stream().map(x -> x.name).filter(x -> !x.equals(n.name)).toList(),
              how,
              ms);
      case 7 -> world.state.refuse(n.name, ms);
      case 8 -> {
        world.state.loseReplies = 0.3;
        world.state.lateTxns = 0.2;
        world.after(
            ms,
            () -> {
              world.state.loseReplies = 0;
              world.state.lateTxns = 0;
            });
      }
      case 9 -> {
        world.delayCommands(3000 + random.nextInt(40_000));
        world.after(ms, () -> world.delayCommands(0));
      }
      case 10 -> {
        if (w != null) {
          w.hung = true;
          world.after(ms, () -> w.hung = false);
        }
      }
      case 11 -> {
        if (w != null) {
          world.cloud.fail(w.rented);
        }
      }
      default -> {
        if (w != null) {
          cut(w.addr, world.nodes.stream().map(x -> x.name).toList(), how, ms);
        }
      }
    }
    world.after(2000 + random.nextInt(9000), this::fault);
  }

  private void cut(String a, List<String> others, World.Cut how, long ms) {
    others.forEach(b -> world.cut(a, b, how));
    world.after(ms, () -> others.forEach(b -> world.heal(a, b)));
  }

  private void heal() {
    world.healAll();
    world.state.heal();
    world.delayCommands(0);
    world.workers.values().forEach(w -> w.hung = false);
  }
}
