package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongFunction;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Controller;
import org.snowturn.core.Effect;
import org.snowturn.core.Input;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.wire.Heartbeat;
import org.snowturn.wire.MalformedException;

/**
 * A small world in simulated time: controllers running the real core, and stand-ins for all they
 * deal with. Everything is drawn from one seed, so a run repeats exactly.
 */
final class SimulatedCluster {
  private static final long TICK_MS = 40;

  private record Event(long at, long order, Runnable run) {}

  /** Stands for all machines, those that come up later included, at one end of a cut. */
  static final String ALL_WORKERS = "workers";

  /** How a cut treats messages. */
  enum Cut {
    DROP,
    HOLD
  }

  final Random random;
  final Settings[] settings;
  final InvariantChecker invariants = new InvariantChecker(this);
  final SimulatedStateService state;
  final SimulatedCloud cloud = new SimulatedCloud(this);
  final SimulatedClients clients = new SimulatedClients(this);
  final List<Node> nodes = new ArrayList<>();

  /** The controllers that users and workers turn to: the nodes, or processes of their own. */
  final List<Endpoint> endpoints = new ArrayList<>();

  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  final Tunables tunables;
  final Set<String> seededBugs = new HashSet<>();
  final ClusterLog log = new ClusterLog();
  long now;
  private long order;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private final Map<String, Cut> cuts = new LinkedHashMap<>();
  private final Map<String, List<Runnable>> heldMessages = new LinkedHashMap<>();
  private final Set<String> inboundDropped = new HashSet<>();
  private final Set<String> cutZones = new HashSet<>();
  private long lateCommandsMs;
  private long lateCommandRepliesMs;
  private long maxDuplicateDelayMs;
  private boolean holdingHeartbeats;
  private final List<Runnable> heldHeartbeats = new ArrayList<>();

  /** Every message takes so much longer, and up to twice that. */
  long linkDelayMs;

  /** Check-ins wait so long on their way, as in a node that is behind; direct answers do not. */
  long heartbeatDelayMs;

  private Links links = (from, to) -> 0;

  /** Is told of every message that the stand-ins of a world in real time take or give. */
  MessageLog messages = MessageLog.NONE;

  /** Is told of everything that the controllers send. */
  EffectObserver observer = EffectObserver.NONE;

  /** When the answer to a check-in that a worker is just taking in left its node. */
  long answerLeftAt;

  /** Direct messages to workers so far, and those of them without any command. */
  int directMessages;

  int probes;

  /** Tasks started on machines that reached no controller, and so could renew no lease. */
  int startsUnleased;

  /** Starts sent to machines that received nothing. */
  int startsLost;

  /** From then on nothing is in trouble any more. */
  long faultsEndMs = Long.MAX_VALUE;

  /** Check-ins that workers have sent, and direct messages that they have received. */
  long heartbeats;

  long commands;

  /** Calls to the state service that went through a peer and were answered. */
  int relayed;

  /** Figures of the machines and of the users' habits. */
  SimulationParameters parameters = SimulationParameters.SMALL;

  SimulatedCluster(long seed, Settings[] settings, Tunables tunables) {
    this.random = new Random(seed);
    this.settings = settings;
    this.tunables = tunables;
    this.state = new SimulatedStateService(this);
    for (Settings s : settings) {
      nodes.add(new Node(s));
    }
    endpoints.addAll(nodes);
  }

