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
  private final Function<Machine, CommandChannel> outboxes;
  private List<Machine> present;

  public MachineIndex(List<String> zones, Function<Machine, CommandChannel> outboxes) {
    this.zoneNames = List.copyOf(zones);
    this.outboxes = outboxes;
  }

  /** The zone's index; all zones that the settings do not name share the last one. */
  public int zone(String name) {
    int i = zoneNames.indexOf(name);
    return i >= 0 ? i : zoneNames.size();
  }

  public boolean zoneKnown(int zone) {
    return zone < zoneNames.size();
  }

  public String zoneName(int zone) {
    return zoneKnown(zone) ? zoneNames.get(zone) : "?";
  }

  /** How many indices there are, the last one for unknown zones. */
  public int zoneCount() {
    return zoneNames.size() + 1;
  }

  public Machine find(String id) {
    Integer i = byId.get(id);
    return i == null ? null : all.get(i);
  }

  public Machine get(int index) {
    return all.get(index);
  }

  public Machine getOrAdd(String id) {
    Machine machine = find(id);
    if (machine == null) {
      machine = new Machine(all.size(), id);
      machine.setZone(zoneNames.size());
      machine.setCommands(outboxes.apply(machine));
      all.add(machine);
      present = null;
      byId.put(id, machine.index);
    }
    return machine;
  }

  /** The machines that are not known to be gone: a list that no later change alters. */
  public List<Machine> present() {
    if (present == null) {
      present = all.stream().filter(machine -> !machine.isTerminated()).toList();
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
    machine.restart();
    present = null;
  }
}
