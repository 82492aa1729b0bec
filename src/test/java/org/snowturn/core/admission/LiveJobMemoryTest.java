package org.snowturn.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Guards against controllers that accept more jobs than a leader's heap holds, against a class that
 * leaves no memory to others, and against memory that stays taken after a job has ended or was
 * never accepted.
 */
class LiveJobMemoryTest {
  private static final long HEAP_BYTES = 80L << 20;
  private static final long TEXT_BYTES = 400;
  private static final int MORE_THAN_FIT = 100_000;

  private final LiveJobMemory memory = new LiveJobMemory(HEAP_BYTES);

  private double used() {
    return memory.gauges().get("snowturn.admission.memory.used");
  }

  private double limit() {
    return memory.gauges().get("snowturn.admission.memory.limit");
  }

  /** Submits jobs until one is refused, and returns the number of admitted ones. */
  private int fill(String group) {
    for (int i = 0; i < MORE_THAN_FIT; i++) {
      if (!memory.tryReserve(group + i, group, TEXT_BYTES, 0)) {
        return i;
      }
    }
    return MORE_THAN_FIT;
  }

  @Test
  void jobsOfManyGroupsNeverTakeMoreThanTheLimit() {
    for (int group = 0; group < 20; group++) {
      assertTrue(fill("group" + group) > 0, "group " + group + " got nothing");
      assertTrue(used() <= limit());
    }
    assertTrue(limit() < HEAP_BYTES);
  }

  @Test
  void aGroupThatTakesAllItCanLeavesRoomForOthers() {
    int first = fill("first");
    int second = fill("second");
    assertTrue(first < MORE_THAN_FIT);
    assertTrue(second >= first / 10, second + " of the second group, " + first + " of the first");
  }

  @Test
  void aRepeatedSubmissionIsAdmittedEvenIfTheMemoryIsFull() {
    fill("group");
    assertTrue(memory.tryReserve("group0", "group", TEXT_BYTES, 0));
    memory.putLive("group1", "group", TEXT_BYTES);
    assertTrue(memory.tryReserve("group1", "group", TEXT_BYTES, 0));
  }

  @Test
  void whatEndsOrWasNeverAcceptedTakesNoMemory() {
    memory.tryReserve("accepted", "a", TEXT_BYTES, 0);
    memory.tryReserve("lost", "b", TEXT_BYTES, 0);
    memory.putLive("accepted", "a", TEXT_BYTES);
    memory.putLive("accepted", "a", 2 * TEXT_BYTES);
    memory.putLive("other", "a", TEXT_BYTES);
    memory.removeLive("other");
    memory.onLiveJobsRead(1);
    double withReservation = used();
    memory.onLiveJobsRead(MORE_THAN_FIT);
    assertTrue(used() < withReservation, "the submission that was not accepted is dropped");
    memory.removeLive("accepted");
    memory.removeLive("unknown");
    assertEquals(0, used());
  }

  @Test
  void aReloadCountsEachLiveJobOnce() {
    memory.putLive("job", "a", TEXT_BYTES);
    double once = used();
    memory.clearLive();
    memory.putLive("job", "a", TEXT_BYTES);
    assertEquals(once, used());
  }

  @Test
  void aLongSubmissionCountsMoreThanAShortOne() {
    memory.putLive("short", "a", TEXT_BYTES);
    double shortBytes = used();
    memory.putLive("long", "b", 100 * TEXT_BYTES);
    assertTrue(used() - shortBytes > 100 * TEXT_BYTES);
    assertFalse(memory.tryReserve("job", "c", HEAP_BYTES, 0));
  }
}
