package org.snowturn.core.leader;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.snowturn.core.assignment.HeartbeatProcessor;
import org.snowturn.core.assignment.MachineRegistry;
import org.snowturn.core.assignment.SubmissionChunks;
import org.snowturn.core.assignment.TaskAssignments;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.election.CancellationWatermark;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineIndex;
import org.snowturn.core.model.MachineTypes;
import org.snowturn.core.recovery.PacedProbes;
import org.snowturn.core.recovery.RecoveryPhase;
import org.snowturn.core.recovery.RecoveryProgress;
import org.snowturn.core.storage.FormatGate;
import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.RangeReader;
import org.snowturn.core.storage.RecordWriter;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * A term's way from nothing to the ordinary path: reads what earlier leaders left, then asks the
 * machines what of it is still so, a few at a time and the most useful first. It never holds back a
 * decision: whatever machine has shown the token may get work while others are still to be asked.
 */
public final class LeaderRecovery {
  /** After a question without an answer, the same machine is asked again so much later. */
  private static final long AGAIN_MS = 500;

  /** Silence since the first question that may count as death, if neighbours answer meanwhile. */
  private static final long IN_VAIN_MS = 3_500;

  /** A worker that has just been given the token reports again within this time. */
  private static final long COMES_BY_ITSELF_MS = 1_200;

  /** A tick that comes so late means that the node is behind with its work. */
  private static final long LATE_TICK_MS = 250;

  /** Ticks that come this soon one after the other mean that it is not. */
  private static final long PROMPT_TICK_MS = 100;

  /** Within this time some machine is heard, unless none can be. */
  private static final long OTHERS_HEARD_MS = 500;

  /** For so long after it was behind, a node trusts no silence. */
  private static final long STEADY_MS = 1_000;

  /** All but one in so many machines are most. */
  private static final int MOST = 10;

  /** After so long, what has not been heard is not waited for. */
  private static final long HEARD_MS = 2_500;

  private final CoreRuntime runtime;
  private final RecordWriter writer;
  private final CancellationWatermark watermark;
  private final MachineTypes machineTypes;
  private final FormatGate gate;
  private final TaskAssignments assignments;
  private final MachineIndex machines;
  private final MachineRegistry registry;
  private final BiConsumer<String, StateMessage.Entry> restarts;
  private final BooleanSupplier ended;
  private final RecoveryProgress phases;
  private final PacedProbes probes = new PacedProbes(AGAIN_MS);

  /** The last report of each machine that came while the records were being read. */
  private final Map<Machine, Heartbeat> early = new LinkedHashMap<>();

  private final Map<String, RangeReader.Range> read = new LinkedHashMap<>();
  private int toAsk;
  private long askingSince;
  private long heardAt = Job.UNKNOWN;
  private long watchFrom;
  private long jobsAskedAt;
  private long tickedAt;
  private long lateAt;
  private long unreadable;
  private Consumer<Map<Machine, Heartbeat>> then;

  /**
   * A term that has just been won.
   *
   * @param restarts takes a job's id and its stored counter of restarts
   * @param ended whether the term is over: nothing more is to be done
   */
  public LeaderRecovery(
      CoreRuntime runtime,
      RecordWriter writer,
      CancellationWatermark watermark,
      MachineTypes machineTypes,
      FormatGate gate,
      TaskAssignments assignments,
      MachineIndex machines,
      MachineRegistry registry,
      BiConsumer<String, StateMessage.Entry> restarts,
      BooleanSupplier ended) {
    this.runtime = runtime;
    this.writer = writer;
    this.watermark = watermark;
    this.machineTypes = machineTypes;
    this.gate = gate;
    this.assignments = assignments;
    this.machines = machines;
    this.registry = registry;
    this.restarts = restarts;
    this.ended = ended;
    this.phases = new RecoveryProgress(runtime.now());
    this.tickedAt = runtime.now();
    this.lateAt = runtime.now() - STEADY_MS;
  }

  /** Whether all records are known, so that decisions may be made. */
  public boolean loaded() {
    return phases.reached(RecoveryPhase.ASKING);
  }

  /** The revision from which on changes of jobs are to be watched. */
  public long watchFrom() {
    return watchFrom;
  }

  // --- reading ---

