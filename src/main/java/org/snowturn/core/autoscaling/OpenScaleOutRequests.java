package org.snowturn.core.autoscaling;

import java.util.ArrayList;
import java.util.List;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.MachineType;

/** The requests for machines of which the outcome is not known yet. */
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

  /** Whether one is open for this pool: its outcome tells whether the pool has more. */
  boolean hasRequestFor(CapacityPool pool) {
    for (ScaleOutRequest request : requests) {
      if (request.pool().equals(pool)) {
        return true;
      }
    }
    return false;
  }

  /** Whether one is open for any pool of this zone. */
  boolean hasRequestInZone(int zone) {
    return requests.stream().anyMatch(request -> request.pool().zone() == zone);
  }

  /** The CPUs of the requested spot or on-demand machines, added to {@code cpus}. */
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
