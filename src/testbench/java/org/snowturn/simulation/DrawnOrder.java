package org.snowturn.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Orders of lists that PROTOCOL leaves open: for each list as it is, reversed or shuffled. The
 * draws are independent of all others of a run.
 */
final class DrawnOrder {
  private static final int ORDERS = 3;

  private final Random random;

  DrawnOrder(long seed) {
    random = new Random(seed);
  }

  /** Returns the elements in an order that is drawn anew for each list. */
  <T> List<T> apply(Collection<T> elements) {
    List<T> list = new ArrayList<>(elements);
    switch (random.nextInt(ORDERS)) {
      case 0 -> Collections.reverse(list);
      case 1 -> Collections.shuffle(list, random);
      default -> {}
    }
    return list;
  }
}
