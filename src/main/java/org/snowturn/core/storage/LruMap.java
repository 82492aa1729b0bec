package org.snowturn.core.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of bounded size that evicts the entry whose last use is the longest ago. */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;

  /** An empty map that will hold at most so many entries. */
  public LruMap(int maxEntries) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
