package org.snowturn.core.act;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.Slot;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;

/**
 * The stored list of the machines in use, many to a page: one record a machine would take a start
 * of hundreds of machines the write budget of half a minute. It also tells a new leader which
 * images the machines have, so that it goes on placing tasks beside their images.
 */
public final class MachineRegistry {
  /** First format: an entry's bytes with its images' numbers, and a page's for images' names. */
  private static final int ENTRY_BYTES = 200;

  private static final int NAMES_BYTES = 1_200;

  /** Second format: what an entry takes beside its machine's name and address. */
  private static final int EDGES_BYTES = 12;

  /** Second format: the share of a page for the machines; the rest is for their images. */
  private static final double MACHINES_SHARE = 0.55;

  private static final int URGENCY = 0;

  /** Of a page's machines, so many images each at the most where not all have room. */
  private static final int MOST_IMAGES = 6;

  /** Images change with nearly every placement at first, and a new leader can do without some. */
  private static final long IMAGES_EVERY_MS = 20_000;

  private static final long STRIKES_EVERY_MS = 2_000;

  private static final class Page {
    final Slot slot;
    final List<Machine> machines = new ArrayList<>();
    boolean splitting;

    /** Whether the stored page still has machines that were struck out. */
    boolean struck;

    long struckAt = Job.UNKNOWN;
    long imagesAt = Job.UNKNOWN;

    Page(Slot slot) {
      this.slot = slot;
    }
  }

  private final Calls calls;
  private final Writer writer;
  private final MachineBook machines;
  private final FormatGate gate;
  private final List<Page> pages = new ArrayList<>();

  public MachineRegistry(Calls calls, Writer writer, MachineBook machines, FormatGate gate) {
    this.calls = calls;
    this.writer = writer;
    this.machines = machines;
    this.gate = gate;
  }

  private int mostBytes() {
    return gate.limits().valueBytes();
  }

  /** How many of these machines, from the first on, may share a page. */
  private int fitting(List<Machine> list) {
    if (!gate.open()) {
      return Math.max(1, (mostBytes() - NAMES_BYTES) / ENTRY_BYTES);
    }
    double left = mostBytes() * MACHINES_SHARE;
    int n = 0;
    for (Machine m : list) {
      left -= EDGES_BYTES + m.id.length() + (m.addr == null ? 0 : m.addr.length());
      if (left < 0) {
        break;
      }
      n++;
    }
    return Math.max(1, n);
  }

  private boolean hasRoom(Page p, Machine m) {
    List<Machine> with = new ArrayList<>(p.machines);
    with.add(m);
    return fitting(with) >= with.size();
  }

  private Page page(int number) {
    while (pages.size() <= number) {
      int n = pages.size();
      pages.add(
          new Page(writer.slot(Keys.REGISTRY + n, 0, () -> content(pages.get(n)), () -> null)));
    }
    return pages.get(number);
  }

  private JsonNode content(Page p) {
    if (p.machines.isEmpty()) {
      return null;
    }
    // Names may be long: a page that a value cannot hold would never be written at all.
    ObjectNode o = content(p, Integer.MAX_VALUE);
    for (int most = MOST_IMAGES; Json.bytes(o).length > mostBytes() && most >= 0; most -= 2) {
      o = content(p, most);
    }
    return o;
  }

  private ObjectNode content(Page p, int mostImages) {
    return gate.open() ? second(p, mostImages) : first(p, mostImages);
  }

  private ObjectNode first(Page p, int mostImages) {
    ObjectNode o = Json.object().put("v", Keys.VERSION);
    ArrayNode all = o.putArray("m");
    ImageNames names = new ImageNames(o, mostImages);
    for (Machine m : p.machines) {
      ArrayNode e = all.addArray();
      e.add(m.id).add(m.addr).add(m.type).add(machines.zoneName(m.zone)).add(m.spot);
      names.add(m, e);
    }
    return o;
  }

  /** Types and zones are named once, so that many more machines fit a page. */
  private ObjectNode second(Page p, int mostImages) {
    ObjectNode o = Json.object().put("v", Keys.SECOND);
    ArrayNode kinds = o.putArray("k");
    ArrayNode all = o.putArray("m");
    ImageNames names = new ImageNames(o, mostImages);
    Map<ArrayNode, Integer> numbers = new HashMap<>();
    for (Machine m : p.machines) {
      ArrayNode kind = Json.array().add(m.type).add(machines.zoneName(m.zone)).add(m.spot);
      Integer n = numbers.putIfAbsent(kind, numbers.size());
      if (n == null) {
        kinds.add(kind);
        n = numbers.size() - 1;
      }
      names.add(m, all.addArray().add(m.id).add(m.addr).add(n));
    }
    return o;
  }

