package org.snowturn.simulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.wire.JobSpec;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;

/** A scenario file: settings, timed events and what must hold in the end. See scenarios/README. */
final class Scenario {
  private final List<String> lines = new ArrayList<>();
  private final Map<String, String> options = new HashMap<>();

  /** The world of the last run, for whoever wants to look closer. */
  SimulatedCluster last;

  /** Is told of everything that the controllers of a run send. */
  EffectObserver observer = EffectObserver.NONE;

  static Scenario read(Path file) throws IOException {
    return of(Files.readAllLines(file));
  }

  static Scenario of(List<String> text) {
    Scenario s = new Scenario();
    for (String raw : text) {
      String line = raw.replaceFirst("#.*", "").trim();
      if (line.isEmpty()) {
        continue;
      }
      String[] w = line.split("\\s+", 2);
      if (w[0].equals("at") || w[0].equals("expect")) {
        s.lines.add(line);
      } else {
        s.options.put(w[0], w.length > 1 ? w[1] : "");
      }
    }
    return s;
  }

  long[] seeds() {
    String[] w = options.getOrDefault("seeds", "1").split("\\s+");
    long[] out = new long[w.length];
    for (int i = 0; i < w.length; i++) {
      out[i] = Long.parseLong(w[i]);
    }
    return out;
  }

