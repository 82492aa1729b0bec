package org.snowturn.core.term;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerRecord;
import org.snowturn.core.act.AttemptGuard;
import org.snowturn.core.act.Cancellations;
import org.snowturn.core.act.CommandLog;
import org.snowturn.core.act.Failures;
import org.snowturn.core.act.JobGraph;
import org.snowturn.core.act.Ledger;
import org.snowturn.core.act.MachineRegistry;
import org.snowturn.core.act.Orders;
import org.snowturn.core.act.Outbox;
import org.snowturn.core.act.Reports;
import org.snowturn.core.admission.Purpose;
import org.snowturn.core.authority.CancellationWatermark;
import org.snowturn.core.authority.Election;
import org.snowturn.core.calls.Calls;
import org.snowturn.core.decide.Fleet;
import org.snowturn.core.decide.FleetPolicy;
import org.snowturn.core.decide.Placer;
import org.snowturn.core.decide.Speculator;
import org.snowturn.core.decide.StandingFleet;
import org.snowturn.core.decide.WaitingOrder;
import org.snowturn.core.decide.ZoneOutages;
import org.snowturn.core.model.Catalog;
import org.snowturn.core.model.Job;
import org.snowturn.core.model.Machine;
import org.snowturn.core.model.MachineBook;
import org.snowturn.core.model.Quota;
import org.snowturn.core.model.RestartRecords;
import org.snowturn.core.model.SpotLosses;
import org.snowturn.core.reach.ConnectivityMonitor;
import org.snowturn.core.records.Keys;
import org.snowturn.core.records.StoredJob;
import org.snowturn.core.store.FormatGate;
import org.snowturn.core.store.Loader;
import org.snowturn.core.store.Writer;
import org.snowturn.core.users.JobApi;
import org.snowturn.wire.Command;
import org.snowturn.wire.JobView;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.Report;
import org.snowturn.wire.StateMessage;

/** One term of leadership: all that the leader knows and does under one token. */
public final class Leader implements Writer.Host, Outbox.Host {
  private static final long PROGRESS_MS = 1000;
  private static final long SUMMARY_MS = 10_000;

  private final Calls calls;
  private final Settings settings;
  private final Election election;
  private final CancellationWatermark watermark;
  private final Catalog catalog;
  private final JobApi jobApi;
  private final long token;

  private final MachineBook machines;
  private final Writer writer;
  private final AttemptGuard guard;
  private final Ledger ledger;
  private final Reports reports;
  private final Orders orders;
  private final Failures failures;
  private final Placer placer;
  private final Speculator speculator;
  private final Fleet fleet;
  private final MachineRegistry registry;
  private final FormatGate gate;
  private final JobGraph graph;
  private final TermRecovery termRecovery;
  private final HealthChecks healthChecks;
  private final Map<String, PeerRecord.Progress> told = new HashMap<>();
  private final ArrayDeque<Outbox> toSend = new ArrayDeque<>();
  private boolean secondFormat;
  private long outboxLooks;
  private boolean watching;
  private boolean ended;
  private long watchFrom;
  private long watchRetryAt;
  private long sweepAt;
  private long progressAt;
  private long summaryAt;
  private long specAt;

  public Leader(
      Calls calls,
      Settings settings,
      Tunables tunables,
      Election election,
      CancellationWatermark watermark,
      Catalog catalog,
      FormatGate gate,
      JobApi jobApi,
      ConnectivityMonitor surroundings,
      DoubleUnaryOperator share) {
    this.calls = calls;
    this.gate = gate;
    this.settings = settings;
    this.election = election;
    this.watermark = watermark;
    this.catalog = catalog;
    this.jobApi = jobApi;
    this.token = election.token();
    machines = new MachineBook(settings.zones(), m -> new Outbox(calls, this, m));
    writer = new Writer(calls, this, gate::limits, share);
    StandingFleet standing = new StandingFleet(calls, writer);
    FleetPolicy policy = FleetPolicy.of(settings, catalog::quickestBootS, standing::present);
    Cancellations cancellations = cancellations(watermark);
    guard = new AttemptGuard(calls, machines, token, Reports.lapseMs(settings));
    ledger =
        new Ledger(
            calls,
            gate,
            writer,
            machines,
            new Quota(settings.teams()),
            cancellations,
            guard,
            token);
    graph = new JobGraph(calls, gate, ledger, writer);
    failures = new Failures(calls, tunables.sickErrors());
    ledger.listen(graph);
    ledger.listen(failures);
    ledger.listen(
        new Ledger.Listener() {
          @Override
          public void joined(Job j) {
            j.cancelConfirmed = cancellations.known(j.spec.id());
          }
        });
    registry = new MachineRegistry(calls, writer, machines, gate);
    SpotLosses spotLosses = new SpotLosses();
    reports = new Reports(calls, settings, failures, ledger, machines, catalog, spotLosses, token);
    orders = new Orders(ledger, cancellations, token);
    WaitingOrder order = new WaitingOrder(settings, tunables.urgentSlackS());
    placer =
        new Placer(
            calls,
            settings,
            ledger,
            machines,
            policy,
            order,
            spotLosses,
            tunables.beginWithinS(),
            this::mostHeard);
    speculator = new Speculator(calls, tunables, ledger, machines, placer, writer, gate);
    ZoneOutages darkZones = new ZoneOutages(machines.zoneCount());
    fleet =
        new Fleet(
            calls,
            settings,
            tunables,
            catalog,
            machines,
            ledger,
            reports,
            placer,
            darkZones,
            policy,
            standing,
            spotLosses,
            token);
    termRecovery =
        new TermRecovery(
            calls,
            writer,
            watermark,
            catalog,
            gate,
            ledger,
            machines,
            registry,
            this::loadRestarts,
            () -> ended);
    healthChecks =
        new HealthChecks(
            calls,
            settings,
            catalog,
            machines,
            reports,
            failures,
            fleet,
            darkZones,
            termRecovery,
            surroundings);
    standing.look();
    termRecovery.begin(this::loaded);
  }