  /**
   * Reads everything; {@code then} gets the reports that came meanwhile.
   *
   * <p>What only leaders write cannot change any more, since the leader key is ours: those ranges
   * are read side by side. Users' records go on changing: parts of submissions are read before the
   * jobs, so that no accepted job lacks its parts.
   */
  public void begin(Consumer<Map<Machine, Heartbeat>> then) {
    this.then = then;
    enter(RecoveryPhase.READING);
    // First of all the gate: it tells in which format the records are that are to be written.
    gate.look(
        () -> {
          if (ended.getAsBoolean()) {
            return;
          }
          read(StorageKeys.REGISTRY);
          read(StorageKeys.TASKS2);
          read(StorageKeys.TASKS);
          read(StorageKeys.RESTARTS);
          read(
              StorageKeys.PARTS,
              () -> {
                jobsAskedAt = runtime.now();
                read(StorageKeys.JOBS);
              });
        });
  }

  private void read(String prefix) {
    read(prefix, () -> {});
  }

  private void read(String prefix, Runnable next) {
    read.put(prefix, null);
    long sentAt = runtime.now();
    new RangeReader(runtime, ended)
        .read(
            prefix,
            range -> {
              if (ended.getAsBoolean()) {
                return;
              }
              runtime
                  .events()
                  .info(LogEvent.RECORDS_READ)
                  .with(LogField.PREFIX, prefix)
                  .with(LogField.REVISION, range.epoch())
                  .with(LogField.RECORDS, range.entries().size())
                  .with(LogField.TOOK_MS, runtime.now() - sentAt)
                  .write();
              read.put(prefix, range);
              next.run();
              if (!read.containsValue(null)) {
                taken();
              }
            });
  }

  /** Keeps the newest report of a machine until the records are known. */
  public void keep(Machine machine, Heartbeat heartbeat) {
    Heartbeat before = early.get(machine);
    boolean older =
        before != null
            && (heartbeat.epoch() < before.epoch()
                || (heartbeat.epoch() == before.epoch() && heartbeat.seq() <= before.seq()));
    if (!older) {
      early.put(machine, heartbeat);
    }
  }

