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
 * A discrete-event simulation of a cluster: controllers that run the real core, and simulated
 * users, workers, state service, cloud and network. All random choices come from one seed, so a run
 * can be repeated exactly.
 */
final class SimulatedCluster {
  /** Interval of the controllers' ticks. */
  private static final long TICK_MS = 40;

  /** Difference between the time of day and the monotonic clock of the controllers. */
  private static final long WALL_CLOCK_OFFSET_MS = 1_000_000;

  /** Minimum delay of a copied heartbeat that is not delivered at once. */
  private static final long MIN_COPY_DELAY_MS = 500;

  /** Range of the delay of a held heartbeat, in addition to the minimum. */
  private static final int HELD_COPY_DELAY_RANGE_MS = 4_000;

  /**
   * A scheduled action.
   *
   * @param at when it runs
   * @param sequence orders events with the same time
   */
  private record Event(long at, long sequence, Runnable action) {}

  /** End of a cut that stands for all workers, including those that boot later. */
  static final String ALL_WORKERS = "workers";

  /** Treatment of messages on a cut link. */
  enum Cut {
    /** Messages are lost. */
    DROP,
    /** Messages arrive when the link is healed. */
    HOLD
  }

  private static final long DEFAULT_HEAP_BYTES = 80L << 20;

  final long seed;
  final Random random;
  final Settings[] settings;
  final InvariantChecker invariants = new InvariantChecker(this);
  final SimulatedStateService state;
  final SimulatedCloud cloud = new SimulatedCloud(this);
  final SimulatedClients clients = new SimulatedClients(this);
  final List<Node> nodes = new ArrayList<>();

  /** Controllers as users and workers reach them: simulated nodes or separate processes. */
  final List<Endpoint> endpoints = new ArrayList<>();

  /** All workers that have booted, by address. */
  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

  final Tunables tunables;

  /** Size of each controller's heap, as the controllers are told. */
  long heapBytes = DEFAULT_HEAP_BYTES;

  /** Names of faults planted in the simulation to test that the checks detect them. */
  final Set<String> seededBugs = new HashSet<>();

  final ClusterLog log = new ClusterLog();

  /** Simulated time in milliseconds. */
  long now;

  private long nextSequence;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

  /** Cut links, by {@link #linkKey}. */
  private final Map<String, Cut> cuts = new LinkedHashMap<>();

  /** Deliveries held on cut links, by {@link #linkKey}. */
  private final Map<String, List<Runnable>> heldMessages = new LinkedHashMap<>();

  /** Addresses of workers to which all messages are lost. */
  private final Set<String> inboundDropped = new HashSet<>();

  private final Set<String> cutZones = new HashSet<>();
  private long commandDelayMs;
  private long commandReplyDelayMs;

  /** Time after which an executed direct command arrives once more; 0 for no copies. */
  private long commandCopyDelayMs;

  /** Maximum delay of duplicated heartbeats; 0 for no duplicates. */
  private long maxDuplicateDelayMs;

  private boolean holdingHeartbeats;
  private final List<Runnable> heldHeartbeats = new ArrayList<>();

  /** Minimum additional delay of each message; the maximum is twice as long. */
  long messageDelayMs;

  /**
   * Delay of heartbeats on their way to a node, as in an overloaded one; commands are not delayed.
   */
  long heartbeatDelayMs;

  private LinkDelays linkDelays = (from, to) -> 0;

  /** Log of the messages between controller processes and the simulated services. */
  MessageLog messageLog = MessageLog.NONE;

  /** Observes every effect of the simulated controllers. */
  EffectObserver observer = EffectObserver.NONE;

  /** Time at which the heartbeat answer that a worker is handling now left its node. */
  long answerSentAt;

  /** Number of messages sent directly to workers, status requests excluded. */
  int directMessages;

  /** Number of direct messages that contain no command. */
  int probes;

  /** Number of tasks started on workers that could not reach a controller to renew their lease. */
  int startsWithoutLease;

  /** Number of start commands sent to workers to which all messages were lost. */
  int lostStarts;

  /** Time after which no fault is active. */
  long faultsEndMs = Long.MAX_VALUE;

  /** Number of heartbeats sent by workers. */
  long heartbeatsSent;

  /** Number of direct command messages received by workers. */
  long commandsReceived;

  /** Number of replies from the state service that a node relayed to a peer. */
  int relayedCalls;

  /** Whether the layout of each worker's reports is drawn from the seed. */
  boolean drawsReportLayouts = true;

  /** Sizes of the machines, polling behavior of the users, and worker addresses. */
  SimulationParameters parameters = SimulationParameters.SMALL;

