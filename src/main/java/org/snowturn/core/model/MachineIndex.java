package org.snowturn.core.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** All machines, by name at the door and by dense index inside; likewise the zones. */
public final class MachineIndex {
  private final Map<String, Integer> byId = new HashMap<>();
  private final List<Machine> all = new ArrayList<>();
  private final List<String> zoneNames;
  private final Function<Machine, CommandChannel> channels;
  private List<Machine> present;

  /**
   * Knows no machine yet.
   *
   * @param zones the names of the zones that the settings name
   * @param channels makes the way to give a machine commands
   */
  public MachineIndex(List<String> zones, Function<Machine, CommandChannel> channels) {
    this.zoneNames = List.copyOf(zones);
    this.channels = channels;
  }

  /** The zone's index; all zones that the settings do not name share the last one. */
  public int zoneIndex(String name) {
    int index = zoneNames.indexOf(name);
    return index >= 0 ? index : zoneNames.size();
  }

  /** Whether the settings name the zone with this index. */
  public boolean isZoneConfigured(int zone) {
    return zone < zoneNames.size();
  }

  /** The zone's name; "?" if the settings do not name it. */
  public String zoneName(int zone) {
    return isZoneConfigured(zone) ? zoneNames.get(zone) : "?";
  }

  /** How many indices there are, the last one for unknown zones. */
  public int zoneCount() {
    return zoneNames.size() + 1;
  }

  /** The machine with this name; null if there is none. */
  public Machine find(String id) {
    Integer index = byId.get(id);
    return index == null ? null : all.get(index);
  }

  /** The machine with this index. */
  public Machine get(int index) {
    return all.get(index);
  }

  /** The machine with this name, which is added if there is none. */
  public Machine getOrAdd(String id) {
    Machine machine = find(id);
    if (machine == null) {
      machine = new Machine(all.size(), id);
      machine.setZone(zoneNames.size());
      machine.setCommands(channels.apply(machine));
      all.add(machine);
      present = null;
      byId.put(id, machine.index);
    }
    return machine;
  }

  /** The machines that are not known to be gone: a list that no later change alters. */
  public List<Machine> present() {
    if (present == null) {
      present = all.stream().filter(machine -> !machine.isGone()).toList();
    }
    return present;
  }

  /** The machine is taken for gone. */
  public void remove(Machine machine) {
    machine.presumeGone();
    present = null;
  }

  /** The machine was taken for gone, and yet it is there. */
  public void restore(Machine machine) {
    machine.restore();
    present = null;
  }
}
