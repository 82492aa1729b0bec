package org.snowturn.core.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of bounded size that evicts the least recently used entry.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;

  /**
   * Creates an empty map.
   *
   * @param maxEntries maximum number of entries; adding another evicts the least recently used one
   */
  public LruMap(int maxEntries) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
