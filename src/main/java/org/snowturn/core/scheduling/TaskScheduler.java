package org.snowturn.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.admission.MinimumShares;
import org.snowturn.core.admission.QuotaGuarantees;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.PreemptionRate;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Priority;

/**
 * Decides which waiting task goes where. Constraints are tested against every task that may still
 * be on a machine, so they hold at the instant of the start whatever became of the others.
 */
public final class TaskScheduler {
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

  private final CoreRuntime runtime;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final ScalingPolicy scalingPolicy;
  private final SchedulingOrder order;
  private final PreemptionRate spotLosses;
  private final Preemptor rooms;
  private final MinimumShares minimumShares = new MinimumShares();
  private final Aging aging;
  private final QuotaGuarantees guarantees;
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
  public TaskScheduler(
      CoreRuntime runtime,
      Settings settings,
      TaskAssignments assignments,
      MachineIndex machines,
      ScalingPolicy scalingPolicy,
      SchedulingOrder order,
      PreemptionRate spotLosses,
      double beginWithinS,
      BooleanSupplier mayStop) {
    this.aging = new Aging(beginWithinS);
    this.guarantees = new QuotaGuarantees(settings.teams());
    this.rooms = new Preemptor(runtime, assignments, this, mayStop);
    this.order = order;
    this.spotLosses = spotLosses;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait")) {
        startWithin.merge(objective.jobClass(), objective.withinS(), Math::min);
      }
    }
    this.runtime = runtime;
    this.assignments = assignments;
    this.machines = machines;
    this.scalingPolicy = scalingPolicy;
  }

  /** Places what fits; tells whether every waiting task was placed or cannot be placed now. */
  public boolean plan() {
    long now = runtime.now();
    plenty = scalingPolicy.plenty();
    List<Machine> usable = new ArrayList<>();
    for (Machine machine : machines.present()) {
      if (machine.usable(now) && machines.zoneKnown(machine.zone())) {
        usable.add(machine);
      }
    }
    List<Job> waiting = new ArrayList<>();
    List<Job> trials = new ArrayList<>();
    largestReplica = 0;
    minimumShares.begin(now);
    if (guarantees.any()) {
      guarantees.judge(
          assignments.jobs().stream().filter(TaskScheduler::claims).map(Claim::new).toList());
    }
    for (Job job : assignments.jobs()) {
      largestReplica =
          job.spec.service() ? Math.max(largestReplica, job.spec.cpus()) : largestReplica;
      if (job.wantsRoom() && job.failures.isSuspect()) {
        if (now >= job.failures.backOffUntil()
            && (job.assigned() < TRIALS || job.running() == job.assigned())) {
          trials.add(job);
        }
      } else if (job.wantsRoom()) {
        if (job.shareGroup() < 0) {
          job.setShareGroup(minimumShares.group(job.spec.jobClass(), job.spec.team()));
          minimumShares.arrived(job.shareGroup(), job.taskCount());
        }
        minimumShares.waits(
            job.shareGroup(), (runtime.wallMs() - job.releasedWall()) / 1000.0, job.pending());
        if (now >= job.failures.backOffUntil()) {
          waiting.add(job);
        }
      }
    }
    boolean room = true;
    tooLarge.clear();
    rooms.begin(usable);
    trials.stream()
        .filter(job -> now - job.failures.backOffUntil() >= OVERDUE_MS)
        .forEach(job -> tryOne(job, usable));
    boolean longWaitingWent = false;
    for (Job job : starvingFirst(order.sorted(waiting, runtime.wallMs()))) {
      if (!longWaitingWent && job.priority() != Priority.PRODUCTION && !job.isWithinGuarantee()) {
        longWaitingWent = true;
        letLongWaitingGo(waiting, usable);
      }
      if (!placeJob(job, usable)) {
        room = false;
        rooms.makeRoom(job, usable);
      }
    }
    trials.stream()
        .filter(job -> now - job.failures.backOffUntil() < OVERDUE_MS)
        .forEach(job -> tryOne(job, usable));
    return room;
  }

  private void letLongWaitingGo(List<Job> waiting, List<Machine> usable) {
    List<Job> old = aging.begin(waiting, runtime.wallMs());
    aging.review(usable, runtime.now());
    for (Job job : old) {
      if (!aging.mayGo(runtime.now())) {
        return;
      }
      int before = job.pending();
      asLongWaiting = true;
      boolean room = placeJob(job, usable, Aging.slice(job));
      asLongWaiting = false;
      job.setByMinimumShare(job.isByMinimumShare() || job.pending() < before);
      if (!room && job.pending() == before && aging.mayKeep(runtime.now())) {
        aging.keep(job, soonestRoom(job, usable), runtime.now());
      }
    }
  }

  /** Of the machines that will have room for a task once their arrays end, the emptiest. */
  private Machine soonestRoom(Job job, List<Machine> usable) {
    Machine best = null;
    for (Machine machine : usable) {
      looks++;
      boolean better = best == null || machine.cpusFree() > best.cpusFree();
      if (better && allowed(job, machine) && fitsBesideReplicas(job.spec, machine)) {
        best = machine;
      }
    }
    return best;
  }

  /** Replicas stay for as long as their users want them. */
  private boolean fitsBesideReplicas(JobSpec spec, Machine machine) {
    double cpus = machine.machineType().cpus();
    double memory = machine.machineType().memoryGb();
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      JobSpec there = assignments.job(ref).spec;
      cpus -= there.service() ? there.cpus() : 0;
      memory -= there.service() ? there.memoryGb() : 0;
    }
    return spec.cpus() <= cpus && spec.memoryGb() <= memory;
  }

  /**
   * One task of a job that has failed wherever it ran: on a machine where other work succeeds, if
   * there is one, so that the next failure tells whose fault it is. It takes what others leave, and
   * only after a long wait its ordinary place; nothing is stopped for it.
   */
  private void tryOne(Job job, List<Machine> usable) {
    if (job.spec.kind() == JobSpec.Kind.GANG) {
      placeJob(job, usable); // whole or not at all: one task of it alone would wait for the others
      return;
    }
    int task = assignments.quota().allows(job.spec) ? job.nextPending() : -1;
    Machine best = null;
    double least = Double.MAX_VALUE;
    for (Machine machine : usable) {
      looks++;
      if (task < 0 || !fits(job, machine)) {
        continue;
      }
      // Where nearly all machines have become sick, those that seem sound are not: every other
      // trial goes to one of which nothing is known.
      boolean preferred = machine.failures.isSound() == (job.failures.probeCount() % 2 == 0);
      double score =
          score(job, machine)
              + (preferred ? 0 : TRIED_ELSEWHERE_S)
              + (job.failures.hasFailedOn(machine.index) ? 2 * TRIED_ELSEWHERE_S : 0);
      if (score < least) {
        best = machine;
        least = score;
      }
    }
    if (best != null) {
      assignments.assign(job, task, best, assignments.newAttempt());
    }
  }

  /** Jobs that await others, or are cancelled, hold no part of a guarantee. */
  private static boolean claims(Job job) {
    boolean holds = !job.isCancelled() && !job.awaitsDependencies();
    job.setWithinGuarantee(job.isWithinGuarantee() && holds);
    return holds;
  }

  /** What a job claims of its team's guarantee. */
  private record Claim(Job job) implements QuotaGuarantees.Claim {
    @Override
    public String team() {
      return job.spec.team();
    }

    @Override
    public double cpus() {
      return job.spec.cpus() * job.taskCount();
    }

    @Override
    public double gpus() {
      return job.spec.gpus() * job.taskCount();
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
      job.setWithinGuarantee(is);
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
      ordered.stream().filter(job -> job.isWithinGuarantee()).forEach(out::add);
    }
    for (boolean production : new boolean[] {true, false}) {
      for (boolean first : new boolean[] {true, false}) {
        for (Job job : ordered) {
          boolean here =
              (job.priority() == Priority.PRODUCTION) == production && !job.isWithinGuarantee();
          if (here && minimumShares.first(job.shareGroup()) == first) {
            job.setByMinimumShare(job.isByMinimumShare() || first);
            out.add(job);
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
  private boolean knownTooLarge(JobSpec spec) {
    for (JobSpec t : tooLarge) {
      if (asksNoLess(spec, t)) {
        return true;
      }
    }
    return false;
  }

  static boolean asksNoLess(JobSpec spec, JobSpec than) {
    return spec.cpus() >= than.cpus()
        && spec.memoryGb() >= than.memoryGb()
        && spec.gpus() >= than.gpus()
        && (than.spot() || !spec.spot());
  }

  static boolean unconstrained(JobSpec spec) {
    return spec.types() == null && spec.zone() == null && !spec.spread() && !spec.oneZone();
  }

  private void foundTooLarge(JobSpec spec) {
    if (unconstrained(spec)) {
      tooLarge.add(spec);
    }
  }

  private boolean placeJob(Job job, List<Machine> usable) {
    return placeJob(job, usable, Integer.MAX_VALUE);
  }

  /** Places so many of its tasks at the most; tells whether there was room for them. */
  private boolean placeJob(Job job, List<Machine> usable, int most) {
    if (job.spec.kind() == JobSpec.Kind.GANG && !gangFits(job, usable)) {
      return false;
    }
    if (!assignments.quota().allows(job.spec)) {
      return true; // waits for its own team, not for room
    }
    if (knownTooLarge(job.spec)) {
      return false;
    }
    // Scored once for all tasks of the job: a placement changes the machine it goes to, and makes
    // others of its zone less good, so whatever comes out first and still has its score is best.
    PriorityQueue<Candidate> candidates = new PriorityQueue<>();
    for (Machine machine : usable) {
      offer(candidates, job, machine);
    }
    if (candidates.isEmpty()) {
      foundTooLarge(job.spec);
      return false;
    }
    boolean gang = job.spec.kind() == JobSpec.Kind.GANG;
    long together = gang ? assignments.newAttempt() : 0;
    for (int placed = 0; job.pending() > 0 && placed < most; placed++) {
      if (!assignments.quota().allows(job.spec)) {
        return true;
      }
      int task = job.nextPending();
      if (task < 0) {
        return true; // waits for room in its records, not on machines
      }
      Machine best = best(candidates, job, task);
      if (best == null) {
        if (candidates.isEmpty()) {
          foundTooLarge(job.spec);
        }
        return false;
      }
      if (job.spec.service() && fetchIsLate(job.spec, best) && rooms.roomWithImage(job, usable)) {
        return true; // the task stopped for it ends within milliseconds, a fetch takes seconds
      }
      assignments.assign(job, task, best, gang ? together : assignments.newAttempt());
      minimumShares.given(job.shareGroup(), job.spec.cpus(), runtime.now());
      aging.given(job.spec.cpus(), asLongWaiting, runtime.now());
      offer(candidates, job, best);
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

  private void offer(PriorityQueue<Candidate> candidates, Job job, Machine machine) {
    looks++;
    boolean kept = job.priority() != Priority.PRODUCTION && aging.keptFrom(job) == machine;
    if (!kept && fits(job, machine)) {
      candidates.add(new Candidate(machine, score(job, machine)));
    }
  }

  /** Takes out the machine with the least score that the task may go to; null if there is none. */
  private Machine best(PriorityQueue<Candidate> candidates, Job job, int task) {
    List<Candidate> avoided = List.of();
    Machine found = null;
    while (found == null && !candidates.isEmpty()) {
      Candidate c = candidates.poll();
      looks++;
      if (!fits(job, c.machine)) {
        continue;
      }
      double score = score(job, c.machine);
      if (score > c.score) {
        candidates.add(new Candidate(c.machine, score));
      } else if (job.failures.excludedMachine(task) == c.machine.index) {
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
    Map<String, Double> gauges = new HashMap<>(minimumShares.gauges());
    gauges.putAll(aging.gauges());
    gauges.putAll(guarantees.gauges());
    return gauges;
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
  private boolean gangFits(Job job, List<Machine> usable) {
    job.setGangZone(-1);
    if (job.assigned() > 0) {
      return false; // its tasks only meet tasks of their own attempt: wait until all have ended
    }
    int[] room = new int[machines.zoneCount()];
    int all = 0;
    for (Machine machine : usable) {
      if (allowed(job, machine)) {
        int n = machine.roomFor(job.spec);
        room[machine.zone()] += n;
        all += n;
      }
    }
    if (!job.spec.oneZone()) {
      return all >= job.pending();
    }
    for (int zone = 0; zone < room.length; zone++) {
      if (room[zone] >= job.pending()) {
        job.setGangZone(zone);
        return true;
      }
    }
    return false;
  }

  /** Whether the job's constraints allow one more task of it on the machine, room aside. */
  public boolean allowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    if (machine.isSpot() && !spec.spot()) {
      return false;
    }
    if (spec.types() != null && !spec.types().contains(machine.type())) {
      return false;
    }
    if (spec.zone() != null && machines.zone(spec.zone()) != machine.zone()) {
      return false;
    }
    if (spec.spread() && job.assignedInZone(machine.zone()) >= spec.perZoneLimit()) {
      return false;
    }
    if (spec.oneZone()
        && job.assigned() == 0
        && job.gangZone() >= 0
        && job.gangZone() != machine.zone()) {
      return false;
    }
    return !spec.oneZone() || job.assigned() == job.assignedInZone(machine.zone());
  }

  private boolean fits(Job job, Machine machine) {
    return machine.hasRoom(job.spec) && allowed(job, machine);
  }

  /** Seconds, roughly, that the task loses by going there, plus what the choice costs others. */
  public double score(Job job, Machine machine) {
    JobSpec spec = job.spec;
    double score = 0;
    if (!machine.images.containsKey(spec.image())) {
      score += fetchS(spec, machine) + (fetchIsLate(spec, machine) ? LATE_START_S : 0);
    }
    if (spec.service()) {
      // Even a short fetch is worse than any difference in how full machines are.
      score += machine.images.containsKey(spec.image()) ? 0 : FETCH_S;
      // Replicas of one job apart, as far as their image is there to start them in time.
      score += 2.0 * job.tasksOn(machine);
      score += 0.5 * job.assignedInZone(machine.zone());
    } else {
      score += machine.isSpot() ? plenty * spotRiskS(spec) : ORDINARY_PENALTY_S;
      // A replica that finds no room stops a task: room is left where that costs nothing.
      boolean crowded = !machine.isSpot() && machine.cpusFree() - spec.cpus() < largestReplica;
      score += crowded ? plenty * CROWDED_S : 0;
      score += spec.estimateS() * Math.max(-0.5, machine.slowness() - 1);
    }
    double free = machine.cpusFree() / machine.machineType().cpus();
    // Where money is an aim the fullest machine is best, so that others can be returned.
    score += plenty * (1 - free) + (1 - plenty) * 3.0 * free;
    if (machine.failures.unexplained() > 0) {
      score += 20;
    }
    return score;
  }

  /**
   * What an array loses by going to spot machines: one task that is taken halfway makes the whole
   * of it late by half a run. Long and wide ones had better be elsewhere, where there is room
   * anyway.
   */
  private double spotRiskS(JobSpec spec) {
    double run = Math.max(1, spec.estimateS());
    return Math.min(1, spec.tasks() * run * spotLosses.perSecond()) * run / 2;
  }

  private static double fetchS(JobSpec spec, Machine machine) {
    return spec.imageGb() / Math.max(0.01, machine.machineType().fetchGbPerS());
  }

  /** Whether a task would start too late there for its users, since its image has to be fetched. */
  private boolean fetchIsLate(JobSpec spec, Machine machine) {
    return !machine.images.containsKey(spec.image())
        && FETCH_SLACK * fetchS(spec, machine) > startWithinS(spec);
  }

  /** How soon the users want tasks of this class to start; a long time if they do not say. */
  private double startWithinS(JobSpec spec) {
    return startWithin.getOrDefault(spec.jobClass(), Double.MAX_VALUE);
  }

  /** Whether a replica on {@code from} could start on another machine without a fetch. */
  public boolean couldStartElsewhere(Job job, Machine from) {
    for (Machine machine : machines.present()) {
      boolean ready =
          machine != from
              && machine.usable(runtime.now())
              && machine.hasRoom(job.spec)
              && machine.images.containsKey(job.spec.image());
      if (ready && (machine.zone() == from.zone() || allowed(job, machine))) {
        return true;
      }
    }
    return false;
  }
}
