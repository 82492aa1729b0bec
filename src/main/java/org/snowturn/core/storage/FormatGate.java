package org.snowturn.core.storage;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Whether records may be written in the second format. Each node that reads it says so in the state
 * service, once and for good; when all nodes of the settings have, whoever sees it first writes the
 * gate's own record. Until then the version before this one may come back on any node that has not
 * said so, and has to be able to read everything.
 *
 * <p>The gate's record keeps the spans of both formats: results are numbered by them, so neither
 * may follow later settings.
 */
public final class FormatGate {
  private static final long LOOK_MS = 1_000;
  private static final long RETRY_MS = 200;
  private static final int TIMEOUT_MS = 1_500;

  /** In the first format a placement was given so many bytes of a value. */
  private static final int FIRST_BYTES = 80;

  private final Settings settings;
  private final CoreRuntime runtime;
  private boolean announced;
  private boolean open;
  private boolean busy;
  private long lookAt;
  private final List<Runnable> waiting = new ArrayList<>();
  private RecordSizes spans;

  public FormatGate(Settings settings, CoreRuntime runtime) {
    this.settings = settings;
    this.runtime = runtime;
    int first = Math.max(8, settings.stateLimits().valueBytes() / FIRST_BYTES);
    spans = new RecordSizes(first, TaskLayout.span(least().valueBytes()));
  }

  public boolean open() {
    return open;
  }

  public RecordSizes spans() {
    return spans;
  }

  /** The limits that writes have to keep now: once the gate is open, the smaller of both. */
  public Settings.StateLimits limits() {
    return open ? least() : settings.stateLimits();
  }

  private Settings.StateLimits least() {
    return settings.stateLimits().least(settings.nextStateLimits());
  }

  public void tick() {
    boolean wanted = !waiting.isEmpty() || !open;
    if (wanted && !busy && runtime.now() >= lookAt) {
      look();
    }
  }

  /** Looks how far the nodes are, and goes on once that is known. */
  public void look(Runnable then) {
    if (open) {
      then.run();
      return;
    }
    waiting.add(then);
    if (!busy) {
      look();
    }
  }

  private void look() {
    busy = true;
    lookAt = runtime.now() + LOOK_MS;
    // What is asked for from now on wants a newer answer than this one.
    List<Runnable> toTell = List.copyOf(waiting);
    waiting.clear();
    runtime.callState(
        RequestClass.REST,
        "GET",
        "/kv?prefix=" + StorageKeys.FORMAT + "&most=500",
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          busy = false;
          try {
            if (outcome == Outcome.ANSWERED && status == 200) {
              found(StateMessage.entries(body));
              toTell.forEach(Runnable::run);
              return;
            }
          } catch (MalformedException e) {
            runtime.note("unusable list of formats: " + e.getMessage());
          }
          waiting.addAll(toTell);
          lookAt = runtime.now() + RETRY_MS;
        });
  }

  private void found(List<StateMessage.Entry> entries) {
    Set<String> nodes = new HashSet<>();
    for (StateMessage.Entry entry : entries) {
      if (entry.key().equals(StorageKeys.GATE)) {
        opened(entry.value());
        return;
      }
      if (entry.value().path("reads").asInt(0) >= StorageKeys.SECOND) {
        nodes.add(entry.key().substring(StorageKeys.READERS.length()));
      }
    }
    if (open) {
      return;
    }
    if (!nodes.contains(settings.node())) {
      announce();
      return;
    }
    for (Settings.Peer p : settings.peers()) {
      if (!nodes.contains(p.node())) {
        return;
      }
    }
    write();
  }

  private void announce() {
    if (announced) {
      return;
    }
    announced = true;
    String key = StorageKeys.READERS + settings.node();
    JsonNode value = Json.object().put("v", StorageKeys.VERSION).put("reads", StorageKeys.SECOND);
    put(
        key,
        value,
        (outcome, status, body) -> {
          announced = false;
          if (outcome == Outcome.ANSWERED && status == 200) {
            runtime.note("this node reads format " + StorageKeys.SECOND);
            lookAt = runtime.now();
          }
        });
  }

  private void write() {
    JsonNode value =
        Json.object()
            .put("v", StorageKeys.SECOND)
            .put("first", spans.first())
            .put("second", spans.second());
    put(
        StorageKeys.GATE,
        value,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            opened(value);
          } else {
            lookAt = runtime.now(); // another node was first, or nothing is known: look again
          }
        });
  }

  private void put(String key, JsonNode value, CoreRuntime.ReplyHandler then) {
    runtime.callState(
        RequestClass.REST,
        "POST",
        "/txn",
        StateMessage.txn(List.of(new Condition(key, 0)), List.of(Change.put(key, value))),
        TIMEOUT_MS,
        then);
  }

  private void opened(JsonNode gate) {
    if (open) {
      return;
    }
    int first = gate.path("first").asInt(spans.first());
    spans =
        new RecordSizes(Math.max(1, first), Math.max(1, gate.path("second").asInt(spans.second())));
    open = true;
    runtime.note("the gate is open: all nodes read format " + StorageKeys.SECOND);
  }
}