  private static Cancellations cancellations(CancellationWatermark watermark) {
    return new Cancellations() {
      @Override
      public boolean known(String job) {
        return watermark.cancelled(job);
      }

      @Override
      public long knownUntil() {
        return watermark.knownUntil();
      }

      @Override
      public boolean lapsesInTime(long confirmedAfter) {
        return watermark.lapsesInTime(confirmedAfter);
      }
    };
  }

  private boolean mostHeard() {
    return termRecovery.mostHeard();
  }

  /** A user was told, by whichever node, that the job is cancelled. */
  public void cancelled(String job) {
    ledger.cancelConfirmed(job);
  }

  /** Nothing of this term may act any more. */
  public void end() {
    ended = true;
  }

  @Override
  public boolean hasAuthority() {
    return !ended && election.hasAuthority() && election.token() == token;
  }

  @Override
  public boolean over() {
    return ended;
  }

  @Override
  public long token() {
    return token;
  }

  @Override
  public void leaderKeyLost() {
    if (!ended) {
      election.stepDown("the leader key is no longer ours");
    }
  }

  @Override
  public void guardFailed(String key) {
    if (key.startsWith(Keys.JOBS)) {
      ledger.refresh(key.substring(Keys.JOBS.length()));
    }
  }

  @Override
  public void notTaken(String key) {
    ledger.notRecorded(key);
  }

  /** Addresses of some machines that are heard, from all over the fleet. */
  public List<String> someWorkers(int most) {
    List<String> out = new ArrayList<>();
    List<Machine> all = machines.present();
    int step = Math.max(1, all.size() / (2 * most));
    for (int i = (int) (calls.now() % step); i < all.size() && out.size() < most; i += step) {
      Machine m = all.get(i);
      if (m.addr != null && m.usable(calls.now())) {
        out.add(m.addr);
      }
    }
    return out;
  }

  /** How many changes a second this term has written lately. */
  public double changesMade() {
    return writer.spent();
  }

  public Map<String, Double> gauges() {
    Map<String, Double> g = new HashMap<>();
    int pending = 0;
    int bound = 0;
    for (Job j : ledger.jobs()) {
      pending += j.wantsRoom() ? j.pending : 0;
      bound += j.bound;
    }
    g.put("snowturn.jobs.awaiting", (double) graph.waitingJobs());
    g.put("snowturn.jobs.live", (double) ledger.jobs().size());
    g.put("snowturn.tasks.waiting", (double) pending);
    g.put("snowturn.tasks.bound", (double) bound);
    g.put("snowturn.machines", (double) machines.present().size());
    g.putAll(healthChecks.gauges());
    g.putAll(failures.gauges());
    g.putAll(guard.gauges());
    g.put("snowturn.restarts", (double) speculator.restarts());
    g.put("snowturn.writes.waiting", (double) writer.waiting());
    g.put("snowturn.placements", (double) ledger.placements());
    g.put("snowturn.placements.looks", (double) placer.looks());
    g.put("snowturn.outboxes.looks", (double) outboxLooks);
    g.put("snowturn.starts.repeated", (double) orders.repeatedStarts());
    g.putAll(termRecovery.gauges());
    g.putAll(placer.gauges());
    return g;
  }

  // --- reading what earlier leaders left ---

