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
 * Whether records may be written in the second format. Each node that reads it announces that in
 * the state service, once and for good; when all nodes of the settings have, whoever sees it first
 * writes the gate's own record. Until then the version before this one may come back on any node
 * that has not announced it, and has to be able to read everything.
 *
 * <p>The gate's record keeps the record sizes of both formats: results are numbered by them, so
 * neither may follow later settings.
 */
public final class FormatGate {
  private static final long CHECK_INTERVAL_MS = 1_000;
  private static final long RETRY_DELAY_MS = 200;
  private static final int TIMEOUT_MS = 1_500;
  private static final int MAX_ENTRIES = 500;

  /** The first format reserves so many bytes of a value for each placement. */
  private static final int FIRST_FORMAT_ENTRY_BYTES = 80;

  private static final int MIN_FIRST_FORMAT_TASKS = 8;

  private final Settings settings;
  private final CoreRuntime runtime;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean announcing;
  private boolean open;
  private boolean reading;
  private long nextCheckAt;
  private RecordSizes sizes;

  /** Takes the gate for shut until the state service has been read. */
  public FormatGate(Settings settings, CoreRuntime runtime) {
    this.settings = settings;
    this.runtime = runtime;
    int first =
        Math.max(
            MIN_FIRST_FORMAT_TASKS, settings.stateLimits().valueBytes() / FIRST_FORMAT_ENTRY_BYTES);
    sizes = new RecordSizes(first, TaskLayout.tasksPerRecord(smallerLimits().valueBytes()));
  }

  /** Whether all nodes read the second format, as far as is known here. */
  public boolean open() {
    return open;
  }

  /** How many tasks share a record; final once the gate is open. */
  public RecordSizes recordSizes() {
    return sizes;
  }

  /** The limits that writes have to keep now: once the gate is open, the smaller of both. */
  public Settings.StateLimits limits() {
    return open ? smallerLimits() : settings.stateLimits();
  }

  private Settings.StateLimits smallerLimits() {
    return settings.stateLimits().least(settings.nextStateLimits());
  }

  /** Reads the announcements again when it is time, until the gate is open. */
  public void tick() {
    boolean wanted = !waiting.isEmpty() || !open;
    if (wanted && !reading && runtime.now() >= nextCheckAt) {
      readAnnouncements();
    }
  }

  /** Reads the announcements, and calls {@code then} once they are known. */
  public void check(Runnable then) {
    if (open) {
      then.run();
      return;
    }
    waiting.add(then);
    if (!reading) {
      readAnnouncements();
    }
  }

  private void readAnnouncements() {
    reading = true;
    nextCheckAt = runtime.now() + CHECK_INTERVAL_MS;
    // Callers from now on want a newer answer than this one.
    List<Runnable> callers = List.copyOf(waiting);
    waiting.clear();
    runtime.readState(
        RequestClass.REST,
        new StateMessage.RangePath(StorageKeys.FORMAT).limit(MAX_ENTRIES).toString(),
        TIMEOUT_MS,
        reply -> {
          reading = false;
          if (evaluated(reply)) {
            callers.forEach(Runnable::run);
          } else {
            waiting.addAll(callers);
            nextCheckAt = runtime.now() + RETRY_DELAY_MS;
          }
        });
  }

  private boolean evaluated(StateReply reply) {
    if (!reply.isOk()) {
      return false;
    }
    try {
      evaluate(StateMessage.entries(reply.body()));
      return true;
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.PREFIX, StorageKeys.FORMAT)
          .with(LogField.ERROR, e.getMessage())
          .write();
      return false;
    }
  }

  private void evaluate(List<StateMessage.Entry> entries) {
    Set<String> readers = new HashSet<>();
    for (StateMessage.Entry entry : entries) {
      if (entry.key().equals(StorageKeys.FORMAT_GATE)) {
        setOpen(entry.value());
        return;
      }
      if (entry.value().path("reads").asInt(0) >= StorageKeys.SECOND_FORMAT) {
        readers.add(entry.key().substring(StorageKeys.FORMAT_READERS.length()));
      }
    }
    if (open) {
      return;
    }
    if (!readers.contains(settings.node())) {
      announce();
    } else if (settings.peers().stream().allMatch(peer -> readers.contains(peer.node()))) {
      openGate();
    }
  }

  private void announce() {
    if (announcing) {
      return;
    }
    announcing = true;
    JsonNode value =
        Json.object().put("v", StorageKeys.FIRST_FORMAT).put("reads", StorageKeys.SECOND_FORMAT);
    create(
        StorageKeys.FORMAT_READERS + settings.node(),
        value,
        reply -> {
          announcing = false;
          if (reply.isOk()) {
            runtime
                .events()
                .info(LogEvent.FORMAT_SUPPORTED)
                .with(LogField.FORMAT, StorageKeys.SECOND_FORMAT)
                .write();
            nextCheckAt = runtime.now();
          }
        });
  }

  private void openGate() {
    JsonNode value =
        Json.object()
            .put("v", StorageKeys.SECOND_FORMAT)
            .put("first", sizes.first())
            .put("second", sizes.second());
    create(
        StorageKeys.FORMAT_GATE,
        value,
        reply -> {
          if (reply.isOk()) {
            setOpen(value);
          } else {
            nextCheckAt = runtime.now(); // another node was first, or the effect is unknown
          }
        });
  }

  private void create(String key, JsonNode value, Consumer<StateReply> then) {
    runtime.writeState(
        RequestClass.REST,
        List.of(new Condition(key, 0)),
        List.of(Change.put(key, value)),
        TIMEOUT_MS,
        then);
  }

  private void setOpen(JsonNode gate) {
    if (open) {
      return;
    }
    int first = gate.path("first").asInt(sizes.first());
    int second = gate.path("second").asInt(sizes.second());
    sizes = new RecordSizes(Math.max(1, first), Math.max(1, second));
    open = true;
    runtime
        .events()
        .info(LogEvent.FORMAT_GATE_OPENED)
        .with(LogField.FORMAT, StorageKeys.SECOND_FORMAT)
        .write();
  }
}
