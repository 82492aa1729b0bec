package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Generator of a scenario from a seed. Twice in a run, two or three faults of random kinds occur
 * within seconds of each other and of a leader change, while users submit small and long jobs,
 * cancel them, poll them and repeat submissions.
 */
final class OverlappingFaults {
  private final RandomGenerator random;
  private final List<String> text = new ArrayList<>();

  /** Time of the scenario at which the last fault ends. */
  private double faultsEndS;

  /** Creates a generator for a seed. */
  OverlappingFaults(int seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the lines of the scenario. */
  List<String> generate() {
    text.add(random.nextBoolean() ? "workers 2 10 30" : "workers 5 26.5 46.5");
    // Team u is near its limit of 21 CPUs, or far below one of 60.
    text.add(random.nextBoolean() ? "teams t:0 u:60" : "teams t:0 u:21");
    text.add("capacity 8");
    text.add("machines 15");
    at(3, "submit wk-000001..wk-000003 service tasks=4 cpus=1 spread=1 ordinary=1 rank=production");
    at(3.5, "submit wk-000011..wk-000014 batch tasks=5 cpus=1 run=70 team=u estimate=60");
    at(4, "submit wk-000021..wk-000024 batch tasks=2 cpus=1 run=4 straggler=1:45 estimate=20");
    at(5, "submit wk-000031..wk-000034 batch tasks=3 cpus=1 run=9 straggler=2:33 one-zone=1");
    faultPhase(18 + random.nextDouble(6), 100);
    faultPhase(75 + random.nextDouble(20), 200);
    if (random.nextInt(3) == 0) {
      addFault(16 + random.nextDouble(60), "duplicate-commands " + copyDelay() + " 40");
    }
    text.add("until " + (int) (faultsEndS + 200));
    text.add("expect all-over");
    return text;
  }

  private void at(double atS, String event) {
    text.add(String.format(Locale.ROOT, "at %.2f %s", atS, event));
  }

  private String seconds(double min, double max) {
    return String.format(Locale.ROOT, "%.2f", min + random.nextDouble(max - min));
  }

  /** Returns the delay of copies in seconds: about 0.3 to 90, short and long ones as likely. */
  private String copyDelay() {
    return String.format(Locale.ROOT, "%.2f", 0.3 * Math.pow(300, random.nextDouble()));
  }

  /** Adds a fault; the largest number among its words is its duration. */
  private void addFault(double atS, String event) {
    at(atS, event);
    for (String word : event.split(" ", -1)) {
      faultsEndS =
          word.matches("[0-9.]+")
              ? Math.max(faultsEndS, atS + Double.parseDouble(word))
              : faultsEndS;
    }
  }

  /**
   * Adds faults, a leader change and client requests that fall into the same seconds.
   *
   * @param fromS start of the phase
   * @param firstId number of the first job that is submitted in the phase
   */
  private void faultPhase(double fromS, int firstId) {
    for (int n = 2 + random.nextInt(2); n > 0; n--) {
      addFault(fromS + random.nextDouble(5), fault());
    }
    addFault(fromS + random.nextDouble(8), leaderChange());
    String newJobs = String.format("wk-%06d..wk-%06d", firstId, firstId + 3);
    double submitS = fromS + random.nextDouble(4);
    at(submitS, "submit " + newJobs + " batch tasks=2 cpus=1 run=3 straggler=0:25 estimate=15");
    for (int id = firstId; id < firstId + 2; id++) {
      cancelAndPoll(submitS + 0.5 + random.nextDouble(20), id);
    }
    int service = firstId == 100 ? 1 : 2;
    cancelAndPoll(fromS + random.nextDouble(6), service);
    cancelAndPoll(fromS + random.nextDouble(10), 10 + service);
    cancelAndPoll(fromS + random.nextDouble(10), 20 + service);
    at(fromS + random.nextDouble(30), "resubmit wk-000003");
    at(fromS + random.nextDouble(30), "resubmit wk-000023");
  }

  /** Adds a cancellation of a job, then a poll, a repeated submission and a second cancellation. */
  private void cancelAndPoll(double atS, int id) {
    String job = String.format("wk-%06d", id);
    at(atS, "cancel " + job);
    at(atS + random.nextDouble(3), "poll " + job);
    at(atS + random.nextDouble(40), "resubmit " + job);
    at(atS + random.nextDouble(40), "cancel " + job);
  }

  private String node() {
    return switch (random.nextInt(4)) {
      case 0 -> "n" + random.nextInt(3);
      case 1 -> "standby";
      default -> "leader?";
    };
  }

  private String leaderChange() {
    return switch (random.nextInt(7)) {
      case 0 -> "crash leader? " + seconds(0.05, 1);
      case 1 -> "crash leader? " + seconds(2, 50);
      case 2 -> "crash all " + seconds(0.05, 3);
      case 3 -> "pause leader? " + seconds(3, 20);
      case 4 -> "refuse leader? " + seconds(2, 30);
      case 5 -> "cut leader? all " + seconds(3, 30) + (random.nextBoolean() ? " hold" : "");
      default -> "crash standbys " + seconds(0.05, 20);
    };
  }

  private String fault() {
    String how = random.nextBoolean() ? " hold" : "";
    return switch (random.nextInt(31)) {
      case 0 -> "crash " + node() + " " + seconds(0.05, 30);
      case 1 -> "pause " + node() + " " + seconds(0.5, 20);
      case 2 -> "outage " + seconds(1, 60);
      case 3 -> "refuse " + node() + " " + seconds(2, 40);
      case 4 -> "cut " + node() + " state " + seconds(2, 40) + how;
      case 5 -> "cut " + node() + " peers " + seconds(2, 40) + how;
      case 6 -> "cut " + node() + " workers " + seconds(2, 40) + how;
      case 7 -> "cut " + node() + " all " + seconds(2, 40) + how;
      case 8 -> "cut-zone " + "abc".charAt(random.nextInt(3)) + " " + seconds(2, 60);
      case 9 -> "slow-state " + (5 + random.nextInt(300)) + " " + seconds(5, 40);
      case 10 -> "lose-replies 0.3 " + seconds(3, 30);
      case 11 -> "late-transactions 0.3 " + seconds(3, 30);
      case 12 -> "late-commands " + seconds(1, 20) + " " + seconds(3, 30);
      case 13 -> "late-command-replies " + seconds(1, 20) + " " + seconds(3, 30);
      case 14 -> "duplicate-heartbeats " + seconds(2, 40) + " " + seconds(10, 60);
      case 15 -> "hang-many " + (1 + random.nextInt(5)) + " " + seconds(1, 60);
      case 16 -> "isolate-many " + (1 + random.nextInt(5)) + " " + seconds(1, 60);
      case 17 -> "drop-inbound-many " + (1 + random.nextInt(5)) + " " + seconds(1, 60);
      case 18 -> "fail-many " + (1 + random.nextInt(4));
      case 19 -> "cloud-outage " + seconds(5, 60);
      case 20 -> "drop-inbound-zone " + "abc".charAt(random.nextInt(3)) + " " + seconds(1, 40);
      case 21 -> "drop-outbound-many " + (1 + random.nextInt(5)) + " " + seconds(1, 60);
      case 22 -> "slow-heartbeats " + seconds(0.5, 3) + " " + seconds(5, 40);
      case 23 -> "hold-heartbeats " + seconds(10, 60);
      case 24 -> "cancel-now " + (1 + random.nextInt(3)) + " " + seconds(4, 50);
      case 25 -> "read-after-write " + seconds(10, 60);
      case 26 -> "invalid-requests " + seconds(10, 60);
      case 27 -> "cancel-at-end 0.4 " + seconds(10, 60);
      case 28 -> "lose-replies 0.9 " + seconds(3, 20);
      case 29 -> "slow-links " + seconds(0.05, 0.3) + " " + seconds(5, 40);
      default -> "failing-many " + (1 + random.nextInt(2));
    };
  }
}
