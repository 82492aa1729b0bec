package org.snowturn.core.term;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.MachineRegistry;
import org.snowturn.core.act.Reports;
import org.snowturn.core.act.SubmissionParts;
import org.snowturn.core.authority.CancellationWatermark;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.StoredJob;
import org.snowturn.core.recovery.Phase;
import org.snowturn.core.recovery.Phases;
import org.snowturn.core.recovery.Questions;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Loader;
import org.snowturn.core.store.Writer;
import org.snowturn.wire.JobView;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Report;
import org.snowturn.wire.StateMessage;

/**
 * A term's way from nothing to the ordinary path: reads what earlier leaders left, then asks the
 * machines what of it is still so, a few at a time and the most useful first. It never holds back a
 * decision: whatever machine has shown the token may get work while others are still to be asked.
 */
public final class TermRecovery {
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

  private final Calls calls;
  private final Writer writer;
  private final CancellationWatermark watermark;
  private final Catalog catalog;
  private final FormatGate gate;
  private final Ledger ledger;
  private final MachineBook machines;
  private final MachineRegistry registry;
  private final BiConsumer<String, StateMessage.Entry> restarts;
  private final BooleanSupplier ended;
  private final Phases phases;
  private final Questions questions = new Questions(AGAIN_MS);

  /** The last report of each machine that came while the records were being read. */
  private final Map<Machine, Report> early = new LinkedHashMap<>();

  private final Map<String, Loader.Range> read = new LinkedHashMap<>();
  private int toAsk;
  private long askingSince;
  private long heardAt = Job.UNKNOWN;
  private long watchFrom;
  private long jobsAskedAt;
  private long tickedAt;
  private long lateAt;
  private long unreadable;
  private Consumer<Map<Machine, Report>> then;

  /**
   * A term that has just been won.
   *
   * @param restarts takes a job's id and its stored counter of restarts
   * @param ended whether the term is over: nothing more is to be done
   */
  public TermRecovery(
      Calls calls,
      Writer writer,
      CancellationWatermark watermark,
      Catalog catalog,
      FormatGate gate,
      Ledger ledger,
      MachineBook machines,
      MachineRegistry registry,
      BiConsumer<String, StateMessage.Entry> restarts,
      BooleanSupplier ended) {
    this.calls = calls;
    this.writer = writer;
    this.watermark = watermark;
    this.catalog = catalog;
    this.gate = gate;
    this.ledger = ledger;
    this.machines = machines;
    this.registry = registry;
    this.restarts = restarts;
    this.ended = ended;
    this.phases = new Phases(calls.now());
    this.tickedAt = calls.now();
    this.lateAt = calls.now() - STEADY_MS;
  }

