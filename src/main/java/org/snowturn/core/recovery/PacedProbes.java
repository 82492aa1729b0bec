package org.snowturn.core.recovery;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.agrona.collections.Int2ObjectHashMap;

/**
 * Decides which machines a new leader probes next, and limits how many probes are in flight.
 *
 * <p>If a thousand machines were probed at once, the probes, their replies and the heartbeats of
 * workers that then find the new leader would delay all other work of the node, including the
 * renewal of its own lease. The number of probes in flight is therefore limited by a window, as in
 * congestion control. The window grows by one with each prompt reply and shrinks when replies are
 * late or the node itself is behind with its work. A probe without a reply leaves the window soon,
 * since many machines may be dead.
 *
 * <p>A machine that is heard without a probe is not probed. One that does not reply is probed
 * again. Times are in milliseconds of the monotonic clock.
 */
public final class PacedProbes {
  /** Minimum number of unanswered probes at which a machine counts as unresponsive. */
  public static final int MIN_UNANSWERED_PROBES = 3;

  private static final int INITIAL_WINDOW = 16;
  private static final int MIN_WINDOW = 4;

  /** Maximum window reached without replies, large enough to detect hundreds of dead machines. */
  private static final int MAX_WINDOW_WITHOUT_REPLIES = 64;

  private static final int MAX_WINDOW = 256;
  private static final double SHRINK_FACTOR = 0.7;

  /** Maximum time to a reply that counts as prompt. */
  private static final long MAX_PROMPT_REPLY_MS = 120;

  /** Time after which a probe without a reply leaves the window. */
  private static final long MAX_TIME_IN_WINDOW_MS = 300;

  /** Minimum time between two shrinks, so that one delay of the node counts only once. */
  private static final long MIN_SHRINK_INTERVAL_MS = 200;

  /** State of the probes of one machine. */
  private static final class Probe {
    private final int machineId;
    private final int urgency;
    private int unansweredCount;
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

  /** Probes in flight that hold a place in the window, the oldest first. */
  private final ArrayDeque<Probe> inWindow = new ArrayDeque<>();

  private final long retryMs;
  private double window = INITIAL_WINDOW;
  private long lastShrunkAt = Long.MIN_VALUE / 2;
  private long sentCount;

  /**
   * Creates a pacer without machines to probe.
   *
   * @param retryMs delay before a machine that left a probe unanswered is probed again, in
   *     milliseconds
   */
  public PacedProbes(long retryMs) {
    this.retryMs = retryMs;
  }

  /**
   * Adds a machine to probe, unless it has been added already.
   *
   * @param machineId index of the machine
   * @param urgency rank of the machine; machines with lower values are probed first
   * @param notBeforeMs earliest time of the first probe; the machine is expected to send a
   *     heartbeat before
   */
  public void add(int machineId, int urgency, long notBeforeMs) {
    if (!probes.containsKey(machineId)) {
      Probe probe = new Probe(machineId, urgency, notBeforeMs);
      probes.put(machineId, probe);
      waiting.add(probe);
    }
  }

  /**
   * Postpones the probe of a machine that waits for one.
   *
   * @param machineId index of the machine
   * @param notBeforeMs earliest time of the probe; the machine is expected to send a heartbeat
   *     before
   */
  public void postpone(int machineId, long notBeforeMs) {
    Probe probe = probes.get(machineId);
    if (probe != null && !probe.isOpen && probe.notBeforeMs < notBeforeMs) {
      waiting.remove(probe);
      probe.notBeforeMs = notBeforeMs;
      waiting.add(probe);
    }
  }

  /**
   * Returns the index of the machine to probe now, and counts the probe as sent; -1 if no probe is
   * due or the window is full.
   */
  public int nextMachine(long nowMs) {
    while (!inWindow.isEmpty() && nowMs - inWindow.peek().sentAt >= MAX_TIME_IN_WINDOW_MS) {
      release(inWindow.peek()); // most likely dead, so the window does not shrink
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

  /**
   * Handles a message of a machine, which is not probed any more. If a probe of it is still in the
   * window, the window grows or shrinks by the time since the probe.
   */
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
   * Handles a probe without a reply, which is repeated later.
   *
   * @param machineId index of the machine
   * @param nowMs the present time
   * @param countsAsSilence whether the missing reply may be due to the machine
   */
  public void onProbeUnanswered(int machineId, long nowMs, boolean countsAsSilence) {
    Probe probe = probes.get(machineId);
    if (probe == null || !probe.isOpen) {
      return;
    }
    release(probe);
    probe.isOpen = false;
    probe.unansweredCount += countsAsSilence ? 1 : 0;
    probe.notBeforeMs = nowMs + retryMs;
    waiting.add(probe);
  }

  /** Removes a machine that need not be probed any more. */
  public void remove(int machineId) {
    Probe probe = probes.remove(machineId);
    if (probe != null) {
      waiting.remove(probe);
      release(probe);
    }
  }

  /** Shrinks the window since this node is behind with its work. */
  public void onNodeLate(long nowMs) {
    shrinkWindow(nowMs);
  }

  /**
   * Grows the window since this node keeps up with its work, even if few probes are answered, up to
   * {@link #MAX_WINDOW_WITHOUT_REPLIES}.
   */
  public void onNodeOnTime() {
    if (window < MAX_WINDOW_WITHOUT_REPLIES) {
      window++;
    }
  }

  /**
   * Returns whether the machine is unresponsive: at least {@link #MIN_UNANSWERED_PROBES} probes got
   * no reply, and the first was sent long enough ago.
   *
   * @param machineId index of the machine
   * @param minSinceFirstProbeMs minimum time since the first probe
   * @param nowMs the present time
   */
  public boolean isUnresponsive(int machineId, long minSinceFirstProbeMs, long nowMs) {
    Probe probe = probes.get(machineId);
    return probe != null
        && probe.unansweredCount >= MIN_UNANSWERED_PROBES
        && nowMs - probe.firstSentAt >= minSinceFirstProbeMs;
  }

  /** Returns whether the machine left a probe unanswered and has not been heard since. */
  public boolean hasMissedProbe(int machineId) {
    Probe probe = probes.get(machineId);
    return probe != null && probe.unansweredCount > 0;
  }

  /** Returns the number of machines that have not been heard. */
  public int unheardMachines() {
    return probes.size();
  }

  /** Returns the number of probes sent. */
  public long sentCount() {
    return sentCount;
  }

  /** Returns the present maximum number of probes in flight. */
  public int window() {
    return (int) window;
  }

  /** Removes the probe from the window; returns whether it was still there. */
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