  /** The names of a page's images, each written once, and their numbers on the machines. */
  private static final class ImageNames {
    private final ArrayNode names;
    private final int most;
    private final Map<String, Integer> numbers = new HashMap<>();

    ImageNames(ObjectNode page, int most) {
      this.names = most > 0 ? page.putArray("i") : null;
      this.most = most;
    }

    /** Adds the numbers of the machine's images; the last used ones if not all. */
    void add(Machine m, ArrayNode entry) {
      if (names == null) {
        return;
      }
      ArrayNode has = entry.addArray();
      int skip = Math.max(0, m.images.size() - most);
      for (Map.Entry<String, Double> image : m.images.entrySet()) {
        if (skip-- > 0) {
          continue;
        }
        Integer n = numbers.putIfAbsent(image.getKey(), numbers.size());
        if (n == null) {
          names.addArray().add(image.getKey()).add(image.getValue());
          n = numbers.size() - 1;
        }
        has.add(n);
      }
    }
  }

  /** Writes a machine down; it may get tasks once that is durable. */
  public void enter(Machine m, Runnable onDurable) {
    if (m.registryPage < 0) {
      put(m, pageWithRoom(m));
    }
    writer.mark(page(m.registryPage).slot, URGENCY, onDurable);
  }

  private int pageWithRoom(Machine m) {
    int n = 0;
    while (page(n).splitting || !hasRoom(page(n), m)) {
      n++;
    }
    return n;
  }

  private void put(Machine m, int number) {
    m.registryPage = number;
    page(number).machines.add(m);
  }

  /**
   * Takes over a stored page; {@code each} is told of every machine on it.
   *
   * @throws IllegalArgumentException if it cannot be read; some of it may have been told by then
   */
  public void load(StateMessage.Entry e, Consumer<Machine> each) {
    int number = Integer.parseInt(e.key().substring(Keys.REGISTRY.length()));
    page(number).slot.stamp = e.stamp();
    if (!e.value().path("m").isArray()) {
      throw new IllegalArgumentException("no list of machines");
    }
    boolean second = e.value().path("v").asInt(Keys.VERSION) >= Keys.SECOND;
    for (JsonNode v : e.value().path("m")) {
      Machine m = machines.getOrCreate(v.path(0).asText());
      // The first format has type, zone and kind on each entry, the second has their number.
      JsonNode kinds = e.value().path("k").path(v.path(2).asInt());
      m.addr = v.path(1).asText(null);
      m.type = (second ? kinds.path(0) : v.path(2)).asText(null);
      m.zone = machines.zone((second ? kinds.path(1) : v.path(3)).asText());
      m.spot = (second ? kinds.path(2) : v.path(4)).asBoolean();
      for (JsonNode n : v.path(second ? 3 : 5)) {
        JsonNode image = e.value().path("i").path(n.asInt());
        m.touchImage(image.path(0).asText(), image.path(1).asDouble());
      }
      put(m, number);
      each.accept(m);
    }
  }

  /** Strikes out the machines that are gone with all that was on them, and notes new images. */
  public void sweep() {
    for (Page p : List.copyOf(pages)) {
      if (p.splitting || split(p)) {
        continue; // written once it is short enough
      }
      boolean images = false;
      for (Iterator<Machine> it = p.machines.iterator(); it.hasNext(); ) {
        Machine m = it.next();
        if (m.gone && m.bound.isEmpty()) {
          it.remove();
          m.registryPage = -1;
          p.struck = true;
        }
        images |= m.imagesChanged;
      }
      if (p.struck && calls.now() - p.struckAt > STRIKES_EVERY_MS) {
        // The next leader takes what was placed there for ended: no waiting for a lease. Before
        // placements, then, but not for each machine of a wave that dies one after the other.
        p.struckAt = calls.now();
        p.struck = false;
        writer.mark(p.slot, URGENCY, null);
      } else if (images && calls.now() - p.imagesAt > IMAGES_EVERY_MS) {
        p.imagesAt = calls.now();
        p.machines.forEach(m -> m.imagesChanged = false);
        writer.mark(p.slot, Writer.CAN_WAIT, null);
      }
    }
  }

  /**
   * Moves to other pages what a page cannot hold under smaller limits: there first, so that no
   * machine is ever on no page. Until then it keeps its old content.
   */
  private boolean split(Page p) {
    int fitting = fitting(p.machines);
    if (!gate.open() || p.machines.size() <= fitting) {
      return false;
    }
    p.splitting = true;
    List<Machine> moved = List.copyOf(p.machines.subList(fitting, p.machines.size()));
    int[] missing = {moved.size()};
    for (Machine m : moved) {
      m.registryPage = -1;
      enter(
          m,
          () -> {
            if (--missing[0] == 0) {
              p.machines.removeAll(moved);
              p.splitting = false;
              writer.mark(p.slot, Writer.CAN_WAIT, null);
            }
          });
    }
    return true;
  }
}
