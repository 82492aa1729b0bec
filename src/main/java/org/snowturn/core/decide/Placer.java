package org.snowturn.core.decide;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.Reports;
import org.snowturn.core.admission.Floors;
import org.snowturn.core.admission.Guarantees;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.SpotLosses;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Priority;

/**
 * Decides which waiting task goes where. Constraints are tested against every task that may still
 * be on a machine, so they hold at the instant of the start whatever became of the others.
 */
public final class Placer {
  /** Seconds of preference for machines that the cloud may take back, where a job allows them. */
  private static final double ORDINARY_PENALTY_S = 10;

  /** Seconds of preference for machines where a task starts within what its users want. */
  private static final double LATE_START_S = 8;

  /** Seconds of preference for leaving room for a replica on ordinary machines that are held. */
  private static final double CROWDED_S = 12;

  /** Seconds of preference for machines that have a replica's image. */
  private static final double FETCH_S = 1;

  /** So many tasks at most of a suspect job that are not known to run. */
  private static final int TRIALS = 2;

  /** A trial that has found no room for so long gets its ordinary place in the order. */
  private static final long OVERDUE_MS = 30_000;

  /** Seconds of preference, for a trial, for a machine that will tell most. */
  private static final double TRIED_ELSEWHERE_S = 100;

  /** A fetch may take so much longer than the machine's type says. */
  private static final double FETCH_SLACK = 1.3;

  private final Calls calls;
  private final Ledger ledger;
  private final MachineBook machines;
  private final FleetPolicy policy;
  private final WaitingOrder order;
  private final SpotLosses spotLosses;
  private final RoomMaker rooms;
  private final Floors floors = new Floors();
  private final Aging aging;
  private final Guarantees guarantees;
  private final Map<String, Double> startWithin = new HashMap<>();

  /** What found no room in the present plan. */
  private final List<JobSpec> tooLarge = new ArrayList<>();

  private long looks;

  /** The policy's, at the present plan. */
  private double plenty;

  private double largestReplica;

  /** Whether what is placed now goes first since it has waited for long. */
  private boolean asLongWaiting;

  /**
   * Decides nothing yet.
   *
   * @param beginWithinS who has waited so long for room for a task goes first, with some
   * @param mayStop whether work may be stopped to make room: not while free room may be on machines
   *     that a new leader has not heard yet
   */
  public Placer(
      Calls calls,
      Settings settings,
      Ledger ledger,
      MachineBook machines,
      FleetPolicy policy,
      WaitingOrder order,
      SpotLosses spotLosses,
      double beginWithinS,
      BooleanSupplier mayStop) {
    this.aging = new Aging(beginWithinS);
    this.guarantees = new Guarantees(settings.teams());
    this.rooms = new RoomMaker(calls, ledger, this, mayStop);
    this.order = order;
    this.spotLosses = spotLosses;
    for (Settings.Objective o : settings.objectives()) {
      if (o.kind().equals("wait")) {
        startWithin.merge(o.jobClass(), o.withinS(), Math::min);
      }
    }
    this.calls = calls;
    this.ledger = ledger;
    this.machines = machines;
    this.policy = policy;
  }

  /** Places what fits; tells whether every waiting task was placed or cannot be placed now. */
  public boolean plan() {
    long now = calls.now();
    plenty = policy.plenty();
    List<Machine> usable = new ArrayList<>();
    for (Machine m : machines.present()) {
      if (m.usable(now) && machines.zoneKnown(m.zone)) {
        usable.add(m);
      }
    }
    List<Job> waiting = new ArrayList<>();
    List<Job> trials = new ArrayList<>();
    largestReplica = 0;
    floors.begin(now);
    if (guarantees.any()) {
      guarantees.judge(ledger.jobs().stream().filter(Placer::claims).map(Claim::new).toList());
    }
    for (Job j : ledger.jobs()) {
      largestReplica = j.spec.service() ? Math.max(largestReplica, j.spec.cpus()) : largestReplica;
      if (j.wantsRoom() && j.suspect) {
        if (now >= j.backOffUntil && (j.bound < TRIALS || j.running == j.bound)) {
          trials.add(j);
        }
      } else if (j.wantsRoom()) {
        if (j.group < 0) {
          j.group = floors.group(j.spec.jobClass(), j.spec.team());
          floors.arrived(j.group, j.state.length);
        }
        floors.waits(j.group, (calls.wall() - j.releasedWall) / 1000.0, j.pending);
        if (now >= j.backOffUntil) {
          waiting.add(j);
        }
      }
    }
    boolean room = true;
    tooLarge.clear();
    rooms.begin(usable);
    trials.stream().filter(j -> now - j.backOffUntil >= OVERDUE_MS).forEach(j -> tryOne(j, usable));
    boolean longWaitingWent = false;
    for (Job j : starvingFirst(order.sorted(waiting, calls.wall()))) {
      if (!longWaitingWent && j.priority != Priority.PRODUCTION && !j.within) {
        longWaitingWent = true;
        letLongWaitingGo(waiting, usable);
      }
      if (!placeJob(j, usable)) {
        room = false;
        rooms.makeRoom(j, usable);
      }
    }
    trials.stream().filter(j -> now - j.backOffUntil < OVERDUE_MS).forEach(j -> tryOne(j, usable));
    return room;
  }

