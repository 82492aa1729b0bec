package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobView;
import org.snowturn.wire.Json;
import org.snowturn.wire.Priority;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Which task may be where. The only place where tasks are bound, released and completed, so that
 * room, quota, zones and records always agree.
 */
final class Ledger {
  private final Calls calls;
  private final Settings settings;
  private final Writer writer;
  private final MachineBook machines;
  private final Quota quota;
  private final long token;
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Job> byIndex = new ArrayList<>();
  private long attempts;
  private long placements;
  private final int[] boundBy = new int[Priority.values().length];
  private boolean changed = true;

  Ledger(
      Calls calls,
      Settings settings,
      Writer writer,
      MachineBook machines,
      Quota quota,
      long token) {
    this.calls = calls;
    this.settings = settings;
    this.writer = writer;
    this.machines = machines;
    this.quota = quota;
    this.token = token;
  }

  Collection<Job> jobs() {
    return jobs.values();
  }

  Job job(String id) {
    return jobs.get(id);
  }

  Job job(long ref) {
    return byIndex.get((int) (ref >>> 32));
  }

  static int task(long ref) {
    return (int) ref;
  }

  Quota quota() {
    return quota;
  }

  /** Whether anything changed that could let a waiting task be placed; resets the mark. */
  boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  void somethingChanged() {
    changed = true;
  }

  /** Adds a job or takes over a newer version of its record. */
  Job record(String id, StoredJob stored, long stamp) {
    Job j = jobs.get(id);
    if (j == null) {
      // 80 bytes hold one placement in a chunk's record, whatever the machine's name.
      int chunk = Math.max(8, (int) (settings.stateLimits().valueKb() * 1024 / 80));
      int zones = Math.max(machines.zoneCount(), 1);
      j = new Job(byIndex.size(), stored.spec(), stored.submittedWall(), chunk, zones);
      byIndex.add(j);
      jobs.put(id, j);
      changed = true;
    }
    j.stamp = Math.max(j.stamp, stamp);
    if (stored.phase() == JobView.Phase.ABORTED && !j.cancelled) {
      cancel(j);
    }
    return j;
  }

  private void cancel(Job j) {
    j.cancelled = true;
    calls.note(j.spec.id() + " cancelled, " + j.bound + " tasks to stop");
    for (int t = 0; t < j.state.length; t++) {
      if (j.state[t] == Job.PLACING) {
        release(j, t);
      } else if (j.isBound(t)) {
        stop(j, t);
      }
    }
    changed = true;
  }

  /** The record is no longer live: nothing of the job is left to do. */
  void remove(String id) {
    Job j = jobs.remove(id);
    if (j == null) {
      return;
    }
    for (int t = 0; t < j.state.length; t++) {
      if (j.isBound(t)) {
        release(j, t);
      }
    }
    for (Writer.Slot s : j.chunks) {
      if (s != null) {
        writer.forget(s);
      }
    }
    byIndex.set(j.index, null);
    changed = true;
  }

  Writer.Slot chunk(Job j, int chunk) {
    if (j.chunks[chunk] == null) {
      j.chunks[chunk] =
          writer.slot(
              Keys.tasks(j.spec.id(), chunk),
              0,
              () -> j.chunkJson(chunk, machines),
              () -> new Condition(Keys.job(j.spec.id()), j.stamp));
    }
    return j.chunks[chunk];
  }

  /** Takes over a stored chunk: results, and tasks that an earlier leader bound. */
  void loadChunk(Job j, int chunk, JsonNode value, long stamp) {
    if (chunk < 0 || chunk >= j.chunks.length) {
      return;
    }
    chunk(j, chunk).stamp = stamp;
    BitSet finished = BitSet.valueOf(Base64.getDecoder().decode(value.path("d").asText("")));
    int from = chunk * j.chunkSize;
    finished.stream()
        .map(i -> from + i)
        .filter(t -> t < j.state.length && j.state[t] == Job.PENDING)
        .forEach(
            t -> {
              j.enter(t, Job.DONE);
              j.pending--;
              j.done++;
            });
    for (JsonNode p : value.path("p")) {
      int t = p.path(0).asInt(-1);
      if (t < 0 || t >= j.state.length || j.state[t] != Job.PENDING) {
        continue;
      }
      Machine m = machines.getOrCreate(p.path(2).asText());
      // An earlier leader may have answered it until now, whether or not it is on the roll.
      m.lastAnswerAt = Math.max(m.lastAnswerAt, calls.now());
      take(j, t, m, p.path(1).asLong(), p.path(3).asLong());
      j.enter(t, Job.STARTING);
      j.inherited.set(t);
      m.inherited++;
      m.touchImage(j.spec.image(), j.spec.imageGb());
    }
  }

