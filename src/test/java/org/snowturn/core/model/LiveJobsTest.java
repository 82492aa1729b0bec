package org.snowturn.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.snowturn.wire.StateMessage.Entry;

/**
 * Guards against a cache that differs from the stored records: the pages of its load are read at
 * different revisions while records change, and a delayed response may arrive after a newer one.
 */
class LiveJobsTest {
  private static final String PREFIX = "j/";
  private static final int KEYS = 7;

  /** The first key of the second page. */
  private static final String SECOND_PAGE = PREFIX + "3";

  /** Smallest choice that cancels an existing record; smaller ones remove it. */
  private static final int MIN_CANCEL_CHOICE = 50;

  private final TreeMap<String, Entry> stored = new TreeMap<>();
  private final List<Entry> history = new ArrayList<>();
  private long revision;

  /** Changes one record: adds it if it is missing, otherwise marks it cancelled or removes it. */
  private void changeRecord(int choice) {
    String key = PREFIX + choice % KEYS;
    Entry previous = stored.get(key);
    JsonNode value =
        previous == null ? BooleanNode.FALSE : choice < MIN_CANCEL_CHOICE ? null : BooleanNode.TRUE;
    Entry entry = new Entry(key, value, ++revision);
    if (value == null) {
      stored.remove(key);
    } else {
      stored.put(key, entry);
    }
    history.add(entry);
  }

  private List<Entry> changesSince(long afterRevision) {
    return history.stream().filter(entry -> entry.version() > afterRevision).toList();
  }

  @Property(seed = "4", tries = 400)
  void equalsStoredRecordsWhenTheyChangeBetweenPagesAndResponses(
      @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> before,
      @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> between,
      @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> after) {
    before.forEach(this::changeRecord);
    LiveJobs jobs = new LiveJobs(PREFIX, JsonNode::asBoolean, value -> List.of(value.asText()));
    assertFalse(jobs.isLoaded());
    List<Entry> pages = new ArrayList<>(stored.headMap(SECOND_PAGE).values());
    final long oldestRevision = revision;
    between.forEach(this::changeRecord);
    pages.addAll(stored.tailMap(SECOND_PAGE).values());
    jobs.load(pages, oldestRevision);
    after.forEach(this::changeRecord);
    List<Entry> delayedChanges = changesSince(jobs.revision());
    final long delayedRevision = revision;
    jobs.applyChanges(changesSince(jobs.revision()), revision);
    assertEqualsStored(jobs);
    // A change that the cache contains is listed once more. A removed record must stay removed.
    jobs.applyChanges(history, revision);
    assertEqualsStored(jobs);
    // A delayed response changes nothing.
    changeRecord(3);
    changeRecord(60);
    jobs.applyChanges(changesSince(jobs.revision()), revision);
    jobs.applyChanges(delayedChanges, delayedRevision);
    assertEqualsStored(jobs);
  }

  private void assertEqualsStored(LiveJobs jobs) {
    assertEquals(stored.size(), jobs.size());
    assertEquals(revision, jobs.revision());
    for (Map.Entry<String, Entry> entry : stored.entrySet()) {
      LiveJobs.CachedJob cached = jobs.get(entry.getKey().substring(PREFIX.length()));
      JsonNode value = entry.getValue().value();
      List<String> dependencies = List.of(value.asText());
      assertEquals(
          new LiveJobs.CachedJob(entry.getValue().version(), value.asBoolean(), dependencies),
          cached);
    }
  }
}
