package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Draws a scenario from a seed: two or three faults of all kinds within seconds of each other and
 * of a change of leader, twice, while users submit small and long jobs, cancel, ask and repeat.
 */
final class OverlappingFaults {
  private final RandomGenerator random;
  private final List<String> text = new ArrayList<>();
  private double over;

  OverlappingFaults(int seed) {
    random = new SplittableRandom(seed);
  }

  List<String> generate() {
    text.add(random.nextBoolean() ? "workers 2 10 30" : "workers 5 26.5 46.5");
    // Near its limit, or not.
    text.add(random.nextBoolean() ? "teams t:0 u:60" : "teams t:0 u:21");
    text.add("capacity 8");
    text.add("machines 15");
    at(3, "submit wk-000001..wk-000003 service tasks=4 cpus=1 spread=1 ordinary=1 rank=production");
    at(3.5, "submit wk-000011..wk-000014 batch tasks=5 cpus=1 run=70 team=u estimate=60");
    at(4, "submit wk-000021..wk-000024 batch tasks=2 cpus=1 run=4 straggler=1:45 estimate=20");
    at(5, "submit wk-000031..wk-000034 batch tasks=3 cpus=1 run=9 straggler=2:33 one-zone=1");
    meeting(18 + random.nextDouble(6), 100);
    meeting(75 + random.nextDouble(20), 200);
    text.add("until " + (int) (over + 200));
    text.add("expect all-over");
    return text;
  }

  private void at(double s, String event) {
    text.add(String.format(Locale.ROOT, "at %.2f %s", s, event));
  }

  private String s(double least, double most) {
    return String.format(Locale.ROOT, "%.2f", least + random.nextDouble(most - least));
  }

  private void trouble(double at, String event) {
    at(at, event);
    for (String w : event.split(" ", -1)) {
      over = w.matches("[0-9.]+") ? Math.max(over, at + Double.parseDouble(w)) : over;
    }
  }

  private void meeting(double from, int ids) {
    for (int n = 2 + random.nextInt(2); n > 0; n--) {
      trouble(from + random.nextDouble(5), kind());
    }
    trouble(from + random.nextDouble(8), changeOfLeader());
    String fresh = String.format("wk-%06d..wk-%06d", ids, ids + 3);
    double at = from + random.nextDouble(4);
    at(at, "submit " + fresh + " batch tasks=2 cpus=1 run=3 straggler=0:25 estimate=15");
    for (int id = ids; id < ids + 2; id++) {
      cancelAndAsk(at + 0.5 + random.nextDouble(20), id);
    }
    int service = ids == 100 ? 1 : 2;
    cancelAndAsk(from + random.nextDouble(6), service);
    cancelAndAsk(from + random.nextDouble(10), 10 + service);
    cancelAndAsk(from + random.nextDouble(10), 20 + service);
    at(from + random.nextDouble(30), "resubmit wk-000003");
    at(from + random.nextDouble(30), "resubmit wk-000023");
  }

  /** A user cancels; then asks, submits again and cancels again, on whichever node. */
  private void cancelAndAsk(double at, int id) {
    String job = String.format("wk-%06d", id);
    at(at, "cancel " + job);
    at(at + random.nextDouble(3), "poll " + job);
    at(at + random.nextDouble(40), "resubmit " + job);
    at(at + random.nextDouble(40), "cancel " + job);
  }

  private String node() {
    return switch (random.nextInt(4)) {
      case 0 -> "n" + random.nextInt(3);
      case 1 -> "standby";
      default -> "leader?";
    };
  }

  private String changeOfLeader() {
    return switch (random.nextInt(7)) {
      case 0 -> "crash leader? " + s(0.05, 1);
      case 1 -> "crash leader? " + s(2, 50);
      case 2 -> "crash all " + s(0.05, 3);
      case 3 -> "pause leader? " + s(3, 20);
      case 4 -> "refuse leader? " + s(2, 30);
      case 5 -> "cut leader? all " + s(3, 30) + (random.nextBoolean() ? " hold" : "");
      default -> "crash standbys " + s(0.05, 20);
    };
  }

  private String kind() {
    String how = random.nextBoolean() ? " hold" : "";
    return switch (random.nextInt(31)) {
      case 0 -> "crash " + node() + " " + s(0.05, 30);
      case 1 -> "pause " + node() + " " + s(0.5, 20);
      case 2 -> "outage " + s(1, 60);
      case 3 -> "refuse " + node() + " " + s(2, 40);
      case 4 -> "cut " + node() + " state " + s(2, 40) + how;
      case 5 -> "cut " + node() + " peers " + s(2, 40) + how;
      case 6 -> "cut " + node() + " workers " + s(2, 40) + how;
      case 7 -> "cut " + node() + " all " + s(2, 40) + how;
      case 8 -> "cut-zone " + "abc".charAt(random.nextInt(3)) + " " + s(2, 60);
      case 9 -> "slow-state " + (5 + random.nextInt(300)) + " " + s(5, 40);
      case 10 -> "lose-replies 0.3 " + s(3, 30);
      case 11 -> "late-transactions 0.3 " + s(3, 30);
      case 12 -> "late-commands " + s(1, 20) + " " + s(3, 30);
      case 13 -> "late-command-replies " + s(1, 20) + " " + s(3, 30);
      case 14 -> "duplicate-heartbeats " + s(2, 40) + " " + s(10, 60);
      case 15 -> "hang-many " + (1 + random.nextInt(5)) + " " + s(1, 60);
      case 16 -> "isolate-many " + (1 + random.nextInt(5)) + " " + s(1, 60);
      case 17 -> "drop-inbound-many " + (1 + random.nextInt(5)) + " " + s(1, 60);
      case 18 -> "fail-many " + (1 + random.nextInt(4));
      case 19 -> "cloud-outage " + s(5, 60);
      case 20 -> "drop-inbound-zone " + "abc".charAt(random.nextInt(3)) + " " + s(1, 40);
      case 21 -> "drop-outbound-many " + (1 + random.nextInt(5)) + " " + s(1, 60);
      case 22 -> "slow-heartbeats " + s(0.5, 3) + " " + s(5, 40);
      case 23 -> "hold-heartbeats " + s(10, 60);
      case 24 -> "cancel-now " + (1 + random.nextInt(3)) + " " + s(4, 50);
      case 25 -> "read-after-write " + s(10, 60);
      case 26 -> "invalid-requests " + s(10, 60);
      case 27 -> "cancel-at-end 0.4 " + s(10, 60);
      case 28 -> "lose-replies 0.9 " + s(3, 20);
      case 29 -> "slow-links " + s(0.05, 0.3) + " " + s(5, 40);
      default -> "failing-many " + (1 + random.nextInt(2));
    };
  }
}
