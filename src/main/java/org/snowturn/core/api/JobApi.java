package org.snowturn.core.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.AdmissionController;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.connectivity.StateRequestRelay;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.LiveJobs;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.model.Quota;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobLookup;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.LruMap;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Serves users on every node, from the state service alone: a submission or cancellation is one
 * conditional transaction, a poll reads. What a user has been told is therefore durable, and no
 * node can know less. Only the counts, which are for display, come from the leader.
 */
public final class JobApi {
  /** What this node knows of cancellations. */
  public interface CancelledJobs {
    /** A user is about to be told. */
    void tell(String job);

    /** Whether the job is known to be cancelled; that it is not known proves nothing. */
    boolean known(String job);

    /** Whether what is not known would not be due yet. */
    boolean current();
  }

  private static final int TIMEOUT_MS = 1800;

  /** Users wait five seconds; what was found is remembered for their next try. */
  private static final long FIND_WITHIN_MS = 3_500;

  private static final int REMEMBERED = 20_000;
  private final Settings settings;
  private final CoreRuntime runtime;
  private final MachineTypes machineTypes;
  private final BooleanSupplier stateHealthy;
  private final CancelledJobs cancelled;
  private final FormatGate format;
  private final StateRequestRelay relays;
  private final AdmissionController admissionController;
  private final LiveJobCache liveJobs;
  private final Map<String, JobStatus> over = new LruMap<>(REMEMBERED);

  /** Jobs known to have been accepted, and whether they are services: neither ever changes. */
  private final Map<String, Boolean> accepted = new LruMap<>(5_000);

  private final Map<String, PeerMessage.JobProgress> progress = new LruMap<>(5_000);

  public JobApi(
      Settings settings,
      CoreRuntime runtime,
      MachineTypes machineTypes,
      FormatGate format,
      StateRequestRelay relays,
      AdmissionController admissionController,
      LiveJobCache liveJobs,
      BooleanSupplier stateHealthy,
      CancelledJobs cancelled) {
    this.cancelled = cancelled;
    this.relays = relays;
    this.admissionController = admissionController;
    this.liveJobs = liveJobs;
    this.format = format;
    this.stateHealthy = stateHealthy;
    this.settings = settings;
    this.runtime = runtime;
    this.machineTypes = machineTypes;
  }

  public void onProgress(PeerMessage.JobProgress p) {
    progress.put(p.job(), p);
  }

  /** What cannot be taken is answered at once: the state service has not answered for a while. */
  private boolean refusedForNow(long exchange) {
    if (stateHealthy.getAsBoolean() || relays.possible()) {
      return false;
    }
    refuse(exchange);
    return true;
  }

  /** The state service takes no more changes for now. */
  private void heed(int status) {
    if (status == 429) {
      admissionController.refusedThere(runtime.now());
    }
  }

  /**
   * Tells a user a job's state. Whoever hears of a cancellation may rely on it from then on, so it
   * is listed for the leader first.
   */
  private void answer(long exchange, JobStatus view, JsonNode body) {
    if (view.phase() == JobStatus.Phase.ABORTED) {
      cancelled.tell(view.id());
    }
    if (runtime.events().debug()) {
      runtime
          .events()
          .debug(LogEvent.USER_ANSWER)
          .with(LogField.JOB, view.id())
          .with(LogField.PHASE, view.phase().wire())
          .write();
    }
    runtime.answer(exchange, 200, body);
  }

  /** Not now: with a time to come back that grows with the pressure. */
  private void refuse(long exchange) {
    runtime.answerUnavailable(exchange, 503, admissionController.retryAfterS(runtime.now()));
  }

  public void submit(long exchange, JobSpec spec) {
    if (refusedForNow(exchange)) {
      return;
    }
    String never = machineTypes.known() ? whyNever(spec) : null;
    if (!machineTypes.known() || never != null) {
      unlessKnown(exchange, spec, never);
    } else if (spec.awaits().isEmpty()) {
      write(exchange, spec);
    } else if (!format.open()) {
      // A node of the version before would take the job for one that need not wait.
      unlessKnown(exchange, spec, null);
    } else {
      checkAwaited(exchange, spec);
    }
  }

