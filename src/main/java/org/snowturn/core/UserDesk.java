package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobView;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Serves users on every node, from the state service alone: a submission or cancellation is one
 * conditional transaction, a poll reads. What a user has been told is therefore durable, and no
 * node can know less. Only the counts, which are for display, come from the leader.
 */
final class UserDesk {
  private static final int TIMEOUT_MS = 1800;
  private static final int REMEMBERED = 20_000;
  private static final int AGAIN_S = 1;
  private final Settings settings;
  private final Calls calls;
  private final Catalog catalog;
  private final BooleanSupplier stateHealthy;
  private final Map<String, JobView> over = bounded(REMEMBERED);
  private final Map<String, PeerRecord.Progress> progress = bounded(5_000);

  UserDesk(Settings settings, Calls calls, Catalog catalog, BooleanSupplier stateHealthy) {
    this.stateHealthy = stateHealthy;
    this.settings = settings;
    this.calls = calls;
    this.catalog = catalog;
  }

  private static <V> Map<String, V> bounded(int most) {
    return new LinkedHashMap<>(64, 0.75f, true) {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > most;
      }
    };
  }

  void progress(PeerRecord.Progress p) {
    progress.put(p.job(), p);
  }

  /** What cannot be taken is answered at once: the state service has not answered for a while. */
  private boolean refusedForNow(long exchange) {
    if (stateHealthy.getAsBoolean()) {
      return false;
    }
    calls.refuse(exchange, 503, AGAIN_S);
    return true;
  }

  void submit(long exchange, JobSpec spec) {
    if (refusedForNow(exchange)) {
      return;
    }
    // The job may be known already: a repeat must get 200 whatever the checks below say today.
    String never = catalog.known() ? whyNever(spec) : null;
    if (!catalog.known() || never != null) {
      lookUp(
          exchange,
          spec.id(),
          view -> {
            if (view != null) {
              calls.answer(exchange, 200, view.brief());
            } else if (never != null) {
              calls.answer(exchange, 422, org.snowturn.wire.Json.object().put("error", never));
            } else {
              calls.refuse(exchange, 503, AGAIN_S);
            }
          });
      return;
    }
    StoredJob job = new StoredJob(JobView.Phase.QUEUED, calls.wall(), spec, spec.tasks());
    JsonNode body =
        StateMessage.txn(
            List.of(new Condition(Keys.job(spec.id()), 0), new Condition(Keys.over(spec.id()), 0)),
            List.of(Change.put(Keys.job(spec.id()), job.live())));
    calls.state(
        "POST",
        "/txn",
        body,
        TIMEOUT_MS,
        (outcome, status, reply) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            calls.answer(exchange, 201, new JobView(spec.id(), JobView.Phase.QUEUED, 0, 0).brief());
          } else if (outcome == Outcome.ANSWERED && status == 409) {
            lookUp(
                exchange,
                spec.id(),
                view -> {
                  if (view == null) {
                    calls.refuse(exchange, 503, AGAIN_S);
                  } else {
                    calls.answer(exchange, 200, view.brief());
                  }
                });
          } else {
            calls.refuse(exchange, 503, AGAIN_S);
          }
        });
  }

  private String whyNever(JobSpec spec) {
    Settings.Team team = null;
    for (Settings.Team t : settings.teams()) {
      if (t.name().equals(spec.team())) {
        team = t;
      }
    }
    if (team == null) {
      return "unknown team";
    }
    if (!catalog.canHold(spec)) {
      return "a task fits no allowed machine type";
    }
    if (spec.zone() != null && !settings.zones().contains(spec.zone())) {
      return "unknown zone";
    }
    int together = spec.together();
    if (Quota.exceeds(spec.cpus() * together, team.cpusMax())
        || Quota.exceeds(spec.gpus() * together, team.gpusMax())) {
      return "more than the team's limit";
    }
    return null;
  }

  void poll(long exchange, String id) {
    if (!over.containsKey(id) && refusedForNow(exchange)) {
      return;
    }
    lookUp(
        exchange,
        id,
        view -> {
          if (view == null) {
            calls.answer(exchange, 404, null);
          } else {
            calls.answer(exchange, 200, view.full());
          }
        });
  }

  private interface Found {
    /** The job's state, or null if nobody submitted it. */
    void on(JobView view);
  }

  /** Reads a live record, then what remains of a job that is over: records only move that way. */
  private void lookUp(long exchange, String id, Found then) {
    JobView known = over.get(id);
    if (known != null) {
      then.on(known);
      return;
    }
    readOne(
        exchange,
        Keys.job(id),
        live -> {
          if (live != null) {
            then.on(view(id, live.value()));
          } else {
            readOne(
                exchange,
                Keys.over(id),
                done -> then.on(done == null ? null : view(id, done.value())));
          }
        });
  }

  private JobView view(String id, JsonNode value) {
    JobView.Phase phase = StoredJob.phaseOf(value);
    PeerRecord.Progress p = progress.get(id);
    if (phase.terminal()) {
      int tasks = value.has("n") ? value.path("n").asInt() : value.path("s").path("flakes").asInt();
      int done = phase == JobView.Phase.DONE ? tasks : p == null ? 0 : p.done();
      JobView v = new JobView(id, phase, done, 0);
      over.put(id, v);
      progress.remove(id);
      return v;
    }
    if (p == null) {
      return new JobView(id, phase, 0, 0);
    }
    JobView.Phase shown = p.running() > 0 ? JobView.Phase.RUNNING : phase;
    return new JobView(id, shown, p.done(), p.running());
  }

  private interface Read {
    void on(StateMessage.Entry entry);
  }

  private void readOne(long exchange, String key, Read then) {
    calls.state(
        "GET",
        "/kv/" + key,
        null,
        TIMEOUT_MS,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 404) {
            then.on(null);
            return;
          }
          if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              then.on(StateMessage.entry(body));
              return;
            } catch (MalformedException e) {
              calls.note("unusable record " + key + ": " + e.getMessage());
            }
          }
          calls.refuse(exchange, 503, AGAIN_S);
        });
  }

  void cancel(long exchange, String id) {
    JobView known = over.get(id);
    if (known != null) {
      calls.answer(exchange, 200, known.brief());
    } else if (!refusedForNow(exchange)) {
      cancel(exchange, id, 3);
    }
  }

  private void cancel(long exchange, String id, int tries) {
    readOne(
        exchange,
        Keys.job(id),
        live -> {
          if (live == null || StoredJob.phaseOf(live.value()).terminal()) {
            lookUp(
                exchange,
                id,
                view -> {
                  if (view == null) {
                    calls.answer(exchange, 404, null);
                  } else if (view.phase().terminal()) {
                    calls.answer(exchange, 200, view.brief());
                  } else {
                    calls.refuse(exchange, 503, AGAIN_S);
                  }
                });
            return;
          }
          writeCancel(exchange, id, live, tries);
        });
  }

  private void writeCancel(long exchange, String id, StateMessage.Entry live, int tries) {
    JsonNode value = live.value().deepCopy();
    ((com.fasterxml.jackson.databind.node.ObjectNode) value).put("p", JobView.Phase.ABORTED.wire());
    JsonNode body =
        StateMessage.txn(
            List.of(new Condition(Keys.job(id), live.stamp())),
            List.of(Change.put(Keys.job(id), value)));
    calls.state(
        "POST",
        "/txn",
        body,
        TIMEOUT_MS,
        (outcome, status, reply) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            over.put(id, new JobView(id, JobView.Phase.ABORTED, 0, 0));
            calls.answer(exchange, 200, new JobView(id, JobView.Phase.ABORTED, 0, 0).brief());
          } else if (outcome == Outcome.ANSWERED && status == 409 && tries > 1) {
            cancel(exchange, id, tries - 1);
          } else {
            calls.refuse(exchange, 503, AGAIN_S);
          }
        });
  }
}
