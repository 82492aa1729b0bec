package org.snowturn.core.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * All machines and zones. Messages and records refer to machines by id and to zones by name;
 * internally both have dense indices.
 */
public final class MachineIndex {
  private final Map<String, Integer> byId = new HashMap<>();
  private final List<Machine> all = new ArrayList<>();
  private final List<String> zoneNames;
  private final long termToken;
  private final Function<Machine, CommandChannel> channelFactory;

  /** The result of {@link #present}; null after a change. */
  private List<Machine> present;

  /**
   * Creates an index without machines.
   *
   * @param zones the names of the configured zones
   * @param termToken the fencing token of the leader's term
   * @param channelFactory factory for the command channel of a machine
   */
  public MachineIndex(
      List<String> zones, long termToken, Function<Machine, CommandChannel> channelFactory) {
    this.zoneNames = List.copyOf(zones);
    this.termToken = termToken;
    this.channelFactory = channelFactory;
  }

  /** Returns the index of a zone; all zones that are not configured share the last index. */
  public int zoneIndex(String name) {
    int index = zoneNames.indexOf(name);
    return index >= 0 ? index : zoneNames.size();
  }

  /** Returns whether the zone with this index is configured. */
  public boolean isZoneConfigured(int zone) {
    return zone < zoneNames.size();
  }

  /** Returns the name of the zone with this index; "?" if it is not configured. */
  public String zoneName(int zone) {
    return isZoneConfigured(zone) ? zoneNames.get(zone) : "?";
  }

  /** Returns the number of zone indices, including the last one for zones not configured. */
  public int zoneCount() {
    return zoneNames.size() + 1;
  }

  /** Returns the machine with this id; null if there is none. */
  public Machine find(String id) {
    Integer index = byId.get(id);
    return index == null ? null : all.get(index);
  }

  /** Returns the machine with this index. */
  public Machine get(int index) {
    return all.get(index);
  }

  /** Returns the machine with this id, and adds it if there is none. */
  public Machine getOrAdd(String id) {
    Machine machine = find(id);
    if (machine == null) {
      machine = new Machine(all.size(), id, termToken);
      machine.setZone(zoneNames.size());
      machine.setCommands(channelFactory.apply(machine));
      all.add(machine);
      present = null;
      byId.put(id, machine.index);
    }
    return machine;
  }

  /** Returns the machines that are not gone, as a list that later changes do not affect. */
  public List<Machine> present() {
    if (present == null) {
      present = all.stream().filter(machine -> !machine.lifecycle.isGone()).toList();
    }
    return present;
  }

  /** Marks a machine as presumed gone, so that it is no longer listed as present. */
  public void remove(Machine machine) {
    machine.lifecycle.presumeGone();
    present = null;
  }

  /** Restores a machine that was presumed gone and has appeared again. */
  public void restore(Machine machine) {
    machine.restore();
    present = null;
  }
}
