package org.snowturn.core.act;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snowturn.core.Outcome;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.evidence.EndEvidence;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.Quota;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.LruMap;
import org.snowturn.core.records.Slot;
import org.snowturn.core.records.StoredJob;
import org.snowturn.core.records.TaskLayout;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobView;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Priority;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Which task may be where. The only place where tasks are bound, released and completed, so that
 * room, quota, zones and records always agree.
 */
public final class Ledger {
  private static final long NOT_RECORDED_MS = 20_000;
  private static final int REMEMBERED = 5_000;

  /** Who wants to know how jobs come and go. */
  public interface Listener {
    default void joined(Job j) {}

    default void cancelled(Job j) {}

    /**
     * The job's record is no longer live; {@code phase} is null where that is all that is known.
     */
    default void over(Job j, JobView.Phase phase) {}
  }

  private final Calls calls;
  private final FormatGate gate;
  private final Writer writer;
  private final MachineBook machines;
  private final Quota quota;
  private final Cancellations cancellations;
  private final AttemptGuard guard;
  private final SubmissionParts parts;
  private final JobFinisher finisher;
  private final TaskRecordLoader loader;
  private final long token;
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Job> byIndex = new ArrayList<>();

  /** Jobs that were over lately: what a watch still tells of their records is old. */
  private final Map<String, Boolean> ended = new LruMap<>(REMEMBERED);

  /** Jobs of which a record cannot be read: they are left as they are. */
  private final Set<String> quarantined = new HashSet<>();

  private long attempts;
  private long placements;
  private int inherited;
  private final int[] boundBy = new int[Priority.values().length];
  private boolean changed = true;
  private final List<Listener> listeners = new ArrayList<>();

  public Ledger(
      Calls calls,
      FormatGate gate,
      Writer writer,
      MachineBook machines,
      Quota quota,
      Cancellations cancellations,
      AttemptGuard guard,
      long token) {
    this.guard = guard;
    this.cancellations = cancellations;
    this.calls = calls;
    this.gate = gate;
    this.writer = writer;
    this.machines = machines;
    this.quota = quota;
    this.token = token;
    this.parts = new SubmissionParts(calls, writer);
    this.finisher = new JobFinisher(calls, gate, writer, this);
    this.loader = new TaskRecordLoader(calls, gate, writer, machines, this);
  }

  public void listen(Listener l) {
    listeners.add(l);
  }

  public Collection<Job> jobs() {
    return jobs.values();
  }

  public Job job(String id) {
    return jobs.get(id);
  }

  public Job job(long ref) {
    return byIndex.get((int) (ref >>> 32));
  }

  public static int task(long ref) {
    return (int) ref;
  }

  public Quota quota() {
    return quota;
  }

  /** Whether anything changed that could let a waiting task be placed; resets the mark. */
  public boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  public void somethingChanged() {
    changed = true;
  }

  /** Adds a job or takes over a newer version of its record. */
  public void record(String id, StoredJob stored, long stamp) {
    if (ended.containsKey(id)) {
      return; // else it would be ended once more, at the cost of changes that fail
    }
    if (quarantined.contains(id)) {
      if (stored.phase() != JobView.Phase.ABORTED) {
        return;
      }
      quarantined.remove(id); // cancelled: whatever runs of it may be stopped
    }
    Job j = jobs.get(id);
    if (j == null && stored.incomplete()) {
      parts.read(id, stored, stamp, texts -> recordWith(id, stored, stamp, texts));
      return;
    }
    if (j == null) {
      parts.forget(id);
      int zones = Math.max(machines.zoneCount(), 1);
      j = new Job(byIndex.size(), stored.spec(), stored.submittedWall(), zones);
      j.submission = stored.submission();
      j.parts = stored.parts();
      if (gate.open()) {
        j.useSecondFormat(gate.spans(), gate.limits().valueBytes(), machines);
      } else {
        j.useFirstFormat(gate.spans().first());
      }
      byIndex.add(j);
      jobs.put(id, j);
      changed = true;
      Job added = j;
      listeners.forEach(l -> l.joined(added));
    }
    j.stamp = Math.max(j.stamp, stamp);
    if (stored.phase() == JobView.Phase.ABORTED && !j.cancelled) {
      cancel(j);
    }
  }