  private void letLongWaitingGo(List<Job> waiting, List<Machine> usable) {
    List<Job> old = aging.begin(waiting, calls.wall());
    aging.review(usable, calls.now());
    for (Job j : old) {
      if (!aging.mayGo(calls.now())) {
        return;
      }
      int before = j.pending;
      asLongWaiting = true;
      boolean room = placeJob(j, usable, Aging.slice(j));
      asLongWaiting = false;
      j.byFloor |= j.pending < before;
      if (!room && j.pending == before && aging.mayKeep(calls.now())) {
        aging.keep(j, soonestRoom(j, usable), calls.now());
      }
    }
  }

  /** Of the machines that will have room for a task once their arrays end, the emptiest. */
  private Machine soonestRoom(Job j, List<Machine> usable) {
    Machine best = null;
    for (Machine m : usable) {
      looks++;
      boolean better = best == null || m.cpusFree() > best.cpusFree();
      if (better && allowed(j, m) && fitsBesideReplicas(j.spec, m)) {
        best = m;
      }
    }
    return best;
  }

  /** Replicas stay for as long as their users want them. */
  private boolean fitsBesideReplicas(JobSpec s, Machine m) {
    double cpus = m.shape.cpus();
    double memory = m.shape.memoryGb();
    for (long ref : Reports.copy(m.bound)) {
      JobSpec there = ledger.job(ref).spec;
      cpus -= there.service() ? there.cpus() : 0;
      memory -= there.service() ? there.memoryGb() : 0;
    }
    return s.cpus() <= cpus && s.memoryGb() <= memory;
  }

  /**
   * One task of a job that has failed wherever it ran: on a machine where other work succeeds, if
   * there is one, so that the next failure tells whose fault it is. It takes what others leave, and
   * only after a long wait its ordinary place; nothing is stopped for it.
   */
  private void tryOne(Job j, List<Machine> usable) {
    if (j.spec.kind() == JobSpec.Kind.GANG) {
      placeJob(j, usable); // whole or not at all: one task of it alone would wait for the others
      return;
    }
    int t = ledger.quota().allows(j.spec) ? j.nextPending() : -1;
    Machine best = null;
    double least = Double.MAX_VALUE;
    for (Machine m : usable) {
      looks++;
      if (t < 0 || !fits(j, m)) {
        continue;
      }
      // Where nearly all machines have become sick, those that seem sound are not: every other
      // trial goes to one of which nothing is known.
      boolean preferred = m.sound == (j.trials % 2 == 0);
      double score =
          score(j, m)
              + (preferred ? 0 : TRIED_ELSEWHERE_S)
              + (j.failedOn.contains(m.index) ? 2 * TRIED_ELSEWHERE_S : 0);
      if (score < least) {
        best = m;
        least = score;
      }
    }
    if (best != null) {
      ledger.bind(j, t, best, ledger.newAttempt());
    }
  }

  /** Jobs that await others, or are cancelled, hold no part of a guarantee. */
  private static boolean claims(Job j) {
    boolean holds = !j.unwanted() && !j.waits();
    j.within &= holds;
    return holds;
  }

  /** What a job claims of its team's guarantee. */
  private record Claim(Job job) implements Guarantees.Claim {
    @Override
    public String team() {
      return job.spec.team();
    }

    @Override
    public double cpus() {
      return job.spec.cpus() * job.state.length;
    }

    @Override
    public double gpus() {
      return job.spec.gpus() * job.state.length;
    }

    @Override
    public long submitted() {
      return job.submittedWall;
    }

    @Override
    public String id() {
      return job.spec.id();
    }

    @Override
    public void within(boolean is) {
      job.within = is;
    }
  }

  /**
   * First what is within its team's guarantee. Then, among the production jobs and then among the
   * others, those of groups that had less than their floor go first. What they get so is theirs
   * until it ends: work of higher priority would stop it at once, and all that had been done for it
   * were wasted.
   */
  private List<Job> starvingFirst(List<Job> ordered) {
    List<Job> out = new ArrayList<>(ordered.size());
    if (guarantees.any()) {
      ordered.stream().filter(j -> j.within).forEach(out::add);
    }
    for (boolean production : new boolean[] {true, false}) {
      for (boolean first : new boolean[] {true, false}) {
        for (Job j : ordered) {
          boolean here = (j.priority == Priority.PRODUCTION) == production && !j.within;
          if (here && floors.first(j.group) == first) {
            j.byFloor |= first;
            out.add(j);
          }
        }
      }
    }
    return out;
  }

