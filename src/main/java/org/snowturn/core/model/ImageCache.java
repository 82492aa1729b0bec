package org.snowturn.core.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images that a machine is expected to have in its image cache, with their sizes in GB. Images
 * that no longer fit are evicted, the least recently used first.
 */
public final class ImageCache {
  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  /** Sizes in GB by image, in the order of access. */
  private final Map<String, Double> sizesGb =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /** Whether the images have changed since the list of them was last stored. */
  private boolean changed;

  /** Returns whether the machine should have the image. The call does not count as a use. */
  public boolean containsKey(String image) {
    return sizesGb.containsKey(image);
  }

  /** Returns the number of images. */
  public int size() {
    return sizesGb.size();
  }

  /** Returns the images with their sizes in GB, the least recently used first. */
  public Iterable<Map.Entry<String, Double>> leastRecentlyUsedFirst() {
    return Collections.unmodifiableSet(sizesGb.entrySet());
  }

  /** Returns whether the images have changed since the list of them was last stored. */
  public boolean isChanged() {
    return changed;
  }

  /** Records that the current list of images is stored or is about to be stored. */
  public void markStored() {
    changed = false;
  }

  /**
   * Records a use of an image and, if it is new, evicts the least recently used images until the
   * rest fits. The new image itself is never evicted, even if it is larger than the cache.
   *
   * @param image the name of the image
   * @param sizeGb the size of the image in GB
   * @param capacityGb the size of the cache in GB
   */
  void touch(String image, double sizeGb, double capacityGb) {
    if (sizesGb.get(image) != null) {
      return; // the lookup has made it the most recently used image
    }
    sizesGb.put(image, sizeGb);
    changed = true;
    double totalGb = 0;
    for (double size : sizesGb.values()) {
      totalGb += size;
    }
    var oldest = sizesGb.entrySet().iterator();
    while (totalGb > capacityGb && sizesGb.size() > 1 && oldest.hasNext()) {
      totalGb -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