  /**
   * Creates a cluster with one simulated node for each settings object.
   *
   * @param seed seed of all random choices
   */
  SimulatedCluster(long seed, Settings[] settings, Tunables tunables) {
    this.seed = seed;
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
   * Creates a cluster without nodes, for controllers that run as separate processes in real time;
   * see {@link RealTimeDriver}.
   */
  static SimulatedCluster ofProcesses(
      long seed, Settings[] settings, SimulationParameters parameters) {
    SimulatedCluster cluster = new SimulatedCluster(seed, settings, Tunables.defaults());
    cluster.nodes.clear();
    cluster.endpoints.clear();
    cluster.parameters = parameters;
    cluster.drawsReportLayouts = false;
    return cluster;
  }

  /**
   * Schedules an action.
   *
   * @param delayMs delay in milliseconds; a negative one counts as 0
   */
  void after(long delayMs, Runnable action) {
    events.add(new Event(now + Math.max(0, delayMs), nextSequence++, action));
  }

  /**
   * Runs all events up to a time, and checks the invariants after each.
   *
   * @param endMs simulated time in milliseconds, inclusive
   */
  void runUntil(long endMs) {
    while (!events.isEmpty() && events.peek().at <= endMs) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
      invariants.check();
    }
    now = endMs;
  }

  /**
   * Runs all events that are due. The caller checks the invariants.
   *
   * @param realTimeMs time of the real clock, in milliseconds since the start
   */
  void runDueEvents(long realTimeMs) {
    now = Math.max(now, realTimeMs);
    while (!events.isEmpty() && events.peek().at <= now) {
      events.poll().action.run();
    }
  }

  /**
   * Returns the time until the next event in milliseconds.
   *
   * @param maxMs upper limit of the result
   */
  long msUntilNextEvent(long maxMs) {
    return events.isEmpty() ? maxMs : Math.max(0, Math.min(maxMs, events.peek().at - now));
  }

  /** Returns a random time of at least {@code ms} and less than twice as long. */
  long jitter(long ms) {
    return ms + random.nextInt((int) Math.max(1, ms));
  }

  // --- the network ---

  /** Returns the key of the link between two ends, in either order. */
  private static String linkKey(String first, String second) {
    return first.compareTo(second) < 0 ? first + "|" + second : second + "|" + first;
  }

  /** Cuts the link between two ends in both directions. */
  void cut(String first, String second, Cut mode) {
    cuts.put(linkKey(first, second), mode);
  }

  /** Restores a cut link and delivers the messages that were held on it. */
  void heal(String first, String second) {
    cuts.remove(linkKey(first, second));
    List<Runnable> held = heldMessages.remove(linkKey(first, second));
    if (held != null) {
      held.forEach(r -> after(jitter(2), r));
    }
  }

  /** Restores all cut links. */
  void healAll() {
    for (String key : List.copyOf(cuts.keySet())) {
      String[] ends = key.split("\\|", -1);
      heal(ends[0], ends[1]);
    }
  }

  /** Returns the current delay of direct commands in milliseconds. */
  long commandDelayMs() {
    return commandDelayMs;
  }

  /** Delays direct commands to workers by {@code delayMs} from now on. */
  void delayCommands(long delayMs) {
    commandDelayMs = delayMs;
  }

  /** Delays the workers' replies to direct commands, but not the commands, by {@code delayMs}. */
  void delayCommandReplies(long delayMs) {
    commandReplyDelayMs = delayMs;
  }

  /**
   * Delivers each direct message that a worker executes once more from now on.
   *
   * @param delayMs time from the execution to the arrival of the copy; 0 to stop
   */
  void duplicateCommands(long delayMs) {
    commandCopyDelayMs = delayMs;
  }

  /** Schedules the copy of a direct message that a worker has executed, if copies are delivered. */
  void scheduleCommandCopy(Runnable deliverCopy) {
    if (commandCopyDelayMs > 0) {
      after(commandCopyDelayMs, deliverCopy);
    }
  }

  /**
   * Cuts a zone off from everything outside it, including workers that boot later.
   *
   * @param durationMs how long from now on
   */
  void cutZone(String zone, long durationMs) {
    cutZones.add(zone);
    after(durationMs, () -> cutZones.remove(zone));
  }

  /** Returns whether two ends are in different zones of which one is cut off. */
  private boolean isZoneCutBetween(String first, String second) {
    String firstZone = zoneOf(first);
    String secondZone = zoneOf(second);
    return !firstZone.equals(secondZone)
        && (cutZones.contains(firstZone) || cutZones.contains(secondZone));
  }

  /** Returns the zone of a worker or node; empty for other ends. */
  private String zoneOf(String end) {
    SimulatedWorker worker = workers.get(end);
    Node node = node(end);
    return worker != null ? worker.machine.zone : node != null ? node.settings.zone() : "";
  }