  /**
   * Whether a job that asks for no more, under no more constraints, found no room in this plan:
   * then this one finds none either, and the machines need not be looked at again.
   */
  private boolean knownTooLarge(JobSpec s) {
    for (JobSpec t : tooLarge) {
      if (asksNoLess(s, t)) {
        return true;
      }
    }
    return false;
  }

  static boolean asksNoLess(JobSpec s, JobSpec than) {
    return s.cpus() >= than.cpus()
        && s.memoryGb() >= than.memoryGb()
        && s.gpus() >= than.gpus()
        && (than.spot() || !s.spot());
  }

  static boolean unconstrained(JobSpec s) {
    return s.types() == null && s.zone() == null && !s.spread() && !s.oneZone();
  }

  private void foundTooLarge(JobSpec s) {
    if (unconstrained(s)) {
      tooLarge.add(s);
    }
  }

  private boolean placeJob(Job j, List<Machine> usable) {
    return placeJob(j, usable, Integer.MAX_VALUE);
  }

  /** Places so many of its tasks at the most; tells whether there was room for them. */
  private boolean placeJob(Job j, List<Machine> usable, int most) {
    if (j.spec.kind() == JobSpec.Kind.GANG && !gangFits(j, usable)) {
      return false;
    }
    if (!ledger.quota().allows(j.spec)) {
      return true; // waits for its own team, not for room
    }
    if (knownTooLarge(j.spec)) {
      return false;
    }
    // Scored once for all tasks of the job: a placement changes the machine it goes to, and makes
    // others of its zone less good, so whatever comes out first and still has its score is best.
    PriorityQueue<Candidate> candidates = new PriorityQueue<>();
    for (Machine m : usable) {
      offer(candidates, j, m);
    }
    if (candidates.isEmpty()) {
      foundTooLarge(j.spec);
      return false;
    }
    boolean gang = j.spec.kind() == JobSpec.Kind.GANG;
    long together = gang ? ledger.newAttempt() : 0;
    for (int placed = 0; j.pending > 0 && placed < most; placed++) {
      if (!ledger.quota().allows(j.spec)) {
        return true;
      }
      int t = j.nextPending();
      if (t < 0) {
        return true; // waits for room in its records, not on machines
      }
      Machine best = best(candidates, j, t);
      if (best == null) {
        if (candidates.isEmpty()) {
          foundTooLarge(j.spec);
        }
        return false;
      }
      if (j.spec.service() && fetchIsLate(j.spec, best) && rooms.roomWithImage(j, usable)) {
        return true; // the task stopped for it ends within milliseconds, a fetch takes seconds
      }
      ledger.bind(j, t, best, gang ? together : ledger.newAttempt());
      floors.given(j.group, j.spec.cpus(), calls.now());
      aging.given(j.spec.cpus(), asLongWaiting, calls.now());
      offer(candidates, j, best);
    }
    return true;
  }

