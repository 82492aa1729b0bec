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
  private static final int ENTRY_OVERHEAD_BYTES = 12;

  /** Second format: the share of a page for the machines; the rest is for their images. */
  private static final double MACHINES_SHARE = 0.55;

  private static final int URGENCY = 0;

  /** Of a page's machines, so many images each at the most where not all have room. */
  private static final int MAX_IMAGES = 6;

  /** Images change with nearly every placement at first, and a new leader can do without some. */
  private static final long IMAGES_INTERVAL_MS = 20_000;

  private static final long REMOVALS_INTERVAL_MS = 2_000;

  private static final class Page {
    private final PendingRecord record;
    private final List<Machine> machines = new ArrayList<>();
    private boolean splitting;

    /** Whether the stored page still has machines that were struck out. */
    private boolean hasRemovals;

    private long removalsWrittenAt = MonotonicTime.NEVER;
    private long imagesWrittenAt = MonotonicTime.NEVER;

    Page(PendingRecord record) {
      this.record = record;
    }
  }

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final FormatGate gate;
  private final List<Page> pages = new ArrayList<>();

  /** No page is known yet. */
  public MachineRegistry(
      CoreRuntime runtime, RecordWriter writer, MachineIndex machines, FormatGate gate) {
    this.runtime = runtime;
    this.writer = writer;
    this.machines = machines;
    this.gate = gate;
  }

  private int maxBytes() {
    return gate.limits().maxValueBytes();
  }

  /** How many of these machines, from the first on, may share a page. */
  private int fitting(List<Machine> list) {
    if (!gate.open()) {
      return Math.max(1, (maxBytes() - NAMES_BYTES) / ENTRY_BYTES);
    }
    double left = maxBytes() * MACHINES_SHARE;
    int count = 0;
    for (Machine machine : list) {
      left -=
          ENTRY_OVERHEAD_BYTES
              + machine.id.length()
              + (machine.addr() == null ? 0 : machine.addr().length());
      if (left < 0) {
        break;
      }
      count++;
    }
    return Math.max(1, count);
  }

  private boolean hasRoom(Page page, Machine machine) {
    List<Machine> with = new ArrayList<>(page.machines);
    with.add(machine);
    return fitting(with) >= with.size();
  }

  private Page page(int number) {
    while (pages.size() <= number) {
      int next = pages.size();
      pages.add(
          new Page(
              writer.pendingRecord(
                  StorageKeys.REGISTRY + next, 0, () -> content(pages.get(next)), () -> null)));
    }
    return pages.get(number);
  }

  private JsonNode content(Page page) {
    if (page.machines.isEmpty()) {
      return null;
    }
    // Names may be long: a page that a value cannot hold would never be written at all.
    ObjectNode object = content(page, Integer.MAX_VALUE);
    for (int max = MAX_IMAGES; Json.bytes(object).length > maxBytes() && max >= 0; max -= 2) {
      object = content(page, max);
    }
    return object;
  }

  private ObjectNode content(Page page, int maxImages) {
    return gate.open() ? second(page, maxImages) : first(page, maxImages);
  }

  private ObjectNode first(Page page, int maxImages) {
    ObjectNode object = Json.object().put("v", StorageKeys.FIRST_FORMAT);
    ArrayNode all = object.putArray("m");
    ImageNames names = new ImageNames(object, maxImages);
    for (Machine machine : page.machines) {
      ArrayNode entry = all.addArray();
      entry
          .add(machine.id)
          .add(machine.addr())
          .add(machine.type())
          .add(machines.zoneName(machine.zone()))
          .add(machine.isSpot());
      names.add(machine, entry);
    }
    return object;
  }

  /** Types and zones are named once, so that many more machines fit a page. */
  private ObjectNode second(Page page, int maxImages) {
    ObjectNode object = Json.object().put("v", StorageKeys.SECOND_FORMAT);
    ArrayNode kinds = object.putArray("k");
    ArrayNode all = object.putArray("m");
    ImageNames names = new ImageNames(object, maxImages);
    Map<ArrayNode, Integer> numbers = new HashMap<>();
    for (Machine machine : page.machines) {
      ArrayNode kind =
          Json.array()
              .add(machine.type())
              .add(machines.zoneName(machine.zone()))
              .add(machine.isSpot());
      Integer kindNumber = numbers.putIfAbsent(kind, numbers.size());
      if (kindNumber == null) {
        kinds.add(kind);
        kindNumber = numbers.size() - 1;
      }
      names.add(machine, all.addArray().add(machine.id).add(machine.addr()).add(kindNumber));
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
      for (Map.Entry<String, Double> image : machine.images.leastRecentFirst()) {
        if (skip-- > 0) {
          continue;
        }
        Integer imageNumber = numbers.putIfAbsent(image.getKey(), numbers.size());
        if (imageNumber == null) {
          names.addArray().add(image.getKey()).add(image.getValue());
          imageNumber = numbers.size() - 1;
        }
        has.add(imageNumber);
      }
    }
  }

  /** Writes a machine down; it may get tasks once that is durable. */
  public void register(Machine machine, Runnable onDurable) {
    if (machine.registryPage() < 0) {
      put(machine, pageWithRoom(machine));
    }
    writer.enqueue(page(machine.registryPage()).record, URGENCY, onDurable);
  }

  private int pageWithRoom(Machine machine) {
    int number = 0;
    while (page(number).splitting || !hasRoom(page(number), machine)) {
      number++;
    }
    return number;
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
    page(number).record.setVersion(entry.version());
    if (!entry.value().path("m").isArray()) {
      throw new IllegalArgumentException("no list of machines");
    }
    boolean second =
        entry.value().path("v").asInt(StorageKeys.FIRST_FORMAT) >= StorageKeys.SECOND_FORMAT;
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
    for (Page page : List.copyOf(pages)) {
      if (page.splitting || split(page)) {
        continue; // written once it is short enough
      }
      boolean images = hasChangedImages(page);
      removeTerminated(page);
      if (page.hasRemovals && runtime.now() - page.removalsWrittenAt > REMOVALS_INTERVAL_MS) {
        // The next leader takes what was placed there for ended: no waiting for a lease. Before
        // placements, then, but not for each machine of a wave that dies one after the other.
        page.removalsWrittenAt = runtime.now();
        page.hasRemovals = false;
        writer.enqueue(page.record, URGENCY, null);
      } else if (images && runtime.now() - page.imagesWrittenAt > IMAGES_INTERVAL_MS) {
        page.imagesWrittenAt = runtime.now();
        page.machines.forEach(machine -> machine.images.markStored());
        writer.enqueue(page.record, RecordWriter.DEFERRABLE_URGENCY, null);
      }
    }
  }

  private static boolean hasChangedImages(Page page) {
    for (Machine machine : page.machines) {
      if (machine.images.isChanged()) {
        return true;
      }
    }
    return false;
  }

  private static void removeTerminated(Page page) {
    for (Iterator<Machine> it = page.machines.iterator(); it.hasNext(); ) {
      Machine machine = it.next();
      if (machine.isTerminated() && machine.assigned.isEmpty()) {
        it.remove();
        machine.setRegistryPage(-1);
        page.hasRemovals = true;
      }
    }
  }

  /**
   * Moves to other pages what a page cannot hold under smaller limits: there first, so that no
   * machine is ever on no page. Until then it keeps its old content.
   */
  private boolean split(Page page) {
    int fitting = fitting(page.machines);
    if (!gate.open() || page.machines.size() <= fitting) {
      return false;
    }
    page.splitting = true;
    List<Machine> moved = List.copyOf(page.machines.subList(fitting, page.machines.size()));
    int[] missing = {moved.size()};
    for (Machine machine : moved) {
      machine.setRegistryPage(-1);
      register(
          machine,
          () -> {
            if (--missing[0] == 0) {
              page.machines.removeAll(moved);
              page.splitting = false;
              writer.enqueue(page.record, RecordWriter.DEFERRABLE_URGENCY, null);
            }
          });
    }
    return true;
  }
}
