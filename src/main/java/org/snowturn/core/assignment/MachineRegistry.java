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
import org.snowturn.core.model.AgentSession;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.PendingRecord;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;
import org.snowturn.wire.StateMessage;

/**
 * The stored registry of the machines in use. It consists of pages with many machines each: with
 * one record per machine, starting hundreds of machines would take up the write budget for half a
 * minute. The registry also holds the images that each machine has cached, so that a new leader
 * continues to place tasks on machines that have their images.
 */
public final class MachineRegistry {
  /** Estimated size of a machine's entry in the first format, with the numbers of its images. */
  private static final int FIRST_FORMAT_ENTRY_BYTES = 200;

  /** Estimated size of a page's image names in the first format. */
  private static final int FIRST_FORMAT_NAMES_BYTES = 1_200;

  /** Size of a machine's entry in the second format, without the machine's id and address. */
  private static final int SECOND_FORMAT_ENTRY_OVERHEAD_BYTES = 12;

  /** Share of a page that machines may use in the second format; the rest is for their images. */
  private static final double SECOND_FORMAT_MACHINES_SHARE = 0.55;

  /** Position of the agent epoch in a machine's entry in the second format. */
  private static final int EPOCH_POSITION = 4;

  /** Page number of a machine that is on no page. */
  private static final int NO_PAGE = -1;

  private static final int HIGHEST_URGENCY = 0;

  /** Maximum number of images per machine on a page that has no room for all images. */
  private static final int MAX_IMAGES_PER_MACHINE = 6;

  /** Number of images per machine by which an oversized page is reduced in each step. */
  private static final int IMAGES_REDUCTION_STEP = 2;

  /**
   * Minimum time between two writes of a page for its images. Initially, images change with nearly
   * every placement, and a new leader can work with an incomplete list.
   */
  private static final long MIN_IMAGES_WRITE_INTERVAL_MS = 20_000;

  /** Minimum time between two writes of a page for the agent epochs of its machines. */
  private static final long MIN_EPOCHS_WRITE_INTERVAL_MS = 1_000;

  /** Minimum time between two writes of a page for removed machines. */
  private static final long MIN_REMOVALS_WRITE_INTERVAL_MS = 2_000;

  /** A page of the registry: its record and the machines on it. */
  private static final class Page {
    private final PendingRecord record;
    private final List<Machine> machines = new ArrayList<>();

    /** Whether some of its machines are being moved to other pages. */
    private boolean splitting;

    /** Whether the stored page still contains removed machines. */
    private boolean hasRemovals;

    private long removalsWrittenAt = MonotonicTime.UNSET;
    private long imagesWrittenAt = MonotonicTime.UNSET;
    private long epochsWrittenAt = MonotonicTime.UNSET;

    Page(PendingRecord record) {
      this.record = record;
    }
  }

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final MachineIndex machines;
  private final FormatGate gate;
  private final List<Page> pages = new ArrayList<>();

  /** Creates an empty registry. */
  public MachineRegistry(
      CoreRuntime runtime, RecordWriter writer, MachineIndex machines, FormatGate gate) {
    this.runtime = runtime;
    this.writer = writer;
    this.machines = machines;
    this.gate = gate;
  }

  /** Returns the maximum size of a page's value in bytes. */
  private int maxBytes() {
    return gate.limits().maxValueBytes();
  }

  /** Returns the number of machines, from the first one on, that fit on one page. */
  private int fittingCount(List<Machine> candidates) {
    if (!gate.isOpen()) {
      return Math.max(1, (maxBytes() - FIRST_FORMAT_NAMES_BYTES) / FIRST_FORMAT_ENTRY_BYTES);
    }
    double remainingBytes = maxBytes() * SECOND_FORMAT_MACHINES_SHARE;
    int count = 0;
    for (Machine machine : candidates) {
      remainingBytes -=
          SECOND_FORMAT_ENTRY_OVERHEAD_BYTES
              + machine.id.length()
              + (machine.address() == null ? 0 : machine.address().length());
      if (remainingBytes < 0) {
        break;
      }
      count++;
    }
    return Math.max(1, count);
  }

  private boolean fitsOnPage(Page page, Machine machine) {
    List<Machine> extended = new ArrayList<>(page.machines);
    extended.add(machine);
    return fittingCount(extended) >= extended.size();
  }