  /**
   * A world in real time, whose controllers are processes of their own: see {@link RealTimeDriver}.
   */
  static SimulatedCluster ofProcesses(long seed, Settings[] settings, SimulationParameters sizes) {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, Tunables.defaults());
    cluster.nodes.clear();
    cluster.endpoints.clear();
    cluster.parameters = sizes;
    return cluster;
  }

  void after(long ms, Runnable run) {
    events.add(new Event(now + Math.max(0, ms), order++, run));
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event e = events.poll();
      now = e.at;
      e.run.run();
      invariants.check();
    }
    now = end;
  }

  /** Runs what is due by now in real time; the rules are looked at by whoever drives it. */
  void runDue(long realNow) {
    now = Math.max(now, realNow);
    while (!events.isEmpty() && events.peek().at <= now) {
      events.poll().run.run();
    }
  }

  /** Milliseconds until the next event, at most so many. */
  long idleMs(long most) {
    return events.isEmpty() ? most : Math.max(0, Math.min(most, events.peek().at - now));
  }

  long jitter(long ms) {
    return ms + random.nextInt((int) Math.max(1, ms));
  }

  // --- the network ---

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  void cut(String a, String b, Cut how) {
    cuts.put(pair(a, b), how);
  }

  void heal(String a, String b) {
    cuts.remove(pair(a, b));
    List<Runnable> late = heldMessages.remove(pair(a, b));
    if (late != null) {
      late.forEach(r -> after(jitter(2), r));
    }
  }

  void healAll() {
    for (String p : List.copyOf(cuts.keySet())) {
      String[] ends = p.split("\\|", -1);
      heal(ends[0], ends[1]);
    }
  }

  /** How late direct commands arrive now. */
  long lateCommandsMs() {
    return lateCommandsMs;
  }

  void delayCommands(long ms) {
    lateCommandsMs = ms;
  }

  /** Direct commands arrive at once, but what the machine says to them only so much later. */
  void delayCommandReplies(long ms) {
    lateCommandRepliesMs = ms;
  }

  /** Cuts a zone off from everything outside of it, machines that come up later included. */
  void cutZone(String zone, long ms) {
    cutZones.add(zone);
    after(ms, () -> cutZones.remove(zone));
  }

  private boolean isZoneCutBetween(String a, String b) {
    String za = zoneOf(a);
    String zb = zoneOf(b);
    return !za.equals(zb) && (cutZones.contains(za) || cutZones.contains(zb));
  }

  private String zoneOf(String end) {
    SimulatedWorker worker = workers.get(end);
    Node n = node(end);
    return worker != null ? worker.rented.zone : n != null ? n.settings.zone() : "";
  }

  boolean connected(String a, String b) {
    return !cuts.containsKey(pair(a, b));
  }

  /** For a while a worker's reports get out, but nothing that is sent to it now arrives. */
  void dropInbound(SimulatedWorker worker, long ms) {
    inboundDropped.add(worker.addr);
    after(ms, () -> inboundDropped.remove(worker.addr));
  }

  /** From now on a copy of each report comes once more, to any node, up to so much later. */
  void duplicateHeartbeats(long mostMs) {
    maxDuplicateDelayMs = mostMs;
  }

  /** From now on a copy of each report is kept until somebody else leads, then all nodes get it. */
  void holdHeartbeats(boolean keep) {
    holdingHeartbeats = keep;
  }

  /** Somebody else leads than before: what was kept arrives at once, or once it has acted. */
  void deliverHeldHeartbeats() {
    List<Runnable> all = List.copyOf(heldHeartbeats);
    heldHeartbeats.clear();
    all.forEach(r -> after(random.nextBoolean() ? 0 : 500 + random.nextInt(4_000), r));
  }

  /** The copy's answer reaches nobody. */
  void redeliver(String addr, JsonNode report) {
    if (holdingHeartbeats) {
      heldHeartbeats.add(
          () -> endpoints.forEach(n -> n.heartbeat(addr, report, (status, body) -> {})));
    }
    if (maxDuplicateDelayMs > 0) {
      Endpoint any = endpoints.get(random.nextInt(endpoints.size()));
      after(
          500 + random.nextInt((int) maxDuplicateDelayMs),
          () -> any.heartbeat(addr, report, (status, body) -> {}));
    }
  }

  /** Says how much later messages arrive from one end at another, in milliseconds. */
  interface Links {
    /** What says that a message never arrives. */
    long LOST = -1;

    long delayMs(String from, String to);
  }

  void links(Links l) {
    links = l;
  }

  /** Delivers a message after a delay, unless the way is cut. */
  void send(String from, String to, Runnable deliver) {
    long late = links.delayMs(from, to);
    if (late != 0) {
      if (late != Links.LOST) {
        after(late, deliver);
      }
      return;
    }
    if (inboundDropped.contains(to) || (!cutZones.isEmpty() && isZoneCutBetween(from, to))) {
      return;
    }
    String key = pair(from, to);
    if (!cuts.containsKey(key) && (workers.containsKey(from) || workers.containsKey(to))) {
      key = pair(workers.containsKey(from) ? to : from, ALL_WORKERS);
    }
    Cut how = cuts.get(key);
    if (how == Cut.HOLD) {
      heldMessages.computeIfAbsent(key, k -> new ArrayList<>()).add(deliver);
    } else if (how == null) {
      after(jitter(1) + (linkDelayMs > 0 ? jitter(linkDelayMs) : 0), deliver);
    }
  }

  /** One controller: the real core, its calls and its life. */
  final class Node extends Endpoint {
    final Settings settings;
    Controller core;
    boolean paused;
    private int incarnation;
    private final List<Input> backlog = new ArrayList<>();
    private final Map<Long, Exchange> exchanges = new LinkedHashMap<>();
    private long nextExchange = 1;

    Node(Settings settings) {
      super(settings.node());
      this.settings = settings;
    }

    void start() {
      if (isUp) {
        return;
      }
      incarnation++;
      isUp = true;
      paused = false;
      backlog.clear();
      core = new Controller(settings, tunables, name + "-" + incarnation, now);
      tick(incarnation);
    }

    void crash(long backMs) {
      isUp = false;
      exchanges.clear();
      after(backMs, this::start);
    }

    void pause(long ms) {
      paused = true;
      int mine = incarnation;
      after(
          ms,
          () -> {
            if (mine == incarnation && paused) {
              paused = false;
              List<Input> late = List.copyOf(backlog);
              backlog.clear();
              late.forEach(this::accept);
            }
          });
    }

    /** Whether the node, at this very moment, takes itself for the leader. */
    boolean leadsNow() {
      accept(new Input.Tick());
      return isUp && !paused && core.hasAuthority();
    }

    private void tick(int mine) {
      if (isUp && mine == incarnation) {
        accept(new Input.Tick());
        after(TICK_MS, () -> tick(mine));
      }
    }

    private void accept(Input input) {
      if (!isUp) {
        return;
      }
      if (paused) {
        if (!(input instanceof Input.Tick)) {
          backlog.add(input);
        }
        return;
      }
      for (Effect effect : core.handle(now, now + 1_000_000, input)) {
        perform(effect);
      }
      if (core.hasAuthority()) {
        invariants.onLeaderInput(this);
      }
    }

    void perform(Effect effect) {
      observer.sent(now, name, effect);
      if (effect instanceof Effect.Answer answer) {
        Exchange x = exchanges.remove(answer.exchange());
        if (x != null) {
          long leftAt = now;
          send(
              name,
              x.from,
              () -> {
                answerLeftAt = leftAt;
                x.answer.onResponse(answer.status(), answer.body());
              });
        }
      } else if (effect instanceof Effect.Broadcast broadcast) {
        relayed += broadcast.message() instanceof PeerMessage.RelayReply ? 1 : 0;
        for (Node peer : nodes) {
          if (peer != this) {
            send(name, peer.name, () -> peer.accept(new Input.FromPeer(broadcast.message())));
          }
        }
      } else if (effect instanceof Effect.Event event) {
        logEvent(event);
      } else if (effect instanceof Effect.Call c) {
        call(c);
      }
    }

    private void logEvent(Effect.Event event) {
      if (event.severity() == Effect.Severity.ERROR) {
        invariants.reportViolation("invariant_violated", name + " " + event.text());
      } else if (event.severity() == Effect.Severity.INFO) {
        log.add(now, name, event.text());
      }
    }

    private void call(Effect.Call call) {
      int mine = incarnation;
      boolean[] over = {false};
      Reply reply =
          (outcome, status, body) -> {
            if (!over[0] && incarnation == mine) {
              over[0] = true;
              accept(new Input.Reply(call.id(), outcome, status, body));
            }
          };
      after(call.timeoutMs(), () -> reply.on(Outcome.UNKNOWN, 0, null));
      String to =
          switch (call.target()) {
            case AUTHORITY, STATE, STATE_WATCH -> "state";
            case CLOUD -> "cloud";
            default -> call.addr();
          };
      long late = call.target() == Effect.Target.WORKER ? lateCommandRepliesMs : 0;
      Reply back = (o, s, b) -> after(late, () -> send(to, name, () -> reply.on(o, s, b)));
      Runnable deliver =
          switch (call.target()) {
            case AUTHORITY, STATE, STATE_WATCH -> () -> state.accept(name, call, back);
            case CLOUD -> () -> cloud.accept(call, back);
            default -> deliverToWorker(call, back);
          };
      if (call.target() == Effect.Target.WORKER && inboundDropped.contains(to)) {
        startsLost += countStarts(call.body());
      }
      if (call.target() == Effect.Target.WORKER && lateCommandsMs > 0) {
        after(lateCommandsMs, deliver);
      } else {
        send(name, to, deliver);
      }
    }

    private int countStarts(JsonNode body) {
      int n = 0;
      for (JsonNode o : body == null ? List.<JsonNode>of() : body.path("orders")) {
        n += o.path("verb").asText().equals("start") ? 1 : 0;
      }
      return n;
    }

    private Runnable deliverToWorker(Effect.Call call, Reply back) {
      long leftAt = now;
      return () -> {
        SimulatedWorker worker = workers.get(call.addr());
        if (call.path().equals("/status")) {
          if (worker != null) {
            worker.status(back);
          }
          return;
        }
        directMessages++;
        probes += call.body().path("orders").isEmpty() ? 1 : 0;
        if (worker != null) {
          worker.command(call.body(), leftAt, back);
        }
      };
    }

    @Override
    void heartbeat(String from, JsonNode report, ResponseHandler answer) {
      Heartbeat heartbeat;
      try {
        heartbeat = Heartbeat.parse(report);
      } catch (MalformedException e) {
        throw new IllegalStateException(e);
      }
      request(from, x -> new Input.HeartbeatReceived(x, heartbeat), answer);
    }

    @Override
    void request(String from, LongFunction<Input> input, ResponseHandler answer) {
      if (isUp) {
        long id = nextExchange++;
        exchanges.put(id, new Exchange(from, answer));
        accept(input.apply(id));
      } else {
        // The machine is there, the process is not: the connection is refused at once.
        send(name, from, () -> answer.onResponse(0, null));
      }
    }
  }

  private record Exchange(String from, Endpoint.ResponseHandler answer) {}

  /** Takes the reply to a call. */
  interface Reply {
    void on(Outcome outcome, int status, JsonNode body);
  }

  Node leader() {
    for (Node node : nodes) {
      if (node.isUp && node.core.hasAuthority()) {
        return node;
      }
    }
    return null;
  }

  Node node(String name) {
    for (Node node : nodes) {
      if (node.name.equals(name)) {
        return node;
      }
    }
    return null;
  }
}