  /** Takes in a record whose parts have been read. */
  public void recordWith(String id, StoredJob stored, long stamp, Map<String, String> parts) {
    try {
      record(id, stored.withParts(id, parts), stamp);
    } catch (MalformedException e) {
      calls.note("unusable parts of " + id + ": " + e.getMessage());
    }
  }

  private void cancel(Job j) {
    j.cancelled = true;
    calls.note(j.spec.id() + " cancelled, " + j.bound + " tasks to stop");
    if (!j.cancelConfirmed) {
      j.cancelledAfter = cancellations.knownUntil();
      stopAll(j);
    }
    listeners.forEach(l -> l.cancelled(j));
  }

  /**
   * A user was told that the job is cancelled; that is durable, but may not have been read here
   * yet. What runs of it is stopped at once; all else waits for the record.
   */
  public void cancelConfirmed(String id) {
    Job j = jobs.get(id);
    if (j != null && !j.unwanted()) {
      j.cancelConfirmed = true;
      j.cancelledAfter = cancellations.knownUntil();
      calls.note(id + " cancelled by what users were told, " + j.bound + " tasks to stop");
      stopAll(j);
    }
  }

  private void stopAll(Job j) {
    for (int t = 0; t < j.state.length; t++) {
      if (j.isBound(t)) {
        stop(j, t);
      }
    }
    changed = true;
  }

  /** The record is no longer live: nothing of the job is left to do. */
  public void remove(String id) {
    parts.forget(id);
    Job j = jobs.remove(id);
    if (j == null) {
      return;
    }
    ended.put(id, true);
    // Only a leader moves a record, under its version as we last read it: what we were about to
    // write is what it became.
    JobView.Phase phase =
        !j.finishing ? null : j.cancelled ? JobView.Phase.ABORTED : JobView.Phase.DONE;
    listeners.forEach(l -> l.over(j, phase));
    for (int t = 0; t < j.state.length; t++) {
      if (j.isBound(t)) {
        detach(j, t); // not to wait again: nothing of the job is ever started any more
      }
    }
    for (Slot s : j.chunks) {
      if (s != null) {
        writer.forget(s);
      }
    }
    j.olderChunks.forEach(writer::forget);
    byIndex.set(j.index, null);
    changed = true;
  }

  public Slot chunk(Job j, int chunk) {
    if (j.chunks[chunk] == null) {
      String id = j.spec.id();
      j.chunks[chunk] =
          writer.slot(
              j.secondFormat ? Keys.tasks2(id, chunk) : Keys.tasks(id, chunk),
              0,
              () -> j.chunkJson(chunk, machines),
              () -> new Condition(Keys.job(id), j.stamp));
    }
    return j.chunks[chunk];
  }

  /** Takes over a stored record of tasks: results, and tasks that an earlier leader bound. */
  public void loadChunk(Job j, int chunk, JsonNode value, long stamp) {
    loader.loadChunk(j, chunk, value, stamp);
  }

  /** The same of the first format, after the gate has opened. */
  public void loadOlderChunk(Job j, int chunk, JsonNode value, long stamp) {
    loader.loadOlderChunk(j, chunk, value, stamp);
  }

  /** Goes on in the second format with the jobs that can; tells whether some are left. */
  public boolean useSecondFormat() {
    return loader.useSecondFormat();
  }

  /** Some page of the registry could not be read: which machines are on none is not known. */
  public void registryIncomplete() {
    loader.registryIncomplete();
  }

  /** Binds a task that an earlier leader placed. */
  void inherit(Job j, int t, Machine m, long attempt, long session) {
    take(j, t, m, attempt, session);
    j.enter(t, Job.STARTING);
    j.inherited.set(t);
    m.inherited++;
    inherited++;
    m.touchImage(j.spec.image(), j.spec.imageGb());
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
    boundBy[j.priority.ordinal()]++;
    j.countInRecord(t, m, 1);
    m.bound.add(Job.ref(j.index, t));
    m.count(j.priority, 1);
    m.use(j.spec, 1);
    quota.take(j.spec);
  }

  /** An inherited task was seen under this token, or has ended. */
  public void known(Job j, int t) {
    if (j.inherited.get(t)) {
      j.inherited.clear(t);
      machines.get(j.machine[t]).inherited--;
      inherited--;
    }
  }

