package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;

/**
 * The stored list of the machines in use, many to a page: one record a machine would take a start
 * of hundreds of machines the write budget of half a minute.
 */
final class MachineRoll {
  /** An entry's bytes at the most, whatever the names. */
  private static final int ENTRY_BYTES = 160;

  private static final int URGENCY = 0;
  private static final int REMOVAL_URGENCY = 50;

  private static final class Page {
    final Writer.Slot slot;
    final List<Machine> machines = new ArrayList<>();

    Page(Writer.Slot slot) {
      this.slot = slot;
    }
  }

  private final Writer writer;
  private final MachineBook machines;
  private final int perPage;
  private final List<Page> pages = new ArrayList<>();

  MachineRoll(Writer writer, MachineBook machines, double valueKb) {
    this.writer = writer;
    this.machines = machines;
    this.perPage = Math.max(1, (int) (valueKb * 1024 / ENTRY_BYTES));
  }

  private Page page(int number) {
    while (pages.size() <= number) {
      List<Page> self = pages;
      int n = pages.size();
      pages.add(new Page(writer.slot(Keys.ROLL + n, 0, () -> content(self.get(n)), () -> null)));
    }
    return pages.get(number);
  }

  private JsonNode content(Page p) {
    if (p.machines.isEmpty()) {
      return null;
    }
    ObjectNode o = Json.object().put("v", Keys.VERSION);
    ArrayNode all = o.putArray("m");
    for (Machine m : p.machines) {
      all.addArray().add(m.id).add(m.addr).add(m.type).add(machines.zoneName(m.zone)).add(m.spot);
    }
    return o;
  }

  /** Writes a machine down; it may get tasks once that is durable. */
  void enter(Machine m, Runnable onDurable) {
    Page p = pages.stream().filter(x -> x.machines.contains(m)).findFirst().orElse(null);
    if (p == null) {
      int n = 0;
      while (page(n).machines.size() >= perPage) {
        n++;
      }
      p = page(n);
      p.machines.add(m);
    }
    writer.mark(p.slot, URGENCY, onDurable);
  }

  /** Takes over a stored page; {@code each} is told of every machine on it. */
  void load(StateMessage.Entry e, Consumer<Machine> each) {
    Page p = page(Integer.parseInt(e.key().substring(Keys.ROLL.length())));
    p.slot.stamp = e.stamp();
    for (JsonNode v : e.value().path("m")) {
      Machine m = machines.getOrCreate(v.path(0).asText());
      m.addr = v.path(1).asText(null);
      m.type = v.path(2).asText(null);
      m.zone = machines.zone(v.path(3).asText());
      m.spot = v.path(4).asBoolean();
      p.machines.add(m);
      each.accept(m);
    }
  }

  /** Strikes out the machines that are gone with all that was on them. */
  void sweep() {
    for (Page p : pages) {
      boolean struck = false;
      for (Iterator<Machine> it = p.machines.iterator(); it.hasNext(); ) {
        Machine m = it.next();
        if (m.gone && m.bound.isEmpty()) {
          it.remove();
          struck = true;
        }
      }
      if (struck) {
        writer.mark(p.slot, REMOVAL_URGENCY, null);
      }
    }
  }
}
