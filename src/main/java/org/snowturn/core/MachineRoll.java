package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;

/**
 * The stored list of the machines in use, many to a page: one record a machine would take a start
 * of hundreds of machines the write budget of half a minute. It also tells a new leader which
 * images the machines have, so that it goes on placing tasks beside their images.
 */
final class MachineRoll {
  /** An entry's bytes with the numbers of its images, and a page's for the images' names. */
  private static final int ENTRY_BYTES = 200;

  private static final int NAMES_BYTES = 1_200;
  private static final int URGENCY = 0;

  /** Images change with nearly every placement at first, and a new leader can do without some. */
  private static final long IMAGES_EVERY_MS = 20_000;

  private static final class Page {
    final Writer.Slot slot;
    final List<Machine> machines = new ArrayList<>();
    long imagesAt = Job.UNKNOWN;

    Page(Writer.Slot slot) {
      this.slot = slot;
    }
  }

  private final Calls calls;
  private final Writer writer;
  private final MachineBook machines;
  private final int mostBytes;
  private final int perPage;
  private final List<Page> pages = new ArrayList<>();

  MachineRoll(Calls calls, Writer writer, MachineBook machines, double valueKb) {
    this.calls = calls;
    this.writer = writer;
    this.machines = machines;
    this.mostBytes = (int) (valueKb * 1024);
    this.perPage = Math.max(1, (mostBytes - NAMES_BYTES) / ENTRY_BYTES);
  }

  private Page page(int number) {
    while (pages.size() <= number) {
      int n = pages.size();
      pages.add(new Page(writer.slot(Keys.ROLL + n, 0, () -> content(pages.get(n)), () -> null)));
    }
    return pages.get(number);
  }

  private JsonNode content(Page p) {
    if (p.machines.isEmpty()) {
      return null;
    }
    ObjectNode full = content(p, true);
    // Names may be long: a page that a value cannot hold would never be written at all.
    return Json.bytes(full).length <= mostBytes ? full : content(p, false);
  }

  private ObjectNode content(Page p, boolean withImages) {
    ObjectNode o = Json.object().put("v", Keys.VERSION);
    ArrayNode all = o.putArray("m");
    Map<String, Integer> numbers = new HashMap<>();
    ArrayNode names = withImages ? o.putArray("i") : null;
    for (Machine m : p.machines) {
      ArrayNode e = all.addArray();
      e.add(m.id).add(m.addr).add(m.type).add(machines.zoneName(m.zone)).add(m.spot);
      if (withImages) {
        ArrayNode has = e.addArray();
        m.images.forEach(
            (image, gb) -> {
              Integer n = numbers.get(image);
              if (n == null) {
                n = numbers.size();
                numbers.put(image, n);
                names.addArray().add(image).add(gb);
              }
              has.add(n);
            });
      }
    }
    return o;
  }

  /** Writes a machine down; it may get tasks once that is durable. */
  void enter(Machine m, Runnable onDurable) {
    if (m.rollPage < 0) {
      int n = 0;
      while (page(n).machines.size() >= perPage) {
        n++;
      }
      put(m, n);
    }
    writer.mark(page(m.rollPage).slot, URGENCY, onDurable);
  }

  private void put(Machine m, int number) {
    m.rollPage = number;
    page(number).machines.add(m);
  }

  /** Takes over a stored page; {@code each} is told of every machine on it. */
  void load(StateMessage.Entry e, Consumer<Machine> each) {
    int number = Integer.parseInt(e.key().substring(Keys.ROLL.length()));
    page(number).slot.stamp = e.stamp();
    for (JsonNode v : e.value().path("m")) {
      Machine m = machines.getOrCreate(v.path(0).asText());
      m.addr = v.path(1).asText(null);
      m.type = v.path(2).asText(null);
      m.zone = machines.zone(v.path(3).asText());
      m.spot = v.path(4).asBoolean();
      for (JsonNode n : v.path(5)) {
        JsonNode image = e.value().path("i").path(n.asInt());
        m.touchImage(image.path(0).asText(), image.path(1).asDouble());
      }
      put(m, number);
      each.accept(m);
    }
  }

  /** Strikes out the machines that are gone with all that was on them, and notes new images. */
  void sweep() {
    for (Page p : pages) {
      boolean changed = false;
      boolean images = false;
      for (Iterator<Machine> it = p.machines.iterator(); it.hasNext(); ) {
        Machine m = it.next();
        if (m.gone && m.bound.isEmpty()) {
          it.remove();
          m.rollPage = -1;
          changed = true;
        }
        images |= m.imagesChanged;
      }
      if (images && calls.now() - p.imagesAt > IMAGES_EVERY_MS) {
        p.imagesAt = calls.now();
        p.machines.forEach(m -> m.imagesChanged = false);
        changed = true;
      }
      if (changed) {
        writer.mark(p.slot, Writer.CAN_WAIT, null);
      }
    }
  }
}