  /** The job may be known already: a repeat must get 200 whatever is found about it today. */
  private void unlessKnown(long exchange, JobSpec spec, String never) {
    lookUp(
        exchange,
        spec.id(),
        view -> {
          if (view != null) {
            answer(exchange, view, view.brief());
          } else if (never != null) {
            runtime.answer(exchange, 422, Json.object().put("error", never));
          } else {
            refuse(exchange);
          }
        });
  }

  /** Every job that is awaited must have been accepted, by whichever node and version. */
  private void checkAwaited(long exchange, JobSpec spec) {
    Map<String, Boolean> services = new HashMap<>();
    List<String> unknown = new ArrayList<>();
    for (String id : spec.awaits()) {
      Boolean service = accepted.get(id);
      if (service == null) {
        unknown.add(id);
      } else {
        services.put(id, service);
      }
    }
    JobLookup.find(
        runtime,
        RequestClass.USERS,
        JobLookup.LIVE_FIRST,
        unknown,
        FIND_WITHIN_MS,
        (found, complete) -> {
          found.forEach((id, fact) -> services.put(id, fact.service()));
          accepted.putAll(services); // the next try need not ask again
          if (!complete) {
            refuse(exchange);
            return;
          }
          String never = whyNever(spec.awaits(), services);
          if (never == null) {
            write(exchange, spec);
          } else {
            unlessKnown(exchange, spec, never);
          }
        });
  }

  private static String whyNever(List<String> awaits, Map<String, Boolean> services) {
    for (String id : awaits) {
      if (!services.containsKey(id)) {
        return "awaits: " + id + " was never accepted";
      }
      if (services.get(id)) {
        return "awaits: " + id + " is a service";
      }
    }
    return null;
  }

  private void write(long exchange, JobSpec spec) {
    if (!admissionController.admits(spec.jobClass() + "/" + spec.team(), 1, runtime.now())) {
      // A known job's repeat is answered whatever the pressure, from what is at hand.
      if (accepted.containsKey(spec.id())
          || (liveJobs.known() && liveJobs.get(spec.id()) != null)) {
        unlessKnown(exchange, spec, null);
      } else {
        refuse(exchange);
      }
      return;
    }
    JobRecord job = new JobRecord(JobStatus.Phase.QUEUED, runtime.wallMs(), spec);
    int room = format.limits().valueBytes();
    ObjectNode record = job.live();
    if (!format.open() || Json.bytes(record).length <= room) {
      commit(exchange, spec, record, List.of());
      return;
    }
    String text = Json.text(spec.toJson());
    List<ObjectNode> parts = JobRecord.cut(text, room);
    new PartsWriter(exchange, spec, job.inParts(JobRecord.nameOf(text, room), parts.size()), parts)
        .look();
  }

  /**
   * Writes the parts of a long submission, the first one first. All else names its version, so that
   * whoever removes it makes sure that the rest never counts. The parts are named by what they say:
   * where the state service takes only some of them at a time, the user's next try goes on from
   * there, on whichever node.
   */
  private final class PartsWriter {
    private final long exchange;
    private final JobSpec spec;
    private final JobRecord job;
    private final List<ObjectNode> parts;
    private final String prefix;
    private final BitSet stored = new BitSet();
    private long first;

    PartsWriter(long exchange, JobSpec spec, JobRecord job, List<ObjectNode> parts) {
      this.exchange = exchange;
      this.spec = spec;
      this.job = job;
      this.parts = parts;
      this.prefix = StorageKeys.parts(spec.id(), job.submission());
    }

    /** Learns what an earlier try has stored already. */
    void look() {
      relays.callState(
          RequestClass.USERS,
          "GET",
          "/kv?prefix=" + prefix + "&most=1000",
          null,
          TIMEOUT_MS,
          (outcome, status, body) -> {
            try {
              if (outcome == Outcome.ANSWERED && status == 200) {
                StateMessage.entries(body).forEach(this::found);
                if (!stored.get(0)) {
                  stored.clear(); // without the first the others may be about to be removed
                }
                next();
                return;
              }
            } catch (MalformedException e) {
              runtime.note("unusable parts of " + spec.id() + ": " + e.getMessage());
            }
            refuse(exchange);
          });
    }

    private void found(StateMessage.Entry entry) {
      int index = Integer.parseInt(entry.key().substring(prefix.length()));
      stored.set(index);
      if (index == 0) {
        first = entry.stamp();
      }
    }

