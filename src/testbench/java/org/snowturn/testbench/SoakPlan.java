package org.snowturn.testbench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
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
 * The plan of a soak run: its size, duration and faults. A seed always gives the same plan. A plan
 * can be written to a file and run again from there.
 *
 * @param seed seed of the plan and of the load
 * @param workers number of simulated workers at the start
 * @param durationS time within which faults begin and jobs are submitted, in seconds
 * @param faults the faults in the order of their times
 */
record SoakPlan(long seed, int workers, int durationS, List<SoakFault> faults) {
  /** The kinds that each fault of a plan is drawn from; the others are drawn after all of these. */
  private static final List<Kind> KINDS =
      Arrays.stream(Kind.values())
          .filter(kind -> kind != Kind.LARGE_ARRAYS && kind != Kind.COPY_COMMANDS)
          .toList();

  /** On average one of this number of seeds adds large arrays to the drawn faults. */
  private static final int LARGE_ARRAYS_ONE_IN = 4;

  /** On average one of this number of seeds adds copies of direct messages. */
  private static final int COPIED_COMMANDS_ONE_IN = 2;

  private static final int MAX_COPY_PHASES = 3;
  private static final double MIN_COPY_DELAY_S = 0.3;
  private static final double MAX_COPY_DELAY_S = 90;

  /** Longest delay until a leader that is killed beside copies is restarted. */
  private static final long MAX_QUICK_RESTART_MS = 900;

  private static final int MIN_LARGE_ARRAYS = 8;
  private static final int MAX_LARGE_ARRAYS = 64;

  /** Maximum number of workers in a plan. */
  static final int MAX_WORKERS = 2_000;

  /** Maximum duration of a plan. */
  static final int MAX_DURATION_S = 3_600;

  private static final long MS_PER_S = 1_000;
  private static final int CONTROLLERS = 3;
  private static final int ZONES = 3;
  private static final int TEAMS = 2;
  private static final int TASKS_PER_WORKER = 8;

  /** On average one of this number of seeds gives a large fleet. */
  private static final int LARGE_FLEET_ONE_IN = 8;

  private static final int MIN_LARGE_FLEET = 200;
  private static final int MAX_LARGE_FLEET = 400;
  private static final int MIN_SMALL_FLEET = 18;
  private static final int MAX_SMALL_FLEET = 60;

  private static final double MB_PER_WORKER = 0.5;
  private static final double MB_PER_CONTROLLER = 200;
  private static final double BASE_MB = 300;

  /** Short report interval and leases, so that many leases expire within a run. */
  private static final Settings.Workers WORKER_SETTINGS = new Settings.Workers(1, 8, 20);

  private static final Settings.StateLimits STATE_LIMITS =
      new Settings.StateLimits(400, 150, 16, 24);
  private static final Settings.CloudLimits CLOUD_LIMITS = new Settings.CloudLimits(8, 2);
  private static final int MAX_CONNECTIONS = 4_096;

  /** Machines of each kind that the cloud can rent out in each zone beyond the initial ones. */
  private static final int RENTABLE_PER_ZONE = 8;

  /** Limit of each team as a share of the initial workers' CPUs; jobs reach it now and then. */
  private static final double TEAM_CPU_SHARE = 0.4;

  private static final int CPUS_PER_WORKER = 10;

  /** Maximum time between the starts of two overlapping faults. */
  private static final int MAX_OVERLAP_DELAY_MS = 1_500;

  /** Share of the faults that start within that time after the previously generated one. */
  private static final double OVERLAPPING_SHARE = 0.6;

  private static final double FAULTS_PER_SECOND = 0.45;

  private static final int MIN_FAULTS = 3;
  private static final Pattern HEADER =
      Pattern.compile("soak seed (\\d{1,18}) workers (\\d{1,6}) duration (\\d{1,6})");
  private static final Pattern FAULT_LINE =
      Pattern.compile(
          "at (\\d{1,6}\\.?\\d{0,3}) ([a-z-]+) (leader|standby|all|-)"
              + " for (\\d{1,6}\\.?\\d{0,3}) amount (\\d{1,6}\\.?\\d{0,3})");