  /** Returns the page with this number, which is created if it does not exist. */
  private Page getOrCreatePage(int number) {
    while (pages.size() <= number) {
      int next = pages.size();
      pages.add(
          new Page(
              writer.getOrAddRecord(
                  StorageKeys.REGISTRY + next, 0, () -> content(pages.get(next)), () -> null)));
    }
    return pages.get(number);
  }

  /** Returns the stored form of a page; null if it is empty. */
  private JsonNode content(Page page) {
    if (page.machines.isEmpty()) {
      return null;
    }
    // Image names may be long, and a page that exceeds the maximum value size can never be written.
    ObjectNode object = content(page, Integer.MAX_VALUE);
    for (int maxImages = MAX_IMAGES_PER_MACHINE;
        Json.bytes(object).length > maxBytes() && maxImages >= 0;
        maxImages -= IMAGES_REDUCTION_STEP) {
      object = content(page, maxImages);
    }
    return object;
  }

  private ObjectNode content(Page page, int maxImages) {
    return gate.isOpen() ? secondFormat(page, maxImages) : firstFormat(page, maxImages);
  }

  private ObjectNode firstFormat(Page page, int maxImages) {
    ObjectNode object = Json.object().put("v", StorageKeys.FIRST_FORMAT);
    ArrayNode all = object.putArray("m");
    RegistryImageNames names = new RegistryImageNames(object, maxImages);
    for (Machine machine : page.machines) {
      ArrayNode entry = all.addArray();
      entry
          .add(machine.id)
          .add(machine.address())
          .add(machine.type())
          .add(machines.zoneName(machine.zone()))
          .add(machine.isSpot());
      names.add(machine, entry);
    }
    return object;
  }

  /**
   * Returns a page in the second format, which lists each combination of type, zone and spot once,
   * so that many more machines fit on a page.
   */
  private ObjectNode secondFormat(Page page, int maxImages) {
    ObjectNode object = Json.object().put("v", StorageKeys.SECOND_FORMAT);
    ArrayNode kinds = object.putArray("k");
    ArrayNode all = object.putArray("m");
    RegistryImageNames names = new RegistryImageNames(object, maxImages);
    Map<ArrayNode, Integer> kindNumbers = new HashMap<>();
    for (Machine machine : page.machines) {
      ArrayNode kind =
          Json.array()
              .add(machine.type())
              .add(machines.zoneName(machine.zone()))
              .add(machine.isSpot());
      Integer kindNumber = kindNumbers.putIfAbsent(kind, kindNumbers.size());
      if (kindNumber == null) {
        kinds.add(kind);
        kindNumber = kindNumbers.size() - 1;
      }
      ArrayNode entry = all.addArray().add(machine.id).add(machine.address()).add(kindNumber);
      names.add(machine, entry);
      addEpoch(machine, entry);
    }
    return object;
  }

  /** Adds the agent epoch behind the images, unless it is the first one. */
  private static void addEpoch(Machine machine, ArrayNode entry) {
    long epoch = machine.session.likelyEpoch();
    if (epoch > AgentSession.FIRST_EPOCH) {
      while (entry.size() < EPOCH_POSITION) {
        entry.addArray();
      }
      entry.add(epoch);
    }
  }

  /**
   * Writes a machine to the registry. It may receive tasks once its entry is durable.
   *
   * @param onDurable called when the entry is durable
   */
  public void register(Machine machine, Runnable onDurable) {
    if (machine.registryPage() < 0) {
      put(machine, pageWithRoom(machine));
    }
    writer.enqueue(getOrCreatePage(machine.registryPage()).record, HIGHEST_URGENCY, onDurable);
  }

  private int pageWithRoom(Machine machine) {
    int number = 0;
    while (getOrCreatePage(number).splitting || !fitsOnPage(getOrCreatePage(number), machine)) {
      number++;
    }
    return number;
  }

  private void put(Machine machine, int number) {
    machine.setRegistryPage(number);
    getOrCreatePage(number).machines.add(machine);
  }