  private void taken() {
    for (StateMessage.Entry entry : read.get(StorageKeys.REGISTRY).entries()) {
      if (!readable(entry, () -> registry.load(entry, this::recorded))) {
        assignments.registryIncomplete();
      }
    }
    watchFrom = read.get(StorageKeys.JOBS).epoch();
    Set<String> quarantined = new HashSet<>();
    loadJobs(quarantined);
    List<StateMessage.Change> orphans = new ArrayList<>();
    loadTasks(read.get(StorageKeys.TASKS2), StorageKeys.TASKS2, quarantined, orphans);
    loadTasks(read.get(StorageKeys.TASKS), StorageKeys.TASKS, quarantined, orphans);
    quarantined.forEach(assignments::quarantine);
    for (StateMessage.Entry entry : read.get(StorageKeys.RESTARTS).entries()) {
      readable(
          entry,
          () -> restarts.accept(entry.key().substring(StorageKeys.RESTARTS.length()), entry));
    }
    read.clear();
    writer.drop(List.of(), orphans);
    int bound = 0;
    for (Job job : assignments.jobs()) {
      bound += job.assigned();
    }
    for (Machine machine : machines.present()) {
      for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
        machine.setEpoch(
            Math.max(machine.epoch(), assignments.job(ref).epochOf(TaskAssignments.task(ref))));
      }
    }
    stopCancelled();
    watermark.read(jobsAskedAt);
    enter(RecoveryPhase.ASKING);
    runtime.note(
        "took over "
            + assignments.jobs().size()
            + " jobs, "
            + bound
            + " tasks on machines: "
            + phases
            + (unreadable == 0 ? "" : ", " + unreadable + " records unreadable"));
    then.accept(early);
    early.clear();
    askAll();
    assignments.retryFinishing();
  }

  private interface Reading {
    void run() throws MalformedException;
  }

  /** One record that cannot be read never ends the start; it is named and counted. */
  private boolean readable(StateMessage.Entry entry, Reading reading) {
    try {
      reading.run();
      return true;
    } catch (MalformedException | RuntimeException ex) {
      unreadable++;
      runtime.note("unusable record " + entry.key() + ": " + ex.getMessage());
      return false;
    }
  }

  private void recorded(Machine machine) {
    machine.setMachineType(machineTypes.get(machine.type()));
    machine.setImagesChanged(false);
    machine.setLastAnswerAt(Math.max(machine.lastAnswerAt(), runtime.now()));
    machine.setFirstSeenAt(runtime.now());
    machine.registered();
  }

  /**
   * Takes in the jobs. One of which a record cannot be read is left alone as a whole: taken for
   * smaller than it is, its tasks would be stopped, or started a second time. Of a cancelled one
   * nothing is needed any more, whatever cannot be read.
   */
  private void loadJobs(Set<String> quarantined) {
    List<StateMessage.Entry> parts = read.get(StorageKeys.PARTS).entries();
    Map<String, String> texts = JobRecord.texts(parts);
    Set<String> used = new HashSet<>();
    for (StateMessage.Entry entry : read.get(StorageKeys.JOBS).entries()) {
      String id = entry.key().substring(StorageKeys.JOBS.length());
      if (JobRecord.phaseOf(entry.value()) == JobStatus.Phase.ABORTED) {
        watermark.learn(id);
      }
      boolean read =
          readable(
              entry,
              () -> {
                JobRecord stored = JobRecord.parse(entry.value());
                List<String> keys = JobRecord.partKeys(id, stored.submission(), stored.parts());
                used.addAll(keys);
                if (stored.incomplete() && texts.keySet().containsAll(keys)) {
                  assignments.addChunkedJob(id, stored, entry.stamp(), texts);
                } else {
                  assignments.addJob(id, stored, entry.stamp());
                }
              });
      if (!read && JobRecord.phaseOf(entry.value()) != JobStatus.Phase.ABORTED) {
        quarantined.add(id);
        String mine = StorageKeys.PARTS + id + "/";
        parts.stream()
            .map(StateMessage.Entry::key)
            .filter(k -> k.startsWith(mine))
            .forEach(used::add);
      }
    }
    new SubmissionChunks(runtime, writer).dropUnused(parts, used);
  }

  private void loadTasks(
      RangeReader.Range range,
      String prefix,
      Set<String> quarantined,
      List<StateMessage.Change> orphans) {
    boolean older = gate.open() && prefix.equals(StorageKeys.TASKS);
    for (StateMessage.Entry entry : range.entries()) {
      String rest = entry.key().substring(prefix.length());
      int slash = rest.lastIndexOf('/');
      String id = slash < 0 ? rest : rest.substring(0, slash);
      if (quarantined.contains(id)) {
        continue;
      }
      Job job = assignments.job(id);
      boolean read =
          readable(
              entry,
              () -> {
                int chunk = Integer.parseInt(rest.substring(slash + 1));
                if (job == null) {
                  orphans.add(StateMessage.Change.delete(entry.key()));
                } else if (older) {
                  assignments.loadFirstFormatRecord(job, chunk, entry.value(), entry.stamp());
                } else {
                  assignments.loadTaskRecord(job, chunk, entry.value(), entry.stamp());
                }
              });
      if (!read && job != null && !job.isCancellationRecorded()) {
        quarantined.add(id);
      }
    }
  }

  /** With the sessions known, the stops go out with the first questions. */
  private void stopCancelled() {
    int tasks = 0;
    for (Job job : assignments.jobs()) {
      for (int task = 0;
          job.isCancelled() && job.assigned() > 0 && task < job.taskCount();
          task++) {
        if (job.isAssigned(task)) {
          assignments.stop(job, task);
          tasks++;
        }
      }
    }
    if (tasks > 0) {
      runtime.note(tasks + " tasks of cancelled jobs, placed by earlier leaders, to stop");
    }
  }

  // --- asking ---

  private void askAll() {
    double replica = Double.MAX_VALUE;
    double task = Double.MAX_VALUE;
    for (Job job : assignments.jobs()) {
      if (job.wantsRoom() && job.pending() > 0) {
        if (job.spec.service()) {
          replica = Math.min(replica, job.spec.cpus());
        } else {
          task = Math.min(task, job.spec.cpus());
        }
      }
    }
    for (Machine machine : machines.present()) {
      if (machine.isRegistered() && !machine.isAcknowledged()) {
        boolean reports = machine.lastHeartbeatAt() != Job.UNKNOWN;
        long notBefore = reports ? runtime.now() + COMES_BY_ITSELF_MS : 0;
        probes.add(machine.index, urgency(machine, replica, task), notBefore);
      }
    }
    toAsk = probes.unheard();
    askingSince = runtime.now();
    ask();
  }

  /**
   * Room for waiting replicas first, then machines that have something to stop or hold replicas,
   * then room for waiting arrays: in this order the answers are worth most to users.
   */
  private int urgency(Machine machine, double replica, double task) {
    double free = machine.cpusFree();
    if (free >= replica) {
      return 0;
    }
    boolean replicas = false;
    for (long ref : HeartbeatProcessor.copy(machine.assigned)) {
      Job job = assignments.job(ref);
      if (job.stopping.get(TaskAssignments.task(ref))) {
        return 1;
      }
      replicas |= job.spec.service();
    }
    return replicas ? 2 : free >= task ? 3 : 4;
  }

  private void ask() {
    int next;
    while ((next = probes.next(runtime.now())) >= 0) {
      Machine machine = machines.get(next);
      if (machine.isTerminated() || machine.isTerminating()) {
        probes.drop(next);
      } else if (machine.addr() == null) {
        probes.unanswered(next, runtime.now(), false);
      } else {
        machine.commands().probe();
      }
    }
  }

  /**
   * Whether nearly all machines that are there have been heard, or have had the time for it. Until
   * then what seems to be all the room there is may be a fiftieth of it: a replica that waits must
   * not cost the work of tasks on the few machines that were first to answer.
   */
  public boolean mostHeard() {
    return phases.reached(RecoveryPhase.RECONCILED)
        || (loaded()
            && (probes.unheard() * MOST <= toAsk || runtime.now() - askingSince > HEARD_MS));
  }

  /** The machine has shown itself, and whether it knows the present token. */
  public void heard(Machine machine) {
    heardAt = runtime.now();
    if (!loaded()) {
      return;
    }
    if (machine.isAcknowledged()) {
      probes.heard(machine.index, runtime.now());
      ask();
    } else {
      // It has the token from our answer now, and a higher token makes it report again at once.
      probes.expect(machine.index, runtime.now() + COMES_BY_ITSELF_MS);
    }
  }

  /**
   * A question, or a command, got no answer. It tells of the machine only where others are heard at
   * the same time: else this node is cut off, and once it no longer is, the machines that are a
   * little later than others would be taken for dead.
   */
  public void unanswered(Machine machine) {
    boolean othersHeard = runtime.now() - heardAt < OTHERS_HEARD_MS;
    probes.unanswered(machine.index, runtime.now(), othersHeard);
  }

  /**
   * Whether the machine's silence counts: it was asked again and again and did not answer, while
   * this node kept up with its work. Whose silence it is, others judge.
   */
  public boolean askedInVain(Machine machine) {
    return runtime.now() - lateAt >= STEADY_MS
        && probes.inVain(machine.index, IN_VAIN_MS, runtime.now());
  }

  /** Whether the machine may turn out to be silent: it has left a question unanswered. */
  public boolean doubtful(Machine machine) {
    return probes.unansweredOnce(machine.index);
  }

  public void tick() {
    long now = runtime.now();
    if (now - tickedAt > LATE_TICK_MS) {
      lateAt = now;
      probes.late(now);
    } else if (now - tickedAt < PROMPT_TICK_MS) {
      probes.punctual();
    }
    tickedAt = now;
    if (!loaded()) {
      return;
    }
    ask();
    if (probes.unheard() == 0) {
      enter(RecoveryPhase.RECONCILED);
      if (assignments.unconfirmedAdopted() == 0 && enter(RecoveryPhase.NORMAL)) {
        runtime.note("all is reconciled: " + phases + ", " + probes.asked() + " questions");
      }
    }
  }

  /** Machines that have ended or are about to be deleted need not be asked. */
  public void sweep() {
    for (Machine machine : machines.present()) {
      if (machine.isTerminating()) {
        probes.drop(machine.index);
      }
    }
  }

  private boolean enter(RecoveryPhase phase) {
    return phases.enter(phase, runtime.now());
  }

  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.term.phase", (double) phases.now().ordinal(),
        "snowturn.term.unheard", (double) probes.unheard(),
        "snowturn.term.questions", (double) probes.asked(),
        "snowturn.term.questions.window", (double) probes.window(),
        "snowturn.term.tasks.unproven", (double) assignments.unconfirmedAdopted(),
        "snowturn.records.unreadable", (double) unreadable);
  }
}