  void loadRestarts(Job j, JsonNode value) {
    j.restarted.or(BitSet.valueOf(Base64.getDecoder().decode(value.path("t").asText(""))));
    j.restarts = value.path("n").asInt(0);
  }

  private void take(Job j, int t, Machine m, long attempt, long session) {
    j.machine[t] = m.index;
    j.attempt[t] = attempt;
    j.session[t] = session;
    j.since[t] = Job.UNKNOWN;
    j.pending--;
    j.bound++;
    j.boundInZone[m.zone]++;
    j.countOn(m.index, 1);
    boundBy[j.spec.priority().ordinal()]++;
    m.bound.add(Job.ref(j.index, t));
    m.use(j.spec, 1);
    quota.take(j.spec);
  }

  /** An inherited task was seen under this token, or has ended. */
  void known(Job j, int t) {
    if (j.inherited.get(t)) {
      j.inherited.clear(t);
      machines.get(j.machine[t]).inherited--;
    }
  }

  /** How many tasks that may be on machines are of lower priority than this. */
  int boundBelow(Priority p) {
    int n = 0;
    for (int i = p.ordinal() + 1; i < boundBy.length; i++) {
      n += boundBy[i];
    }
    return n;
  }

  /** How many tasks this leader has placed. */
  long placements() {
    return placements;
  }

  /** A number that no attempt under any leader has had. */
  long newAttempt() {
    return (token << 20) + ++attempts;
  }

  /** Binds a pending task; its start is sent when the placement is durable. */
  void bind(Job j, int t, Machine m, long attempt) {
    take(j, t, m, attempt, m.session);
    j.enter(t, Job.PLACING);
    j.placedWall = calls.wall();
    placements++;
    m.touchImage(j.spec.image(), j.spec.imageGb());
    writer.mark(
        chunk(j, j.chunkOf(t)), j.spec.priority().ordinal(), () -> sendStart(j, t, attempt));
  }

  private void sendStart(Job j, int t, long attempt) {
    if (j.state[t] != Job.PLACING || j.attempt[t] != attempt) {
      return;
    }
    Machine m = machines.get(j.machine[t]);
    if (j.cancelled || j.session[t] != m.session || m.gone) {
      release(j, t);
      return;
    }
    j.enter(t, Job.STARTING);
    calls.note("start " + j.spec.id() + "/" + t + " on " + m.id);
    m.outbox.add(start(j, t));
  }

  Command start(Job j, int t) {
    return new Command(Command.Op.START, j.spec.id(), t, j.attempt[t], 0);
  }

  Command stopCommand(Job j, int t) {
    boolean saves = !j.cancelled && j.spec.checkpointS() > 0 && j.spec.saveS() > 0;
    return new Command(
        Command.Op.STOP, j.spec.id(), t, j.attempt[t], saves ? j.spec.saveS() + 1 : 0);
  }

  /** Tells a bound task to stop; it stays bound until it is seen to have ended. */
  void stop(Job j, int t) {
    if (j.state[t] == Job.PLACING) {
      release(j, t);
      return;
    }
    j.stopping.set(t);
    Machine m = machines.get(j.machine[t]);
    if (m.session == j.session[t]) {
      m.outbox.add(stopCommand(j, t));
    }
  }

  /** The task has certainly ended without a result: it waits again. */
  void release(Job j, int t) {
    unbind(j, t);
    j.enter(t, Job.PENDING);
    j.pending++;
    changed = true;
    finishIfOver(j);
  }

  private void unbind(Job j, int t) {
    Machine m = machines.get(j.machine[t]);
    m.bound.remove(Job.ref(j.index, t));
    m.use(j.spec, -1);
    if (m.bound.isEmpty()) {
      m.idleSince = calls.now();
    }
    quota.give(j.spec);
    j.boundInZone[m.zone]--;
    j.bound--;
    j.countOn(m.index, -1);
    boundBy[j.spec.priority().ordinal()]--;
    j.stopping.clear(t);
    known(j, t);
    j.machine[t] = -1;
  }

