package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.effects.StateReply;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Tracks whether records may be written in the second format. Each node that can read the second
 * format writes a permanent announcement to the state service. The first node that sees the
 * announcements of all configured nodes opens the gate by writing its record. Until then a node
 * without an announcement may be rolled back to a version that reads only the first format, so
 * every record is written in the first format.
 *
 * <p>The gate's record stores the number of tasks per record of both formats. Stored results are
 * numbered by it, so later settings must not change it.
 */
public final class FormatGate {
  private static final long CHECK_INTERVAL_MS = 1_000;
  private static final long RETRY_DELAY_MS = 200;
  private static final int TIMEOUT_MS = 1_500;
  private static final int MAX_ENTRIES = 500;

  /** Bytes of a value that the first format reserves for each assigned task. */
  private static final int FIRST_FORMAT_ENTRY_BYTES = 80;

  private static final int MIN_FIRST_FORMAT_TASKS = 8;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final List<Runnable> waitingCallers = new ArrayList<>();
  private boolean isAnnouncing;
  private boolean isOpen;
  private boolean isReading;
  private long nextCheckAtMs;
  private TasksPerRecord tasksPerRecord;

  /** Creates a gate that is closed until the state service has been read. */
  public FormatGate(Settings settings, CoreRuntime runtime) {
    this.settings = settings;
    this.runtime = runtime;
    int first =
        Math.max(
            MIN_FIRST_FORMAT_TASKS,
            settings.stateLimits().maxValueBytes() / FIRST_FORMAT_ENTRY_BYTES);
    tasksPerRecord =
        new TasksPerRecord(first, TaskLayout.tasksPerRecord(smallerLimits().maxValueBytes()));
  }

  /** Returns whether this node has seen that all nodes read the second format. */
  public boolean isOpen() {
    return isOpen;
  }

  /** Returns how many tasks share a record. This no longer changes once the gate is open. */
  public TasksPerRecord tasksPerRecord() {
    return tasksPerRecord;
  }

  /**
   * Returns the limits that writes must keep. Once the gate is open, each is the smaller of the
   * current and the next limit in the settings.
   */
  public Settings.StateLimits limits() {
    return isOpen ? smallerLimits() : settings.stateLimits();
  }

  private Settings.StateLimits smallerLimits() {
    return settings.stateLimits().min(settings.nextStateLimits());
  }

  /** Reads the announcements when a read is due, until the gate is open. */
  public void tick() {
    boolean isReadNeeded = !waitingCallers.isEmpty() || !isOpen;
    if (isReadNeeded && !isReading && runtime.now() >= nextCheckAtMs) {
      readAnnouncements();
    }
  }

  /**
   * Reads the announcements unless the gate is open.
   *
   * @param onRefreshed called once the announcements have been read, at once if the gate is open
   */
  public void refresh(Runnable onRefreshed) {
    if (isOpen) {
      onRefreshed.run();
      return;
    }
    waitingCallers.add(onRefreshed);
    if (!isReading) {
      readAnnouncements();
    }
  }

  private void readAnnouncements() {
    isReading = true;
    nextCheckAtMs = runtime.now() + CHECK_INTERVAL_MS;
    // A caller that comes later needs a read that starts later.
    List<Runnable> callers = List.copyOf(waitingCallers);
    waitingCallers.clear();
    runtime.readState(
        RequestClass.REST,
        new StateMessage.RangePath(StorageKeys.FORMAT).limit(MAX_ENTRIES).toString(),
        TIMEOUT_MS,
        reply -> {
          isReading = false;
          if (tryEvaluate(reply)) {
            callers.forEach(Runnable::run);
          } else {
            waitingCallers.addAll(callers);
            nextCheckAtMs = runtime.now() + RETRY_DELAY_MS;
          }
        });
  }

  private boolean tryEvaluate(StateReply reply) {
    if (!reply.isOk()) {
      return false;
    }
    try {
      evaluate(StateMessage.entries(reply.body()));
      return true;
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.PREFIX, StorageKeys.FORMAT, e);
      return false;
    }
  }

  private void evaluate(List<StateMessage.Entry> entries) {
    Set<String> readers = new HashSet<>();
    for (StateMessage.Entry entry : entries) {
      if (entry.key().equals(StorageKeys.FORMAT_GATE)) {
        markOpen(entry.value());
        return;
      }
      if (entry.value().path("reads").asInt(0) >= StorageKeys.SECOND_FORMAT) {
        readers.add(entry.key().substring(StorageKeys.FORMAT_READERS.length()));
      }
    }
    if (isOpen) {
      return;
    }
    if (!readers.contains(settings.node())) {
      announce();
    } else if (settings.peers().stream().allMatch(peer -> readers.contains(peer.node()))) {
      openGate();
    }
  }

  private void announce() {
    if (isAnnouncing) {
      return;
    }
    isAnnouncing = true;
    JsonNode value =
        Json.object().put("v", StorageKeys.FIRST_FORMAT).put("reads", StorageKeys.SECOND_FORMAT);
    create(
        StorageKeys.FORMAT_READERS + settings.node(),
        value,
        reply -> {
          isAnnouncing = false;
          if (reply.isOk()) {
            runtime
                .events()
                .info(LogEvent.FORMAT_SUPPORTED)
                .with(LogField.FORMAT, StorageKeys.SECOND_FORMAT)
                .write();
            nextCheckAtMs = runtime.now();
          }
        });
  }

  private void openGate() {
    JsonNode value =
        Json.object()
            .put("v", StorageKeys.SECOND_FORMAT)
            .put("first", tasksPerRecord.firstFormat())
            .put("second", tasksPerRecord.secondFormat());
    create(
        StorageKeys.FORMAT_GATE,
        value,
        reply -> {
          if (reply.isOk()) {
            markOpen(value);
          } else {
            nextCheckAtMs = runtime.now(); // another node was first, or the outcome is unknown
          }
        });
  }

  private void create(String key, JsonNode value, Consumer<StateReply> onReply) {
    runtime.writeState(
        RequestClass.REST,
        List.of(new Condition(key, 0)),
        List.of(Change.put(key, value)),
        TIMEOUT_MS,
        onReply);
  }

  private void markOpen(JsonNode gate) {
    if (isOpen) {
      return;
    }
    int first = gate.path("first").asInt(tasksPerRecord.firstFormat());
    int second = gate.path("second").asInt(tasksPerRecord.secondFormat());
    tasksPerRecord = new TasksPerRecord(Math.max(1, first), Math.max(1, second));
    isOpen = true;
    runtime
        .events()
        .info(LogEvent.FORMAT_GATE_OPENED)
        .with(LogField.FORMAT, StorageKeys.SECOND_FORMAT)
        .write();
  }
}
