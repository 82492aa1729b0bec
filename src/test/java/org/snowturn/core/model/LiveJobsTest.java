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

/** The cache that is read in pages and followed equals what is stored. */
class LiveJobsTest {
  private static final String PREFIX = "j/";

  private final TreeMap<String, Entry> stored = new TreeMap<>();
  private final List<Entry> history = new ArrayList<>();
  private long epoch;

  /** One change: a job is entered, cancelled or over. */
  private void step(int choice) {
    String key = PREFIX + choice % 7;
    Entry had = stored.get(key);
    JsonNode value = had == null ? BooleanNode.FALSE : choice < 50 ? null : BooleanNode.TRUE;
    Entry entry = new Entry(key, value, ++epoch);
    if (value == null) {
      stored.remove(key);
    } else {
      stored.put(key, entry);
    }
    history.add(entry);
  }

  private List<Entry> since(long revision) {
    return history.stream().filter(entry -> entry.version() > revision).toList();
  }

  @Property(seed = "4", tries = 400)
  void whateverHappensBetweenPagesAndQuestions(
      @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> before,
      @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> between,
      @ForAll @Size(max = 20) List<@IntRange(max = 100) Integer> after) {
    before.forEach(this::step);
    LiveJobs jobs = new LiveJobs(PREFIX, JsonNode::asBoolean, value -> List.of(value.asText()));
    assertFalse(jobs.isLoaded());
    List<Entry> pages = new ArrayList<>(stored.headMap(PREFIX + "3").values());
    final long oldest = epoch;
    between.forEach(this::step);
    pages.addAll(stored.tailMap(PREFIX + "3").values());
    jobs.load(pages, oldest);
    after.forEach(this::step);
    List<Entry> late = since(jobs.revision());
    final long lateEpoch = epoch;
    jobs.applyChanges(since(jobs.revision()), epoch);
    check(jobs);
    // An answer that was overtaken changes nothing.
    step(3);
    step(60);
    jobs.applyChanges(since(jobs.revision()), epoch);
    jobs.applyChanges(late, lateEpoch);
    check(jobs);
  }

  private void check(LiveJobs jobs) {
    assertEquals(stored.size(), jobs.size());
    assertEquals(epoch, jobs.revision());
    for (Map.Entry<String, Entry> e : stored.entrySet()) {
      LiveJobs.CachedJob seen = jobs.get(e.getKey().substring(PREFIX.length()));
      JsonNode value = e.getValue().value();
      List<String> awaits = List.of(value.asText());
      assertEquals(new LiveJobs.CachedJob(e.getValue().version(), value.asBoolean(), awaits), seen);
    }
  }
}
