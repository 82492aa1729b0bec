package org.snowturn.core.assignment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
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
    final PendingRecord record;
    final List<Machine> machines = new ArrayList<>();
    boolean splitting;

    /** Whether the stored page still has machines that were struck out. */
    boolean struck;

    long struckAt = MonotonicTime.NEVER;
    long imagesAt = MonotonicTime.NEVER;

    Page(PendingRecord record) {
      this.record = record;
    }
  }

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final FormatGate gate;
  private final List<Page> pages = new ArrayList<>();

  public MachineRegistry(
      CoreRuntime runtime, RecordWriter writer, MachineIndex machines, FormatGate gate) {
    this.runtime = runtime;
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
    for (Machine machine : list) {
      left -=
          EDGES_BYTES
              + machine.id.length()
              + (machine.addr() == null ? 0 : machine.addr().length());
      if (left < 0) {
        break;
      }
      n++;
    }
    return Math.max(1, n);
  }

  private boolean hasRoom(Page p, Machine machine) {
    List<Machine> with = new ArrayList<>(p.machines);
    with.add(machine);
    return fitting(with) >= with.size();
  }

  private Page page(int number) {
    while (pages.size() <= number) {
      int n = pages.size();
      pages.add(
          new Page(
              writer.slot(StorageKeys.REGISTRY + n, 0, () -> content(pages.get(n)), () -> null)));
    }
    return pages.get(number);
  }

  private JsonNode content(Page p) {
    if (p.machines.isEmpty()) {
      return null;
    }
    // Names may be long: a page that a value cannot hold would never be written at all.
    ObjectNode object = content(p, Integer.MAX_VALUE);
    for (int most = MOST_IMAGES; Json.bytes(object).length > mostBytes() && most >= 0; most -= 2) {
      object = content(p, most);
    }
    return object;
  }

  private ObjectNode content(Page p, int mostImages) {
    return gate.open() ? second(p, mostImages) : first(p, mostImages);
  }

  private ObjectNode first(Page p, int mostImages) {
    ObjectNode object = Json.object().put("v", StorageKeys.VERSION);
    ArrayNode all = object.putArray("m");
    ImageNames names = new ImageNames(object, mostImages);
    for (Machine machine : p.machines) {
      ArrayNode e = all.addArray();
      e.add(machine.id)
          .add(machine.addr())
          .add(machine.type())
          .add(machines.zoneName(machine.zone()))
          .add(machine.isSpot());
      names.add(machine, e);
    }
    return object;
  }

  /** Types and zones are named once, so that many more machines fit a page. */
  private ObjectNode second(Page p, int mostImages) {
    ObjectNode object = Json.object().put("v", StorageKeys.SECOND);
    ArrayNode kinds = object.putArray("k");
    ArrayNode all = object.putArray("m");
    ImageNames names = new ImageNames(object, mostImages);
    Map<ArrayNode, Integer> numbers = new HashMap<>();
    for (Machine machine : p.machines) {
      ArrayNode kind =
          Json.array()
              .add(machine.type())
              .add(machines.zoneName(machine.zone()))
              .add(machine.isSpot());
      Integer n = numbers.putIfAbsent(kind, numbers.size());
      if (n == null) {
        kinds.add(kind);
        n = numbers.size() - 1;
      }
      names.add(machine, all.addArray().add(machine.id).add(machine.addr()).add(n));
    }
    return object;
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
    void add(Machine machine, ArrayNode entry) {
      if (names == null) {
        return;
      }
      ArrayNode has = entry.addArray();
      int skip = Math.max(0, machine.images.size() - most);
      for (Map.Entry<String, Double> image : machine.images.entrySet()) {
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
  public void register(Machine machine, Runnable onDurable) {
    if (machine.registryPage() < 0) {
      put(machine, pageWithRoom(machine));
    }
    writer.mark(page(machine.registryPage()).record, URGENCY, onDurable);
  }

  private int pageWithRoom(Machine machine) {
    int n = 0;
    while (page(n).splitting || !hasRoom(page(n), machine)) {
      n++;
    }
    return n;
  }

  private void put(Machine machine, int number) {
    machine.setRegistryPage(number);
    page(number).machines.add(machine);
  }

  /**
   * Takes over a stored page; {@code each} is told of every machine on it.
   *
   * @throws IllegalArgumentException if it cannot be read; some of it may have been told by then
   */
  public void load(StateMessage.Entry entry, Consumer<Machine> each) {
    int number = Integer.parseInt(entry.key().substring(StorageKeys.REGISTRY.length()));
    page(number).record.stamp = entry.stamp();
    if (!entry.value().path("m").isArray()) {
      throw new IllegalArgumentException("no list of machines");
    }
    boolean second = entry.value().path("v").asInt(StorageKeys.VERSION) >= StorageKeys.SECOND;
    for (JsonNode value : entry.value().path("m")) {
      Machine machine = machines.getOrAdd(value.path(0).asText());
      // The first format has type, zone and kind on each entry, the second has their number.
      JsonNode kinds = entry.value().path("k").path(value.path(2).asInt());
      machine.setAddr(value.path(1).asText(null));
      machine.setType((second ? kinds.path(0) : value.path(2)).asText(null));
      machine.setZone(machines.zone((second ? kinds.path(1) : value.path(3)).asText()));
      machine.setSpot((second ? kinds.path(2) : value.path(4)).asBoolean());
      for (JsonNode node : value.path(second ? 3 : 5)) {
        JsonNode image = entry.value().path("i").path(node.asInt());
        machine.touchImage(image.path(0).asText(), image.path(1).asDouble());
      }
      put(machine, number);
      each.accept(machine);
    }
  }

  /** Strikes out the machines that are gone with all that was on them, and notes new images. */
  public void writeChangedPages() {
    for (Page p : List.copyOf(pages)) {
      if (p.splitting || split(p)) {
        continue; // written once it is short enough
      }
      boolean images = false;
      for (Iterator<Machine> it = p.machines.iterator(); it.hasNext(); ) {
        Machine machine = it.next();
        if (machine.isTerminated() && machine.assigned.isEmpty()) {
          it.remove();
          machine.setRegistryPage(-1);
          p.struck = true;
        }
        images |= machine.isImagesChanged();
      }
      if (p.struck && runtime.now() - p.struckAt > STRIKES_EVERY_MS) {
        // The next leader takes what was placed there for ended: no waiting for a lease. Before
        // placements, then, but not for each machine of a wave that dies one after the other.
        p.struckAt = runtime.now();
        p.struck = false;
        writer.mark(p.record, URGENCY, null);
      } else if (images && runtime.now() - p.imagesAt > IMAGES_EVERY_MS) {
        p.imagesAt = runtime.now();
        p.machines.forEach(machine -> machine.setImagesChanged(false));
        writer.mark(p.record, RecordWriter.CAN_WAIT, null);
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
    for (Machine machine : moved) {
      machine.setRegistryPage(-1);
      register(
          machine,
          () -> {
            if (--missing[0] == 0) {
              p.machines.removeAll(moved);
              p.splitting = false;
              writer.mark(p.record, RecordWriter.CAN_WAIT, null);
            }
          });
    }
    return true;
  }
}
