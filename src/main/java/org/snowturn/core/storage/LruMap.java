package org.snowturn.core.storage;

import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers a bounded number of things, those used last. */
public final class LruMap<K, V> extends LinkedHashMap<K, V> {
  private final int most;

  public LruMap(int most) {
    super(64, 0.75f, true);
    this.most = most;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > most;
  }
}
