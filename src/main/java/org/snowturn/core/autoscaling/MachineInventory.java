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

/** The cloud's list of machines, which is read page by page to update the machine index. */
final class MachineInventory {
  private static final String PATH = "/machines?most=500";
  private static final int TIMEOUT_MS = 5000;
  private static final int STATUS_OK = 200;
  private static final double MIN_INTERVAL_S = 3;

  /**
   * Calls that the cloud's rate allows between two listings, so that listings leave most of a low
   * rate to other calls.
   */
  private static final double CALLS_PER_INTERVAL = 4;

  /** Time allowed for a boot in addition to {@link Tunables#bootPatience} boot times. */
  private static final double BOOT_MARGIN_S = 10;

  /** Multiple of the list's lag after which an unlisted machine counts as gone. */
  private static final double LIST_LAGS = 3;

  /** Time added to {@link #LIST_LAGS} times the lag. */
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
  private boolean isListing;
  private boolean isLoaded;
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

  /** Returns whether this leader has read the list completely at least once. */
  boolean isLoaded() {
    return isLoaded;
  }

  /** Starts a listing if one is due and the call budget allows it. */
  void refreshIfDue() {
    if (!isListing && runtime.now() >= nextListAt && budget.tryAcquire()) {
      isListing = true;
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
    isListing = false;
    double intervalS =
        Math.max(MIN_INTERVAL_S, CALLS_PER_INTERVAL / settings.cloudLimits().maxRps());
    nextListAt = runtime.now() + (long) (1000 * intervalS);
  }

  /** Adds a page to the list. Returns whether it was the last; otherwise requests the next one. */
  private boolean isComplete(JsonNode body) {
    try {
      CloudMachine.Page page = CloudMachine.Page.parse(body);
      listedSoFar.addAll(page.machines());
      if (page.hasMore() && !page.machines().isEmpty()) {
        requestPage(page.machines().get(page.machines().size() - 1).id());
        return false;
      }
      applyList(listedSoFar);
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.PATH, PATH, e);
    }
    return true;
  }

  private void applyList(List<CloudMachine> listed) {
    isLoaded = true;
    for (CloudMachine cloudMachine : listed) {
      Machine machine = machines.getOrAdd(cloudMachine.id());
      if (!machine.lifecycle
          .isTerminationConfirmed()) { // a deleted machine is still listed for a while
        update(machine, cloudMachine);
      }
    }
    removeUnlisted();
  }

  private void update(Machine machine, CloudMachine cloudMachine) {
    if (machine.lifecycle.isGone()) {
      log(LogEvent.MACHINE_RELISTED, machine);
      machines.restore(machine);
    }
    updateAge(machine, cloudMachine);
    machine.lifecycle.setCloudState(cloudMachine.state());
    if (machine.type() == null) {
      describe(machine, cloudMachine);
    }
    if (cloudMachine.state() == CloudMachine.State.FAILED && !machine.lifecycle.isTerminating()) {
      log(LogEvent.MACHINE_FAILED, machine);
      heartbeats.onMachineFailed(machine);
      machine.lifecycle.beginTermination();
    }
    if (isOverdue(machine, cloudMachine) && !machine.lifecycle.isTerminating()) {
      log(LogEvent.MACHINE_NEVER_UP, machine);
      machine.lifecycle.beginTermination();
    }
  }

  private void log(LogEvent event, Machine machine) {
    runtime.events().info(event).with(LogField.MACHINE, machine.id).write();
  }

  /**
   * Sets the time since which the machine exists from its listed age. A new leader has no other
   * source for it, and scale-in depends on it.
   */
  private void updateAge(Machine machine, CloudMachine cloudMachine) {
    long rentedAt = runtime.now() - (long) (cloudMachine.ageS() * 1000);
    boolean isNewMachine = machine.lifecycle.firstSeenAt() == 0;
    machine.lifecycle.setFirstSeenAt(
        isNewMachine ? rentedAt : Math.min(machine.lifecycle.firstSeenAt(), rentedAt));
    machine.lifecycle.setListedAt(runtime.now());
  }

  private void describe(Machine machine, CloudMachine cloudMachine) {
    machine.setType(cloudMachine.type());
    assignments.setZone(machine, machines.zoneIndex(cloudMachine.zone()));
    machine.setSpot(cloudMachine.spot());
    machine.setMachineType(machineTypes.get(cloudMachine.type()));
    if (cloudMachine.address() != null) {
      machine.setAddress(cloudMachine.address());
    }
  }

  /** Returns whether the machine should have booted and sent a heartbeat by now. */
  private boolean isOverdue(Machine machine, CloudMachine cloudMachine) {
    return machine.lastHeartbeatAt() == MonotonicTime.UNSET
        && machine.assigned.isEmpty()
        && cloudMachine.state() == CloudMachine.State.STARTING
        && machine.machineType() != null
        && cloudMachine.ageS()
            > tunables.bootPatience() * machine.machineType().bootS() + BOOT_MARGIN_S;
  }

  /** Removes machines that are neither listed nor sending heartbeats and have no assigned tasks. */
  private void removeUnlisted() {
    long now = runtime.now();
    long unlistedMs =
        (long) (1000 * (LIST_LAGS * settings.cloudLimits().listLagS() + LIST_MARGIN_S));
    for (Machine machine : machines.present()) {
      long lastKnownAt = Math.max(machine.lifecycle.listedAt(), machine.lifecycle.firstSeenAt());
      if (!machine.lifecycle.isTerminating()
          && isSilent(machine, now)
          && machine.assigned.isEmpty()
          && now - lastKnownAt > unlistedMs) {
        machines.remove(machine);
        refusals.recordRelease(machine);
      }
    }
  }

  private boolean isSilent(Machine machine, long now) {
    return machine.lastHeartbeatAt() == MonotonicTime.UNSET
        || now - machine.lastHeartbeatAt() > HeartbeatProcessor.leaseExpiryMs(settings);
  }
}