  /** How many tasks that an earlier leader placed are neither seen under this token nor ended. */
  public int inherited() {
    return inherited;
  }

  /**
   * Leaves a job alone of which a record cannot be read. What has been taken in of it is let go: no
   * room is counted for it, and its machines get nothing new while they list its tasks.
   */
  public void quarantine(String id) {
    quarantined.add(id);
    Job j = jobs.remove(id);
    if (j == null) {
      return;
    }
    listeners.forEach(l -> l.over(j, null));
    for (int t = 0; t < j.state.length; t++) {
      if (j.isBound(t)) {
        unbind(j, t);
      }
    }
    byIndex.set(j.index, null);
    changed = true;
  }

  public boolean isQuarantined(String id) {
    return quarantined.contains(id);
  }

  /** A job has the priority of the most urgent one that needs it. */
  public void reprioritize(Job j, Priority p) {
    if (p != j.priority) {
      boundBy[j.priority.ordinal()] -= j.bound;
      boundBy[p.ordinal()] += j.bound;
      for (int t = 0; j.bound > 0 && t < j.state.length; t++) {
        if (j.isBound(t)) {
          machines.get(j.machine[t]).count(j.priority, -1);
          machines.get(j.machine[t]).count(p, 1);
        }
      }
      j.priority = p;
      changed = true;
    }
  }

  /** How many tasks that may be on machines are of lower priority than this. */
  public int boundBelow(Priority p) {
    int n = 0;
    for (int i = p.ordinal() + 1; i < boundBy.length; i++) {
      n += boundBy[i];
    }
    return n;
  }

  /** How many tasks this leader has placed. */
  public long placements() {
    return placements;
  }

  /**
   * The zone of a machine has become known. What is bound there moves with it: counted in the old
   * zone and released in the new one, a job's tasks would be too few there for ever, and one more
   * than its spread allows would start (wrong_place).
   */
  public void locate(Machine m, int zone) {
    if (zone != m.zone) {
      for (long ref : Reports.copy(m.bound)) {
        Job j = job(ref);
        j.boundInZone[m.zone]--;
        j.boundInZone[zone]++;
      }
      m.zone = zone;
    }
  }

  /** A number that no attempt under any leader has had. */
  public long newAttempt() {
    return (token << TaskLayout.ATTEMPT_BITS) + ++attempts;
  }

  /** Binds a pending task; its start is sent when the placement is durable. */
  public void bind(Job j, int t, Machine m, long attempt) {
    take(j, t, m, attempt, m.session);
    j.enter(t, Job.PLACING);
    j.placedWall = calls.wall();
    placements++;
    m.touchImage(j.spec.image(), j.spec.imageGb());
    writer.mark(
        chunk(j, j.layout.recordOf(t)), j.priority.ordinal(), () -> sendStart(j, t, attempt));
  }

  private void sendStart(Job j, int t, long attempt) {
    if (j.state[t] != Job.PLACING || j.attempt[t] != attempt) {
      return;
    }
    Machine m = machines.get(j.machine[t]);
    if (j.unwanted() || j.session[t] != m.session || m.gone) {
      release(j, t, new EndEvidence.NeverSent());
      return;
    }
    j.enter(t, Job.STARTING);
    calls.note("start " + j.spec.id() + "/" + t + " on " + m.id);
    m.outbox.add(start(j, t));
  }

  /** Whether a start that was decided earlier may leave for this machine now. */
  public boolean mayStart(Machine m, Command start) {
    return guard.mayStart(m, jobs.get(start.job()), start);
  }

  public Command start(Job j, int t) {
    return new Command(Command.Op.START, j.spec.id(), t, j.attempt[t], 0);
  }

  public Command stopCommand(Job j, int t) {
    boolean saves = !j.unwanted() && j.spec.checkpointS() > 0 && j.spec.saveS() > 0;
    return new Command(
        Command.Op.STOP, j.spec.id(), t, j.attempt[t], saves ? j.spec.saveS() + 1 : 0);
  }

  /** Tells a bound task to stop; it stays bound until it is seen to have ended. */
  public void stop(Job j, int t) {
    if (j.state[t] == Job.PLACING) {
      release(j, t, new EndEvidence.NeverSent());
      return;
    }
    j.stopping.set(t);
    Machine m = machines.get(j.machine[t]);
    m.outbox.withdraw(start(j, t)); // what has not left must not start: users may have been told
    if (m.session == j.session[t]) {
      m.outbox.add(stopCommand(j, t));
    }
  }

