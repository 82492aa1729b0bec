package org.snowturn.core.model;

import org.snowturn.wire.JobSpec;
import org.snowturn.wire.ListedTaskSize;
import org.snowturn.wire.TaskStatus;

/**
 * The part of a heartbeat's maximum size that the tasks of a machine use. A heartbeat lists every
 * task on the machine, also ended ones until the machine is told to forget them; a machine whose
 * heartbeat would be too long cannot renew its lease, and all its tasks are lost. So the size is a
 * resource of the machine, like CPUs and memory.
 *
 * <p>Each task counts with the longest entry that it can have. Tasks count while they are assigned,
 * and from then on while the machine lists them.
 */
public final class HeartbeatUsage {
  /** Free size below which a heartbeat may have no room for another task. */
  private static final int FULL_BELOW_BYTES = 256;

  private int assignedBytes;
  private int assignedCount;

  /** Size and number of entries of tasks that the machine lists and that are not assigned to it. */
  private int formerBytes;

  private int formerCount;

  /** Extra size of an entry in the layout of the machine's heartbeats. */
  private int layoutBytes = ListedTaskSize.INDENTED_LAYOUT_BYTES;

  /** Adds an assigned task of the job. */
  void assign(JobSpec spec) {
    assignedBytes += ListedTaskSize.maxBytes(spec);
    assignedCount++;
  }

  /**
   * Removes an assigned task of the job.
   *
   * @param maybeListed whether the machine may list the task from now on
   */
  void unassign(JobSpec spec, boolean maybeListed) {
    int bytes = ListedTaskSize.maxBytes(spec);
    assignedBytes -= bytes;
    assignedCount--;
    if (maybeListed) {
      addFormer(bytes);
    }
  }

  /**
   * Starts to count the listed tasks that are not assigned, from the machine's newest heartbeat.
   */
  public void beginFormer() {
    formerBytes = 0;
    formerCount = 0;
  }

  /** Adds a listed task that is not assigned to the machine. */
  public void addFormer(TaskStatus status) {
    addFormer(ListedTaskSize.maxBytes(status));
  }

  private void addFormer(int bytes) {
    formerBytes += bytes;
    formerCount++;
  }

  /**
   * Records the layout of the machine's newest heartbeat.
   *
   * @param measuredBytes extra size of the longest entry, or {@link ListedTaskSize#NOT_MEASURED}
   */
  public void recordLayout(int measuredBytes) {
    if (measuredBytes != ListedTaskSize.NOT_MEASURED) {
      layoutBytes = Math.max(ListedTaskSize.SPACED_LAYOUT_BYTES, measuredBytes);
    }
  }

  /** Forgets the layout, since the machine's agent may have been replaced. */
  public void onNewAgentEpoch() {
    layoutBytes = ListedTaskSize.INDENTED_LAYOUT_BYTES;
  }

  /** Returns whether the heartbeat has room for one more task of the job. */
  public boolean hasRoomFor(JobSpec spec) {
    return freeBytes() >= entryBytes(spec);
  }

  /** Returns how many more tasks of the job the heartbeat has room for. */
  int maxTasksThatFit(JobSpec spec) {
    return Math.max(0, freeBytes() / entryBytes(spec));
  }

  private int entryBytes(JobSpec spec) {
    return ListedTaskSize.maxBytes(spec) + layoutBytes;
  }

  /** Returns whether the heartbeat may have no room for another task. */
  public boolean isFull() {
    return freeBytes() < FULL_BELOW_BYTES;
  }

  /** Returns the size that is left; negative if more was started than fits. */
  public int freeBytes() {
    return ListedTaskSize.MAX_LIST_BYTES
        - assignedBytes
        - formerBytes
        - (assignedCount + formerCount) * layoutBytes;
  }
}
