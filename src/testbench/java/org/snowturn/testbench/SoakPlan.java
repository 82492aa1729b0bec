package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.snowturn.config.Settings;
import org.snowturn.simulation.LoopbackPlan;
import org.snowturn.testbench.SoakFault.Kind;

/**
 * What a soak run plays: a size, a time and faults. One seed always gives the same plan; a plan can
 * be written down and played again.
 *
 * @param seed it was drawn from; the load is drawn from it as well
 * @param workers hollow workers at the start
 * @param durationS how long faults may begin
 * @param faults in the order of their times
 */
record SoakPlan(long seed, int workers, int durationS, List<SoakFault> faults) {
  private static final List<Kind> KINDS = List.of(Kind.values());

  static final int MAX_WORKERS = 2_000;
  static final int MAX_DURATION_S = 3_600;
  private static final int CONTROLLERS = 3;
  private static final int ZONES = 3;
  private static final int TEAMS = 2;
  private static final int TASKS_PER_WORKER = 8;

  /** One seed in so many has a few hundred workers. */
  private static final int LARGE_ONE_IN = 8;

  private static final double MB_PER_WORKER = 0.5;
  private static final double MB_PER_CONTROLLER = 200;
  private static final double BASE_MB = 300;

  /** Short leases, so that a run sees many of them end. */
  private static final Settings.Workers FIGURES = new Settings.Workers(1, 8, 20);

  private static final Settings.StateLimits STATE = new Settings.StateLimits(400, 150, 16, 24);
  private static final Settings.CloudLimits CLOUD = new Settings.CloudLimits(8, 2);
  private static final int CONNECTIONS = 4_096;
  private static final int HIREABLE_PER_ZONE = 8;

  /** Of its team's limit, in workers' worth of CPUs: it is met now and then. */
  private static final double TEAM_SHARE = 0.4;

  private static final int CPUS_PER_WORKER = 10;

  /** A fault comes within this time of the one before it, as often as the share says. */
  private static final int TOGETHER_MS = 1_500;

  private static final double TOGETHER = 0.6;
  private static final double FAULTS_PER_SECOND = 0.45;
  private static final Pattern HEADER =
      Pattern.compile("soak seed (\\d{1,18}) workers (\\d{1,6}) duration (\\d{1,6})");
  private static final Pattern LINE =
      Pattern.compile(
          "at (\\d{1,6}\\.?\\d{0,3}) ([a-z-]+) (leader|standby|all|-)"
              + " for (\\d{1,6}\\.?\\d{0,3}) amount (\\d{1,6}\\.?\\d{0,3})");