  /** All records are known: what machines have reported meanwhile is taken in at once. */
  private void loaded(Map<Machine, Report> early) {
    watchFrom = termRecovery.watchFrom();
    early.forEach(
        (m, r) -> {
          if (!m.gone) {
            take(m, r);
          }
        });
  }

  private void loadRestarts(String job, StateMessage.Entry e) {
    Job j = ledger.job(job);
    if (j != null) {
      RestartRecords.load(j, e.value());
      speculator.loaded(j, e.stamp());
    }
  }

  private void onJobRecord(StateMessage.Entry e) {
    String id = e.key().substring(Keys.JOBS.length());
    if (e.value() == null) {
      Job j = ledger.job(id);
      if (j != null && e.stamp() >= j.stamp) {
        ledger.remove(id);
      }
      return;
    }
    Job known = ledger.job(id);
    if (known != null && known.stamp >= e.stamp()) {
      return;
    }
    if (StoredJob.phaseOf(e.value()) == JobView.Phase.ABORTED) {
      watermark.learn(id);
    }
    try {
      ledger.record(id, StoredJob.parse(e.value()), e.stamp());
    } catch (MalformedException ex) {
      calls.note("unusable record " + e.key() + ": " + ex.getMessage());
    }
  }

  private void watchJobs() {
    watching = true;
    long sentAt = calls.now();
    calls.watch(
        Purpose.WORK,
        "/watch?prefix=" + Keys.JOBS + "&since=" + watchFrom + "&hold_ms=10000",
        12000,
        (outcome, status, body) -> {
          watching = false;
          if (ended) {
            return;
          }
          if (outcome != Outcome.ANSWERED || status != 200) {
            watchRetryAt = calls.now() + 200;
            if (status == 410) {
              reread();
            }
            return;
          }
          try {
            StateMessage.events(body).forEach(this::onJobRecord);
            watchFrom = Math.max(watchFrom, StateMessage.epoch(body));
            watermark.read(sentAt);
            ledger.retryFinishing();
          } catch (MalformedException e) {
            watchRetryAt = calls.now() + 200;
          }
        });
  }

  /** The watch's past is gone: read all jobs again. */
  private void reread() {
    watching = true;
    new Loader(calls, () -> ended)
        .read(
            Keys.JOBS,
            js -> {
              if (ended) {
                return;
              }
              watching = false;
              watchFrom = js.epoch();
              js.entries().forEach(this::onJobRecord);
            });
  }

  // --- machines ---

  public void checkIn(long exchange, Report r) {
    if (!hasAuthority()) {
      refuse(exchange, r, "no_authority");
      return;
    }
    Machine m = machines.getOrCreate(r.machine());
    if (m.gone && !m.deleted && r.session() > m.session) {
      machines.revive(m);
    }
    if (m.gone || r.session() <= m.deadSession) {
      // Deleted, or a session that has certainly ended: nothing may renew it.
      refuse(exchange, r, "session_over");
      return;
    }
    if (!termRecovery.loaded()) {
      termRecovery.keep(m, r);
      m.lastAnswerAt = calls.now();
      answer(exchange, m, r, orders.stops(r));
      return;
    }
    if (healthChecks.late(m, r)) {
      refuse(exchange, r, "late_copy");
      return;
    }
    healthChecks.heard();
    take(m, r);
    healthChecks.checkedIn(m, r);
    Orders.Answer answer = orders.to(m, r);
    if (!answer.renews()) {
      calls.note(m.id + " may still start what is cancelled: its lease is not renewed");
      refuse(exchange, r, "start_in_doubt_of_cancelled_job");
      return;
    }
    reports.renewed(m);
    answer(exchange, m, r, answer.commands());
  }

  /** Answers a check-in with what renews the machine's lease. */
  private void answer(long exchange, Machine m, Report r, List<Command> commands) {
    logCheckIn(r, "renewed");
    CommandLog.write(calls, "answer", m, r.session(), token, commands);
    calls.answer(exchange, 200, Command.answer(token, commands));
  }

  private void refuse(long exchange, Report r, String why) {
    logCheckIn(r, why);
    calls.refuse(exchange, 503, 0);
  }

  private void logCheckIn(Report r, String result) {
    if (calls.events().debug()) {
      calls
          .events()
          .debug("check_in")
          .with("machine", r.machine())
          .with("session", r.session())
          .with("report", r.seq())
          .with("seen_token", r.token())
          .with("token", token)
          .with("result", result)
          .with("cancellations_known_ms_ago", watermark.ageMs())
          .write();
    }
  }

  @Override
  public void reported(Report r) {
    Machine m = machines.find(r.machine());
    if (!ended && termRecovery.loaded() && m != null && !m.gone) {
      healthChecks.answered(m, r);
      take(m, r);
      if (!m.contact.proven()) {
        m.contact.answered();
        ledger.somethingChanged();
      }
    }
  }

