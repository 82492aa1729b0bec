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

  private record Event(long at, long sequence, Runnable action) {}

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
  private long nextSequence;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private final Map<String, Cut> cuts = new LinkedHashMap<>();
  private final Map<String, List<Runnable>> heldMessages = new LinkedHashMap<>();
  private final Set<String> inboundDropped = new HashSet<>();
  private final Set<String> cutZones = new HashSet<>();
  private long commandDelayMs;
  private long commandReplyDelayMs;
  private long maxDuplicateDelayMs;
  private boolean holdingHeartbeats;
  private final List<Runnable> heldHeartbeats = new ArrayList<>();

  /** Every message takes so much longer, and up to twice that. */
  long messageDelayMs;

  /** Check-ins wait so long on their way, as in a node that is behind; direct answers do not. */
  long heartbeatDelayMs;

  private LinkDelays linkDelays = (from, to) -> 0;

  /** Is told of every message that the stand-ins of a world in real time take or give. */
  MessageLog messageLog = MessageLog.NONE;

  /** Is told of everything that the controllers send. */
  EffectObserver observer = EffectObserver.NONE;

  /** When the answer to a check-in that a worker is just taking in left its node. */
  long answerSentAt;

  /** Direct messages to workers so far, and those of them without any command. */
  int directMessages;

  int probes;

  /** Tasks started on machines that reached no controller, and so could renew no lease. */
  int startsWithoutLease;

  /** Starts sent to machines that received nothing. */
  int lostStarts;

  /** From then on nothing is in trouble any more. */
  long faultsEndMs = Long.MAX_VALUE;

  /** Check-ins that workers have sent, and direct messages that they have received. */
  long heartbeatsSent;

  long commandsReceived;

  /** Calls to the state service that went through a peer and were answered. */
  int relayedCalls;

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

  void after(long ms, Runnable action) {
    events.add(new Event(now + Math.max(0, ms), nextSequence++, action));
  }

  void runUntil(long end) {
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
      invariants.check();
    }
    now = end;
  }

  /** Runs what is due by now in real time; the rules are looked at by whoever drives it. */
  void runDueEvents(long realTimeMs) {
    now = Math.max(now, realTimeMs);
    while (!events.isEmpty() && events.peek().at <= now) {
      events.poll().action.run();
    }
  }

  /** Milliseconds until the next event, at most so many. */
  long msUntilNextEvent(long maxMs) {
    return events.isEmpty() ? maxMs : Math.max(0, Math.min(maxMs, events.peek().at - now));
  }

  long jitter(long ms) {
    return ms + random.nextInt((int) Math.max(1, ms));
  }

  // --- the network ---

  private static String linkKey(String first, String second) {
    return first.compareTo(second) < 0 ? first + "|" + second : second + "|" + first;
  }

  void cut(String first, String second, Cut mode) {
    cuts.put(linkKey(first, second), mode);
  }

  void heal(String first, String second) {
    cuts.remove(linkKey(first, second));
    List<Runnable> held = heldMessages.remove(linkKey(first, second));
    if (held != null) {
      held.forEach(r -> after(jitter(2), r));
    }
  }

  void healAll() {
    for (String key : List.copyOf(cuts.keySet())) {
      String[] ends = key.split("\\|", -1);
      heal(ends[0], ends[1]);
    }
  }

  /** How late direct commands arrive now. */
  long commandDelayMs() {
    return commandDelayMs;
  }

  void delayCommands(long ms) {
    commandDelayMs = ms;
  }

  /** Direct commands arrive at once, but what the machine says to them only so much later. */
  void delayCommandReplies(long ms) {
    commandReplyDelayMs = ms;
  }

  /** Cuts a zone off from everything outside of it, machines that come up later included. */
  void cutZone(String zone, long ms) {
    cutZones.add(zone);
    after(ms, () -> cutZones.remove(zone));
  }

  private boolean isZoneCutBetween(String first, String second) {
    String firstZone = zoneOf(first);
    String secondZone = zoneOf(second);
    return !firstZone.equals(secondZone)
        && (cutZones.contains(firstZone) || cutZones.contains(secondZone));
  }

  private String zoneOf(String end) {
    SimulatedWorker worker = workers.get(end);
    Node node = node(end);
    return worker != null ? worker.machine.zone : node != null ? node.settings.zone() : "";
  }

  boolean isConnected(String first, String second) {
    return !cuts.containsKey(linkKey(first, second));
  }

  /** For a while a worker's reports get out, but nothing that is sent to it now arrives. */
  void dropInbound(SimulatedWorker worker, long ms) {
    inboundDropped.add(worker.addr);
    after(ms, () -> inboundDropped.remove(worker.addr));
  }

  /** From now on a copy of each report comes once more, to any node, up to so much later. */
  void duplicateHeartbeats(long maxDelayMs) {
    maxDuplicateDelayMs = maxDelayMs;
  }

  /** From now on a copy of each report is kept until somebody else leads, then all nodes get it. */
  void holdHeartbeats(boolean hold) {
    holdingHeartbeats = hold;
  }

  /** Somebody else leads than before: what was kept arrives at once, or once it has acted. */
  void deliverHeldHeartbeats() {
    List<Runnable> all = List.copyOf(heldHeartbeats);
    heldHeartbeats.clear();
    all.forEach(r -> after(random.nextBoolean() ? 0 : 500 + random.nextInt(4_000), r));
  }

  /** The copy's answer reaches nobody. */
  void deliverCopies(String addr, JsonNode report) {
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
  interface LinkDelays {
    /** What says that a message never arrives. */
    long LOST = -1;

    long delayMs(String from, String to);
  }

  void setLinkDelays(LinkDelays delays) {
    linkDelays = delays;
  }

  /** Delivers a message after a delay, unless the way is cut. */
  void send(String from, String to, Runnable deliver) {
    long delayMs = linkDelays.delayMs(from, to);
    if (delayMs != 0) {
      if (delayMs != LinkDelays.LOST) {
        after(delayMs, deliver);
      }
      return;
    }
    if (inboundDropped.contains(to) || (!cutZones.isEmpty() && isZoneCutBetween(from, to))) {
      return;
    }
    String key = linkKey(from, to);
    if (!cuts.containsKey(key) && (workers.containsKey(from) || workers.containsKey(to))) {
      key = linkKey(workers.containsKey(from) ? to : from, ALL_WORKERS);
    }
    Cut mode = cuts.get(key);
    if (mode == Cut.HOLD) {
      heldMessages.computeIfAbsent(key, k -> new ArrayList<>()).add(deliver);
    } else if (mode == null) {
      after(jitter(1) + (messageDelayMs > 0 ? jitter(messageDelayMs) : 0), deliver);
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
      if (up) {
        return;
      }
      incarnation++;
      up = true;
      paused = false;
      backlog.clear();
      core = new Controller(settings, tunables, name + "-" + incarnation, now);
      tick(incarnation);
    }

    void crash(long restartAfterMs) {
      up = false;
      exchanges.clear();
      after(restartAfterMs, this::start);
    }

    void pause(long ms) {
      paused = true;
      int pausedIncarnation = incarnation;
      after(
          ms,
          () -> {
            if (pausedIncarnation == incarnation && paused) {
              paused = false;
              List<Input> deferred = List.copyOf(backlog);
              backlog.clear();
              deferred.forEach(this::accept);
            }
          });
    }

    /** Whether the node, at this very moment, takes itself for the leader. */
    boolean hasAuthorityNow() {
      accept(new Input.Tick());
      return up && !paused && core.hasAuthority();
    }

    private void tick(int tickedIncarnation) {
      if (up && tickedIncarnation == incarnation) {
        accept(new Input.Tick());
        after(TICK_MS, () -> tick(tickedIncarnation));
      }
    }

    private void accept(Input input) {
      if (!up) {
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
        invariants.leads(this);
      }
    }

    void perform(Effect effect) {
      observer.sent(now, name, effect);
      if (effect instanceof Effect.Answer answer) {
        Exchange exchange = exchanges.remove(answer.exchange());
        if (exchange != null) {
          long sentAt = now;
          send(
              name,
              exchange.from,
              () -> {
                answerSentAt = sentAt;
                exchange.answer.on(answer.status(), answer.body());
              });
        }
      } else if (effect instanceof Effect.Broadcast broadcast) {
        relayedCalls += broadcast.message() instanceof PeerMessage.RelayReply ? 1 : 0;
        for (Node peer : nodes) {
          if (peer != this) {
            send(name, peer.name, () -> peer.accept(new Input.FromPeer(broadcast.message())));
          }
        }
      } else if (effect instanceof Effect.Event event) {
        logEvent(event);
      } else if (effect instanceof Effect.Call call) {
        call(call);
      }
    }

    private void logEvent(Effect.Event event) {
      if (event.severity() == Effect.Severity.ERROR) {
        invariants.report("invariant_violated", name + " " + event.text());
      } else if (event.severity() == Effect.Severity.INFO) {
        log.add(now, name, event.text());
      }
    }

    private void call(Effect.Call call) {
      int callingIncarnation = incarnation;
      boolean[] isFinished = {false};
      ReplyHandler onReply =
          (outcome, status, body) -> {
            if (!isFinished[0] && incarnation == callingIncarnation) {
              isFinished[0] = true;
              accept(new Input.Reply(call.id(), outcome, status, body));
            }
          };
      after(call.timeoutMs(), () -> onReply.onReply(Outcome.UNKNOWN, 0, null));
      String to =
          switch (call.target()) {
            case AUTHORITY, STATE, STATE_WATCH -> "state";
            case CLOUD -> "cloud";
            default -> call.addr();
          };
      long replyDelayMs = call.target() == Effect.Target.WORKER ? commandReplyDelayMs : 0;
      ReplyHandler sendReply =
          (o, s, b) -> after(replyDelayMs, () -> send(to, name, () -> onReply.onReply(o, s, b)));
      Runnable deliver =
          switch (call.target()) {
            case AUTHORITY, STATE, STATE_WATCH -> () -> state.handle(name, call, sendReply);
            case CLOUD -> () -> cloud.handle(call, sendReply);
            default -> deliverToWorker(call, sendReply);
          };
      if (call.target() == Effect.Target.WORKER && inboundDropped.contains(to)) {
        lostStarts += countStarts(call.body());
      }
      if (call.target() == Effect.Target.WORKER && commandDelayMs > 0) {
        after(commandDelayMs, deliver);
      } else {
        send(name, to, deliver);
      }
    }

    private int countStarts(JsonNode body) {
      int count = 0;
      for (JsonNode command : body == null ? List.<JsonNode>of() : body.path("orders")) {
        count += command.path("verb").asText().equals("start") ? 1 : 0;
      }
      return count;
    }

    private Runnable deliverToWorker(Effect.Call call, ReplyHandler reply) {
      long sentAt = now;
      return () -> {
        SimulatedWorker worker = workers.get(call.addr());
        if (call.path().equals("/status")) {
          if (worker != null) {
            worker.handleStatus(reply);
          }
          return;
        }
        directMessages++;
        probes += call.body().path("orders").isEmpty() ? 1 : 0;
        if (worker != null) {
          worker.handleCommand(call.body(), sentAt, reply);
        }
      };
    }

    @Override
    void heartbeat(String from, JsonNode report, Answer answer) {
      Heartbeat heartbeat;
      try {
        heartbeat = Heartbeat.parse(report);
      } catch (MalformedException e) {
        throw new IllegalStateException(e);
      }
      request(from, x -> new Input.HeartbeatReceived(x, heartbeat), answer);
    }

    @Override
    void request(String from, LongFunction<Input> input, Answer answer) {
      if (up) {
        long id = nextExchange++;
        exchanges.put(id, new Exchange(from, answer));
        accept(input.apply(id));
      } else {
        // The machine is there, the process is not: the connection is refused at once.
        send(name, from, () -> answer.on(0, null));
      }
    }
  }

  private record Exchange(String from, Endpoint.Answer answer) {}

  /** Takes the reply to a call. */
  interface ReplyHandler {
    void onReply(Outcome outcome, int status, JsonNode body);
  }

  Node leader() {
    for (Node node : nodes) {
      if (node.up && node.core.hasAuthority()) {
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