  /** Draws the plan of a seed; {@code workers} 0 leaves the size to the seed. */
  static SoakPlan generate(long seed, int workers, int durationS) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean large = random.nextInt(LARGE_ONE_IN) == 0;
    int drawn = large ? random.nextInt(200, 401) : random.nextInt(18, 61);
    int size = workers > 0 ? workers : drawn;
    List<SoakFault> faults = new ArrayList<>();
    int count = (int) Math.max(3, durationS * FAULTS_PER_SECOND);
    long at = random.nextLong(1_000, 4_000);
    for (int i = 0; i < count; i++) {
      boolean together = random.nextDouble() < TOGETHER;
      at =
          together ? at + random.nextLong(TOGETHER_MS) : random.nextLong(1_000, durationS * 1_000L);
      at = Math.min(at, durationS * 1_000L);
      faults.add(fault(random, at, size));
    }
    faults.sort(Comparator.comparingLong(SoakFault::atMs));
    return new SoakPlan(seed, size, durationS, List.copyOf(faults));
  }

  private static SoakFault fault(SplittableRandom random, long at, int workers) {
    Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    long lasts = random.nextLong(500, 12_000);
    String target = SoakFault.NO_TARGET;
    if (kind.isControllerFault()) {
      int who = random.nextInt(10);
      target = who < 6 ? SoakFault.LEADER : who < 9 ? SoakFault.STANDBY : SoakFault.ALL;
    }
    double amount =
        switch (kind) {
          case KILL -> 0;
          case KILL_LEADERS -> random.nextInt(2, 5);
          case SLOW_STATE -> random.nextInt(10, 80);
          case LOSE_ANSWERS, LATE_TRANSACTIONS -> random.nextDouble(0.1, 0.6);
          case LATE_COMMANDS -> random.nextDouble(0.5, 7);
          case COPY_REPORTS -> random.nextDouble(1, 15);
          case SLOW_REPORTS -> random.nextDouble(0.2, 3);
          case HANG_WORKERS, KILL_WORKERS, TAKE_WORKERS ->
              random.nextInt(1, Math.max(2, workers / 8));
          case SICK_WORKERS -> random.nextInt(1, Math.max(2, workers / 3));
          case CANCEL_JOBS -> random.nextInt(1, 9);
          default -> 0;
        };
    if (kind == Kind.KILL || kind == Kind.KILL_LEADERS || kind == Kind.KILL_IN_TAKEOVER) {
      lasts = random.nextLong(100, 3_000); // until the process is started again
    }
    return new SoakFault(at, kind, target, lasts, amount);
  }

  /** Reads a plan that {@link #toLines} has written; says which line is damaged. */
  static SoakPlan read(Path file) throws InvalidInputException {
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read");
    }
    Matcher header = HEADER.matcher(lines.isEmpty() ? "" : lines.get(0).trim());
    if (!header.matches()) {
      throw new InvalidInputException(file + ":1: \"soak seed N workers N duration N\" expected");
    }
    List<SoakFault> faults = new ArrayList<>();
    for (int i = 1; i < lines.size(); i++) {
      if (!lines.get(i).isBlank()) {
        faults.add(fault(file + ":" + (i + 1), lines.get(i).trim()));
      }
    }
    faults.sort(Comparator.comparingLong(SoakFault::atMs));
    return new SoakPlan(
        Long.parseLong(header.group(1)),
        Integer.parseInt(header.group(2)),
        Integer.parseInt(header.group(3)),
        List.copyOf(faults));
  }

  private static SoakFault fault(String place, String line) throws InvalidInputException {
    Matcher m = LINE.matcher(line);
    if (!m.matches()) {
      throw new InvalidInputException(
          place + ": \"at SECONDS KIND TARGET for SECONDS amount NUMBER\" expected");
    }
    for (Kind kind : Kind.values()) {
      if (kind.planName().equals(m.group(2))) {
        boolean aimed = !m.group(3).equals(SoakFault.NO_TARGET);
        if (aimed != kind.isControllerFault()) {
          throw new InvalidInputException(place + ": " + kind.planName() + " of " + m.group(3));
        }
        return new SoakFault(
            ms(m.group(1)), kind, m.group(3), ms(m.group(4)), Double.parseDouble(m.group(5)));
      }
    }
    throw new InvalidInputException(place + ": no such fault: " + m.group(2));
  }

  private static long ms(String seconds) {
    return Math.round(Double.parseDouble(seconds) * 1000);
  }

  /** Its lines; {@link #read} takes them. */
  List<String> toLines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT, "soak seed %d workers %d duration %d", seed, workers, durationS));
    faults.forEach(fault -> lines.add(fault.toPlanLine()));
    return lines;
  }

  /** Checks the figures; says in one line which is wrong. */
  void check(long machineMemoryMb) throws InvalidInputException {
    if (workers < 1 || workers > MAX_WORKERS) {
      throw new InvalidInputException("--workers: must be from 1 to " + MAX_WORKERS);
    }
    if (durationS < 1 || durationS > MAX_DURATION_S) {
      throw new InvalidInputException("--duration: must be from 1 to " + MAX_DURATION_S);
    }
    long needs = Math.round(BASE_MB + workers * MB_PER_WORKER + CONTROLLERS * MB_PER_CONTROLLER);
    if (needs > machineMemoryMb / 2) {
      throw new InvalidInputException(
          "needs about " + needs + " MB, more than half of the machine's " + machineMemoryMb);
    }
  }

  /** The region that it is played in. */
  LoopbackPlan regionPlan() {
    List<String> zones = new ArrayList<>();
    for (int i = 0; i < ZONES; i++) {
      zones.add("zone-" + i);
    }
    List<String> controllers = new ArrayList<>();
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.add("node-" + i);
    }
    return new LoopbackPlan(
        0,
        zones,
        controllers,
        workers,
        workers * TASKS_PER_WORKER,
        0,
        TEAMS,
        seed,
        FIGURES,
        STATE,
        CLOUD,
        CONNECTIONS,
        HIREABLE_PER_ZONE,
        Math.ceil(workers * CPUS_PER_WORKER * TEAM_SHARE));
  }
}