    private void next() {
      List<Condition> when = new ArrayList<>(isNew(spec.id()));
      List<Change> apply = new ArrayList<>();
      int most = stored.get(0) ? format.limits().txnOps() : 1;
      when.add(new Condition(prefix + 0, first));
      BitSet written = new BitSet();
      for (int i = stored.nextClearBit(0); i < parts.size() && apply.size() < most; ) {
        apply.add(Change.put(prefix + i, parts.get(i)));
        written.set(i);
        i = stored.nextClearBit(i + 1);
      }
      admissionController.spend(apply.size(), runtime.now());
      if (apply.isEmpty()) {
        commit(exchange, spec, job.live(), List.of(new Condition(prefix + 0, first)));
        return;
      }
      relays.callState(
          RequestClass.USERS,
          "POST",
          "/txn",
          StateMessage.txn(when, apply),
          TIMEOUT_MS,
          (outcome, status, reply) -> {
            try {
              if (outcome == Outcome.ANSWERED && status == 200) {
                first = written.get(0) ? StateMessage.epoch(reply) : first;
                stored.or(written);
                next();
                return;
              }
            } catch (MalformedException e) {
              runtime.note("unusable reply to a part of " + spec.id() + ": " + e.getMessage());
            }
            unlessKnown(exchange, spec, null);
          });
    }
  }

  private static List<Condition> isNew(String id) {
    return List.of(new Condition(StorageKeys.job(id), 0), new Condition(StorageKeys.over(id), 0));
  }

  private void commit(long exchange, JobSpec spec, ObjectNode record, List<Condition> parts) {
    List<Condition> when = new ArrayList<>(isNew(spec.id()));
    when.addAll(parts);
    relays.callState(
        RequestClass.USERS,
        "POST",
        "/txn",
        StateMessage.txn(when, List.of(Change.put(StorageKeys.job(spec.id()), record))),
        TIMEOUT_MS,
        (outcome, status, reply) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            accepted.put(spec.id(), spec.service());
            runtime.answer(
                exchange, 201, new JobStatus(spec.id(), JobStatus.Phase.QUEUED, 0, 0).brief());
          } else if (outcome == Outcome.ANSWERED && status == 409) {
            unlessKnown(exchange, spec, null);
          } else {
            heed(status);
            refuse(exchange);
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
    if (!machineTypes.canHold(spec)) {
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

  public void poll(long exchange, String id) {
    if (!over.containsKey(id) && refusedForNow(exchange)) {
      return;
    }
    lookUp(
        exchange,
        id,
        view -> {
          if (view == null) {
            runtime.answer(exchange, 404, null);
          } else {
            answer(exchange, view, view.full());
          }
        });
  }

  private interface Found {
    /** The job's state, or null if nobody submitted it. */
    void on(JobStatus view);
  }

  /**
   * What is known of a job: at once if it is over, from the cache of the live ones once that is
   * proven fresh, and else from the records themselves.
   */
  private void lookUp(long exchange, String id, Found then) {
    JobStatus known = over.get(id);
    if (known != null) {
      then.on(known);
    } else if (liveJobs.known() && relays.direct()) {
      liveJobs.whenFresh(
          () -> {
            LiveJobs.Seen live = liveJobs.get(id);
            if (live != null && !live.cancelled() && mayNeedCancelled(live.awaits())) {
              refuse(exchange);
            } else if (live != null) {
              then.on(
                  liveView(
                      id, live.cancelled() ? JobStatus.Phase.ABORTED : JobStatus.Phase.QUEUED));
            } else {
              readOver(exchange, id, () -> readBoth(exchange, id, then), then);
            }
          },
          () -> refuse(exchange));
    } else {
      readBoth(exchange, id, then);
    }
  }

  /**
   * Whether one of these, or of those that they need, is or may be cancelled: then so is the job,
   * but its record does not say so yet, after an outage perhaps longer than it may be called queued
   * (orphaned). It is not called anything until it does, nor while this node may not have heard.
   */
  private boolean mayNeedCancelled(List<String> awaits) {
    if (!awaits.isEmpty() && !cancelled.current()) {
      return true;
    }
    Set<String> seen = new HashSet<>(awaits);
    ArrayDeque<String> next = new ArrayDeque<>(awaits);
    while (!next.isEmpty()) {
      String id = next.poll();
      if (cancelled.known(id)) {
        return true;
      }
      LiveJobs.Seen live = liveJobs.get(id);
      for (String needed : live == null ? List.<String>of() : live.awaits()) {
        if (seen.add(needed)) {
          next.add(needed);
        }
      }
    }
    return false;
  }

  private void readOver(long exchange, String id, Runnable absent, Found then) {
    readOne(
        RequestClass.USERS,
        exchange,
        StorageKeys.over(id),
        done -> {
          if (done == null) {
            absent.run();
          } else {
            then.on(view(id, done.value()));
          }
        });
  }

  /** Reads a live record, then what remains of a job that is over: records only move that way. */
  private void readBoth(long exchange, String id, Found then) {
    readOne(
        RequestClass.READS,
        exchange,
        StorageKeys.job(id),
        live -> {
          if (live != null
              && !JobRecord.phaseOf(live.value()).terminal()
              && mayNeedCancelled(JobRecord.awaits(live.value()))) {
            refuse(exchange);
          } else if (live != null) {
            then.on(view(id, live.value()));
          } else {
            readOver(exchange, id, () -> then.on(null), then);
          }
        });
  }

  private JobStatus view(String id, JsonNode value) {
    JobStatus.Phase phase = JobRecord.phaseOf(value);
    if (phase.terminal()) {
      PeerMessage.JobProgress p = progress.get(id);
      int tasks = value.has("n") ? value.path("n").asInt() : value.path("s").path("flakes").asInt();
      int done = phase == JobStatus.Phase.DONE ? tasks : p == null ? 0 : p.done();
      JobStatus v = new JobStatus(id, phase, done, 0);
      over.put(id, v);
      progress.remove(id);
      return v;
    }
    return liveView(id, phase);
  }

  /** A job with a live record, which may be cancelled. */
  private JobStatus liveView(String id, JobStatus.Phase phase) {
    PeerMessage.JobProgress p = progress.get(id);
    if (phase.terminal()) {
      JobStatus v = new JobStatus(id, phase, p == null ? 0 : p.done(), 0);
      over.put(id, v);
      progress.remove(id);
      return v;
    }
    if (p == null) {
      return new JobStatus(id, phase, 0, 0);
    }
    JobStatus.Phase shown = p.running() > 0 ? JobStatus.Phase.RUNNING : phase;
    return new JobStatus(id, shown, p.done(), p.running());
  }

  private interface Read {
    void on(StateMessage.Entry entry);
  }

  private void readOne(RequestClass purpose, long exchange, String key, Read then) {
    relays.callState(
        purpose,
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
              runtime.note("unusable record " + key + ": " + e.getMessage());
            }
          }
          refuse(exchange);
        });
  }

