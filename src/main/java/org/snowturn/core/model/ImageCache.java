package org.snowturn.core.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/** Images that a machine should have, most recently used last, with their sizes in GB. */
public final class ImageCache {
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<String, Double> sizes =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
  private boolean changed;

  /** Whether the machine should have the image. Does not count as a use. */
  public boolean containsKey(String image) {
    return sizes.containsKey(image);
  }

  /** How many images there are. */
  public int size() {
    return sizes.size();
  }

  /** The images with their sizes in GB, least recently used first. */
  public Iterable<Map.Entry<String, Double>> leastRecentlyUsedFirst() {
    return Collections.unmodifiableSet(sizes.entrySet());
  }

  /** Whether the stored list of images is behind. */
  public boolean isChanged() {
    return changed;
  }

  /** The stored list of images has been brought up to date, or is about to be. */
  public void markStored() {
    changed = false;
  }

  /** An image is used; those that no longer fit go, least recently used first. */
  void touch(String image, double gb, double capacityGb) {
    if (sizes.get(image) != null) {
      return; // and it is the most recently used one now
    }
    sizes.put(image, gb);
    changed = true;
    double total = 0;
    for (double size : sizes.values()) {
      total += size;
    }
    var oldest = sizes.entrySet().iterator();
    while (total > capacityGb && sizes.size() > 1 && oldest.hasNext()) {
      total -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
