package org.snowturn.core.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.core.Effect;
import org.snowturn.core.Outcome;
import org.snowturn.core.calls.Calls;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.MachineType;
import org.snowturn.wire.MalformedException;

/** The machine types, fetched at start and again now and then for the prices. */
public final class Catalog {
  private static final long REFRESH_MS = 60_000;
  private static final long RETRY_MS = 1_000;
  private final Calls calls;
  private Map<String, MachineType> types = Map.of();
  private long nextAt;
  private boolean asking;

  public Catalog(Calls calls) {
    this.calls = calls;
  }

  public boolean known() {
    return !types.isEmpty();
  }

  public Iterable<MachineType> all() {
    return types.values();
  }

  public MachineType get(String name) {
    return types.get(name);
  }

  /** How long the type that is up soonest takes; 0 while none is known. */
  public double quickestBootS() {
    double least = types.isEmpty() ? 0 : Double.MAX_VALUE;
    for (MachineType t : types.values()) {
      least = Math.min(least, t.bootS());
    }
    return least;
  }

  /** Whether some allowed type, offered in an allowed zone, can hold one task. */
  public boolean canHold(JobSpec s) {
    for (MachineType t : types.values()) {
      boolean type = s.types() == null || s.types().contains(t.name());
      boolean zone = s.zone() == null || t.zones().isEmpty() || t.zones().contains(s.zone());
      if (type && zone && t.fits(s)) {
        return true;
      }
    }
    return false;
  }

  public void tick() {
    if (asking || calls.now() < nextAt) {
      return;
    }
    asking = true;
    calls.call(Effect.Target.CLOUD, null, "GET", "/catalog", null, 3000, this::onReply);
  }

  private void onReply(Outcome outcome, int status, JsonNode body) {
    asking = false;
    nextAt = calls.now() + RETRY_MS;
    if (outcome != Outcome.ANSWERED || status != 200) {
      return;
    }
    try {
      List<MachineType> list = MachineType.parseCatalog(body);
      if (!list.isEmpty()) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        list.forEach(t -> next.put(t.name(), t));
        types = next;
        nextAt = calls.now() + REFRESH_MS;
      }
    } catch (MalformedException e) {
      calls.note("catalog ignored: " + e.getMessage());
    }
  }
}
