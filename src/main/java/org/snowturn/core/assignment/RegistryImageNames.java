package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.snowturn.core.model.Machine;

/** The image names of a page, each written once; machines refer to them by number. */
final class RegistryImageNames {
  private final ArrayNode names;
  private final int maxImages;
  private final Map<String, Integer> numbers = new HashMap<>();

  RegistryImageNames(ObjectNode page, int maxImages) {
    this.names = maxImages > 0 ? page.putArray("i") : null;
    this.maxImages = maxImages;
  }

  /** Adds the numbers of the machine's most recently used images to its entry. */
  void add(Machine machine, ArrayNode entry) {
    if (names == null) {
      return;
    }
    ArrayNode imageNumbers = entry.addArray();
    int skipped = Math.max(0, machine.images.size() - maxImages);
    for (Map.Entry<String, Double> image : machine.images.leastRecentlyUsedFirst()) {
      if (skipped-- > 0) {
        continue;
      }
      Integer imageNumber = numbers.putIfAbsent(image.getKey(), numbers.size());
      if (imageNumber == null) {
        names.addArray().add(image.getKey()).add(image.getValue());
        imageNumber = numbers.size() - 1;
      }
      imageNumbers.add(imageNumber);
    }
  }
}