  /**
   * Returns whether the link between two ends has no cut of its own. Cuts of a zone or of all
   * workers are not considered.
   */
  boolean isConnected(String first, String second) {
    return !cuts.containsKey(linkKey(first, second));
  }

  /**
   * Drops all messages to a worker; its own messages still arrive.
   *
   * @param durationMs how long from now on
   */
  void dropInbound(SimulatedWorker worker, long durationMs) {
    inboundDropped.add(worker.addr);
    after(durationMs, () -> inboundDropped.remove(worker.addr));
  }

  /**
   * Delivers a copy of each heartbeat to a random node from now on.
   *
   * @param maxDelayMs maximum delay of the copy after the first 500 ms; 0 to stop
   */
  void duplicateHeartbeats(long maxDelayMs) {
    maxDuplicateDelayMs = maxDelayMs;
  }

  /**
   * Sets whether a copy of each heartbeat is kept and delivered to all nodes when the leader
   * changes.
   */
  void holdHeartbeats(boolean hold) {
    holdingHeartbeats = hold;
  }

  /**
   * Delivers the kept copies of heartbeats after a change of leader, each at once or 0.5 to 4.5 s
   * later, when the new leader has already acted.
   */
  void deliverHeldHeartbeats() {
    List<Runnable> all = List.copyOf(heldHeartbeats);
    heldHeartbeats.clear();
    all.forEach(
        r ->
            after(
                random.nextBoolean()
                    ? 0
                    : MIN_COPY_DELAY_MS + random.nextInt(HELD_COPY_DELAY_RANGE_MS),
                r));
  }

  /** Keeps or sends copies of a heartbeat; the answers to copies are dropped. */
  void deliverCopies(String addr, JsonNode report) {
    if (holdingHeartbeats) {
      heldHeartbeats.add(
          () -> endpoints.forEach(n -> n.heartbeat(addr, report, (status, body) -> {})));
    }
    if (maxDuplicateDelayMs > 0) {
      Endpoint any = endpoints.get(random.nextInt(endpoints.size()));
      after(
          MIN_COPY_DELAY_MS + random.nextInt((int) maxDuplicateDelayMs),
          () -> any.heartbeat(addr, report, (status, body) -> {}));
    }
  }

  /** Delays of messages between two ends. */
  interface LinkDelays {
    /** Value for a message that is lost. */
    long LOST = -1;

    /** Returns the delay in milliseconds, {@link #LOST}, or 0 for the usual delays and cuts. */
    long delayMs(String from, String to);
  }

  /** Sets the delays of all messages from now on. */
  void setLinkDelays(LinkDelays delays) {
    linkDelays = delays;
  }

  /**
   * Delivers a message after the delay of its link; a cut drops or holds it. A delay set by {@link
   * #setLinkDelays} takes precedence over cuts, and a cut of the link itself over one of {@link
   * #ALL_WORKERS}.
   */
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

  /** A simulated controller process that runs the real core. */
  final class Node extends Endpoint {
    final Settings settings;
    Controller core;
    boolean paused;

    /** Number of starts; callbacks of an earlier incarnation are ignored. */
    private int incarnation;

    /** Inputs received during a pause, ticks excluded. */
    private final List<Input> backlog = new ArrayList<>();

    private final Map<Long, Exchange> exchanges = new LinkedHashMap<>();
    private long nextExchange = 1;

    Node(Settings settings) {
      super(settings.node());
      this.settings = settings;
    }

    /** Starts the process if it is down. */
    void start() {
      if (isUp) {
        return;
      }
      incarnation++;
      isUp = true;
      paused = false;
      backlog.clear();
      core = new Controller(settings, tunables, name + "-" + incarnation, now, heapBytes);
      tick(incarnation);
    }

    /** Stops the process, which loses its memory, and restarts it after a delay. */
    void crash(long restartAfterMs) {
      isUp = false;
      exchanges.clear();
      after(restartAfterMs, this::start);
    }

    /**
     * Pauses the process. Afterwards it handles all inputs received meanwhile, except ticks.
     *
     * @param durationMs how long from now on
     */
    void pause(long durationMs) {
      paused = true;
      int pausedIncarnation = incarnation;
      after(
          durationMs,
          () -> {
            if (pausedIncarnation == incarnation && paused) {
              paused = false;
              List<Input> deferred = List.copyOf(backlog);
              backlog.clear();
              deferred.forEach(this::accept);
            }
          });
    }

    /** Handles a tick and returns whether the node then acts as the leader. */
    boolean hasAuthorityNow() {
      accept(new Input.Tick());
      return isUp && !paused && core.hasAuthority();
    }

