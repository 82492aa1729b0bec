package org.snowturn.sim;

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
  World last;

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
    World w = new World(seed, settings(), tunables());
    last = w;
    w.observer = observer;
    if (options.containsKey("boot")) {
      w.cloud.bootMs = ms(options.get("boot"));
    }
    w.cloud.perZone = Integer.parseInt(options.getOrDefault("capacity", "2"));
    for (String s : options.getOrDefault("sabotage", "").split("\\s+")) {
      w.sabotage.add(s);
    }
    List<String> zones = w.settings[0].zones();
    int rented = Integer.parseInt(options.getOrDefault("machines", "3"));
    for (int i = 0; i < rented; i++) {
      w.cloud.rent(zones.get(i % zones.size()), false);
    }
    if (options.containsKey("fixture")) {
      w.state.load(Path.of("src/test/resources/fixtures", options.get("fixture")));
    }
    List<String> down = List.of(options.getOrDefault("down", "").split("\\s+"));
    w.nodes.stream()
        .filter(n -> !down.contains(n.name))
        .forEach(n -> w.after(w.random.nextInt(300), n::start));
    for (String line : lines) {
      String[] e = line.split("\\s+");
      if (e[0].equals("at")) {
        w.after((long) (Double.parseDouble(e[1]) * 1000), () -> event(w, e));
      }
    }
    if (options.containsKey("chaos")) {
      new Chaos(w).start(Long.parseLong(options.get("chaos")) * 1000);
    }
    w.calmFrom = calmFrom();
    w.runUntil(Long.parseLong(options.getOrDefault("until", "120")) * 1000);
    if (options.containsKey("serve")) {
      String[] p = options.get("serve").split("\\s+");
      w.rules.checkServed(Double.parseDouble(p[0]), ms(p[1]));
    }
    return verdict(w);
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
    var n = Json.object();
    n.put("id", id)
        .put("jobclass", o.getOrDefault("class", "c"))
        .put("owner", o.getOrDefault("team", "t"));
    n.put("shape", kind).put("rank", o.getOrDefault("rank", "high"));
    n.put("flakes", Integer.parseInt(o.getOrDefault("tasks", "1")));
    n.put("cores", Double.parseDouble(o.getOrDefault("cpus", "2"))).put("cards", 0.0);
    n.put("ram_gb", 4.0).put("bundle", o.getOrDefault("image", "img")).put("size_gb", 0.5);
    n.put("same_place", o.containsKey("one-zone")).put("spread", o.containsKey("spread"));
    n.put("loaners", !o.containsKey("ordinary")).put("field", o.get("zone"));
    n.put("guess_s", Double.parseDouble(o.getOrDefault("guess", "10")));
    n.put("cairn_s", 0.0).put("stash_s", 0.0);
    if (o.containsKey("awaits")) {
      var awaits = n.putArray("awaits");
      names(o.get("awaits")).forEach(awaits::add);
    }
    if (o.containsKey("due")) {
      n.put("due_s", Double.parseDouble(o.get("due")));
    }
    try {
      return JobSpec.parse(n);
    } catch (MalformedException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static JobSpec withoutAwaits(JobSpec s) {
    var n = s.toJson();
    n.remove("awaits");
    try {
      return JobSpec.parse(n);
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

  private static void submit(World w, String id, String[] e) {
    Map<String, String> o = named(e, 5);
    Map<Integer, Long> odd = new HashMap<>();
    if (o.containsKey("odd")) {
      String[] p = o.get("odd").split(":");
      odd.put(Integer.parseInt(p[0]), ms(p[1]));
    }
    if (o.containsKey("chain") && number(id) > number(names(e[3]).get(0))) {
      o.put("awaits", String.format("wk-%06d", number(id) - 1));
    }
    w.users.submit(spec(id, e[4], o), ms(o.getOrDefault("run", "10")), odd);
    w.users.job(id).broken = o.containsKey("broken");
  }

  private static StandInWorker workerOf(World w, String task) {
    for (StandInWorker x : w.workers.values()) {
      for (StandInWorker.Task t : x.tasks.values()) {
        if (t.alive() && t.name().equals(task)) {
          return x;
        }
      }
    }
    throw new IllegalStateException("at " + w.now + ": no machine has " + task);
  }

  private static String who(World w, String name) {
    if (name.equals("standby") || name.equals("another")) {
      World.Node leader = w.leader();
      return w.nodes.stream().filter(n -> n != leader).findFirst().orElseThrow().name;
    }
    if (name.equals("leader?")) {
      return w.leader() == null ? "n0" : w.leader().name;
    }
    if (!name.equals("leader")) {
      return name;
    }
    if (w.leader() == null) {
      throw new IllegalStateException("at " + w.now + ": nobody leads");
    }
    return w.leader().name;
  }

  private static long ms(String seconds) {
    return (long) (Double.parseDouble(seconds) * 1000);
  }

  private void event(World w, String[] e) {
    switch (e[2]) {
      case "submit" -> names(e[3]).forEach(id -> submit(w, id, e));
      case "ready" -> {
        if (w.node(e[3]).core.ready() != e[4].equals("yes")) {
          w.rules.broke("ready", String.join(" ", e));
        }
      }
      case "over" -> names(e[3]).forEach(w.state::recordDone);
      case "start" -> w.node(e[3]).start();
      case "limits" -> w.state.limits = w.settings[0].nextStateLimits();
      case "cancel" -> names(e[3]).forEach(w.users::cancel);
      case "repeat" -> names(e[3]).forEach(w.users::repeat);
      case "poll" -> w.users.pollOnce(e[3]);
      case "crash" -> {
        if (e[3].equals("all")) {
          w.nodes.forEach(n -> n.crash(ms(e[4])));
        } else if (e[3].equals("standbys")) {
          World.Node leader = w.leader();
          w.nodes.stream().filter(n -> n != leader).forEach(n -> n.crash(ms(e[4])));
        } else {
          w.node(who(w, e[3])).crash(ms(e[4]));
        }
      }
      case "pause" -> w.node(who(w, e[3])).pause(ms(e[4]));
      case "cut" -> cut(w, who(w, e[3]), e[4], ms(e[5]), e.length > 6 ? e[6] : "drop");
      case "cut-zone" -> w.cutZone(e[3], ms(e[4]));
      case "outage" -> w.state.outage(ms(e[3]));
      case "refuse" -> w.state.refuse(who(w, e[3]), ms(e[4]));
      case "lose-replies" -> {
        w.state.loseReplies = Double.parseDouble(e[3]);
        w.after(ms(e[4]), () -> w.state.loseReplies = 0);
      }
      case "slow-state" -> {
        w.state.slow = Integer.parseInt(e[3]);
        w.after(ms(e[4]), () -> w.state.slow = 1);
      }
      case "spoil" -> w.state.spoil(e[3]);
      case "slow-watch" -> w.state.watchDelayMs = ms(e[3]);
      case "late-txns" -> {
        w.state.lateTxns = Double.parseDouble(e[3]);
        w.after(ms(e[4]), () -> w.state.lateTxns = 0);
      }
      case "late-commands" -> {
        w.delayCommands(ms(e[3]));
        w.after(ms(e[4]), () -> w.delayCommands(0));
      }
      case "late-answers" -> {
        w.delayAnswers(ms(e[3]));
        w.after(ms(e[4]), () -> w.delayAnswers(0));
      }
      case "cloud-outage" -> {
        w.cloud.outage = true;
        w.after(ms(e[3]), () -> w.cloud.outage = false);
      }
      case "lose-hire" -> w.cloud.loseNextHire = true;
      case "list-lag" -> w.cloud.listLagMs = ms(e[3]);
      case "die" -> {
        spread(w, e[3]).forEach(x -> w.cloud.fail(x.rented));
      }
      case "kill" -> w.cloud.fail(workerOf(w, e[3]).rented);
      case "take" -> w.cloud.end(workerOf(w, e[3]).rented.id);
      case "notice" -> {
        StandInWorker x = workerOf(w, e[3]);
        x.noticeS = Double.parseDouble(e[4]);
        w.after(ms(e[4]), () -> w.cloud.end(x.rented.id));
      }
      case "hang" -> hang(w, workerOf(w, e[3]), ms(e[4]));
      case "hang-many" -> spread(w, e[3]).forEach(x -> hang(w, x, ms(e[4])));
      case "isolate" -> isolate(w, workerOf(w, e[3]), ms(e[4]));
      case "isolate-many" -> spread(w, e[3]).forEach(x -> isolate(w, x, ms(e[4])));
      case "reboot" -> workerOf(w, e[3]).reboot();
      case "sick" -> workerOf(w, e[3]).sick = true;
      case "slow" -> workerOf(w, e[3]).slow = Double.parseDouble(e[4]);
      case "slow-machine" -> machine(w, e[3]).slow = Double.parseDouble(e[4]);
      case "sick-machine" -> machine(w, e[3]).sick = true;
      case "mute" -> mute(w, machine(w, e[3]), ms(e[4]));
      case "close-looks" -> w.users.closeLooks(ms(e[3]));
      case "odd-requests" -> w.users.oddRequests(ms(e[3]));
      case "cancel-now" -> w.users.cancelNow(Integer.parseInt(e[3]), e.length > 4 ? ms(e[4]) : 0);
      case "cancel-at-end" -> {
        w.users.cancelAtEnd(Double.parseDouble(e[3]));
        w.after(ms(e[4]), () -> w.users.cancelAtEnd(0));
      }
      case "mute-many" -> spread(w, e[3]).forEach(x -> mute(w, x, ms(e[4])));
      case "mute-zone" ->
          w.workers.values().stream()
              .filter(x -> x.rented.zone.equals(e[3]))
              .forEach(x -> mute(w, x, ms(e[4])));
      case "slow-links" -> {
        w.linkMs = ms(e[3]);
        w.after(ms(e[4]), () -> w.linkMs = 0);
      }
      case "slow-reports" -> {
        w.slowReportsMs = ms(e[3]);
        w.after(ms(e[4]), () -> w.slowReportsMs = 0);
      }
      case "keep-reports" -> {
        w.keepReports(true);
        w.after(ms(e[3]), () -> w.keepReports(false));
      }
      case "deafen" -> w.deafen(machine(w, e[3]), ms(e[4]));
      case "deafen-many" -> spread(w, e[3]).forEach(x -> w.deafen(x, ms(e[4])));
      case "deafen-zone" ->
          w.workers.values().stream()
              .filter(x -> x.rented.zone.equals(e[3]))
              .forEach(x -> w.deafen(x, ms(e[4])));
      case "sick-many" -> spread(w, e[3]).forEach(x -> x.sick = true);
      case "copies" -> {
        w.copyReports(ms(e[3]));
        w.after(ms(e[4]), () -> w.copyReports(0));
      }
      default -> throw new IllegalArgumentException("unknown event: " + e[2]);
    }
  }

  static void hang(World w, StandInWorker x, long ms) {
    x.hung = true;
    w.after(ms, () -> x.hung = false);
  }

  /** The machine reaches no controller; direct commands reach it. */
  private static void mute(World w, StandInWorker x, long ms) {
    x.mute = true;
    w.after(ms, () -> x.mute = false);
  }

  private static void isolate(World w, StandInWorker x, long ms) {
    w.nodes.forEach(n -> w.cut(x.addr, n.name, World.Cut.HOLD));
    w.after(ms, () -> w.nodes.forEach(n -> w.heal(x.addr, n.name)));
  }

  /** So many machines from all over the fleet. */
  private static List<StandInWorker> spread(World w, String count) {
    List<StandInWorker> all = List.copyOf(w.workers.values());
    int n = Integer.parseInt(count);
    List<StandInWorker> out = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      out.add(all.get(i * all.size() / n));
    }
    return out;
  }

  private static StandInWorker machine(World w, String index) {
    return w.workers.values().stream().skip(Integer.parseInt(index)).findFirst().orElseThrow();
  }

  private static void cut(World w, String node, String from, long ms, String how) {
    World.Cut mode = how.equals("hold") ? World.Cut.HOLD : World.Cut.DROP;
    List<String> ends = new ArrayList<>();
    boolean all = from.equals("all");
    if (all || from.equals("state")) {
      ends.add("state");
    }
    if (all || from.equals("cloud")) {
      ends.add("cloud");
    }
    if (all || from.equals("workers")) {
      ends.add(World.ALL_WORKERS);
    }
    if (all || from.equals("peers")) {
      w.nodes.stream().map(n -> n.name).filter(n -> !n.equals(node)).forEach(ends::add);
    }
    if (all) {
      ends.add("user");
    }
    ends.forEach(x -> w.cut(node, x, mode));
    w.after(ms, () -> ends.forEach(x -> w.heal(node, x)));
  }

  /** Where the notes say that the job's first task was started last. */
  private static String lastMachine(World w, String job) {
    String start = " start " + job + "/0 on ";
    return w.log.stream()
        .filter(l -> l.contains(start))
        .map(l -> l.substring(l.indexOf(start) + start.length()))
        .reduce("", (a, b) -> b);
  }

  private static long firstNote(World w, String text, long from) {
    return w.log.stream()
        .filter(l -> l.contains(text))
        .mapToLong(l -> Long.parseLong(l.substring(0, l.indexOf(' '))))
        .filter(at -> at >= from)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private List<String> verdict(World w) {
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
            Users.Mine m = w.users.job(id);
            boolean late = e.length > 4 && m.doneAt > ms(e[4]);
            if (!e[1].equals(m.terminal) || late) {
              wrong.add(line + ", but " + id + " " + m.terminal + " at " + m.doneAt);
            }
          }
        }
        case "all-over" -> {
          for (Users.Mine m : w.users.all()) {
            if (m.terminal == null && !m.spec.service()) {
              wrong.add(m.spec.id() + " is not over");
            }
          }
        }
        case "running" -> {
          for (String id : names(e[2])) {
            long n =
                w.workers.values().stream()
                    .flatMap(x -> x.tasks.values().stream())
                    .filter(t -> t.present && t.job.equals(id))
                    .count();
            if (n != Integer.parseInt(e[3])) {
              wrong.add(line + ", but " + n + " of " + id);
            }
          }
        }
        case "on-ordinary" -> {
          long n =
              w.workers.values().stream()
                  .filter(x -> !x.rented.spot)
                  .flatMap(x -> x.tasks.values().stream())
                  .filter(t -> t.present && t.job.equals(e[2]))
                  .count();
          if (n != Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "running-outside" -> {
          long n =
              w.workers.values().stream()
                  .filter(x -> !x.rented.zone.equals(e[2]))
                  .flatMap(x -> x.tasks.values().stream())
                  .filter(t -> t.present && t.job.equals(e[3]))
                  .count();
          if (n != Integer.parseInt(e[4])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "same-machine" -> {
          if (!lastMachine(w, e[2]).equals(lastMachine(w, e[3]))) {
            wrong.add(line + ", but " + lastMachine(w, e[2]) + " and " + lastMachine(w, e[3]));
          }
        }
        case "refused" -> {
          if (!e[3].equals(w.users.job(e[2]).refused)) {
            wrong.add(line + ", but " + w.users.job(e[2]).refused);
          }
        }
        case "note", "no-note" -> {
          String text = line.split("\\s+", 3)[2];
          boolean found = w.log.stream().anyMatch(l -> l.contains(text));
          if (found != e[1].equals("note")) {
            wrong.add(line);
          }
        }
        case "notes" -> {
          String text = line.split("\\s+", 4)[3];
          long n = w.log.stream().filter(l -> l.contains(text)).count();
          if (n != Long.parseLong(e[2])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "notes-most" -> {
          String text = line.split("\\s+", 4)[3];
          long n = w.log.stream().filter(l -> l.contains(text)).count();
          if (n > Long.parseLong(e[2])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "notes-by" -> {
          String text = line.split("\\s+", 5)[4];
          long by = ms(e[3]);
          long n =
              w.log.stream()
                  .filter(l -> l.contains(text))
                  .filter(l -> Long.parseLong(l.substring(0, l.indexOf(' '))) <= by)
                  .count();
          if (n < Long.parseLong(e[2])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "relayed-least" -> {
          if (w.relayed < Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + w.relayed);
          }
        }
        case "starts-lost-most" -> {
          if (w.startsLost > Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + w.startsLost);
          }
        }
        case "starts-mute-most" -> {
          if (w.startsMute > Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + w.startsMute);
          }
        }
        case "questions-most" -> {
          if (w.questions > Integer.parseInt(e[2])) {
            wrong.add(line + ", but " + w.questions);
          }
        }
        case "first" -> {
          // expect first FROM BY TEXT: the first such note after FROM comes until BY
          String text = line.split("\\s+", 5)[4];
          long at = firstNote(w, text, ms(e[2]));
          if (at > ms(e[3])) {
            wrong.add(line + ", but " + (at == Long.MAX_VALUE ? "never" : at));
          }
        }
        case "hired-most" -> {
          long n =
              w.cloud.machines.values().stream()
                  .filter(r -> r.zone.equals(e[2]) && r.at >= ms(e[5]))
                  .count();
          if (n > Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "cloud-most" -> {
          int n = w.cloud.calls.getOrDefault(e[2], 0);
          if (n > Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "most-refused" -> {
          int n = w.state.refusals.getOrDefault(e[2], 0);
          if (n > Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + n);
          }
        }
        case "before" -> {
          if (w.users.job(e[2]).doneAt >= w.users.job(e[3]).doneAt) {
            wrong.add(
                line + ", but " + w.users.job(e[2]).doneAt + " and " + w.users.job(e[3]).doneAt);
          }
        }
        case "keys" -> {
          if (w.state.count(e[2]) != Integer.parseInt(e[3])) {
            wrong.add(line + ", but " + w.state.count(e[2]));
          }
        }
        case "broken" -> brokenExpected.add(e[2]);
        default -> throw new IllegalArgumentException("unknown expectation: " + line);
      }
    }
    if (brokenExpected.isEmpty()) {
      wrong.addAll(w.rules.details);
    } else {
      for (String rule : brokenExpected) {
        if (!w.rules.broken.contains(rule)) {
          wrong.add("the checker did not see " + rule + " broken");
        }
      }
    }
    if (!wrong.isEmpty()) {
      List<String> tail = w.log.subList(Math.max(0, w.log.size() - 40), w.log.size());
      wrong.add("last notes:\n" + String.join("\n", tail));
    }
    return wrong;
  }
}