  /** Runs it once; returns what went wrong, empty if nothing did. */
  List<String> run(long seed) throws IOException, MalformedException {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings(), tunables());
    last = cluster;
    cluster.observer = observer;
    if (options.containsKey("boot")) {
      cluster.cloud.bootMs = ms(options.get("boot"));
    }
    cluster.cloud.perZone = Integer.parseInt(options.getOrDefault("capacity", "2"));
    for (String s : options.getOrDefault("sabotage", "").split("\\s+")) {
      cluster.sabotage.add(s);
    }
    List<String> zones = cluster.settings[0].zones();
    int rented = Integer.parseInt(options.getOrDefault("machines", "3"));
    for (int i = 0; i < rented; i++) {
      cluster.cloud.rent(zones.get(i % zones.size()), false);
    }
    if (options.containsKey("fixture")) {
      cluster.state.load(Path.of("src/test/resources/fixtures", options.get("fixture")));
    }
    List<String> down = List.of(options.getOrDefault("down", "").split("\\s+"));
    cluster.nodes.stream()
        .filter(node -> !down.contains(node.name))
        .forEach(node -> cluster.after(cluster.random.nextInt(300), node::start));
    for (String line : lines) {
      String[] e = line.split("\\s+");
      if (e[0].equals("at")) {
        cluster.after((long) (Double.parseDouble(e[1]) * 1000), () -> event(cluster, e));
      }
    }
    if (options.containsKey("chaos")) {
      new RandomFaults(cluster).start(Long.parseLong(options.get("chaos")) * 1000);
    }
    cluster.calmFrom = calmFrom();
    cluster.runUntil(Long.parseLong(options.getOrDefault("until", "120")) * 1000);
    if (options.containsKey("serve")) {
      String[] p = options.get("serve").split("\\s+");
      cluster.rules.checkServed(Double.parseDouble(p[0]), ms(p[1]));
    }
    return verdict(cluster);
  }

  /**
   * When the last trouble is over: the last event that is none of the users', and the longest of
   * the times that such an event names.
   */
  private long calmFrom() {
    double calm = Double.parseDouble(options.getOrDefault("chaos", "0"));
    for (String line : lines) {
      String[] e = line.split("\\s+");
      if (!e[0].equals("at")
          || List.of("submit", "cancel", "repeat", "poll", "ready").contains(e[2])) {
        continue;
      }
      double lasts = 0;
      for (int i = 3; i < e.length; i++) {
        lasts = e[i].matches("[0-9.]+") ? Math.max(lasts, Double.parseDouble(e[i])) : lasts;
      }
      calm = Math.max(calm, Double.parseDouble(e[1]) + lasts);
    }
    return (long) (calm * 1000);
  }

  private Tunables tunables() {
    Tunables d = Tunables.defaults();
    double gain = Double.parseDouble(options.getOrDefault("gain", "" + d.gainFactor()));
    boolean on = !options.getOrDefault("speculation", "on").equals("off");
    double cap = Double.parseDouble(options.getOrDefault("cap", "" + d.speculativeCap()));
    return new Tunables(
        d.leaderTtlS(),
        on,
        cap,
        d.slowTaskPercentile(),
        d.slowNodePercentile(),
        d.judgeAfterS(),
        gain,
        d.idleReturnS(),
        d.bootPatience(),
        d.sickErrors(),
        d.urgentSlackS(),
        Double.parseDouble(options.getOrDefault("begin-within", "" + d.beginWithinS())));
  }

  Settings[] settings() {
    List<Settings.Team> teams = new ArrayList<>();
    for (String t : options.getOrDefault("teams", "t:0").split("\\s+")) {
      String[] p = t.split(":");
      double guarantee = p.length > 2 ? Double.parseDouble(p[2]) : 0;
      teams.add(new Settings.Team(p[0], guarantee, Double.parseDouble(p[1]), 0, 0));
    }
    double share = Double.parseDouble(options.getOrDefault("on-time", "0.99"));
    Settings[] out = new Settings[3];
    for (int i = 0; i < out.length; i++) {
      List<Settings.Peer> peers = new ArrayList<>();
      for (int p = 0; p < out.length; p++) {
        if (p != i) {
          peers.add(new Settings.Peer("n" + p, new InetSocketAddress("127.0.0.1", 1 + p)));
        }
      }
      InetSocketAddress none = new InetSocketAddress("127.0.0.1", 1);
      out[i] =
          new Settings(
              "n" + i,
              "abc".substring(i, i + 1),
              none,
              none,
              peers,
              none,
              none,
              List.of("a", "b", "c"),
              teams,
              objectives(share),
              workers(),
              limits("state", new Settings.StateLimits(150, 40, 4, 12)),
              limits("next", limits("state", new Settings.StateLimits(150, 40, 4, 12))),
              new Settings.CloudLimits(4, 3),
              1000);
    }
    return out;
  }

  private Settings.Workers workers() {
    String[] p = options.getOrDefault("workers", "2 10 30").split("\\s+");
    return new Settings.Workers(
        Double.parseDouble(p[0]), Double.parseDouble(p[1]), Double.parseDouble(p[2]));
  }

  private List<Settings.Objective> objectives(double share) {
    List<Settings.Objective> out = new ArrayList<>();
    out.add(new Settings.Objective("deadline", "c", share, 1, 0));
    if (options.containsKey("start-within")) {
      double s = Double.parseDouble(options.get("start-within"));
      out.add(new Settings.Objective("wait", "c", 0.9, 0, s));
    }
    return out;
  }

  private Settings.StateLimits limits(String option, Settings.StateLimits absent) {
    if (!options.containsKey(option)) {
      return absent;
    }
    String[] p = options.get(option).split("\\s+");
    return new Settings.StateLimits(
        Double.parseDouble(p[0]),
        Double.parseDouble(p[1]),
        Double.parseDouble(p[2]),
        Integer.parseInt(p[3]));
  }

  private static Map<String, String> named(String[] e, int from) {
    Map<String, String> out = new HashMap<>();
    for (int i = from; i < e.length; i++) {
      int eq = e[i].indexOf('=');
      if (eq > 0) {
        out.put(e[i].substring(0, eq), e[i].substring(eq + 1));
      }
    }
    return out;
  }

  static JobSpec spec(String id, String kind, Map<String, String> o) {
    var object = Json.object();
    object
        .put("id", id)
        .put("jobclass", o.getOrDefault("class", "c"))
        .put("owner", o.getOrDefault("team", "t"));
    object.put("shape", kind).put("rank", o.getOrDefault("rank", "high"));
    object.put("flakes", Integer.parseInt(o.getOrDefault("tasks", "1")));
    object.put("cores", Double.parseDouble(o.getOrDefault("cpus", "2"))).put("cards", 0.0);
    object.put("ram_gb", 4.0).put("bundle", o.getOrDefault("image", "img")).put("size_gb", 0.5);
    object.put("same_place", o.containsKey("one-zone")).put("spread", o.containsKey("spread"));
    object.put("loaners", !o.containsKey("ordinary")).put("field", o.get("zone"));
    object.put("guess_s", Double.parseDouble(o.getOrDefault("guess", "10")));
    object.put("cairn_s", 0.0).put("stash_s", 0.0);
    if (o.containsKey("awaits")) {
      var awaits = object.putArray("awaits");
      names(o.get("awaits")).forEach(awaits::add);
    }
    if (o.containsKey("due")) {
      object.put("due_s", Double.parseDouble(o.get("due")));
    }
    try {
      return JobSpec.parse(object);
    } catch (MalformedException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static JobSpec withoutAwaits(JobSpec spec) {
    var object = spec.toJson();
    object.remove("awaits");
    try {
      return JobSpec.parse(object);
    } catch (MalformedException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Names with commas between; wk-1..wk-9 stands for all from the first to the last. */
  private static List<String> names(String list) {
    List<String> out = new ArrayList<>();
    for (String part : list.split(",")) {
      String[] ends = part.split("\\.\\.");
      long from = number(ends[0]);
      long to = number(ends[ends.length - 1]);
      for (long i = from; i <= to; i++) {
        out.add(ends.length == 1 ? part : String.format("wk-%06d", i));
      }
    }
    return out;
  }

  private static long number(String id) {
    return Long.parseLong(id.substring("wk-".length()));
  }

  private static void submit(SimulatedCluster cluster, String id, String[] e) {
    Map<String, String> o = named(e, 5);
    Map<Integer, Long> odd = new HashMap<>();
    if (o.containsKey("odd")) {
      String[] p = o.get("odd").split(":");
      odd.put(Integer.parseInt(p[0]), ms(p[1]));
    }
    if (o.containsKey("chain") && number(id) > number(names(e[3]).get(0))) {
      o.put("awaits", String.format("wk-%06d", number(id) - 1));
    }
    cluster.users.submit(spec(id, e[4], o), ms(o.getOrDefault("run", "10")), odd);
    cluster.users.job(id).broken = o.containsKey("broken");
  }

  private static SimulatedWorker workerOf(SimulatedCluster cluster, String task) {
    for (SimulatedWorker worker : cluster.workers.values()) {
      for (SimulatedWorker.Task t : worker.tasks.values()) {
        if (t.alive() && t.name().equals(task)) {
          return worker;
        }
      }
    }
    throw new IllegalStateException("at " + cluster.now + ": no machine has " + task);
  }

  private static String who(SimulatedCluster cluster, String name) {
    if (name.equals("standby") || name.equals("another")) {
      SimulatedCluster.Node leader = cluster.leader();
      return cluster.nodes.stream().filter(node -> node != leader).findFirst().orElseThrow().name;
    }
    if (name.equals("leader?")) {
      return cluster.leader() == null ? "n0" : cluster.leader().name;
    }
    if (!name.equals("leader")) {
      return name;
    }
    if (cluster.leader() == null) {
      throw new IllegalStateException("at " + cluster.now + ": nobody leads");
    }
    return cluster.leader().name;
  }

  private static long ms(String seconds) {
    return (long) (Double.parseDouble(seconds) * 1000);
  }

  private void event(SimulatedCluster cluster, String[] e) {
    switch (e[2]) {
      case "submit" -> names(e[3]).forEach(id -> submit(cluster, id, e));
      case "ready" -> {
        if (cluster.node(e[3]).core.ready() != e[4].equals("yes")) {
          cluster.rules.broke("ready", String.join(" ", e));
        }
      }
      case "over" -> names(e[3]).forEach(cluster.state::recordDone);
      case "start" -> cluster.node(e[3]).start();
      case "limits" -> cluster.state.limits = cluster.settings[0].nextStateLimits();
      case "cancel" -> names(e[3]).forEach(cluster.users::cancel);
      case "repeat" -> names(e[3]).forEach(cluster.users::repeat);
      case "poll" -> cluster.users.pollOnce(e[3]);
      case "crash" -> {
        if (e[3].equals("all")) {
          cluster.nodes.forEach(node -> node.crash(ms(e[4])));
        } else if (e[3].equals("standbys")) {
          SimulatedCluster.Node leader = cluster.leader();
          cluster.nodes.stream()
              .filter(node -> node != leader)
              .forEach(node -> node.crash(ms(e[4])));
        } else {
          cluster.node(who(cluster, e[3])).crash(ms(e[4]));
        }
      }
      case "pause" -> cluster.node(who(cluster, e[3])).pause(ms(e[4]));
      case "cut" -> cut(cluster, who(cluster, e[3]), e[4], ms(e[5]), e.length > 6 ? e[6] : "drop");
      case "cut-zone" -> cluster.cutZone(e[3], ms(e[4]));
      case "outage" -> cluster.state.outage(ms(e[3]));
      case "refuse" -> cluster.state.refuse(who(cluster, e[3]), ms(e[4]));
      case "lose-replies" -> {
        cluster.state.loseReplies = Double.parseDouble(e[3]);
        cluster.after(ms(e[4]), () -> cluster.state.loseReplies = 0);
      }
      case "slow-state" -> {
        cluster.state.slow = Integer.parseInt(e[3]);
        cluster.after(ms(e[4]), () -> cluster.state.slow = 1);
      }
      case "spoil" -> cluster.state.spoil(e[3]);
      case "slow-watch" -> cluster.state.watchDelayMs = ms(e[3]);
      case "late-txns" -> {
        cluster.state.lateTxns = Double.parseDouble(e[3]);
        cluster.after(ms(e[4]), () -> cluster.state.lateTxns = 0);
      }
      case "late-commands" -> {
        cluster.delayCommands(ms(e[3]));
        cluster.after(ms(e[4]), () -> cluster.delayCommands(0));
      }
      case "late-answers" -> {
        cluster.delayAnswers(ms(e[3]));
        cluster.after(ms(e[4]), () -> cluster.delayAnswers(0));
      }
      case "cloud-outage" -> {
        cluster.cloud.outage = true;
        cluster.after(ms(e[3]), () -> cluster.cloud.outage = false);
      }
      case "lose-hire" -> cluster.cloud.loseNextHire = true;
      case "list-lag" -> cluster.cloud.listLagMs = ms(e[3]);
      case "die" -> {
        spread(cluster, e[3]).forEach(worker -> cluster.cloud.fail(worker.rented));
      }
      case "kill" -> cluster.cloud.fail(workerOf(cluster, e[3]).rented);
      case "take" -> cluster.cloud.end(workerOf(cluster, e[3]).rented.id);
      case "notice" -> {
        SimulatedWorker worker = workerOf(cluster, e[3]);
        worker.noticeS = Double.parseDouble(e[4]);
        cluster.after(ms(e[4]), () -> cluster.cloud.end(worker.rented.id));
      }
      case "hang" -> hang(cluster, workerOf(cluster, e[3]), ms(e[4]));
      case "hang-many" -> spread(cluster, e[3]).forEach(worker -> hang(cluster, worker, ms(e[4])));
      case "isolate" -> isolate(cluster, workerOf(cluster, e[3]), ms(e[4]));
      case "isolate-many" ->
          spread(cluster, e[3]).forEach(worker -> isolate(cluster, worker, ms(e[4])));
      case "reboot" -> workerOf(cluster, e[3]).reboot();
      case "sick" -> workerOf(cluster, e[3]).sick = true;
      case "slow" -> workerOf(cluster, e[3]).slow = Double.parseDouble(e[4]);
      case "slow-machine" -> machine(cluster, e[3]).slow = Double.parseDouble(e[4]);
      case "sick-machine" -> machine(cluster, e[3]).sick = true;
      case "mute" -> mute(cluster, machine(cluster, e[3]), ms(e[4]));
      case "close-looks" -> cluster.users.closeLooks(ms(e[3]));
      case "odd-requests" -> cluster.users.oddRequests(ms(e[3]));
      case "cancel-now" ->
          cluster.users.cancelNow(Integer.parseInt(e[3]), e.length > 4 ? ms(e[4]) : 0);
      case "cancel-at-end" -> {
        cluster.users.cancelAtEnd(Double.parseDouble(e[3]));
        cluster.after(ms(e[4]), () -> cluster.users.cancelAtEnd(0));
      }
      case "mute-many" -> spread(cluster, e[3]).forEach(worker -> mute(cluster, worker, ms(e[4])));
      case "mute-zone" ->
          cluster.workers.values().stream()
              .filter(worker -> worker.rented.zone.equals(e[3]))
              .forEach(worker -> mute(cluster, worker, ms(e[4])));
      case "slow-links" -> {
        cluster.linkMs = ms(e[3]);
        cluster.after(ms(e[4]), () -> cluster.linkMs = 0);
      }
      case "slow-reports" -> {
        cluster.slowReportsMs = ms(e[3]);
        cluster.after(ms(e[4]), () -> cluster.slowReportsMs = 0);
      }
      case "keep-reports" -> {
        cluster.keepReports(true);
        cluster.after(ms(e[3]), () -> cluster.keepReports(false));
      }
      case "deafen" -> cluster.deafen(machine(cluster, e[3]), ms(e[4]));
      case "deafen-many" ->
          spread(cluster, e[3]).forEach(worker -> cluster.deafen(worker, ms(e[4])));
      case "deafen-zone" ->
          cluster.workers.values().stream()
              .filter(worker -> worker.rented.zone.equals(e[3]))
              .forEach(worker -> cluster.deafen(worker, ms(e[4])));
      case "sick-many" -> spread(cluster, e[3]).forEach(worker -> worker.sick = true);
      case "copies" -> {
        cluster.copyReports(ms(e[3]));
        cluster.after(ms(e[4]), () -> cluster.copyReports(0));
      }
      default -> throw new IllegalArgumentException("unknown event: " + e[2]);
    }
  }

  static void hang(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    worker.hung = true;
    cluster.after(ms, () -> worker.hung = false);
  }

  /** The machine reaches no controller; direct commands reach it. */
  private static void mute(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    worker.mute = true;
    cluster.after(ms, () -> worker.mute = false);
  }

  private static void isolate(SimulatedCluster cluster, SimulatedWorker worker, long ms) {
    cluster.nodes.forEach(node -> cluster.cut(worker.addr, node.name, SimulatedCluster.Cut.HOLD));
    cluster.after(ms, () -> cluster.nodes.forEach(node -> cluster.heal(worker.addr, node.name)));
  }

  /** So many machines from all over the fleet. */
  private static List<SimulatedWorker> spread(SimulatedCluster cluster, String count) {
    List<SimulatedWorker> all = List.copyOf(cluster.workers.values());
    int n = Integer.parseInt(count);
    List<SimulatedWorker> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(all.get(i * all.size() / n));
    }
    return out;
  }

  private static SimulatedWorker machine(SimulatedCluster cluster, String index) {
    return cluster.workers.values().stream()
        .skip(Integer.parseInt(index))
        .findFirst()
        .orElseThrow();
  }

  private static void cut(SimulatedCluster cluster, String node, String from, long ms, String how) {
    SimulatedCluster.Cut mode =
        how.equals("hold") ? SimulatedCluster.Cut.HOLD : SimulatedCluster.Cut.DROP;
    List<String> ends = new ArrayList<>();
    boolean all = from.equals("all");
    if (all || from.equals("state")) {
      ends.add("state");
    }
    if (all || from.equals("cloud")) {
      ends.add("cloud");
    }
    if (all || from.equals("workers")) {
      ends.add(SimulatedCluster.ALL_WORKERS);
    }
    if (all || from.equals("peers")) {
      cluster.nodes.stream()
          .map(other -> other.name)
          .filter(name -> !name.equals(node))
          .forEach(ends::add);
    }
    if (all) {
      ends.add("user");
    }
    ends.forEach(x -> cluster.cut(node, x, mode));
    cluster.after(ms, () -> ends.forEach(x -> cluster.heal(node, x)));
  }

  /** Where the notes say that the job's first task was started last. */
  private static String lastMachine(SimulatedCluster cluster, String job) {
    String start = " task=" + job + "/0 attempt=";
    String machine = " machine=";
    return cluster.log.stream()
        .filter(l -> l.contains(" event=start_sent ") && l.contains(start))
        .map(l -> l.substring(l.indexOf(machine) + machine.length()))
        .reduce("", (a, b) -> b);
  }

  private static long firstNote(SimulatedCluster cluster, String text, long from) {
    return cluster.log.stream()
        .filter(l -> l.contains(text))
        .mapToLong(l -> Long.parseLong(l.substring(0, l.indexOf(' '))))
        .filter(at -> at >= from)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private List<String> verdict(SimulatedCluster cluster) {
    List<String> wrong = new ArrayList<>();
    List<String> brokenExpected = new ArrayList<>();
    for (String line : lines) {
      String[] e = line.split("\\s+");
      if (!e[0].equals("expect")) {
        continue;
      }
      switch (e[1]) {
        case "done", "aborted" -> {
          for (String id : names(e[2])) {
            SimulatedClients.Mine submitted = cluster.users.job(id);
            boolean late = e.length > 4 && submitted.doneAt > ms(e[4]);
            if (!e[1].equals(submitted.terminal) || late) {
              wrong.add(
                  line + ", but " + id + " " + submitted.terminal + " at " + submitted.doneAt);
            }
          }
        }
        case "all-over" -> {
          for (SimulatedClients.Mine submitted : cluster.users.all()) {
            if (submitted.terminal == null && !submitted.spec.service()) {
              wrong.add(submitted.spec.id() + " is not over");
            }
          }
        }
        case "running" -> {
          for (String id : names(e[2])) {
            long n =
                cluster.workers.values().stream()
                    .flatMap(worker -> worker.tasks.values().stream())
                    .filter(task -> task.present && task.job.equals(id))
                    .count();
            if (n != Integer.parseInt(e[3])) {
              wrong.add(line + ", but " + n + " of " + id);
            }
          }
        }
        case "on-ordinary" -> {
          long n =
              cluster.workers.values().stream()
                  .filter(worker -> !worker.rented.spot)
                  .flatMap(worker -> worker.tasks.values().stream())
                  .filter(task -> task.present && task.job.equals(e[2]))
                  .count();
          if (n != Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "running-outside" -> {
          long n =
              cluster.workers.values().stream()
                  .filter(worker -> !worker.rented.zone.equals(e[2]))
                  .flatMap(worker -> worker.tasks.values().stream())
                  .filter(task -> task.present && task.job.equals(e[3]))
                  .count();
          if (n != Integer.parseInt(e[4])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "same-machine" -> {
          if (!lastMachine(cluster, e[2]).equals(lastMachine(cluster, e[3]))) {
            wrong.add(
                line
                    + ", but "
                    + lastMachine(cluster, e[2])
                    + " and "
                    + lastMachine(cluster, e[3]));
          }
        }
        case "refused" -> {
          if (!e[3].equals(cluster.users.job(e[2]).refused)) {
            wrong.add(line + ", but " + cluster.users.job(e[2]).refused);
          }
        }
        case "note", "no-note" -> {
          String text = line.split("\\s+", 3)[2];
          boolean found = cluster.log.stream().anyMatch(l -> l.contains(text));
          if (found != e[1].equals("note")) {
            wrong.add(line);
          }
        }
        case "notes" -> {
          String text = line.split("\\s+", 4)[3];
          long n = cluster.log.stream().filter(l -> l.contains(text)).count();
          if (n != Long.parseLong(e[2])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "notes-most" -> {
          String text = line.split("\\s+", 4)[3];
          long n = cluster.log.stream().filter(l -> l.contains(text)).count();
          if (n > Long.parseLong(e[2])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "notes-by" -> {
          String text = line.split("\\s+", 5)[4];
          long by = ms(e[3]);
          long n =
              cluster.log.stream()
                  .filter(l -> l.contains(text))
                  .filter(l -> Long.parseLong(l.substring(0, l.indexOf(' '))) <= by)
                  .count();
          if (n < Long.parseLong(e[2])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "relayed-least" -> {
          if (cluster.relayed < Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + cluster.relayed);
          }
        }
        case "starts-lost-most" -> {
          if (cluster.startsLost > Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + cluster.startsLost);
          }
        }
        case "starts-mute-most" -> {
          if (cluster.startsMute > Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + cluster.startsMute);
          }
        }
        case "questions-most" -> {
          if (cluster.questions > Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + cluster.questions);
          }
        }
        case "first" -> {
          // expect first FROM BY TEXT: the first such note after FROM comes until BY
          String text = line.split("\\s+", 5)[4];
          long at = firstNote(cluster, text, ms(e[2]));
          if (at > ms(e[3])) {
            wrong.add(line + ", but " + (at == Long.MAX_VALUE ? "never" : at));
          }
        }
        case "hired-most" -> {
          long n =
              cluster.cloud.machines.values().stream()
                  .filter(r -> r.zone.equals(e[2]) && r.at >= ms(e[5]))
                  .count();
          if (n > Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "cloud-most" -> {
          int n = cluster.cloud.calls.getOrDefault(e[2], 0);
          if (n > Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "most-refused" -> {
          int n = cluster.state.refusals.getOrDefault(e[2], 0);
          if (n > Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "before" -> {
          if (cluster.users.job(e[2]).doneAt >= cluster.users.job(e[3]).doneAt) {
            wrong.add(
                line
                    + ", but "
                    + cluster.users.job(e[2]).doneAt
                    + " and "
                    + cluster.users.job(e[3]).doneAt);
          }
        }
        case "keys" -> {
          if (cluster.state.count(e[2]) != Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + cluster.state.count(e[2]));
          }
        }
        case "broken" -> brokenExpected.add(e[2]);
        default -> throw new IllegalArgumentException("unknown expectation: " + line);
      }
    }
    if (brokenExpected.isEmpty()) {
      wrong.addAll(cluster.rules.details);
    } else {
      for (String rule : brokenExpected) {
        if (!cluster.rules.broken.contains(rule)) {
          wrong.add("the checker did not see " + rule + " broken");
        }
      }
    }
    if (!wrong.isEmpty()) {
      List<String> tail =
          cluster.log.subList(Math.max(0, cluster.log.size() - 40), cluster.log.size());
      wrong.add("last notes:\n" + String.join("\n", tail));
    }
    return wrong;
  }
}
