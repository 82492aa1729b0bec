package org.snowturn.core.election;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.core.MonotonicTime;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.storage.LruMap;
import org.snowturn.wire.JobSpec;

/**
 * Up to when this node knows every cancellation that any node may have confirmed to a user. A
 * leader that renews the leases of workers knows what it must stop; one that has lost the state
 * service does not, while its peers go on confirming. So it renews only while whatever it may not
 * know of would still be ended in time by the expiry of a worker's lease: see {@link #current()}.
 *
 * <p>Two things move the watermark. A read of the state service that was answered shows all that
 * was confirmed before it was sent, by whichever node. And each peer tells what it has confirmed
 * itself: all of it before the leader's request was sent, since its reply was made after. What a
 * process that has ended confirmed last, its successor on the same node cannot tell, so the
 * successor's reply counts only once the state service has been read after it was first heard.
 */
public final class CancellationWatermark {
  /** For what a worker takes to find that its lease has expired and to end its tasks. */
  private static final long MARGIN_MS = 1_000;

  private static final long MIN_SLACK_MS = 2_000;

  private static final long LEADER_REQUEST_INTERVAL_MS = 300;

  /** Who does not lead asks as well, so that it is known early which process each peer is. */
  private static final long STANDBY_REQUEST_INTERVAL_MS = 1_000;

  private static final int MAX_UNANSWERED_REQUESTS = 50;
  private static final int MAX_KNOWN_CANCELLATIONS = 20_000;

  private final CoreRuntime runtime;
  private final String node;
  private final long slackMs;
  private final long confirmationDueMs;
  private final CancellationLog log;
  private final Map<String, PeerCancellations> peers = new LinkedHashMap<>();
  private final Map<Long, Long> requestsSentAt = new LinkedHashMap<>();
  private final Map<String, Boolean> cancelled = new LruMap<>(MAX_KNOWN_CANCELLATIONS);
  private Consumer<String> listener = job -> {};
  private long readUntil = MonotonicTime.NEVER;
  private long lastRequest;
  private long lastRequestAt = MonotonicTime.NEVER;
  private long malformedMessages;

  /**
   * Knows nothing yet.
   *
   * @param incarnation a name that no other process of this node has had
   */
  public CancellationWatermark(Settings settings, CoreRuntime runtime, String incarnation) {
    this.runtime = runtime;
    this.node = settings.node();
    this.log = new CancellationLog(incarnation);
    // A peer's late reply to the previous process of this node must not be taken for one to this.
    this.lastRequest = new SplittableRandom(incarnation.hashCode()).nextLong() >>> 2;
    this.slackMs = slackMs(settings);
    this.confirmationDueMs =
        ClockDrift.minElapsedMs(settings.workers().cancellationDeadlineS() * 1000) - MARGIN_MS;
    settings.peers().forEach(peer -> peers.put(peer.node(), new PeerCancellations()));
  }

  /**
   * How long after the watermark a worker may still be answered: its lease, counted from then, ends
   * before a cancellation just past the watermark is due. Where settings leave no such time nothing
   * could be served at all; then an expiry is late by what they lack.
   */
  static long slackMs(Settings settings) {
    double leaseMs = settings.workers().leaseS() * 1000 * (1 + ClockDrift.MAX_RATE);
    double slack =
        (settings.workers().cancellationDeadlineS() * 1000 - leaseMs) * (1 - ClockDrift.MAX_RATE)
            - MARGIN_MS;
    return (long) Math.max(MIN_SLACK_MS, slack);
  }

  /** Tells this of every cancellation that becomes known, perhaps more than once. */
  public void listen(Consumer<String> onCancellation) {
    listener = onCancellation;
  }

  /** This node is about to confirm a cancellation to a user. */
  public void confirm(String job) {
    log.append(job, runtime.now());
    learn(job);
  }

  /** The job is cancelled, and that is durable. */
  public void learn(String job) {
    cancelled.put(job, true);
    listener.accept(job);
  }

  /** Whether the job is known here to be cancelled. */
  public boolean cancelled(String job) {
    return cancelled.containsKey(job);
  }

  /**
   * The state service has answered a read of all live jobs that was sent at this moment, and the
   * cancellations that the reply holds have been learnt.
   */
  public void read(long sentAt) {
    readUntil = Math.max(readUntil, sentAt);
  }

  /**
   * Every cancellation that was confirmed before this moment is known; {@link MonotonicTime#NEVER}
   * if there is no such moment.
   */
  public long knownUntil() {
    long until = runtime.now(); // what this node itself confirms, it knows
    for (PeerCancellations peer : peers.values()) {
      until = Math.min(until, Math.max(readUntil, peer.knownUntil()));
    }
    return until;
  }

  /** Whether there was a moment up to which all were known. */
  boolean everKnown() {
    return knownUntil() != MonotonicTime.NEVER;
  }

  /**
   * Whether the lease of a worker that is answered now, and then never again, would expire in time
   * for a cancellation that was confirmed after this moment.
   */
  public boolean lapsesInTime(long confirmedAfter) {
    return runtime.now() - confirmedAfter < slackMs;
  }

  /** How old the knowledge is, in milliseconds. */
  public long ageMs() {
    return runtime.now() - knownUntil();
  }

  /** Whether the lease of a worker that is answered now would expire in time for all not known. */
  public boolean current() {
    return lapsesInTime(knownUntil());
  }

  /**
   * Whether a job of which nothing is known may be called live now: if one that it depends on was
   * cancelled, that is not due yet.
   */
  public boolean mayReportLive() {
    return ageMs() < confirmationDueMs;
  }

  /** Asks the peers for their cancellations if it is time. */
  public void tick(boolean leading) {
    long intervalMs = leading ? LEADER_REQUEST_INTERVAL_MS : STANDBY_REQUEST_INTERVAL_MS;
    if (runtime.now() - lastRequestAt < intervalMs) {
      return;
    }
    lastRequestAt = runtime.now();
    requestsSentAt.put(++lastRequest, runtime.now());
    if (requestsSentAt.size() > MAX_UNANSWERED_REQUESTS) {
      requestsSentAt.remove(requestsSentAt.keySet().iterator().next());
    }
    Map<String, PeerMessage.LogPosition> positions = new HashMap<>();
    peers.forEach(
        (name, peer) -> {
          if (peer.heard()) {
            positions.put(name, peer.position());
          }
        });
    runtime.broadcast(new PeerMessage.CancellationsRequest(node, lastRequest, positions));
  }

  /** A peer asks for what this node has confirmed to users. */
  public void onRequest(PeerMessage.CancellationsRequest request) {
    if (!peers.containsKey(request.from())) {
      malformedMessages++;
      return;
    }
    runtime.broadcast(log.reply(request, node, request.logPositions().get(node), runtime.now()));
  }

  /** A peer tells what it has confirmed to users, or a part of it. */
  public void onReply(PeerMessage.CancellationsReply reply) {
    if (!reply.to().equals(node)) {
      return;
    }
    PeerCancellations peer = peers.get(reply.from());
    if (peer == null || !reply.consistent() || !reply.jobs().stream().allMatch(JobSpec::isId)) {
      malformedMessages++;
      return;
    }
    reply.jobs().forEach(this::learn);
    peer.advance(reply, requestsSentAt.get(reply.requestId()), readUntil, runtime.now());
  }

  /** Figures for operators. */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.cancellations.age",
        everKnown() ? ageMs() / 1000.0 : Double.NaN,
        "snowturn.cancellations.listed",
        (double) log.size(),
        "snowturn.cancellations.malformed",
        (double) malformedMessages);
  }
}