  /** Whether all records are known, so that decisions may be made. */
  public boolean loaded() {
    return phases.reached(Phase.ASKING);
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
  public void begin(Consumer<Map<Machine, Report>> then) {
    this.then = then;
    enter(Phase.READING);
    // First of all the gate: it tells in which format the records are that are to be written.
    gate.look(
        () -> {
          if (ended.getAsBoolean()) {
            return;
          }
          read(Keys.REGISTRY);
          read(Keys.TASKS2);
          read(Keys.TASKS);
          read(Keys.RESTARTS);
          read(
              Keys.PARTS,
              () -> {
                jobsAskedAt = calls.now();
                read(Keys.JOBS);
              });
        });
  }

  private void read(String prefix) {
    read(prefix, () -> {});
  }

  private void read(String prefix, Runnable next) {
    read.put(prefix, null);
    long sentAt = calls.now();
    new Loader(calls, ended)
        .read(
            prefix,
            range -> {
              if (ended.getAsBoolean()) {
                return;
              }
              calls
                  .events()
                  .info("records_read")
                  .with("prefix", prefix)
                  .with("revision", range.epoch())
                  .with("records", range.entries().size())
                  .with("took_ms", calls.now() - sentAt)
                  .write();
              read.put(prefix, range);
              next.run();
              if (!read.containsValue(null)) {
                taken();
              }
            });
  }

  /** Keeps the newest report of a machine until the records are known. */
  public void keep(Machine m, Report r) {
    Report before = early.get(m);
    boolean older =
        before != null
            && (r.session() < before.session()
                || (r.session() == before.session() && r.seq() <= before.seq()));
    if (!older) {
      early.put(m, r);
    }
  }

  private void taken() {
    for (StateMessage.Entry e : read.get(Keys.REGISTRY).entries()) {
      if (!readable(e, () -> registry.load(e, this::recorded))) {
        ledger.registryIncomplete();
      }
    }
    watchFrom = read.get(Keys.JOBS).epoch();
    Set<String> quarantined = new HashSet<>();
    loadJobs(quarantined);
    List<StateMessage.Change> orphans = new ArrayList<>();
    loadTasks(read.get(Keys.TASKS2), Keys.TASKS2, quarantined, orphans);
    loadTasks(read.get(Keys.TASKS), Keys.TASKS, quarantined, orphans);
    quarantined.forEach(ledger::quarantine);
    for (StateMessage.Entry e : read.get(Keys.RESTARTS).entries()) {
      readable(e, () -> restarts.accept(e.key().substring(Keys.RESTARTS.length()), e));
    }
    read.clear();
    writer.drop(List.of(), orphans);
    int bound = 0;
    for (Job j : ledger.jobs()) {
      bound += j.bound;
    }
    for (Machine m : machines.present()) {
      for (long ref : Reports.copy(m.bound)) {
        m.session = Math.max(m.session, ledger.job(ref).session[Ledger.task(ref)]);
      }
    }
    stopCancelled();
    watermark.read(jobsAskedAt);
    enter(Phase.ASKING);
    calls.note(
        "took over "
            + ledger.jobs().size()
            + " jobs, "
            + bound
            + " tasks on machines: "
            + phases
            + (unreadable == 0 ? "" : ", " + unreadable + " records unreadable"));
    then.accept(early);
    early.clear();
    askAll();
    ledger.retryFinishing();
  }

  private interface Reading {
    void run() throws MalformedException;
  }

  /** One record that cannot be read never ends the start; it is named and counted. */
  private boolean readable(StateMessage.Entry e, Reading reading) {
    try {
      reading.run();
      return true;
    } catch (MalformedException | RuntimeException ex) {
      unreadable++;
      calls.note("unusable record " + e.key() + ": " + ex.getMessage());
      return false;
    }
  }

  private void recorded(Machine m) {
    m.shape = catalog.get(m.type);
    m.imagesChanged = false;
    m.lastAnswerAt = Math.max(m.lastAnswerAt, calls.now());
    m.firstSeenAt = calls.now();
    m.recorded = true;
  }

  /**
   * Takes in the jobs. One of which a record cannot be read is left alone as a whole: taken for
   * smaller than it is, its tasks would be stopped, or started a second time. Of a cancelled one
   * nothing is needed any more, whatever cannot be read.
   */
  private void loadJobs(Set<String> quarantined) {
    List<StateMessage.Entry> parts = read.get(Keys.PARTS).entries();
    Map<String, String> texts = StoredJob.texts(parts);
    Set<String> used = new HashSet<>();
    for (StateMessage.Entry e : read.get(Keys.JOBS).entries()) {
      String id = e.key().substring(Keys.JOBS.length());
      if (StoredJob.phaseOf(e.value()) == JobView.Phase.ABORTED) {
        watermark.learn(id);
      }
      boolean read =
          readable(
              e,
              () -> {
                StoredJob stored = StoredJob.parse(e.value());
                List<String> keys = StoredJob.partKeys(id, stored.submission(), stored.parts());
                used.addAll(keys);
                if (stored.incomplete() && texts.keySet().containsAll(keys)) {
                  ledger.recordWith(id, stored, e.stamp(), texts);
                } else {
                  ledger.record(id, stored, e.stamp());
                }
              });
      if (!read && StoredJob.phaseOf(e.value()) != JobView.Phase.ABORTED) {
        quarantined.add(id);
        String mine = Keys.PARTS + id + "/";
        parts.stream()
            .map(StateMessage.Entry::key)
            .filter(k -> k.startsWith(mine))
            .forEach(used::add);
      }
    }
    new SubmissionParts(calls, writer).dropUnused(parts, used);
  }

  private void loadTasks(
      Loader.Range range,
      String prefix,
      Set<String> quarantined,
      List<StateMessage.Change> orphans) {
    boolean older = gate.open() && prefix.equals(Keys.TASKS);
    for (StateMessage.Entry e : range.entries()) {
      String rest = e.key().substring(prefix.length());
      int slash = rest.lastIndexOf('/');
      String id = slash < 0 ? rest : rest.substring(0, slash);
      if (quarantined.contains(id)) {
        continue;
      }
      Job j = ledger.job(id);
      boolean read =
          readable(
              e,
              () -> {
                int chunk = Integer.parseInt(rest.substring(slash + 1));
                if (j == null) {
                  orphans.add(StateMessage.Change.delete(e.key()));
                } else if (older) {
                  ledger.loadOlderChunk(j, chunk, e.value(), e.stamp());
                } else {
                  ledger.loadChunk(j, chunk, e.value(), e.stamp());
                }
              });
      if (!read && j != null && !j.cancelled) {
        quarantined.add(id);
      }
    }
  }

  /** With the sessions known, the stops go out with the first questions. */
  private void stopCancelled() {
    int tasks = 0;
    for (Job j : ledger.jobs()) {
      for (int t = 0; j.unwanted() && j.bound > 0 && t < j.state.length; t++) {
        if (j.isBound(t)) {
          ledger.stop(j, t);
          tasks++;
        }
      }
    }
    if (tasks > 0) {
      calls.note(tasks + " tasks of cancelled jobs, placed by earlier leaders, to stop");
    }
  }

  // --- asking ---

  private void askAll() {
    double replica = Double.MAX_VALUE;
    double task = Double.MAX_VALUE;
    for (Job j : ledger.jobs()) {
      if (j.wantsRoom() && j.pending > 0) {
        if (j.spec.service()) {
          replica = Math.min(replica, j.spec.cpus());
        } else {
          task = Math.min(task, j.spec.cpus());
        }
      }
    }
    for (Machine m : machines.present()) {
      if (m.recorded && !m.acknowledged) {
        boolean reports = m.lastReportAt != Job.UNKNOWN;
        long notBefore = reports ? calls.now() + COMES_BY_ITSELF_MS : 0;
        questions.add(m.index, urgency(m, replica, task), notBefore);
      }
    }
    toAsk = questions.unheard();
    askingSince = calls.now();
    ask();
  }

  /**
   * Room for waiting replicas first, then machines that have something to stop or hold replicas,
   * then room for waiting arrays: in this order the answers are worth most to users.
   */
  private int urgency(Machine m, double replica, double task) {
    double free = m.cpusFree();
    if (free >= replica) {
      return 0;
    }
    boolean replicas = false;
    for (long ref : Reports.copy(m.bound)) {
      Job j = ledger.job(ref);
      if (j.stopping.get(Ledger.task(ref))) {
        return 1;
      }
      replicas |= j.spec.service();
    }
    return replicas ? 2 : free >= task ? 3 : 4;
  }

  private void ask() {
    int next;
    while ((next = questions.next(calls.now())) >= 0) {
      Machine m = machines.get(next);
      if (m.gone || m.deleting) {
        questions.drop(next);
      } else if (m.addr == null) {
        questions.unanswered(next, calls.now(), false);
      } else {
        m.outbox.ask();
      }
    }
  }

  /**
   * Whether nearly all machines that are there have been heard, or have had the time for it. Until
   * then what seems to be all the room there is may be a fiftieth of it: a replica that waits must
   * not cost the work of tasks on the few machines that were first to answer.
   */
  public boolean mostHeard() {
    return phases.reached(Phase.RECONCILED)
        || (loaded()
            && (questions.unheard() * MOST <= toAsk || calls.now() - askingSince > HEARD_MS));
  }

  /** The machine has shown itself, and whether it knows the present token. */
  public void heard(Machine m) {
    heardAt = calls.now();
    if (!loaded()) {
      return;
    }
    if (m.acknowledged) {
      questions.heard(m.index, calls.now());
      ask();
    } else {
      // It has the token from our answer now, and a higher token makes it report again at once.
      questions.expect(m.index, calls.now() + COMES_BY_ITSELF_MS);
    }
  }

  /**
   * A question, or a command, got no answer. It tells of the machine only where others are heard at
   * the same time: else this node is cut off, and once it no longer is, the machines that are a
   * little later than others would be taken for dead.
   */
  public void unanswered(Machine m) {
    boolean othersHeard = calls.now() - heardAt < OTHERS_HEARD_MS;
    questions.unanswered(m.index, calls.now(), othersHeard);
  }

  /**
   * Whether the machine's silence counts: it was asked again and again and did not answer, while
   * this node kept up with its work. Whose silence it is, others judge.
   */
  public boolean askedInVain(Machine m) {
    return calls.now() - lateAt >= STEADY_MS && questions.inVain(m.index, IN_VAIN_MS, calls.now());
  }

  /** Whether the machine may turn out to be silent: it has left a question unanswered. */
  public boolean doubtful(Machine m) {
    return questions.unansweredOnce(m.index);
  }

  public void tick() {
    long now = calls.now();
    if (now - tickedAt > LATE_TICK_MS) {
      lateAt = now;
      questions.late(now);
    } else if (now - tickedAt < PROMPT_TICK_MS) {
      questions.punctual();
    }
    tickedAt = now;
    if (!loaded()) {
      return;
    }
    ask();
    if (questions.unheard() == 0) {
      enter(Phase.RECONCILED);
      if (ledger.inherited() == 0 && enter(Phase.NORMAL)) {
        calls.note("all is reconciled: " + phases + ", " + questions.asked() + " questions");
      }
    }
  }

  /** Machines that have ended or are about to be deleted need not be asked. */
  public void sweep() {
    for (Machine m : machines.present()) {
      if (m.deleting) {
        questions.drop(m.index);
      }
    }
  }

  private boolean enter(Phase p) {
    return phases.enter(p, calls.now());
  }

  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.term.phase", (double) phases.now().ordinal(),
        "snowturn.term.unheard", (double) questions.unheard(),
        "snowturn.term.questions", (double) questions.asked(),
        "snowturn.term.questions.window", (double) questions.window(),
        "snowturn.term.tasks.unproven", (double) ledger.inherited(),
        "snowturn.records.unreadable", (double) unreadable);
  }
}
