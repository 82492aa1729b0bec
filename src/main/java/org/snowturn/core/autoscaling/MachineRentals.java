package org.snowturn.core.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.MalformedException;

/** The requests for machines that are sent to the cloud, with their replies and retries. */
final class MachineRentals {
  private static final String PATH = "/machines";
  private static final int TIMEOUT_MS = 5000;
  private static final int STATUS_OK = 200;

  /** Pause of all scaling after the cloud has failed a request. */
  private static final long FAILURE_PAUSE_MS = 1_000;

  private final CoreRuntime runtime;
  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final OpenScaleOutRequests openRequests;
  private final CapacityRefusals refusals;
  private final CloudCallBudget budget;
  private final String requestNamePrefix;
  private final List<ScaleOutRequest> retries = new ArrayList<>();
  private long requestCount;
  private long pausedUntil;

  /**
   * Creates the rentals of one term without any open request.
   *
   * @param token the fencing token of the term, which makes the names of its requests unique
   */
  MachineRentals(
      ClusterContext cluster,
      OpenScaleOutRequests openRequests,
      CapacityRefusals refusals,
      CloudCallBudget budget,
      long token) {
    this.runtime = cluster.runtime();
    this.machineTypes = cluster.machineTypes();
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.openRequests = openRequests;
    this.refusals = refusals;
    this.budget = budget;
    this.requestNamePrefix = "r-" + token + "-";
  }

  /** Returns whether scaling pauses because the cloud has just failed a request. */
  boolean isPaused() {
    return runtime.now() < pausedUntil;
  }

  /** Repeats requests of unknown outcome, as far as the call budget allows. */
  void sendRetries() {
    while (!retries.isEmpty() && budget.tryAcquire()) {
      send(retries.remove(0));
    }
  }

  /** Requests machines from a pool. Returns false if the call budget does not allow it now. */
  boolean tryRequest(CapacityPool pool, int count) {
    if (!budget.tryAcquire()) {
      return false;
    }
    requestCount++;
    ScaleOutRequest request = new ScaleOutRequest(requestNamePrefix + requestCount, pool, count);
    openRequests.add(request);
    send(request);
    return true;
  }

  private void send(ScaleOutRequest request) {
    CapacityPool pool = request.pool();
    String zone = machines.zoneName(pool.zone());
    request.recordAttempt();
    runtime
        .events()
        .info(LogEvent.SCALE_OUT)
        .with(LogField.REQUEST, request.name())
        .with(LogField.TYPE, pool.type())
        .with(LogField.ZONE, zone)
        .with(LogField.SPOT, pool.spot())
        .with(LogField.COUNT, request.count())
        .with(LogField.TRY, request.attempts())
        .write();
    runtime.call(
        Effect.Target.CLOUD,
        null,
        "POST",
        PATH,
        CloudMachine.rentalRequest(request.name(), pool.type(), zone, pool.spot(), request.count()),
        TIMEOUT_MS,
        (outcome, status, body) -> onReply(request, outcome, status, body));
  }

  private void onReply(ScaleOutRequest request, Outcome outcome, int status, JsonNode body) {
    if (outcome == Outcome.ANSWERED && status == STATUS_OK) {
      openRequests.remove(request);
      onRented(request, body);
      return;
    }
    if (outcome == Outcome.UNKNOWN && request.canRetry()) {
      retries.add(request); // the name makes it idempotent: no machine is rented twice
      return;
    }
    openRequests.remove(request);
    boolean noCapacity = body != null && "no capacity".equals(body.path("error").asText());
    if (noCapacity) {
      refusals.recordRefusal(request.pool());
    } else {
      pausedUntil = runtime.now() + FAILURE_PAUSE_MS;
    }
  }

  private void onRented(ScaleOutRequest request, JsonNode body) {
    try {
      List<String> ids = CloudMachine.parseRentedIds(body);
      for (String id : ids) {
        addMachine(id, request.pool());
      }
      logRented(request, ids);
      if (ids.size() < request.count()) {
        refusals.recordRefusal(request.pool());
      } else {
        refusals.recordGrant(request.pool());
      }
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.PATH, PATH, e);
    }
  }

  private void addMachine(String id, CapacityPool pool) {
    Machine machine = machines.getOrAdd(id);
    machine.lifecycle.markRentedInThisTerm();
    if (machine.type() == null) {
      machine.setType(pool.type());
      assignments.setZone(machine, pool.zone());
      machine.setSpot(pool.spot());
      machine.setMachineType(machineTypes.get(pool.type()));
    }
    machine.lifecycle.setFirstSeenAt(
        machine.lifecycle.firstSeenAt() == 0 ? runtime.now() : machine.lifecycle.firstSeenAt());
  }

  private void logRented(ScaleOutRequest request, List<String> ids) {
    runtime
        .events()
        .info(LogEvent.MACHINES_RENTED)
        .with(LogField.REQUEST, request.name())
        .with(LogField.TYPE, request.pool().type())
        .with(LogField.ZONE, machines.zoneName(request.pool().zone()))
        .with(LogField.SPOT, request.pool().spot())
        .with(LogField.REQUESTED, request.count())
        .with(LogField.COUNT, ids.size())
        .with(LogField.MACHINES, String.join(",", ids))
        .write();
  }
}
