package org.snowturn.core.autoscaling;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Effect;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.Outcome;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.wire.CloudMachine;
import org.snowturn.wire.MalformedException;

/** Lists the cloud's machines, page by page, and brings the machine index in line with the list. */
final class MachineInventory {
  private static final String PATH = "/machines?most=500";
  private static final int TIMEOUT_MS = 5000;
  private static final int STATUS_OK = 200;
  private static final double MIN_INTERVAL_S = 3;

  /** The list takes one of so many calls, where the cloud's rate is low. */
  private static final double CALLS_PER_INTERVAL = 4;

  /** A machine is given up so much later than {@link Tunables#bootPatience} says. */
  private static final double BOOT_MARGIN_S = 10;

  /** A machine is taken for gone after so many times the list's lag, and a margin. */
  private static final double LIST_LAGS = 3;

  private static final double LIST_MARGIN_S = 8;

  private final CoreRuntime runtime;
  private final Settings settings;
  private final Tunables tunables;
  private final MachineTypes machineTypes;
  private final MachineIndex machines;
  private final TaskAssignments assignments;
  private final HeartbeatProcessor heartbeats;
  private final CloudCallBudget budget;
  private final CapacityRefusals refusals;
  private List<CloudMachine> listedSoFar = new ArrayList<>();
  private boolean listing;
  private boolean loaded;
  private long nextListAt;

  MachineInventory(ClusterContext cluster, CloudCallBudget budget, CapacityRefusals refusals) {
    this.runtime = cluster.runtime();
    this.settings = cluster.settings();
    this.tunables = cluster.tunables();
    this.machineTypes = cluster.machineTypes();
    this.machines = cluster.machines();
    this.assignments = cluster.assignments();
    this.heartbeats = cluster.heartbeats();
    this.budget = budget;
    this.refusals = refusals;
  }

  /** Whether the list has been read once by this leader. */
  boolean isLoaded() {
    return loaded;
  }

  /** Reads the list if it is time and a call may be made. */
  void refreshIfDue() {
    if (!listing && runtime.now() >= nextListAt && budget.tryAcquire()) {
      listing = true;
      listedSoFar = new ArrayList<>();
      requestPage(null);
    }
  }

  private void requestPage(String afterId) {
    runtime.call(
        Effect.Target.CLOUD,
        null,
        "GET",
        afterId == null ? PATH : PATH + "&since=" + afterId,
        null,
        TIMEOUT_MS,
        this::onPage);
  }

  private void onPage(Outcome outcome, int status, JsonNode body) {
    if (outcome == Outcome.ANSWERED && status == STATUS_OK && !isComplete(body)) {
      return;
    }
    listing = false;
    double intervalS = Math.max(MIN_INTERVAL_S, CALLS_PER_INTERVAL / settings.cloudLimits().rps());
    nextListAt = runtime.now() + (long) (1000 * intervalS);
  }

  /** Takes a page; false if another one was requested. */
  private boolean isComplete(JsonNode body) {
    try {
      CloudMachine.Page page = CloudMachine.Page.parse(body);
      listedSoFar.addAll(page.machines());
      if (page.more() && !page.machines().isEmpty()) {
        requestPage(page.machines().get(page.machines().size() - 1).id());
        return false;
      }
      apply(listedSoFar);
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.PATH, PATH)
          .with(LogField.ERROR, e.getMessage())
          .write();
    }
    return true;
  }

  private void apply(List<CloudMachine> listed) {
    loaded = true;
    for (CloudMachine cloudMachine : listed) {
      Machine machine = machines.getOrAdd(cloudMachine.id());
      if (!machine.isTerminationConfirmed()) { // else the list lags
        update(machine, cloudMachine);
      }
    }
    removeUnlisted();
  }

  private void update(Machine machine, CloudMachine cloudMachine) {
    if (machine.isTerminated()) {
      log(LogEvent.MACHINE_RELISTED, machine);
      machines.restore(machine);
    }
    updateAge(machine, cloudMachine);
    machine.setCloudState(cloudMachine.state());
    if (machine.type() == null) {
      describe(machine, cloudMachine);
    }
    if (cloudMachine.state() == CloudMachine.State.FAILED && !machine.isTerminating()) {
      log(LogEvent.MACHINE_FAILED, machine);
      heartbeats.machineFailed(machine);
      machine.beginTermination();
    }
    if (isOverdue(machine, cloudMachine) && !machine.isTerminating()) {
      log(LogEvent.MACHINE_NEVER_UP, machine);
      machine.beginTermination();
    }
  }

  private void log(LogEvent event, Machine machine) {
    runtime.events().info(event).with(LogField.MACHINE, machine.id).write();
  }

  /** A new leader learns a machine's age from the list only: what is idle is judged by it. */
  private void updateAge(Machine machine, CloudMachine cloudMachine) {
    long rentedAt = runtime.now() - (long) (cloudMachine.ageS() * 1000);
    boolean isNew = machine.firstSeenAt() == 0;
    machine.setFirstSeenAt(isNew ? rentedAt : Math.min(machine.firstSeenAt(), rentedAt));
    machine.setListedAt(runtime.now());
  }

  private void describe(Machine machine, CloudMachine cloudMachine) {
    machine.setType(cloudMachine.type());
    assignments.setZone(machine, machines.zone(cloudMachine.zone()));
    machine.setSpot(cloudMachine.spot());
    machine.setMachineType(machineTypes.get(cloudMachine.type()));
    if (cloudMachine.address() != null) {
      machine.setAddr(cloudMachine.address());
    }
  }

  /** Whether the machine should have booted and reported by now. */
  private boolean isOverdue(Machine machine, CloudMachine cloudMachine) {
    return machine.lastHeartbeatAt() == MonotonicTime.NEVER
        && machine.assigned.isEmpty()
        && cloudMachine.state() == CloudMachine.State.STARTING
        && machine.machineType() != null
        && cloudMachine.ageS()
            > tunables.bootPatience() * machine.machineType().bootS() + BOOT_MARGIN_S;
  }

  /** Takes machines for gone that are neither listed nor heard, and hold no tasks. */
  private void removeUnlisted() {
    long now = runtime.now();
    long unlistedMs =
        (long) (1000 * (LIST_LAGS * settings.cloudLimits().listLagS() + LIST_MARGIN_S));
    for (Machine machine : machines.present()) {
      long lastKnownAt = Math.max(machine.listedAt(), machine.firstSeenAt());
      if (!machine.isTerminating()
          && isSilent(machine, now)
          && machine.assigned.isEmpty()
          && now - lastKnownAt > unlistedMs) {
        machines.remove(machine);
        refusals.recordRelease(machine);
      }
    }
  }

  private boolean isSilent(Machine machine, long now) {
    return machine.lastHeartbeatAt() == MonotonicTime.NEVER
        || now - machine.lastHeartbeatAt() > HeartbeatProcessor.leaseExpiryMs(settings);
  }
}
