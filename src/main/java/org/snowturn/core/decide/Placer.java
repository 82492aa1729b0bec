package org.snowturn.core.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.Reports;
import org.snowturn.core.admission.Floors;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.picture.Job;
import org.snowturn.core.picture.Machine;
import org.snowturn.core.picture.MachineBook;
import org.snowturn.core.picture.SpotLosses;
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

  /** A fetch may take so much longer than the machine's type says. */
  private static final double FETCH_SLACK = 1.3;

  /**
   * Tasks that are stopped to make room beside an image end within this time, or are not waited
   * for.
   */
  private static final long STOPPED_MS = 300;

  /** How long a new service waits for room beside its image rather than fetch it elsewhere. */
  private static final long IMAGE_PATIENCE_MS = 1_500;

  /** How long room that is being made is waited for before more is made. */
  private static final long ROOM_MS = 1_500;

  private final Calls calls;
  private final Ledger ledger;
  private final MachineBook machines;
  private final FleetPolicy policy;
  private final WaitingOrder order;
  private final SpotLosses spotLosses;
  private final BooleanSupplier mayStop;
  private final Floors floors = new Floors();
  private final Map<String, Double> startWithin = new HashMap<>();

  /** What found no room in the present plan. */
  private final List<JobSpec> tooLarge = new ArrayList<>();

  /** For what no room could be made in the present plan, and at which priority. */
  private final List<NoRoom> noRoom = new ArrayList<>();

  private record NoRoom(JobSpec spec, Priority priority) {}

  /** In the present plan, the machines with work that a priority may stop; found when needed. */
  private final Map<Priority, List<Machine>> stoppable = new EnumMap<>(Priority.class);

  private List<Machine> planned = List.of();
  private long looks;

  /** The policy's, at the present plan. */
  private double plenty;

  private double largestReplica;

  /**
   * Decides nothing yet.
   *
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
      BooleanSupplier mayStop) {
    this.mayStop = mayStop;
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
    planned = usable;
    for (Machine m : machines.present()) {
      if (m.usable(now) && machines.zoneKnown(m.zone)) {
        usable.add(m);
      }
    }
    List<Job> waiting = new ArrayList<>();
    largestReplica = 0;
    floors.begin(now);
    for (Job j : ledger.jobs()) {
      largestReplica = j.spec.service() ? Math.max(largestReplica, j.spec.cpus()) : largestReplica;
      if (j.wantsRoom()) {
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
    noRoom.clear();
    stoppable.clear();
    for (Job j : starvingFirst(order.sorted(waiting, calls.wall()))) {
      if (!placeJob(j, usable)) {
        room = false;
        makeRoom(j, usable);
      }
    }
    return room;
  }

  /**
   * Among the production jobs, and then among the others, those of groups that had less than their
   * floor go first. What they get so is theirs until it ends: work of higher priority would stop it
   * at once, and all that had been done for it were wasted.
   */
  private List<Job> starvingFirst(List<Job> ordered) {
    List<Job> out = new ArrayList<>(ordered.size());
    for (boolean production : new boolean[] {true, false}) {
      for (boolean first : new boolean[] {true, false}) {
        for (Job j : ordered) {
          if ((j.priority == Priority.PRODUCTION) == production && floors.first(j.group) == first) {
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

  private static boolean asksNoLess(JobSpec s, JobSpec than) {
    return s.cpus() >= than.cpus()
        && s.memoryGb() >= than.memoryGb()
        && s.gpus() >= than.gpus()
        && (than.spot() || !s.spot());
  }

  private static boolean unconstrained(JobSpec s) {
    return s.types() == null && s.zone() == null && !s.spread() && !s.oneZone();
  }

  private void foundTooLarge(JobSpec s) {
    if (unconstrained(s)) {
      tooLarge.add(s);
    }
  }

  private boolean placeJob(Job j, List<Machine> usable) {
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
    while (j.pending > 0) {
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
      if (j.spec.service() && fetchIsLate(j.spec, best) && roomWithImage(j, usable)) {
        return true; // the task stopped for it ends within milliseconds, a fetch takes seconds
      }
      ledger.bind(j, t, best, gang ? together : ledger.newAttempt());
      floors.given(j.group, j.spec.cpus(), calls.now());
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
    if (fits(j, m)) {
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
    return floors.gauges();
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
    if (m.errorsInRow > 0) {
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

  /** Makes room, or waits for room being made, on a machine that has a new service's image. */
  private boolean roomWithImage(Job j, List<Machine> usable) {
    if (calls.wall() - j.releasedWall > IMAGE_PATIENCE_MS || !mayStop.getAsBoolean()) {
      return false;
    }
    if (calls.now() < j.roomUntil) {
      // Where more replicas wait than room was made for, the others would wait for nothing.
      return calls.now() < j.roomUntil - ROOM_MS + STOPPED_MS;
    }
    List<Machine> having = new ArrayList<>();
    for (Machine m : usable) {
      if (m.images.containsKey(j.spec.image()) && allowed(j, m)) {
        having.add(m);
      }
    }
    return makeRoom(j, having) || swap(j, having);
  }

  /** Moves a settled replica that can start elsewhere at once, to make room beside an image. */
  private boolean swap(Job j, List<Machine> having) {
    for (Machine m : having) {
      if (calls.now() < m.preemptingUntil) {
        continue;
      }
      for (long ref : Reports.copy(m.bound)) {
        Job v = ledger.job(ref);
        int t = Ledger.task(ref);
        boolean movable =
            v != j
                && v.settled(t, calls.now())
                && v.spec.cpus() >= j.spec.cpus()
                && v.spec.gpus() >= j.spec.gpus()
                && v.spec.memoryGb() >= j.spec.memoryGb();
        if (movable && couldStartElsewhere(v, m)) {
          calls.note(
              v.spec.id()
                  + "/"
                  + t
                  + " moves off "
                  + m.id
                  + ", image of "
                  + j.spec.id()
                  + " there");
          m.preemptingUntil = calls.now() + ROOM_MS;
          j.roomUntil = m.preemptingUntil;
          v.avoid.put(t, m.index);
          ledger.stop(v, t);
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Stops tasks of lower priority where that lets tasks of this job start: on one machine for each
   * waiting task, all at once, since one after the other a large service would wait for minutes.
   */
  private boolean makeRoom(Job j, List<Machine> usable) {
    long now = calls.now();
    if (now < j.roomUntil) {
      return true; // room is being made already; see what it brings first
    }
    if (!mayStop.getAsBoolean()
        || ledger.boundBelow(j.priority) == 0
        || !ledger.quota().allows(j.spec)
        || knownNoRoom(j)) {
      return false;
    }
    List<Room> rooms = new ArrayList<>();
    for (Machine m : withStoppable(j.priority, usable)) {
      looks++;
      if (now >= m.preemptingUntil && allowed(j, m)) {
        List<Long> victims = victims(j, m);
        if (victims != null) {
          rooms.add(new Room(m, victims, score(j, m) + 10.0 * victims.size()));
        }
      }
    }
    if (rooms.isEmpty() && unconstrained(j.spec)) {
      noRoom.add(new NoRoom(j.spec, j.priority));
    }
    rooms.sort(Comparator.comparingDouble(Room::score));
    int[] inZone = j.boundInZone.clone();
    int wanted = j.pending;
    for (Room r : rooms) {
      if (wanted == 0) {
        break;
      }
      if (j.spec.spread() && inZone[r.machine.zone] >= j.spec.perZoneLimit()) {
        continue;
      }
      inZone[r.machine.zone]++;
      wanted--;
      r.machine.preemptingUntil = now + ROOM_MS;
      j.roomUntil = r.machine.preemptingUntil;
      for (long ref : r.victims) {
        Job v = ledger.job(ref);
        int t = Ledger.task(ref);
        calls.note(v.spec.id() + "/" + t + " stopped on " + r.machine.id + " for " + j.spec.id());
        ledger.stop(v, t);
      }
    }
    return now < j.roomUntil;
  }

  /**
   * Whether for a job that asks for no more, at no lower priority, no room could be made in this
   * plan. In a flood hundreds of jobs wait beside a few that may be stopped: looked for by each of
   * them on each machine, those few cost a leader seconds, and its lease.
   */
  private boolean knownNoRoom(Job j) {
    for (NoRoom n : noRoom) {
      if (j.priority.compareTo(n.priority) >= 0 && asksNoLess(j.spec, n.spec)) {
        return true;
      }
    }
    return false;
  }

  private List<Machine> withStoppable(Priority p, List<Machine> usable) {
    // What only some machines are asked for is not what the plan has found.
    boolean all = usable == planned;
    List<Machine> known = all ? stoppable.get(p) : null;
    if (known == null) {
      known = new ArrayList<>();
      for (Machine m : usable) {
        if (m.boundBelow(p) > 0) {
          known.add(m);
        }
      }
      if (all) {
        stoppable.put(p, known);
      }
    }
    return known;
  }

  /** What would have to stop on a machine for one task to start there. */
  private record Room(Machine machine, List<Long> victims, double score) {}

  /** The tasks whose end would make room, least loss first; null if there are not enough. */
  private List<Long> victims(Job j, Machine m) {
    double cpus = j.spec.cpus() - m.cpusFree();
    double memory = j.spec.memoryGb() - (m.shape.memoryGb() - m.memoryUsed);
    double gpus = j.spec.gpus() - (m.shape.gpus() - m.gpusUsed);
    List<Long> candidates = new ArrayList<>();
    for (long ref : Reports.copy(m.bound)) {
      Job v = ledger.job(ref);
      boolean theirs = v.byFloor && j.priority != Priority.PRODUCTION;
      if (v.priority.compareTo(j.priority) > 0 && !theirs) {
        candidates.add(ref);
      }
    }
    candidates.sort(
        Comparator.<Long>comparingInt(r -> -ledger.job(r).priority.ordinal())
            .thenComparingLong(r -> -ledger.job(r).since[Ledger.task(r)]));
    List<Long> out = new ArrayList<>();
    for (long ref : candidates) {
      if (cpus <= 1e-6 && memory <= 1e-6 && gpus <= 1e-6) {
        break;
      }
      Job v = ledger.job(ref);
      cpus -= v.spec.cpus();
      memory -= v.spec.memoryGb();
      gpus -= v.spec.gpus();
      out.add(ref);
    }
    return cpus <= 1e-6 && memory <= 1e-6 && gpus <= 1e-6 ? out : null;
  }
}