  /** The task's result is kept by its machine until the record of it is durable. */
  void complete(Job j, int t) {
    if (j.state[t] == Job.DONE) {
      return;
    }
    if (j.isBound(t)) {
      unbind(j, t);
    } else {
      j.pending--;
    }
    j.enter(t, Job.DONE);
    j.done++;
    changed = true;
    if (!j.cancelled) {
      j.resultPending.set(t);
      writer.mark(chunk(j, j.chunkOf(t)), Writer.CAN_WAIT, () -> j.resultPending.clear(t));
    }
    finishIfOver(j);
  }

  /** Whether a worker may forget this ended attempt. */
  boolean forgettable(String jobId, int task, long attempt) {
    Job j = jobs.get(jobId);
    if (j == null || task >= j.state.length) {
      return true;
    }
    if (j.isBound(task)) {
      return j.attempt[task] != attempt;
    }
    return !j.resultPending.get(task);
  }

  void retryFinishing() {
    for (Job j : List.copyOf(jobs.values())) {
      finishIfOver(j);
    }
  }

  /** Moves a job that is over to its short record, in one transaction that proves every result. */
  void finishIfOver(Job j) {
    boolean done = !j.cancelled && j.done == j.state.length;
    boolean aborted = j.cancelled && j.bound == 0;
    if (j.finishing || !(done || aborted) || jobs.get(j.spec.id()) != j) {
      return;
    }
    for (Writer.Slot s : j.chunks) {
      if (s != null && s.inFlight) {
        return; // retried when that write is settled
      }
    }
    j.finishing = true;
    String id = j.spec.id();
    JobView.Phase phase = done ? JobView.Phase.DONE : JobView.Phase.ABORTED;
    List<Change> apply = new ArrayList<>();
    apply.add(Change.put(Keys.over(id), StoredJob.over(phase, j.state.length)));
    apply.add(Change.delete(Keys.job(id)));
    if (j.restarts > 0) {
      apply.add(Change.delete(Keys.restarts(id)));
    }
    List<Change> later = new ArrayList<>();
    for (Writer.Slot s : j.chunks) {
      if (s == null) {
        continue;
      }
      writer.clear(s);
      if (s.stamp != 0) {
        (apply.size() < settings.stateLimits().txnOps() ? apply : later).add(Change.delete(s.key));
      }
    }
    writer.whole(
        List.of(new Condition(Keys.job(id), j.stamp)),
        apply,
        (outcome, status, body) -> {
          j.finishing = false;
          if (outcome == Outcome.ANSWERED && status == 200) {
            calls.note(id + " " + phase.wire() + outcome(j));
            remove(id);
            dropLater(later);
          } else {
            refresh(id);
          }
        });
  }

  /** What an operator wants to know of a job that is over. */
  private String outcome(Job j) {
    double late = (calls.wall() - j.dueWall(1)) / 1000;
    String due = late < -1e9 ? "no deadline" : String.format(Locale.ROOT, "%.1f s late", late);
    return String.format(
        Locale.ROOT,
        ": %d tasks, estimate %.1f s, median %.1f s, last placed after %.1f s, done after %.1f s,"
            + " %s, %d restarts",
        j.state.length,
        j.spec.estimateS(),
        j.median(),
        Math.max(0, j.placedWall - j.submittedWall) / 1000.0,
        (calls.wall() - j.submittedWall) / 1000.0,
        due,
        j.restarts);
  }

  /** Removes records that no longer mean anything. */
  void dropLater(List<Change> drops) {
    int most = Math.max(1, settings.stateLimits().txnOps());
    for (int i = 0; i < drops.size(); i += most) {
      writer.whole(List.of(), drops.subList(i, Math.min(drops.size(), i + most)), (o, s, b) -> {});
    }
  }

  /** Reads a job's record again after a write that did not go through as expected. */
  void refresh(String id) {
    calls.state(
        "GET",
        "/kv/" + Keys.job(id),
        null,
        1500,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 404) {
            remove(id);
            return;
          }
          if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              var e = org.snowturn.wire.StateMessage.entry(body);
              record(id, StoredJob.parse(e.value()), e.stamp());
            } catch (org.snowturn.wire.MalformedException e) {
              calls.note("unusable record of " + id + ": " + e.getMessage());
            }
          }
        });
  }

  /** The content of the record that counts an array's restarts. */
  static JsonNode restartsJson(Job j) {
    return Json.object()
        .put("v", Keys.VERSION)
        .put("n", j.restarts)
        .put("t", Base64.getEncoder().encodeToString(j.restarted.toByteArray()));
  }
}
