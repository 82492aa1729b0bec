package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Generator of a scenario from a seed, with overlapping faults like those of {@link
 * OverlappingFaults}. Each scenario starts in a state in which a single check in the controller
 * protects an invariant: a full cluster, a team at its limit, long-running tasks, or delayed writes
 * or commands. The times of faults, cancellations and leader changes are random.
 */
final class TargetedFaults {
  private final RandomGenerator random;
  private final int scenarioKind;
  private final List<String> text = new ArrayList<>();

  /** Creates a generator for a seed; the seed modulo 7 selects the kind of scenario. */
  TargetedFaults(int seed) {
    random = new SplittableRandom(seed);
    scenarioKind = seed % 7;
  }

  /** Returns the lines of the scenario. */
  List<String> generate() {
    text.add("workers 2 10 30");
    switch (scenarioKind) {
      case 0 -> teamsAtLimits();
      case 1 -> startsDuringLateWrites();
      case 2 -> delayedCommandsDuringPreemption();
      case 3 -> fastBootingMachines();
      case 4 -> cancellationsUnknownToLeader();
      case 5 -> heartbeatsOfEarlierSessions();
      default -> delayedStartsOfCancelledJobs();
    }
    if (random.nextBoolean()) {
      at(between(5, 12), "duplicate-commands %.2f 60", 0.3 * Math.pow(200, random.nextDouble()));
    }
    text.add("until 260");
    text.add("expect all-over");
    return text;
  }

  private void at(double atS, String event, Object... args) {
    text.add(String.format(Locale.ROOT, "at %.2f ", atS) + String.format(Locale.ROOT, event, args));
  }

  private double between(double min, double max) {
    return min + random.nextDouble(max - min);
  }

  private void teamsAtLimits() {
    text.add("teams t:12 u:10");
    text.add("capacity 0");
    text.add("machines 6");
    at(9, "submit wk-000001..wk-000006 batch tasks=2 cpus=1 run=300 ordinary=1 team=t");
    at(9, "submit wk-000011..wk-000015 batch tasks=2 cpus=1 run=300 ordinary=1 team=u");
    at(12, "submit wk-000021..wk-000026 batch tasks=4 cpus=1 run=15 ordinary=1 team=t");
    at(12, "submit wk-000031..wk-000036 batch tasks=4 cpus=1 run=15 ordinary=1 team=u");
    double fromS = between(16, 24);
    for (int id : new int[] {1, 2, 3, 4, 5, 6, 11, 12, 13, 14, 15}) {
      at(fromS + between(0, 12), "cancel wk-%06d", id);
    }
    for (int i = 0; i < 3; i++) {
      String fault =
          List.of("isolate-many", "hang-many", "drop-inbound-many", "drop-outbound-many")
              .get(random.nextInt(4));
      at(fromS + between(-3, 8), "%s %d %.2f", fault, 1 + random.nextInt(4), between(3, 25));
    }
    at(fromS + between(0, 10), "crash leader? %.2f", between(0.1, 4));
  }

  private void startsDuringLateWrites() {
    text.add("capacity 6");
    text.add("machines 12");
    at(7, "late-transactions %.2f 14", between(0.2, 0.5));
    for (int i = 0; i < 12; i++) {
      int id = 100 + 10 * i;
      at(8 + i, "submit wk-%06d..wk-%06d batch tasks=3 cpus=1 run=9", id, id + 2);
    }
    for (int i = 0; i < 4; i++) {
      at(9 + 3 * i + between(0, 3), "crash leader? %.2f", between(0.05, 0.4));
    }
    at(between(10, 20), "lose-replies %.2f 6", between(0.2, 0.7));
  }

  private void delayedCommandsDuringPreemption() {
    text.add("capacity 0");
    text.add("machines 6");
    text.add("workers 1 10 30");
    double fromS = between(9, 12);
    at(fromS, "late-commands %.2f %.2f", between(3, 12), between(8, 30));
    at(fromS + 0.1, "submit wk-000001..wk-000006 batch tasks=6 cpus=1 run=30 rank=low ordinary=1");
    double preemptionS = fromS + between(1, 6);
    at(
        preemptionS,
        "submit wk-000011..wk-000014 service tasks=9 cpus=1 rank=production ordinary=1");
    at(preemptionS + between(0.5, 9), "cancel wk-000011..wk-000014");
    at(preemptionS + between(0, 9), "cancel wk-000001");
  }