  /** A machine that could take a task, with what its score was when it was looked at. */
  private record Candidate(Machine machine, double score) implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate o) {
      int c = Double.compare(score, o.score);
      return c != 0 ? c : Integer.compare(machine.index, o.machine.index);
    }
  }

  private void offer(PriorityQueue<Candidate> candidates, Job j, Machine m) {
    looks++;
    boolean kept = j.priority != Priority.PRODUCTION && aging.keptFrom(j) == m;
    if (!kept && fits(j, m)) {
      candidates.add(new Candidate(m, score(j, m)));
    }
  }

  /** Takes out the machine with the least score that the task may go to; null if there is none. */
  private Machine best(PriorityQueue<Candidate> candidates, Job j, int t) {
    List<Candidate> avoided = List.of();
    Machine found = null;
    while (found == null && !candidates.isEmpty()) {
      Candidate c = candidates.poll();
      looks++;
      if (!fits(j, c.machine)) {
        continue;
      }
      double score = score(j, c.machine);
      if (score > c.score) {
        candidates.add(new Candidate(c.machine, score));
      } else if (j.avoid.get(t) == c.machine.index) {
        avoided = List.of(c);
      } else {
        found = c.machine;
      }
    }
    candidates.addAll(avoided);
    return found;
  }

  /** For operators: how the classes of each team are served. */
  public Map<String, Double> gauges() {
    Map<String, Double> g = new HashMap<>(floors.gauges());
    g.putAll(aging.gauges());
    g.putAll(guarantees.gauges());
    return g;
  }

  /** A machine was looked at for a job. */
  void looked() {
    looks++;
  }

  /** How many times a machine was looked at for a job so far. */
  public long looks() {
    return looks;
  }

  /** A gang is placed whole or not at all: its tasks do nothing until all of them are there. */
  private boolean gangFits(Job j, List<Machine> usable) {
    j.gangZone = -1;
    if (j.bound > 0) {
      return false; // its tasks only meet tasks of their own attempt: wait until all have ended
    }
    int[] room = new int[machines.zoneCount()];
    int all = 0;
    for (Machine m : usable) {
      if (allowed(j, m)) {
        int n = m.roomFor(j.spec);
        room[m.zone] += n;
        all += n;
      }
    }
    if (!j.spec.oneZone()) {
      return all >= j.pending;
    }
    for (int zone = 0; zone < room.length; zone++) {
      if (room[zone] >= j.pending) {
        j.gangZone = zone;
        return true;
      }
    }
    return false;
  }

  /** Whether the job's constraints allow one more task of it on the machine, room aside. */
  public boolean allowed(Job j, Machine m) {
    JobSpec s = j.spec;
    if (m.spot && !s.spot()) {
      return false;
    }
    if (s.types() != null && !s.types().contains(m.type)) {
      return false;
    }
    if (s.zone() != null && machines.zone(s.zone()) != m.zone) {
      return false;
    }
    if (s.spread() && j.boundInZone[m.zone] >= s.perZoneLimit()) {
      return false;
    }
    if (s.oneZone() && j.bound == 0 && j.gangZone >= 0 && j.gangZone != m.zone) {
      return false;
    }
    return !s.oneZone() || j.bound == j.boundInZone[m.zone];
  }

  private boolean fits(Job j, Machine m) {
    return m.hasRoom(j.spec) && allowed(j, m);
  }

  /** Seconds, roughly, that the task loses by going there, plus what the choice costs others. */
  public double score(Job j, Machine m) {
    JobSpec s = j.spec;
    double score = 0;
    if (!m.images.containsKey(s.image())) {
      score += fetchS(s, m) + (fetchIsLate(s, m) ? LATE_START_S : 0);
    }
    if (s.service()) {
      // Even a short fetch is worse than any difference in how full machines are.
      score += m.images.containsKey(s.image()) ? 0 : FETCH_S;
      // Replicas of one job apart, as far as their image is there to start them in time.
      score += 2.0 * j.on(m);
      score += 0.5 * j.boundInZone[m.zone];
    } else {
      score += m.spot ? plenty * spotRiskS(s) : ORDINARY_PENALTY_S;
      // A replica that finds no room stops a task: room is left where that costs nothing.
      boolean crowded = !m.spot && m.cpusFree() - s.cpus() < largestReplica;
      score += crowded ? plenty * CROWDED_S : 0;
      score += s.estimateS() * Math.max(-0.5, m.slowness() - 1);
    }
    double free = m.cpusFree() / m.shape.cpus();
    // Where money is an aim the fullest machine is best, so that others can be returned.
    score += plenty * (1 - free) + (1 - plenty) * 3.0 * free;
    if (m.unexplainedFailures > 0) {
      score += 20;
    }
    return score;
  }

  /**
   * What an array loses by going to spot machines: one task that is taken halfway makes the whole
   * of it late by half a run. Long and wide ones had better be elsewhere, where there is room
   * anyway.
   */
  private double spotRiskS(JobSpec s) {
    double run = Math.max(1, s.estimateS());
    return Math.min(1, s.tasks() * run * spotLosses.perSecond()) * run / 2;
  }

  private static double fetchS(JobSpec s, Machine m) {
    return s.imageGb() / Math.max(0.01, m.shape.fetchGbPerS());
  }

  /** Whether a task would start too late there for its users, since its image has to be fetched. */
  private boolean fetchIsLate(JobSpec s, Machine m) {
    return !m.images.containsKey(s.image()) && FETCH_SLACK * fetchS(s, m) > startWithinS(s);
  }

  /** How soon the users want tasks of this class to start; a long time if they do not say. */
  private double startWithinS(JobSpec s) {
    return startWithin.getOrDefault(s.jobClass(), Double.MAX_VALUE);
  }

  /** Whether a replica on {@code from} could start on another machine without a fetch. */
  public boolean couldStartElsewhere(Job j, Machine from) {
    for (Machine m : machines.present()) {
      boolean ready =
          m != from
              && m.usable(calls.now())
              && m.hasRoom(j.spec)
              && m.images.containsKey(j.spec.image());
      if (ready && (m.zone == from.zone || allowed(j, m))) {
        return true;
      }
    }
    return false;
  }
}
