package org.snowturn.core.recovery;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.agrona.collections.Int2ObjectHashMap;

/**
 * Which machines a new leader probes next, and how many at a time.
 *
 * <p>All at once, a thousand probes, their replies and the workers that then find the new leader
 * would stand before everything else that the node has to do, the renewal of its own lease
 * included. So only a window of probes is under way, as in congestion control: it grows by one with
 * each prompt reply and shrinks when replies are late or when the node itself runs late. A probe
 * without a reply does not hold its place in the window for long, since many machines may be dead.
 *
 * <p>A machine that is heard without a probe is not probed. One that does not reply is probed
 * again. Times are milliseconds of the steady clock.
 */
public final class PacedProbes {
  /** How many probes without a reply are needed before silence says anything. */
  public static final int MIN_UNANSWERED_PROBES = 3;

  private static final int INITIAL_WINDOW = 16;
  private static final int MIN_WINDOW = 4;

  /** As far as the window grows without replies, so that hundreds of dead are found together. */
  private static final int MAX_WINDOW_WITHOUT_REPLIES = 64;

  private static final int MAX_WINDOW = 256;
  private static final double SHRINK_FACTOR = 0.7;

  /** A reply within this time is prompt. */
  private static final long MAX_PROMPT_REPLY_MS = 120;

  /** A probe that has been open for so long no longer holds a place in the window. */
  private static final long MAX_TIME_IN_WINDOW_MS = 300;

  /** Between two shrinks, so that one late moment counts once. */
  private static final long MIN_SHRINK_INTERVAL_MS = 200;

  /** The probes of one machine. */
  private static final class Probe {
    private final int machineId;
    private final int urgency;
    private int unanswered;
    private long notBeforeMs;
    private long firstSentAt = Long.MAX_VALUE;
    private long sentAt;
    private boolean isOpen;

    Probe(int machineId, int urgency, long notBeforeMs) {
      this.machineId = machineId;
      this.urgency = urgency;
      this.notBeforeMs = notBeforeMs;
    }
  }

  private final Int2ObjectHashMap<Probe> probes = new Int2ObjectHashMap<>();
  private final PriorityQueue<Probe> waiting =
      new PriorityQueue<>(
          Comparator.<Probe>comparingLong(probe -> probe.notBeforeMs)
              .thenComparingInt(probe -> probe.urgency)
              .thenComparingInt(probe -> probe.machineId));

  /** Those under way that hold a place in the window, the longest first. */
  private final ArrayDeque<Probe> inWindow = new ArrayDeque<>();

  private final long retryMs;
  private double window = INITIAL_WINDOW;
  private long lastShrunkAt = Long.MIN_VALUE / 2;
  private long sentCount;

  /**
   * No machine is to be probed yet.
   *
   * @param retryMs how long after a probe that got no reply the next one is sent
   */
  public PacedProbes(long retryMs) {
    this.retryMs = retryMs;
  }

  /**
   * Adds a machine that is to be probed, unless it is already known.
   *
   * @param machineId the machine's index
   * @param urgency smaller ones go first
   * @param notBeforeMs until then it is expected to be heard by itself
   */
  public void add(int machineId, int urgency, long notBeforeMs) {
    if (!probes.containsKey(machineId)) {
      Probe probe = new Probe(machineId, urgency, notBeforeMs);
      probes.put(machineId, probe);
      waiting.add(probe);
    }
  }

  /** The machine is expected to be heard by itself until then. */
  public void postpone(int machineId, long notBeforeMs) {
    Probe probe = probes.get(machineId);
    if (probe != null && !probe.isOpen && probe.notBeforeMs < notBeforeMs) {
      waiting.remove(probe);
      probe.notBeforeMs = notBeforeMs;
      waiting.add(probe);
    }
  }

  /** The machine that is to be probed now, or -1 if none is or the window is full. */
  public int nextMachine(long nowMs) {
    while (!inWindow.isEmpty() && nowMs - inWindow.peek().sentAt >= MAX_TIME_IN_WINDOW_MS) {
      release(inWindow.peek()); // dead, most likely: that is no sign of a node that is behind
    }
    if (inWindow.size() >= (int) window) {
      return -1;
    }
    Probe probe = waiting.peek();
    if (probe == null || probe.notBeforeMs > nowMs) {
      return -1;
    }
    waiting.poll();
    probe.sentAt = nowMs;
    probe.firstSentAt = Math.min(probe.firstSentAt, nowMs);
    probe.isOpen = true;
    sentCount++;
    inWindow.add(probe);
    return probe.machineId;
  }

  /** The machine has been heard, probed or not. */
  public void onHeard(int machineId, long nowMs) {
    Probe probe = probes.remove(machineId);
    if (probe == null) {
      return;
    }
    if (!probe.isOpen) {
      waiting.remove(probe);
      return;
    }
    if (release(probe)) {
      if (nowMs - probe.sentAt <= MAX_PROMPT_REPLY_MS) {
        window = Math.min(MAX_WINDOW, window + 1);
      } else {
        shrinkWindow(nowMs);
      }
    }
  }

  /**
   * A probe got no reply: it is repeated later.
   *
   * @param countsAsSilence whether that says something of the machine
   */
  public void onUnanswered(int machineId, long nowMs, boolean countsAsSilence) {
    Probe probe = probes.get(machineId);
    if (probe == null || !probe.isOpen) {
      return;
    }
    release(probe);
    probe.isOpen = false;
    probe.unanswered += countsAsSilence ? 1 : 0;
    probe.notBeforeMs = nowMs + retryMs;
    waiting.add(probe);
  }

  /** The machine need not be probed any more. */
  public void remove(int machineId) {
    Probe probe = probes.remove(machineId);
    if (probe != null) {
      waiting.remove(probe);
      release(probe);
    }
  }

  /** The node itself is behind with its work. */
  public void onNodeLate(long nowMs) {
    shrinkWindow(nowMs);
  }

  /** The node keeps up with its work: it can bear more probes, though few are answered. */
  public void onNodeOnTime() {
    if (window < MAX_WINDOW_WITHOUT_REPLIES) {
      window++;
    }
  }

  /**
   * Whether the machine's silence says something: {@link #MIN_UNANSWERED_PROBES} probes got no
   * reply, and the first was sent at least so long ago.
   *
   * @param minSinceFirstProbeMs the time that must have passed since the first probe
   */
  public boolean isUnresponsive(int machineId, long minSinceFirstProbeMs, long nowMs) {
    Probe probe = probes.get(machineId);
    return probe != null
        && probe.unanswered >= MIN_UNANSWERED_PROBES
        && nowMs - probe.firstSentAt >= minSinceFirstProbeMs;
  }

  /** Whether the machine has left a probe unanswered and has not been heard since. */
  public boolean hasMissedProbe(int machineId) {
    Probe probe = probes.get(machineId);
    return probe != null && probe.unanswered > 0;
  }

  /** How many machines have not been heard. */
  public int unheardMachines() {
    return probes.size();
  }

  /** How many probes have been sent. */
  public long sentCount() {
    return sentCount;
  }

  /** How many probes may be under way now. */
  public int window() {
    return (int) window;
  }

  /** Gives back the probe's place in the window; false if it had none any more. */
  private boolean release(Probe probe) {
    return inWindow.remove(probe);
  }

  private void shrinkWindow(long nowMs) {
    if (nowMs - lastShrunkAt >= MIN_SHRINK_INTERVAL_MS) {
      lastShrunkAt = nowMs;
      window = Math.max(MIN_WINDOW, window * SHRINK_FACTOR);
    }
  }
}
