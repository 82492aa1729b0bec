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
  public static final int MIN_ATTEMPTS = 3;

  private static final int INITIAL_WINDOW = 16;
  private static final int MIN_WINDOW = 4;

  /** As far as the window grows without replies, so that hundreds of dead are found together. */
  private static final int MAX_WINDOW_WITHOUT_REPLIES = 64;

  private static final int MAX_WINDOW = 256;
  private static final double SHRINK_FACTOR = 0.7;

  /** A reply within this time is prompt. */
  private static final long PROMPT_MS = 120;

  /** A probe that has been open for so long no longer holds a place in the window. */
  private static final long MAX_HOLD_MS = 300;

  /** Between two shrinks, so that one late moment counts once. */
  private static final long SHRINK_INTERVAL_MS = 200;

  /** The probes of one machine. */
  private static final class Probe {
    private final int id;
    private final int urgency;
    private int unanswered;
    private long notBefore;
    private long firstSentAt = Long.MAX_VALUE;
    private long sentAt;
    private boolean open;

    Probe(int id, int urgency, long notBefore) {
      this.id = id;
      this.urgency = urgency;
      this.notBefore = notBefore;
    }
  }

  private final Int2ObjectHashMap<Probe> probes = new Int2ObjectHashMap<>();
  private final PriorityQueue<Probe> waiting =
      new PriorityQueue<>(
          Comparator.<Probe>comparingLong(probe -> probe.notBefore)
              .thenComparingInt(probe -> probe.urgency)
              .thenComparingInt(probe -> probe.id));

  /** Those under way that hold a place in the window, the longest first. */
  private final ArrayDeque<Probe> inWindow = new ArrayDeque<>();

  private final long retryMs;
  private double window = INITIAL_WINDOW;
  private long shrunkAt = Long.MIN_VALUE / 2;
  private long sent;

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
   * @param id the machine's index
   * @param urgency smaller ones go first
   * @param notBeforeMs until then it is expected to be heard by itself
   */
  public void add(int id, int urgency, long notBeforeMs) {
    if (!probes.containsKey(id)) {
      Probe probe = new Probe(id, urgency, notBeforeMs);
      probes.put(id, probe);
      waiting.add(probe);
    }
  }

  /** The machine is expected to be heard by itself until then. */
  public void postpone(int id, long notBeforeMs) {
    Probe probe = probes.get(id);
    if (probe != null && !probe.open && probe.notBefore < notBeforeMs) {
      waiting.remove(probe);
      probe.notBefore = notBeforeMs;
      waiting.add(probe);
    }
  }

  /** The machine that is to be probed now, or -1 if none is or the window is full. */
  public int next(long nowMs) {
    while (!inWindow.isEmpty() && nowMs - inWindow.peek().sentAt >= MAX_HOLD_MS) {
      release(inWindow.peek()); // dead, most likely: that is no sign of a node that is behind
    }
    if (inWindow.size() >= (int) window) {
      return -1;
    }
    Probe probe = waiting.peek();
    if (probe == null || probe.notBefore > nowMs) {
      return -1;
    }
    waiting.poll();
    probe.sentAt = nowMs;
    probe.firstSentAt = Math.min(probe.firstSentAt, nowMs);
    probe.open = true;
    sent++;
    inWindow.add(probe);
    return probe.id;
  }

  /** The machine has been heard, probed or not. */
  public void heard(int id, long nowMs) {
    Probe probe = probes.remove(id);
    if (probe == null) {
      return;
    }
    if (!probe.open) {
      waiting.remove(probe);
      return;
    }
    if (release(probe)) {
      if (nowMs - probe.sentAt <= PROMPT_MS) {
        window = Math.min(MAX_WINDOW, window + 1);
      } else {
        shrink(nowMs);
      }
    }
  }

  /**
   * A probe got no reply: it is repeated later.
   *
   * @param counts whether that says something of the machine
   */
  public void unanswered(int id, long nowMs, boolean counts) {
    Probe probe = probes.get(id);
    if (probe == null || !probe.open) {
      return;
    }
    release(probe);
    probe.open = false;
    probe.unanswered += counts ? 1 : 0;
    probe.notBefore = nowMs + retryMs;
    waiting.add(probe);
  }

  /** The machine need not be probed any more. */
  public void drop(int id) {
    Probe probe = probes.remove(id);
    if (probe != null) {
      waiting.remove(probe);
      release(probe);
    }
  }

  /** The node itself is behind with its work. */
  public void nodeLate(long nowMs) {
    shrink(nowMs);
  }

  /** The node keeps up with its work: it can bear more probes, though few are answered. */
  public void nodeOnTime() {
    if (window < MAX_WINDOW_WITHOUT_REPLIES) {
      window++;
    }
  }

  /**
   * Whether the machine's silence says something: {@link #MIN_ATTEMPTS} probes got no reply, and
   * the first was sent at least so long ago.
   *
   * @param sinceMs the time that must have passed since the first probe
   */
  public boolean isUnresponsive(int id, long sinceMs, long nowMs) {
    Probe probe = probes.get(id);
    return probe != null
        && probe.unanswered >= MIN_ATTEMPTS
        && nowMs - probe.firstSentAt >= sinceMs;
  }

  /** Whether the machine has left a probe unanswered and has not been heard since. */
  public boolean hasMissed(int id) {
    Probe probe = probes.get(id);
    return probe != null && probe.unanswered > 0;
  }

  /** How many machines have not been heard. */
  public int unheard() {
    return probes.size();
  }

  /** How many probes have been sent. */
  public long sent() {
    return sent;
  }

  /** How many probes may be under way now. */
  public int window() {
    return (int) window;
  }

  /** Gives back the probe's place in the window; false if it had none any more. */
  private boolean release(Probe probe) {
    return inWindow.remove(probe);
  }

  private void shrink(long nowMs) {
    if (nowMs - shrunkAt >= SHRINK_INTERVAL_MS) {
      shrunkAt = nowMs;
      window = Math.max(MIN_WINDOW, window * SHRINK_FACTOR);
    }
  }
}