  private void take(Machine m, Report r) {
    if (m.addr == null || m.shape == null || !m.recorded) {
      reports.describe(m, r);
      if (m.firstSeenAt == 0) {
        m.firstSeenAt = calls.now();
      }
    }
    if (m.idleSince == 0) {
      m.idleSince = calls.now();
    }
    if (!m.recorded && !m.recording && m.shape != null) {
      m.recording = true;
      registry.enter(
          m,
          () -> {
            m.recorded = true;
            ledger.somethingChanged();
          });
    }
    reports.apply(m, r);
    termRecovery.heard(m);
  }

  @Override
  public boolean mayStart(Machine m, Command start) {
    return ledger.mayStart(m, start);
  }

  @Override
  public void wantsToSend(Outbox o) {
    toSend.add(o);
  }

  @Override
  public void unanswered(Machine m) {
    healthChecks.unanswered(m);
  }

  // --- the loop ---

  public void tick() {
    if (ended) {
      return;
    }
    termRecovery.tick();
    if (!termRecovery.loaded()) {
      return;
    }
    long now = calls.now();
    if (!watching && now >= watchRetryAt) {
      watchJobs();
    }
    if (!hasAuthority()) {
      return;
    }
    if (now >= sweepAt) {
      sweepAt = now + HealthChecks.SWEEP_MS;
      if (gate.open() && !secondFormat) {
        secondFormat = !ledger.useSecondFormat();
      }
      String leave = healthChecks.sweep();
      if (leave != null) {
        election.resign(leave);
      }
      registry.sweep();
      termRecovery.sweep();
      fleet.tick();
      ledger.somethingChanged();
      ledger.retryFinishing();
    }
    graph.step();
    if (catalog.known() && ledger.takeChanged()) {
      boolean room = placer.plan();
      if (room && now >= specAt) {
        specAt = now + 500;
        speculator.consider();
      }
    }
    if (now >= summaryAt) {
      summaryAt = now + SUMMARY_MS;
      summary();
    }
    if (now >= progressAt) {
      progressAt = now + PROGRESS_MS;
      tellProgress();
    }
    flush();
  }

  /** Sends what has been decided. */
  public void flush() {
    if (ended) {
      return;
    }
    if (termRecovery.loaded()) {
      graph.step();
    }
    writer.flush();
    for (int n = toSend.size(); n > 0 && hasAuthority(); n--) {
      outboxLooks++;
      toSend.poll().flush();
    }
  }

  /** One line now and then that tells how full the fleet is. */
  private void summary() {
    int pending = 0;
    int bound = 0;
    for (Job j : ledger.jobs()) {
      pending += j.wantsRoom() ? j.pending : 0;
      bound += j.bound;
    }
    int[] stages = new int[Job.DONE + 1];
    for (Job j : ledger.jobs()) {
      for (byte state : j.state) {
        stages[state]++;
      }
    }
    int[] up = new int[2];
    int[] coming = new int[2];
    double[] cpus = new double[2];
    double[] used = new double[2];
    Map<String, Integer> why = new TreeMap<>();
    for (Machine m : machines.present()) {
      int kind = m.spot ? 1 : 0;
      if (m.usable(calls.now())) {
        up[kind]++;
        cpus[kind] += m.shape.cpus();
        used[kind] += m.cpusUsed;
      } else {
        coming[kind]++;
        why.merge(m.whyNotUsable(calls.now()), 1, Integer::sum);
      }
    }
    calls.note(
        String.format(
            java.util.Locale.ROOT,
            "%d jobs, %d await others, %d tasks wait, %d on machines (%d not recorded, %d starting,"
                + " %d fetching, %d running); ordinary %d up, %d not, %.0f of %.0f cpus;"
                + " spot %d up, %d not, %.0f of %.0f cpus; restarts %d; writes wait %d; not up %s",
            ledger.jobs().size(),
            graph.waitingJobs(),
            pending,
            bound,
            stages[Job.PLACING],
            stages[Job.STARTING],
            stages[Job.FETCHING],
            stages[Job.RUNNING],
            up[0],
            coming[0],
            used[0],
            cpus[0],
            up[1],
            coming[1],
            used[1],
            cpus[1],
            speculator.restarts(),
            writer.waiting(),
            why));
  }

  private void tellProgress() {
    told.keySet().removeIf(id -> ledger.job(id) == null);
    for (Job j : ledger.jobs()) {
      PeerRecord.Progress p =
          new PeerRecord.Progress(settings.node(), j.spec.id(), j.done, j.running);
      if (!p.equals(told.put(j.spec.id(), p))) {
        jobApi.progress(p);
        calls.toPeers(p);
      }
    }
  }
}