  /**
   * Generates the random plan of a seed.
   *
   * @param seed seed of the plan
   * @param workers number of workers; 0 chooses it from the seed
   * @param durationS time within which faults begin, in seconds
   */
  static SoakPlan generate(long seed, int workers, int durationS) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean isLarge = random.nextInt(LARGE_FLEET_ONE_IN) == 0;
    int randomSize =
        isLarge
            ? random.nextInt(MIN_LARGE_FLEET, MAX_LARGE_FLEET + 1)
            : random.nextInt(MIN_SMALL_FLEET, MAX_SMALL_FLEET + 1);
    int size = workers > 0 ? workers : randomSize;
    List<SoakFault> faults = new ArrayList<>();
    int count = (int) Math.max(MIN_FAULTS, durationS * FAULTS_PER_SECOND);
    long atMs = random.nextLong(1_000, 4_000);
    for (int i = 0; i < count; i++) {
      boolean isOverlapping = random.nextDouble() < OVERLAPPING_SHARE;
      atMs =
          isOverlapping
              ? atMs + random.nextLong(MAX_OVERLAP_DELAY_MS)
              : random.nextLong(1_000, durationS * MS_PER_S);
      atMs = Math.min(atMs, durationS * MS_PER_S);
      faults.add(randomFault(random, atMs, size));
    }
    if (random.nextInt(LARGE_ARRAYS_ONE_IN) == 0) {
      faults.add(randomLargeArrays(random, durationS * MS_PER_S));
    }
    if (random.nextInt(COPIED_COMMANDS_ONE_IN) == 0) {
      addCopiedCommands(faults, random, durationS * MS_PER_S);
    }
    faults.sort(Comparator.comparingLong(SoakFault::atMs));
    return new SoakPlan(seed, size, durationS, List.copyOf(faults));
  }

  /**
   * Adds phases in which executed direct messages arrive once more, each with a leader that is
   * killed and back within a second. Short and long delays of the copies are equally likely.
   */
  private static void addCopiedCommands(
      List<SoakFault> faults, SplittableRandom random, long durationMs) {
    for (int phases = random.nextInt(1, MAX_COPY_PHASES + 1); phases > 0; phases--) {
      long atMs = random.nextLong(durationMs);
      double delayS =
          MIN_COPY_DELAY_S * Math.pow(MAX_COPY_DELAY_S / MIN_COPY_DELAY_S, random.nextDouble());
      faults.add(
          new SoakFault(
              atMs,
              Kind.COPY_COMMANDS,
              SoakFault.NO_TARGET,
              random.nextLong(3_000, 20_000),
              delayS));
      faults.add(
          new SoakFault(
              atMs + random.nextLong(MAX_OVERLAP_DELAY_MS),
              Kind.KILL,
              SoakFault.LEADER,
              random.nextLong(30, MAX_QUICK_RESTART_MS),
              0));
    }
  }

  /** Returns large arrays that are submitted early, so that most other faults meet them. */
  private static SoakFault randomLargeArrays(SplittableRandom random, long durationMs) {
    return new SoakFault(
        random.nextLong(durationMs / 2),
        Kind.LARGE_ARRAYS,
        SoakFault.NO_TARGET,
        durationMs,
        random.nextInt(MIN_LARGE_ARRAYS, MAX_LARGE_ARRAYS + 1));
  }

  private static SoakFault randomFault(SplittableRandom random, long atMs, int workers) {
    Kind kind = KINDS.get(random.nextInt(KINDS.size()));
    long durationMs = random.nextLong(500, 12_000);
    String target = SoakFault.NO_TARGET;
    if (kind.isControllerFault()) {
      int roll = random.nextInt(10); // 60% the leader, 30% a standby, 10% all
      target = roll < 6 ? SoakFault.LEADER : roll < 9 ? SoakFault.STANDBY : SoakFault.ALL;
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
      durationMs = random.nextLong(100, 3_000); // delay until the process is restarted
    }
    return new SoakFault(atMs, kind, target, durationMs, amount);
  }

  /**
   * Reads a plan file in the format of {@link #toLines}.
   *
   * @throws InvalidInputException if the file cannot be read or a line is malformed; the message
   *     names the file and the line
   */
  static SoakPlan read(Path file) throws InvalidInputException {
    List<String> lines;
    try {
      lines = Files.readAllLines(file);
    } catch (IOException e) {
      throw new InvalidInputException(file + ": cannot be read");
    }
    Matcher header = HEADER.matcher(lines.isEmpty() ? "" : lines.get(0).trim());
    if (!header.matches()) {
      throw new InvalidInputException(
          file + ":1: \"soak seed N workers N duration N\" expected as the first line");
    }
    List<SoakFault> faults = new ArrayList<>();
    for (int i = 1; i < lines.size(); i++) {
      if (!lines.get(i).isBlank()) {
        faults.add(parseFault(file + ":" + (i + 1), lines.get(i).trim()));
      }
    }
    faults.sort(Comparator.comparingLong(SoakFault::atMs));
    return new SoakPlan(
        Long.parseLong(header.group(1)),
        Integer.parseInt(header.group(2)),
        Integer.parseInt(header.group(3)),
        List.copyOf(faults));
  }

  private static SoakFault parseFault(String position, String line) throws InvalidInputException {
    Matcher matcher = FAULT_LINE.matcher(line);
    if (!matcher.matches()) {
      throw new InvalidInputException(
          position
              + ": \"at SECONDS KIND TARGET for SECONDS amount NUMBER\" expected, not \""
              + line
              + "\"");
    }
    for (Kind kind : Kind.values()) {
      if (kind.planName().equals(matcher.group(2))) {
        boolean hasTarget = !matcher.group(3).equals(SoakFault.NO_TARGET);
        if (hasTarget != kind.isControllerFault()) {
          throw new InvalidInputException(
              position
                  + ": "
                  + kind.planName()
                  + " needs "
                  + (kind.isControllerFault() ? "leader, standby or all" : SoakFault.NO_TARGET)
                  + " as its target, not "
                  + matcher.group(3));
        }
        return new SoakFault(
            toMs(matcher.group(1)),
            kind,
            matcher.group(3),
            toMs(matcher.group(4)),
            Double.parseDouble(matcher.group(5)));
      }
    }
    throw new InvalidInputException(position + ": unknown kind of fault: " + matcher.group(2));
  }

  private static long toMs(String seconds) {
    return Math.round(Double.parseDouble(seconds) * MS_PER_S);
  }

  /** Returns the lines of the plan file, which {@link #read} accepts. */
  List<String> toLines() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT, "soak seed %d workers %d duration %d", seed, workers, durationS));
    faults.forEach(fault -> lines.add(fault.toPlanLine()));
    return lines;
  }

  /**
   * Checks the number of workers, the duration and the memory that the run needs.
   *
   * @param machineMemoryMb memory of this machine in MB
   * @throws InvalidInputException if a value is out of range, or if the run needs more than half of
   *     the memory
   */
  void check(long machineMemoryMb) throws InvalidInputException {
    if (workers < 1 || workers > MAX_WORKERS) {
      throw new InvalidInputException(
          "--workers: must be from 1 to " + MAX_WORKERS + ", not " + workers);
    }
    if (durationS < 1 || durationS > MAX_DURATION_S) {
      throw new InvalidInputException(
          "--duration: must be from 1 to " + MAX_DURATION_S + " seconds, not " + durationS);
    }
    long neededMb = Math.round(BASE_MB + workers * MB_PER_WORKER + CONTROLLERS * MB_PER_CONTROLLER);
    if (neededMb > machineMemoryMb / 2) {
      throw new InvalidInputException(
          "--workers: "
              + workers
              + " workers need about "
              + neededMb
              + " MB, more than half of the machine's "
              + machineMemoryMb
              + " MB");
    }
  }

  /** Returns the plan of the region in which the faults happen. */
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
        WORKER_SETTINGS,
        STATE_LIMITS,
        CLOUD_LIMITS,
        MAX_CONNECTIONS,
        RENTABLE_PER_ZONE,
        Math.ceil(workers * CPUS_PER_WORKER * TEAM_CPU_SHARE));
  }
}
