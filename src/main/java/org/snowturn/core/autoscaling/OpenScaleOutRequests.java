package org.snowturn.core.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.MachineType;

/** The requests for machines whose outcome is not known yet. */
final class OpenScaleOutRequests {
  private static final int MAX_OPEN = 6;

  private final MachineTypes machineTypes;
  private final List<ScaleOutRequest> requests = new ArrayList<>();

  OpenScaleOutRequests(MachineTypes machineTypes) {
    this.machineTypes = machineTypes;
  }

  void add(ScaleOutRequest request) {
    requests.add(request);
  }

  void remove(ScaleOutRequest request) {
    requests.remove(request);
  }

  boolean canAdd() {
    return requests.size() < MAX_OPEN;
  }

  /**
   * Returns whether a request is open for this pool. Its outcome shows whether capacity is left.
   */
  boolean hasRequestFor(CapacityPool pool) {
    for (ScaleOutRequest request : requests) {
      if (request.pool().equals(pool)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a request is open for any pool of this zone. */
  boolean hasRequestInZone(int zone) {
    return requests.stream().anyMatch(request -> request.pool().zone() == zone);
  }

  /** Returns the number of requested spot or on-demand machines. */
  int requestedMachines(boolean spot) {
    return requests.stream()
        .filter(request -> request.pool().spot() == spot)
        .mapToInt(ScaleOutRequest::count)
        .sum();
  }

  /**
   * Returns {@code cpus} plus the CPUs of all requested spot or all requested on-demand machines.
   */
  double addRequestedCpus(double cpus, boolean spot) {
    double total = cpus;
    for (ScaleOutRequest request : requests) {
      MachineType type = machineTypes.get(request.pool().type());
      if (request.pool().spot() == spot && type != null) {
        total += request.count() * type.cpus();
      }
    }
    return total;
  }
}
