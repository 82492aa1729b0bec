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

/** The cloud's catalog of machine types, fetched at start and refreshed for current prices. */
public final class MachineTypes {
  private static final String CATALOG_PATH = "/catalog";
  private static final long REFRESH_INTERVAL_MS = 60_000;
  private static final int REQUEST_TIMEOUT_MS = 3_000;
  private static final long RETRY_DELAY_MS = 1_000;
  private static final int STATUS_OK = 200;

  private final CoreRuntime runtime;
  private Map<String, MachineType> types = Map.of();
  private long nextRequestAt;
  private boolean requestInFlight;

  /** Creates an empty catalog; the first {@link #tick} fetches it. */
  public MachineTypes(CoreRuntime runtime) {
    this.runtime = runtime;
  }

  /** Returns whether the types have been fetched. */
  public boolean isLoaded() {
    return !types.isEmpty();
  }

  /** Returns all types, in the order of the catalog. */
  public Iterable<MachineType> all() {
    return types.values();
  }

  /** Returns the type with this name; null if there is none. */
  public MachineType get(String name) {
    return types.get(name);
  }

  /** Returns the shortest boot time of any type, in seconds; 0 while no type is known. */
  public double shortestBootS() {
    double shortestS = types.isEmpty() ? 0 : Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      shortestS = Math.min(shortestS, type.bootS());
    }
    return shortestS;
  }

  /**
   * Returns whether one task of the job fits a type that the job allows and that is offered in a
   * zone that the job allows.
   */
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

  /** Fetches the types if a refresh or a retry is due. */
  public void tick() {
    if (requestInFlight || runtime.now() < nextRequestAt) {
      return;
    }
    requestInFlight = true;
    runtime.call(
        Effect.Target.CLOUD, null, "GET", CATALOG_PATH, null, REQUEST_TIMEOUT_MS, this::onReply);
  }

  private void onReply(Outcome outcome, int status, JsonNode body) {
    requestInFlight = false;
    nextRequestAt = runtime.now() + RETRY_DELAY_MS;
    if (outcome != Outcome.ANSWERED || status != STATUS_OK) {
      return;
    }
    try {
      List<MachineType> list = MachineType.parseCatalog(body);
      if (!list.isEmpty()) {
        Map<String, MachineType> byName = new LinkedHashMap<>();
        list.forEach(type -> byName.put(type.name(), type));
        types = byName;
        nextRequestAt = runtime.now() + REFRESH_INTERVAL_MS;
      }
    } catch (MalformedException e) {
      runtime.events().unreadable(LogEvent.REPLY_MALFORMED, LogField.REQUEST, CATALOG_PATH, e);
    }
  }
}
