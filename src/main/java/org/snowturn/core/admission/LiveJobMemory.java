package org.snowturn.core.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the memory that the live jobs take. Every leader reads all of them, so a job must not be
 * accepted if a leader would run out of memory with it. A job that this node cannot take now is
 * refused with a retry delay.
 *
 * <p>Each node counts the live jobs that its cache shows, and the submissions that it has admitted
 * and that the cache may not show yet. A group (a class and a team) may use a multiple of what is
 * left, so that groups which come later get memory as well. The last part of the memory is reserved
 * for groups that use little.
 */
public final class LiveJobMemory {
  /** Share of the heap that live jobs may take; the rest is for their running tasks and calls. */
  private static final double HEAP_SHARE = 0.5;

  /** Memory of a live job apart from the text of its submission. */
  private static final long BYTES_PER_JOB = 2 * 1024;

  /**
   * Memory per byte of a submission: a leader keeps it parsed, and at a change of leader also as
   * the record and the parts of a long one.
   */
  private static final long BYTES_PER_TEXT_BYTE = 3;

  /** Multiple of the unreserved memory that is left, up to which a single group may use memory. */
  private static final double MAX_MULTIPLE_OF_FREE = 4;

  /** Share of the memory that is reserved for groups below {@link #SMALL_GROUP_SHARE}. */
  private static final double RESERVED_SHARE = 0.2;

  /** Share of the memory that a group may use as long as any is left. */
  private static final double SMALL_GROUP_SHARE = 0.01;

  /** Time after which a submission that is not live has not been written. */
  private static final long MAX_WRITE_DELAY_MS = 5_000;

  /** The memory that a job takes, and the group that it is counted for. */
  private record Usage(String group, long bytes) {}

  /** A submission that this node has admitted and that may not be live yet. */
  private record Reservation(Usage usage, long atMs) {}

  private final long maxBytes;
  private final Map<String, Usage> liveJobs = new HashMap<>();

  /** Admitted submissions by job, in the order of their times. */
  private final Map<String, Reservation> reservations = new LinkedHashMap<>();

  private final Map<String, Long> bytesByGroup = new HashMap<>();
  private long usedBytes;
  private long refusals;

  /**
   * Creates an empty account.
   *
   * @param heapBytes size of the heap of each controller
   */
  public LiveJobMemory(long heapBytes) {
    maxBytes = (long) (heapBytes * HEAP_SHARE);
  }

  private static Usage usage(String group, long textBytes) {
    return new Usage(group, BYTES_PER_JOB + BYTES_PER_TEXT_BYTE * textBytes);
  }

  /**
   * Admits a submission if there is memory for it; it is counted from then on. A job that is
   * counted already is always admitted, since it takes no more memory.
   *
   * @param group class and team of the job, as its record shows them
   * @param textBytes length of the submission
   */
  public boolean tryReserve(String job, String group, long textBytes, long nowMs) {
    if (liveJobs.containsKey(job) || reservations.containsKey(job)) {
      return true;
    }
    Usage usage = usage(group, textBytes);
    if (!hasRoom(usage)) {
      refusals++;
      return false;
    }
    reservations.put(job, new Reservation(usage, nowMs));
    add(usage, 1);
    return true;
  }

  private boolean hasRoom(Usage usage) {
    long usedAfter = usedBytes + usage.bytes;
    double unreservedBytes = maxBytes * (1 - RESERVED_SHARE) - usedAfter;
    double maxGroupBytes =
        Math.max(maxBytes * SMALL_GROUP_SHARE, MAX_MULTIPLE_OF_FREE * unreservedBytes);
    return usedAfter <= maxBytes
        && bytesByGroup.getOrDefault(usage.group, 0L) + usage.bytes <= maxGroupBytes;
  }

  /** Counts a live job, in place of what was counted for it before. */
  public void putLive(String job, String group, long textBytes) {
    removeReservation(job);
    Usage usage = usage(group, textBytes);
    Usage previous = liveJobs.put(job, usage);
    if (previous != null) {
      add(previous, -1);
    }
    add(usage, 1);
  }

  /** Stops counting a job that is no longer live. */
  public void removeLive(String job) {
    removeReservation(job);
    Usage usage = liveJobs.remove(job);
    if (usage != null) {
      add(usage, -1);
    }
  }

  /** Stops counting all live jobs; those that are still live are counted again. */
  public void clearLive() {
    liveJobs.values().forEach(usage -> add(usage, -1));
    liveJobs.clear();
  }

  /**
   * Drops the submissions that were not accepted: all jobs that were live at this time are counted,
   * so that only those whose write may be under way are still reserved.
   */
  public void onLiveJobsRead(long atMs) {
    Iterator<Reservation> oldestFirst = reservations.values().iterator();
    while (oldestFirst.hasNext()) {
      Reservation reservation = oldestFirst.next();
      if (reservation.atMs + MAX_WRITE_DELAY_MS > atMs) {
        return;
      }
      oldestFirst.remove();
      add(reservation.usage, -1);
    }
  }

  private void removeReservation(String job) {
    Reservation reservation = reservations.remove(job);
    if (reservation != null) {
      add(reservation.usage, -1);
    }
  }

  private void add(Usage usage, int sign) {
    usedBytes += sign * usage.bytes;
    bytesByGroup.merge(
        usage.group,
        sign * usage.bytes,
        (bytes, change) -> bytes + change == 0 ? null : Long.valueOf(bytes + change));
  }

  /** Returns the metrics of the account, by name. */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.admission.memory.limit", (double) maxBytes,
        "snowturn.admission.memory.used", (double) usedBytes,
        "snowturn.admission.memory.refused", (double) refusals);
  }
}