  public void cancel(long exchange, String id) {
    JobStatus known = over.get(id);
    if (known != null) {
      answer(exchange, known, known.brief());
    } else if (!refusedForNow(exchange)) {
      cancel(exchange, id, 3);
    }
  }

  private void cancel(long exchange, String id, int tries) {
    readOne(
        RequestClass.USERS,
        exchange,
        StorageKeys.job(id),
        live -> {
          if (live == null || JobRecord.phaseOf(live.value()).terminal()) {
            lookUp(
                exchange,
                id,
                view -> {
                  if (view == null) {
                    runtime.answer(exchange, 404, null);
                  } else if (view.phase().terminal()) {
                    answer(exchange, view, view.brief());
                  } else {
                    refuse(exchange);
                  }
                });
            return;
          }
          writeCancel(exchange, id, live, tries);
        });
  }

  private void writeCancel(long exchange, String id, StateMessage.Entry live, int tries) {
    admissionController.spend(1, runtime.now());
    JsonNode value = JobRecord.cancelled(live.value(), format.limits().valueBytes());
    JsonNode body =
        StateMessage.txn(
            List.of(new Condition(StorageKeys.job(id), live.stamp())),
            List.of(Change.put(StorageKeys.job(id), value)));
    relays.callState(
        RequestClass.USERS,
        "POST",
        "/txn",
        body,
        TIMEOUT_MS,
        (outcome, status, reply) -> {
          if (outcome == Outcome.ANSWERED && status == 200) {
            JobStatus aborted = new JobStatus(id, JobStatus.Phase.ABORTED, 0, 0);
            over.put(id, aborted);
            answer(exchange, aborted, aborted.brief());
          } else if (outcome == Outcome.ANSWERED && status == 409 && tries > 1) {
            cancel(exchange, id, tries - 1);
          } else {
            refuse(exchange);
          }
        });
  }
}