  /**
   * Loads a stored page.
   *
   * @param entry the stored page
   * @param onMachine called for each machine on the page
   * @throws IllegalArgumentException if the page cannot be read; {@code onMachine} may have been
   *     called for some of its machines before
   */
  public void load(StateMessage.Entry entry, Consumer<Machine> onMachine) {
    int number = Integer.parseInt(entry.key().substring(StorageKeys.REGISTRY.length()));
    getOrCreatePage(number).record.setVersion(entry.version());
    if (!entry.value().path("m").isArray()) {
      throw new IllegalArgumentException("field m is missing or not a list of machines");
    }
    boolean second =
        entry.value().path("v").asInt(StorageKeys.FIRST_FORMAT) >= StorageKeys.SECOND_FORMAT;
    for (JsonNode value : entry.value().path("m")) {
      Machine machine = machines.getOrAdd(value.path(0).asText());
      // An entry contains type, zone and spot in the first format, and the number of their
      // combination in field k in the second format.
      JsonNode kinds = entry.value().path("k").path(value.path(2).asInt());
      machine.setAddress(value.path(1).asText(null));
      machine.setType((second ? kinds.path(0) : value.path(2)).asText(null));
      machine.setZone(machines.zoneIndex((second ? kinds.path(1) : value.path(3)).asText()));
      machine.setSpot((second ? kinds.path(2) : value.path(4)).asBoolean());
      for (JsonNode node : value.path(second ? 3 : 5)) {
        JsonNode image = entry.value().path("i").path(node.asInt());
        machine.touchImage(image.path(0).asText(), image.path(1).asDouble());
      }
      if (second) {
        machine.session.setRecordedEpoch(value.path(EPOCH_POSITION).asLong());
      }
      put(machine, number);
      onMachine.accept(machine);
    }
  }

  /**
   * Writes the pages with changed images or agent epochs, or with terminated machines, which are
   * removed once no task is assigned to them.
   */
  public void writeChangedPages() {
    for (Page page : List.copyOf(pages)) {
      if (!page.splitting && !split(page)) { // otherwise written once it fits into a value
        writeIfChanged(page);
      }
    }
  }

  private void writeIfChanged(Page page) {
    boolean hasChangedImages = hasChangedImages(page);
    removeTerminated(page);
    if (page.hasRemovals
        && runtime.now() - page.removalsWrittenAt > MIN_REMOVALS_WRITE_INTERVAL_MS) {
      // The next leader treats tasks on removed machines as ended and does not wait for leases to
      // expire. So removals are written before placements, but at a limited rate, since many
      // machines may terminate one after the other.
      page.removalsWrittenAt = runtime.now();
      page.hasRemovals = false;
      writer.enqueue(page.record, HIGHEST_URGENCY, null);
    } else if (hasChangedImages
        && runtime.now() - page.imagesWrittenAt > MIN_IMAGES_WRITE_INTERVAL_MS) {
      page.imagesWrittenAt = runtime.now();
      page.machines.forEach(machine -> machine.images.markStored());
      writer.enqueue(page.record, RecordWriter.DEFERRABLE_URGENCY, null);
    } else if (gate.isOpen()
        && hasChangedEpochs(page)
        && runtime.now() - page.epochsWrittenAt > MIN_EPOCHS_WRITE_INTERVAL_MS) {
      page.epochsWrittenAt = runtime.now();
      page.machines.forEach(machine -> machine.session.markEpochRecorded());
      writer.enqueue(page.record, RecordWriter.DEFERRABLE_URGENCY, null);
    }
  }

  /** Returns whether a machine on the page has left its first agent epoch since it was written. */
  private static boolean hasChangedEpochs(Page page) {
    for (Machine machine : page.machines) {
      if (machine.session.hasUnrecordedEpoch()) {
        return true;
      }
    }
    return false;
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
    for (Iterator<Machine> iterator = page.machines.iterator(); iterator.hasNext(); ) {
      Machine machine = iterator.next();
      if (machine.lifecycle.isGone() && machine.assigned.isEmpty()) {
        iterator.remove();
        machine.setRegistryPage(NO_PAGE);
        page.hasRemovals = true;
      }
    }
  }

  /**
   * Moves machines to other pages if the page has become too large because the limits were lowered.
   * They are removed from this page only after their new entries are durable, so that every machine
   * is always on a page.
   *
   * @return whether machines are being moved
   */
  private boolean split(Page page) {
    int fitting = fittingCount(page.machines);
    if (!gate.isOpen() || page.machines.size() <= fitting) {
      return false;
    }
    page.splitting = true;
    List<Machine> moved = List.copyOf(page.machines.subList(fitting, page.machines.size()));
    int[] pendingCount = {moved.size()};
    for (Machine machine : moved) {
      machine.setRegistryPage(NO_PAGE);
      register(
          machine,
          () -> {
            if (--pendingCount[0] == 0) {
              page.machines.removeAll(moved);
              page.splitting = false;
              writer.enqueue(page.record, RecordWriter.DEFERRABLE_URGENCY, null);
            }
          });
    }
    return true;
  }
}
