package org.snowturn.core.model;

import java.util.Arrays;
import org.agrona.collections.Int2IntHashMap;

/**
 * The assignments of a job's tasks, in dense arrays. An assignment is found by its task's slot in
 * the arrays. Memory grows and shrinks with the number of assignments.
 */
final class AssignmentTable {
  /** The slot of a task that is not assigned. */
  static final int NO_SLOT = -1;

  private static final int MIN_CAPACITY = 2;
  private static final int GROWTH_FACTOR = 2;

  /** The arrays shrink when they are larger than the assignments need by this factor. */
  private static final int MAX_SPARE_FACTOR = 4;

  private final Int2IntHashMap slotByTask = new Int2IntHashMap(NO_SLOT);
  private int size;
  private int[] tasks;
  private byte[] states;
  private int[] machines;
  private long[] attempts;
  private long[] epochs;
  private long[] runningSince;

  AssignmentTable() {
    resize(MIN_CAPACITY);
  }

  private void resize(int capacity) {
    tasks = tasks == null ? new int[capacity] : Arrays.copyOf(tasks, capacity);
    states = states == null ? new byte[capacity] : Arrays.copyOf(states, capacity);
    machines = machines == null ? new int[capacity] : Arrays.copyOf(machines, capacity);
    attempts = attempts == null ? new long[capacity] : Arrays.copyOf(attempts, capacity);
    epochs = epochs == null ? new long[capacity] : Arrays.copyOf(epochs, capacity);
    runningSince =
        runningSince == null ? new long[capacity] : Arrays.copyOf(runningSince, capacity);
  }

  /** Returns the slot of a task's assignment; {@link #NO_SLOT} if the task is not assigned. */
  int slotOf(int task) {
    return slotByTask.get(task);
  }

  /**
   * Adds the assignment of a task that has none.
   *
   * @return the slot of the assignment, which stays valid until an assignment is removed
   */
  int add(int task, int machine, long attempt, long epoch) {
    if (size == tasks.length) {
      resize(size * GROWTH_FACTOR);
    }
    int slot = size++;
    slotByTask.put(task, slot);
    tasks[slot] = task;
    machines[slot] = machine;
    attempts[slot] = attempt;
    epochs[slot] = epoch;
    return slot;
  }

  /** Removes the assignment in a slot. Another assignment may take over the slot. */
  void remove(int slot) {
    int last = --size;
    slotByTask.remove(tasks[slot]);
    if (slot != last) {
      tasks[slot] = tasks[last];
      states[slot] = states[last];
      machines[slot] = machines[last];
      attempts[slot] = attempts[last];
      epochs[slot] = epochs[last];
      runningSince[slot] = runningSince[last];
      slotByTask.put(tasks[slot], slot);
    }
    if (tasks.length > MIN_CAPACITY && tasks.length >= size * MAX_SPARE_FACTOR) {
      resize(Math.max(MIN_CAPACITY, tasks.length / GROWTH_FACTOR));
      slotByTask.compact();
    }
  }

  /** Returns the number of assignments for which the arrays have room. */
  int capacity() {
    return tasks.length;
  }

  TaskState state(int slot) {
    return TaskState.ofCode(states[slot]);
  }

  void setState(int slot, TaskState state) {
    states[slot] = state.code();
  }

  int machine(int slot) {
    return machines[slot];
  }

  long attempt(int slot) {
    return attempts[slot];
  }

  long epoch(int slot) {
    return epochs[slot];
  }

  long runningSince(int slot) {
    return runningSince[slot];
  }

  void setRunningSince(int slot, long since) {
    runningSince[slot] = since;
  }
}
