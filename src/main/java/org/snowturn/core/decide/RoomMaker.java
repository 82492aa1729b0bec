package org.snowturn.core.decide;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.Reports;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Priority;

/**
 * Makes room for waiting tasks by stopping others: of lower priority, or beyond the guarantee of
 * another team, or a settled replica that can start elsewhere at once.
 */
final class RoomMaker {
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
  private final Placer placer;
  private final BooleanSupplier mayStop;

  /** For what no room could be made in the present plan, and at which priority. */
  private final List<NoRoom> noRoom = new ArrayList<>();

  private record NoRoom(JobSpec spec, Priority priority, boolean within) {}

  /** In the present plan, the machines with work that a priority may stop; found when needed. */
  private final Map<Priority, List<Machine>> stoppable = new EnumMap<>(Priority.class);

  /** The machines of the present plan. */
  private List<Machine> planned = List.of();

  RoomMaker(Calls calls, Ledger ledger, Placer placer, BooleanSupplier mayStop) {
    this.calls = calls;
    this.ledger = ledger;
    this.placer = placer;
    this.mayStop = mayStop;
  }

  /** A plan begins, with these machines. */
  void begin(List<Machine> usable) {
    planned = usable;
    noRoom.clear();
    stoppable.clear();
  }

  /** Makes room, or waits for room being made, on a machine that has a new service's image. */
  boolean roomWithImage(Job j, List<Machine> usable) {
    if (calls.wall() - j.releasedWall > IMAGE_PATIENCE_MS || !mayStop.getAsBoolean()) {
      return false;
    }
    if (calls.now() < j.roomUntil) {
      // Where more replicas wait than room was made for, the others would wait for nothing.
      return calls.now() < j.roomUntil - ROOM_MS + STOPPED_MS;
    }
    List<Machine> having = new ArrayList<>();
    for (Machine m : usable) {
      if (m.images.containsKey(j.spec.image()) && placer.allowed(j, m)) {
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
        if (movable && placer.couldStartElsewhere(v, m)) {
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
  boolean makeRoom(Job j, List<Machine> usable) {
    long now = calls.now();
    if (now < j.roomUntil) {
      return true; // room is being made already; see what it brings first
    }
    if (!mayStop.getAsBoolean()
        || (!j.within && ledger.boundBelow(j.priority) == 0)
        || !ledger.quota().allows(j.spec)
        || knownNoRoom(j)) {
      return false;
    }
    List<Room> rooms = new ArrayList<>();
    for (Machine m : (j.within ? usable : withStoppable(j.priority, usable))) {
      placer.looked();
      if (now >= m.preemptingUntil && placer.allowed(j, m)) {
        List<Long> victims = victims(j, m);
        if (victims != null) {
          rooms.add(new Room(m, victims, placer.score(j, m) + 10.0 * victims.size()));
        }
      }
    }
    if (rooms.isEmpty() && Placer.unconstrained(j.spec)) {
      noRoom.add(new NoRoom(j.spec, j.priority, j.within));
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
      // Whose work may be stopped for a guarantee depends on the team.
      boolean same = j.within == n.within && (!j.within || j.spec.team().equals(n.spec.team()));
      boolean noHigher = j.priority.compareTo(n.priority) >= 0;
      if (same && noHigher && Placer.asksNoLess(j.spec, n.spec)) {
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

  /**
   * Whether work may be stopped for a job: of lower priority, or, for a job within its team's
   * guarantee, whatever another team has beyond its own. Work within a guarantee is never stopped
   * for another team, nor what a floor has let go before others, but for production and guarantees.
   */
  private static boolean mayBeStopped(Job v, Job j) {
    boolean sameTeam = v.spec.team().equals(j.spec.team());
    if (v.within && !sameTeam) {
      return false;
    }
    if (j.within && !sameTeam) {
      return true;
    }
    boolean keeps = v.byFloor && j.priority != Priority.PRODUCTION;
    return v.priority.compareTo(j.priority) > 0 && !keeps;
  }

  /** The tasks whose end would make room, least loss first; null if there are not enough. */
  private List<Long> victims(Job j, Machine m) {
    double cpus = j.spec.cpus() - m.cpusFree();
    double memory = j.spec.memoryGb() - (m.shape.memoryGb() - m.memoryUsed);
    double gpus = j.spec.gpus() - (m.shape.gpus() - m.gpusUsed);
    List<Long> candidates = new ArrayList<>();
    for (long ref : Reports.copy(m.bound)) {
      Job v = ledger.job(ref);
      if (mayBeStopped(v, j)) {
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