  /**
   * The state service will not have a record of tasks: the placements in it never happened, and the
   * job is left alone for a while.
   */
  public void notRecorded(String key) {
    for (Job j : jobs.values()) {
      for (int c = 0; c < j.chunks.length; c++) {
        if (j.chunks[c] == null || !j.chunks[c].key.equals(key)) {
          continue;
        }
        j.backOffUntil = calls.now() + NOT_RECORDED_MS;
        for (int t = j.layout.from(c); t < j.layout.to(c); t++) {
          if (j.state[t] == Job.PLACING) {
            release(j, t, new EndEvidence.NeverSent());
          }
        }
        return;
      }
    }
  }

  /** The task waits again if the evidence proves that its attempt has ended without a result. */
  public void release(Job j, int t, EndEvidence evidence) {
    if (guard.hasEnded(j, t, evidence)) {
      detach(j, t);
      changed = true;
      finisher.finishIfOver(j);
    }
  }

  private void detach(Job j, int t) {
    unbind(j, t);
    j.enter(t, Job.PENDING);
    j.pending++;
  }

  private void unbind(Job j, int t) {
    Machine m = machines.get(j.machine[t]);
    m.bound.remove(Job.ref(j.index, t));
    // A start that still waits there would begin an attempt that the machine has been told to
    // forget.
    m.outbox.withdraw(start(j, t));
    m.count(j.priority, -1);
    m.use(j.spec, -1);
    if (m.bound.isEmpty()) {
      m.idleSince = calls.now();
    }
    quota.give(j.spec);
    j.boundInZone[m.zone]--;
    j.bound--;
    j.countOn(m.index, -1);
    boundBy[j.priority.ordinal()]--;
    j.countInRecord(t, m, -1);
    j.stopping.clear(t);
    known(j, t);
    j.machine[t] = -1;
  }

  /** A bound task's attempt has ended with its result, if the evidence proves that. */
  public void complete(Job j, int t, EndEvidence evidence) {
    if (guard.hasEnded(j, t, evidence)) {
      unbind(j, t);
      completed(j, t);
    }
  }

  /** The result of a task that waits has turned up: an earlier attempt of it had ended with it. */
  public void completeWaiting(Job j, int t) {
    if (j.state[t] == Job.PENDING) {
      j.pending--;
      completed(j, t);
    }
  }

  /** The task's result is kept by its machine until the record of it is durable. */
  private void completed(Job j, int t) {
    j.enter(t, Job.DONE);
    j.done++;
    changed = true;
    if (!j.cancelled) {
      j.resultPending.set(t);
      writer.mark(
          chunk(j, j.layout.recordOf(t)),
          Writer.CAN_WAIT,
          () -> {
            j.resultPending.clear(t);
            finisher.finishIfOver(j); // others may wait for it: not only at the next sweep
          });
    }
    finisher.finishIfOver(j);
  }

  /** Whether a worker may forget this ended attempt. */
  public boolean forgettable(String jobId, int task, long attempt) {
    Job j = jobs.get(jobId);
    if (j == null || task >= j.state.length) {
      return true;
    }
    if (j.isBound(task)) {
      return j.attempt[task] != attempt;
    }
    return !j.resultPending.get(task);
  }

  /** Tries again to finish the jobs that are over. */
  public void retryFinishing() {
    List.copyOf(jobs.values()).forEach(finisher::finishIfOver);
  }

  /** Reads a job's record again after a write that did not go through as expected. */
  public void refresh(String id) {
    refresh(id, () -> {});
  }

  /** The same, and goes on whatever came of it. */
  public void refresh(String id, Runnable then) {
    calls.state(
        "GET",
        "/kv/" + Keys.job(id),
        null,
        1500,
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && status == 404) {
            remove(id);
          } else if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              StateMessage.Entry e = StateMessage.entry(body);
              record(id, StoredJob.parse(e.value()), e.stamp());
            } catch (MalformedException e) {
              calls.note("unusable record of " + id + ": " + e.getMessage());
            }
          }
          then.run();
        });
  }
}
