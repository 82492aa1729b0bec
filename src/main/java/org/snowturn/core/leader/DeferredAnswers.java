package org.snowturn.core.leader;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.core.model.Machine;
import org.snowturn.wire.Heartbeat;

/**
 * Heartbeats whose answers are deferred, so that they can carry starts that become due meanwhile.
 * There is at most one heartbeat of each machine.
 */
final class DeferredAnswers {
  /**
   * Maximum time by which an answer is deferred. A worker waits 4 s for it, and reports nothing
   * else meanwhile.
   */
  private static final double MAX_DEFERRAL_S = 2.5;

  /** Maximum share of the heartbeat interval by which an answer is deferred. */
  private static final double MAX_DEFERRAL_SHARE_OF_INTERVAL = 0.5;

  /**
   * Maximum time by which an answer is deferred while a placement on the machine is being written.
   */
  private static final long MAX_DEFERRAL_FOR_PLACEMENT_MS = 3_300;

  /** Maximum time for which a start that is due waits for others of its machine. */
  private static final long MAX_START_DELAY_MS = 100;

  /**
   * A heartbeat that has not been answered yet.
   *
   * @param exchange the id of the HTTP exchange to answer
   * @param receivedAtMs the time at which the heartbeat arrived
   */
  record Deferred(long exchange, Machine machine, Heartbeat heartbeat, long receivedAtMs) {}

  private final long maxDeferralMs;
  private final Map<Machine, Deferred> deferredByMachine = new HashMap<>();

  /** The deferred heartbeats and some that have been answered, the earliest first. */
  private final ArrayDeque<Deferred> inOrder = new ArrayDeque<>();

  /** Deferred heartbeats that wait for longer, for a placement, the earliest first. */
  private final ArrayDeque<Deferred> awaitingPlacement = new ArrayDeque<>();

  /** The machines with a start that is due, and the time by which it is sent. */
  private final Map<Machine, Long> startDeadlines = new LinkedHashMap<>();

  private long deferredCount;

  DeferredAnswers(Settings settings) {
    double intervalS = settings.workers().heartbeatIntervalS();
    maxDeferralMs =
        (long) (1000 * Math.min(MAX_DEFERRAL_S, MAX_DEFERRAL_SHARE_OF_INTERVAL * intervalS));
  }

  /**
   * Defers the answer to a heartbeat.
   *
   * @return an earlier heartbeat of the machine that is no longer deferred; null if there is none
   */
  Deferred add(long exchange, Machine machine, Heartbeat heartbeat, long nowMs) {
    deferredCount++;
    Deferred deferred = new Deferred(exchange, machine, heartbeat, nowMs);
    inOrder.add(deferred);
    startDeadlines.remove(machine);
    return deferredByMachine.put(machine, deferred);
  }

  /**
   * Records that a start for the machine is due.
   *
   * @return whether the answer to a heartbeat of the machine can carry it
   */
  boolean onStartDue(Machine machine, long nowMs) {
    boolean isDeferred = deferredByMachine.containsKey(machine);
    if (isDeferred) {
      startDeadlines.putIfAbsent(machine, nowMs + MAX_START_DELAY_MS);
    }
    return isDeferred;
  }

  /**
   * Removes and returns the heartbeats of machines with a start that is due. While other placements
   * on the machine are not durable, the start waits for them for a short time.
   */
  List<Deferred> takeWithStart(long nowMs) {
    if (startDeadlines.isEmpty()) {
      return List.of();
    }
    List<Deferred> taken = new ArrayList<>();
    Iterator<Map.Entry<Machine, Long>> iterator = startDeadlines.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Machine, Long> entry = iterator.next();
      if (entry.getKey().pendingPlacements() == 0 || nowMs >= entry.getValue()) {
        iterator.remove();
        taken.add(deferredByMachine.remove(entry.getKey()));
      }
    }
    return taken;
  }

  /** Removes and returns the heartbeats that have been deferred for the maximum time. */
  List<Deferred> takeExpired(long nowMs) {
    List<Deferred> taken = new ArrayList<>();
    while (isOlder(inOrder.peek(), nowMs - maxDeferralMs)) {
      Deferred deferred = inOrder.poll();
      if (deferred.machine.pendingPlacements() > 0) {
        awaitingPlacement.add(deferred);
      } else {
        take(deferred, taken);
      }
    }
    while (isOlder(awaitingPlacement.peek(), nowMs - MAX_DEFERRAL_FOR_PLACEMENT_MS)) {
      take(awaitingPlacement.poll(), taken);
    }
    return taken;
  }

  private static boolean isOlder(Deferred deferred, long timeMs) {
    return deferred != null && deferred.receivedAtMs <= timeMs;
  }

  /** Adds the heartbeat to the list unless it has been answered already. */
  private void take(Deferred deferred, List<Deferred> taken) {
    if (deferredByMachine.remove(deferred.machine, deferred)) {
      startDeadlines.remove(deferred.machine);
      taken.add(deferred);
    }
  }

  /** Removes and returns all heartbeats. */
  List<Deferred> takeAll() {
    List<Deferred> taken = new ArrayList<>(deferredByMachine.values());
    deferredByMachine.clear();
    inOrder.clear();
    awaitingPlacement.clear();
    startDeadlines.clear();
    return taken;
  }

  /** Returns how many answers were deferred. */
  long deferredCount() {
    return deferredCount;
  }
}
