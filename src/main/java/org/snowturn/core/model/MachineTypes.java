package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.MalformedException;

/** The machine types, fetched at start and again now and then for the prices. */
public final class MachineTypes {
  private static final String CATALOG_PATH = "/catalog";
  private static final long REFRESH_MS = 60_000;
  private static final int TIMEOUT_MS = 3_000;
  private static final long RETRY_MS = 1_000;
  private final CoreRuntime runtime;
  private Map<String, MachineType> types = Map.of();
  private long nextAt;
  private boolean requested;

  /** Knows no type yet. */
  public MachineTypes(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /** Whether the types have been fetched. */
  public boolean known() {
    return !types.isEmpty();
  }

  /** All types, in the order of the catalog. */
  public Iterable<MachineType> all() {
    return types.values();
  }

  /** The type with this name; null if there is none. */
  public MachineType get(String name) {
    return types.get(name);
  }

  /** How long the type that is up soonest takes; 0 while none is known. */
  public double quickestBootS() {
    double least = types.isEmpty() ? 0 : Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      least = Math.min(least, type.bootS());
    }
    return least;
  }

  /** Whether some allowed type, offered in an allowed zone, can hold one task. */
  public boolean canHold(JobSpec spec) {
    for (MachineType type : types.values()) {
      boolean allowed =
          spec.allowedMachineTypes() == null || spec.allowedMachineTypes().contains(type.name());
      boolean offered =
          spec.zone() == null || type.zones().isEmpty() || type.zones().contains(spec.zone());
      if (allowed && offered && type.fits(spec)) {
        return true;
      }
    }
    return false;
  }

  /** Fetches the types when it is time. */
  public void tick() {
    if (requested || runtime.now() < nextAt) {
      return;
    }
    requested = true;
    runtime.call(Effect.Target.CLOUD, null, "GET", CATALOG_PATH, null, TIMEOUT_MS, this::onReply);
  }

  private void onReply(Outcome outcome, int status, JsonNode body) {
    requested = false;
    nextAt = runtime.now() + RETRY_MS;
    if (outcome != Outcome.ANSWERED || status != 200) {
      return;
    }
    try {
      List<MachineType> list = MachineType.parseCatalog(body);
      if (!list.isEmpty()) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        list.forEach(type -> next.put(type.name(), type));
        types = next;
        nextAt = runtime.now() + REFRESH_MS;
      }
    } catch (MalformedException e) {
      runtime
          .events()
          .info(LogEvent.REPLY_MALFORMED)
          .with(LogField.REQUEST, CATALOG_PATH)
          .with(LogField.ERROR, e.getMessage())
          .write();
    }
  }
}
