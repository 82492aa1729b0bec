package org.snowturn.core.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** The ids of the jobs that a job depends on and that are not known to be durably done. */
public final class UnmetDependencies {
  private static final UnmetDependencies NONE = new UnmetDependencies(List.of());

  private final List<String> dependencies;

  /** The indices of the dependencies that are done. */
  private final BitSet done = new BitSet();

  private int unmet;

  private UnmetDependencies(List<String> dependencies) {
    this.dependencies = dependencies;
    this.unmet = dependencies.size();
  }

  /** Returns a set of which nothing is done. */
  static UnmetDependencies of(List<String> dependencies) {
    return dependencies.isEmpty() ? NONE : new UnmetDependencies(dependencies);
  }

  /** Returns whether all dependencies are done. */
  public boolean isEmpty() {
    return unmet == 0;
  }

  /** Returns the ids in the order of the submission, as a list that later changes do not affect. */
  public List<String> ids() {
    List<String> ids = new ArrayList<>(unmet);
    int count = dependencies.size();
    for (int i = done.nextClearBit(0); i < count; i = done.nextClearBit(i + 1)) {
      ids.add(dependencies.get(i));
    }
    return ids;
  }

  /** Removes a dependency that is done; other ids are ignored. */
  public void remove(String id) {
    int index = dependencies.indexOf(id);
    if (index >= 0 && !done.get(index)) {
      done.set(index);
      unmet--;
    }
  }
}