    /** Ticks at regular intervals until the process stops. */
    private void tick(int expectedIncarnation) {
      if (isUp && expectedIncarnation == incarnation) {
        accept(new Input.Tick());
        after(TICK_MS, () -> tick(expectedIncarnation));
      }
    }

    /** Passes an input to the core and performs the effects; a paused process defers it. */
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
      for (Effect effect : core.handle(now, now + WALL_CLOCK_OFFSET_MS, input)) {
        perform(effect);
      }
      if (core.hasAuthority()) {
        invariants.onLeaderInput(this);
      }
    }

    /** Performs an effect of the core. */
    void perform(Effect effect) {
      observer.onEffect(now, name, effect);
      if (effect instanceof Effect.Answer answer) {
        Exchange exchange = exchanges.remove(answer.exchange());
        if (exchange != null) {
          long sentAt = now;
          send(
              name,
              exchange.from,
              () -> {
                answerSentAt = sentAt;
                exchange.answer.onResponse(answer.status(), answer.body());
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

    /** Logs an event at INFO level; one at ERROR level is a broken invariant. */
    private void logEvent(Effect.Event event) {
      if (event.severity() == Effect.Severity.ERROR) {
        invariants.reportViolation("invariant_violated", name + " " + event.text());
      } else if (event.severity() == Effect.Severity.INFO) {
        log.add(now, name, event.text());
      }
    }

    /** Sends a call of the core; a call without a reply in time ends as unknown. */
    private void call(Effect.Call call) {
      int callingIncarnation = incarnation;
      boolean[] isFinished = {false};
      ReplyHandler replyHandler =
          (outcome, status, body) -> {
            if (!isFinished[0] && incarnation == callingIncarnation) {
              isFinished[0] = true;
              accept(new Input.Reply(call.id(), outcome, status, body));
            }
          };
      after(call.timeoutMs(), () -> replyHandler.onReply(Outcome.UNKNOWN, 0, null));
      String to =
          switch (call.target()) {
            case AUTHORITY, STATE, STATE_WATCH -> "state";
            case CLOUD -> "cloud";
            default -> call.address();
          };
      long replyDelayMs = call.target() == Effect.Target.WORKER ? commandReplyDelayMs : 0;
      ReplyHandler sendReply =
          (o, s, b) ->
              after(replyDelayMs, () -> send(to, name, () -> replyHandler.onReply(o, s, b)));
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

    /** Returns the number of start commands in a message. */
    private int countStarts(JsonNode body) {
      int count = 0;
      for (JsonNode command : body == null ? List.<JsonNode>of() : body.path("orders")) {
        count += command.path("verb").asText().equals("start") ? 1 : 0;
      }
      return count;
    }

    /** Returns the action that delivers a direct message or status request to its worker. */
    private Runnable deliverToWorker(Effect.Call call, ReplyHandler reply) {
      long sentAt = now;
      return () -> {
        SimulatedWorker worker = workers.get(call.address());
        if (call.path().equals("/status")) {
          if (worker != null) {
            worker.handleStatus(reply);
          }
          return;
        }
        directMessages++;
        TokenOwnership.check(SimulatedCluster.this, name, call.body().path("baton").asLong());
        probes += call.body().path("orders").isEmpty() ? 1 : 0;
        if (worker != null) {
          worker.handleCommand(call.body(), sentAt, reply);
        }
      };
    }

    @Override
    void heartbeat(String from, JsonNode report, ResponseHandler answer) {
      Heartbeat heartbeat;
      try {
        SimulatedWorker worker = workers.get(from);
        heartbeat =
            Heartbeat.parse(report, worker == null ? 0 : worker.messages.layout().bytes(report));
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
        // The host is up but the process is down, so the connection is refused at once.
        send(name, from, () -> answer.onResponse(0, null));
      }
    }
  }

  /** A request that the node has not answered yet. */
  private record Exchange(String from, Endpoint.ResponseHandler answer) {}

  /** Handles the reply to a call. */
  interface ReplyHandler {
    /**
     * Handles a reply.
     *
     * @param status HTTP status; 0 if there was no answer
     * @param body may be null
     */
    void onReply(Outcome outcome, int status, JsonNode body);
  }

  /** Returns a node that acts as the leader, or null. */
  Node leader() {
    for (Node node : nodes) {
      if (node.isUp && node.core.hasAuthority()) {
        return node;
      }
    }
    return null;
  }

  /** Returns the node with a name, or null. */
  Node node(String name) {
    for (Node node : nodes) {
      if (node.name.equals(name)) {
        return node;
      }
    }
    return null;
  }
}