  private void fastBootingMachines() {
    text.add("boot 0.3");
    text.add("capacity 9");
    text.add("machines 0");
    double fromS = between(3, 5);
    at(fromS, "submit wk-000001..wk-000006 batch tasks=4 cpus=2 run=20");
    at(fromS, "late-transactions %.2f %.2f", between(0.3, 0.6), between(4, 12));
    for (int i = 0; i < 4; i++) {
      at(fromS + 1 + 2.5 * i + between(0, 2.5), "crash leader? %.2f", between(0.05, 0.3));
      at(fromS + 2 * i, "submit wk-%06d batch tasks=8 cpus=2 run=12", 11 + i);
    }
    at(between(20, 30), "fail-many %d", 2 + random.nextInt(4));
  }

  private void cancellationsUnknownToLeader() {
    text.add("capacity 6");
    text.add("machines 9");
    at(3, "submit wk-000011..wk-000018 batch tasks=3 cpus=1 run=300 ordinary=1");
    for (double fromS : new double[] {20, 110}) {
      // Either peers report the cancellations to the leader, or they end before they can do so.
      boolean isLeaderUninformed = random.nextBoolean();
      double refusedS = fromS + between(-0.3, 0.3);
      at(refusedS, "refuse leader? %.2f", between(10, 16));
      if (isLeaderUninformed) {
        at(refusedS + between(-0.1, 0.1), "cut leader? peers %.2f", between(0.8, 1.6));
      }
      for (int i = 0; i < 4; i++) {
        at(fromS + between(0, 1.4), "cancel wk-%06d", (fromS < 100 ? 11 : 15) + i);
      }
      double outageS = fromS + between(0.8, 1.6);
      at(outageS, "outage %.2f", between(40, 65));
      if (isLeaderUninformed) {
        at(outageS + between(0, 0.3), "crash standbys %.2f", random.nextBoolean() ? 0.2 : 20);
      }
    }
  }

  private void heartbeatsOfEarlierSessions() {
    text.add("capacity 0");
    text.add("machines 6");
    at(3, "submit wk-000001..wk-000006 batch tasks=7 cpus=1 run=%.2f ordinary=1", between(6, 20));
    double fromS = between(14, 20);
    at(fromS - 5, random.nextBoolean() ? "duplicate-heartbeats 25 70" : "hold-heartbeats 70");
    at(fromS, "isolate-many %d %.2f", 2 + random.nextInt(4), between(10.2, 15));
    at(fromS + between(2, 20), "hang-many %d %.2f", 1 + random.nextInt(3), between(8, 14));
    for (int i = 0; i < 3; i++) {
      at(fromS + between(0, 45), "crash leader? %.2f", between(0.1, 3));
    }
    at(fromS + between(0, 20), "submit wk-000011..wk-000016 batch tasks=7 cpus=1 run=8 ordinary=1");
  }

  private void delayedStartsOfCancelledJobs() {
    text.add("capacity 0");
    text.add("machines 4");
    at(3, "submit wk-000001..wk-000004 batch tasks=2 cpus=1 run=6 ordinary=1");
    double fromS = between(17, 20);
    double delayS = between(6, 38);
    at(fromS, "late-commands %.2f %.2f", delayS, between(1, 3));
    at(fromS + 0.1, "submit wk-000011..wk-000016 batch tasks=3 cpus=1 run=200 ordinary=1");
    at(fromS + between(0.3, 2), "cancel wk-000011..wk-000016");
    at(fromS + delayS + between(-0.5, 1.5), "isolate-many 4 %.2f", between(5, 45));
    if (random.nextBoolean()) {
      at(fromS + between(0, delayS), "crash leader? %.2f", between(0.1, 3));
    }
  }
}
