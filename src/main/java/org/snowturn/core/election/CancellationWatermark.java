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
 * The point in time before which this node knows every cancellation that any node has confirmed to
 * a user.
 *
 * <p>A leader renews the leases of workers and must stop the tasks of cancelled jobs. If it cannot
 * reach the state service, it may miss cancellations that its peers continue to confirm. It
 * therefore renews leases only while the expiry of a worker's lease would still end the tasks of
 * every missed cancellation in time; see {@link #isCurrent()}.
 *
 * <p>The watermark advances in two ways:
 *
 * <ul>
 *   <li>A successful read of the state service returns all cancellations that any node confirmed
 *       before the read was sent.
 *   <li>A peer's reply contains the cancellations that the peer itself confirmed before the request
 *       was sent. A restarted peer does not know the last cancellations that its previous process
 *       confirmed. Its replies therefore advance the watermark only after a read of the state
 *       service that was sent after the first reply of the new process.
 * </ul>
 */
public final class CancellationWatermark {
  /** Time that a worker needs to detect the expiry of its lease and to end its tasks. */
  private static final long MARGIN_MS = 1_000;

  /** Lower bound of {@link #maxRenewalAgeMs}, for settings in which the lease leaves less time. */
  private static final long MIN_MAX_RENEWAL_AGE_MS = 2_000;

  /** Interval between a leader's requests to its peers. */
  private static final long LEADER_REQUEST_INTERVAL_MS = 300;

  /**
   * Interval between a standby's requests to its peers. A standby sends requests so that, once
   * elected, it already knows the incarnations of its peers.
   */
  private static final long STANDBY_REQUEST_INTERVAL_MS = 1_000;

  /** Maximum number of requests whose replies can still advance the watermark. */
  private static final int MAX_UNANSWERED_REQUESTS = 50;

  /** Maximum number of jobs remembered as cancelled; the least recently used is dropped first. */
  private static final int MAX_KNOWN_CANCELLATIONS = 20_000;

  private final CoreRuntime runtime;
  private final String node;
  private final long maxRenewalAgeMs;
  private final long maxReportLiveAgeMs;
  private final CancellationLog log;
  private final Map<String, PeerCancellations> peers = new LinkedHashMap<>();
  private final Map<Long, Long> requestsSentAt = new LinkedHashMap<>();
  private final Map<String, Boolean> cancelled = new LruMap<>(MAX_KNOWN_CANCELLATIONS);
  private Consumer<String> listener = job -> {};
  private long readUntil = MonotonicTime.UNSET;
  private long lastRequest;
  private long lastRequestAt = MonotonicTime.UNSET;
  private long malformedMessages;

  /**
   * Creates a watermark that is not established yet.
   *
   * @param incarnation a unique identifier of this process among all processes of this node
   */
  public CancellationWatermark(Settings settings, CoreRuntime runtime, String incarnation) {
    this.runtime = runtime;
    this.node = settings.node();
    this.log = new CancellationLog(incarnation);
    // Starts at a random number: a late reply to the previous process of this node must not match
    // a request of this process.
    this.lastRequest = new SplittableRandom(incarnation.hashCode()).nextLong() >>> 2;
    this.maxRenewalAgeMs = maxRenewalAgeMs(settings);
    this.maxReportLiveAgeMs =
        ClockDrift.minElapsedMs(settings.workers().cancellationDeadlineS() * 1000) - MARGIN_MS;
    settings.peers().forEach(peer -> peers.put(peer.node(), new PeerCancellations()));
  }

  /**
   * Returns the maximum age of the watermark, in milliseconds, at which worker leases may be
   * renewed. A lease that is renewed within this time expires before a cancellation confirmed just
   * after the watermark must have been carried out.
   *
   * <p>If the settings leave less than {@link #MIN_MAX_RENEWAL_AGE_MS}, that minimum is returned,
   * because the leader could not renew any lease otherwise. The expiry is then late by the missing
   * time.
   */
  static long maxRenewalAgeMs(Settings settings) {
    double leaseMs = settings.workers().leaseS() * 1000 * (1 + ClockDrift.MAX_RATE);
    double maxAgeMs =
        (settings.workers().cancellationDeadlineS() * 1000 - leaseMs) * (1 - ClockDrift.MAX_RATE)
            - MARGIN_MS;
    return (long) Math.max(MIN_MAX_RENEWAL_AGE_MS, maxAgeMs);
  }

  /**
   * Sets the listener for cancellations.
   *
   * @param onCancellation receives the ID of each job that is learned to be cancelled, possibly
   *     more than once
   */
  public void setListener(Consumer<String> onCancellation) {
    listener = onCancellation;
  }

  /** Records a cancellation that this node is about to confirm to a user. */
  public void confirm(String job) {
    log.append(job, runtime.now());
    learn(job);
  }

  /** Records that a job is cancelled and that its cancellation is durable. */
  public void learn(String job) {
    cancelled.put(job, true);
    listener.accept(job);
  }

  /** Returns whether this node knows that the job is cancelled. */
  public boolean isKnownCancelled(String job) {
    return cancelled.containsKey(job);
  }

  /**
   * Advances the watermark after a read of all live jobs from the state service. Call {@link
   * #learn} for every cancellation in the reply first.
   *
   * @param sentAt the time at which the read was sent, in milliseconds of the monotonic clock
   */
  public void onLiveJobsRead(long sentAt) {
    readUntil = Math.max(readUntil, sentAt);
  }

  /**
   * Returns the time before which every confirmed cancellation is known, in milliseconds of the
   * monotonic clock; {@link MonotonicTime#UNSET} if the watermark is not established.
   */
  public long knownUntil() {
    long until = runtime.now(); // this node knows all cancellations that it has confirmed itself
    for (PeerCancellations peer : peers.values()) {
      until = Math.min(until, Math.max(readUntil, peer.knownUntil()));
    }
    return until;
  }

  /**
   * Returns whether the watermark is established, which requires a read of the state service if
   * this node has peers.
   */
  boolean isEstablished() {
    return knownUntil() != MonotonicTime.UNSET;
  }

  /**
   * Returns whether the expiry of a worker's lease would still carry out a cancellation in time if
   * the lease were renewed now and never again.
   *
   * @param confirmedAfter a time before the confirmation of the cancellation, in milliseconds of
   *     the monotonic clock
   */
  public boolean wouldLeaseExpireInTime(long confirmedAfter) {
    return runtime.now() - confirmedAfter < maxRenewalAgeMs;
  }

  /** Returns the age of the watermark, in milliseconds. */
  public long ageMs() {
    return runtime.now() - knownUntil();
  }

  /**
   * Returns whether the watermark is recent enough to renew worker leases: a lease that is renewed
   * now would expire in time for every cancellation that this node may have missed.
   */
  public boolean isCurrent() {
    return wouldLeaseExpireInTime(knownUntil());
  }

  /**
   * Returns whether this node can report a job as live if it knows of no cancellation that affects
   * the job. A missed cancellation, for example of a job that it depends on, does not have to be
   * carried out yet.
   */
  public boolean canReportLive() {
    return ageMs() < maxReportLiveAgeMs;
  }

  /**
   * Requests the cancellations that the peers have confirmed, if a request is due.
   *
   * @param isLeader whether this node is the leader
   */
  public void tick(boolean isLeader) {
    long intervalMs = isLeader ? LEADER_REQUEST_INTERVAL_MS : STANDBY_REQUEST_INTERVAL_MS;
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
          if (peer.hasReplied()) {
            positions.put(name, peer.position());
          }
        });
    runtime.broadcast(new PeerMessage.CancellationsRequest(node, lastRequest, positions));
  }

  /** Answers a peer's request for the cancellations that this node has confirmed to users. */
  public void onRequest(PeerMessage.CancellationsRequest request) {
    if (!peers.containsKey(request.from())) {
      malformedMessages++;
      return;
    }
    runtime.broadcast(
        log.createReply(request, node, request.logPositions().get(node), runtime.now()));
  }

  /** Learns the cancellations in a peer's reply, which may contain only a part of its log. */
  public void onReply(PeerMessage.CancellationsReply reply) {
    if (!reply.to().equals(node)) {
      return;
    }
    PeerCancellations peer = peers.get(reply.from());
    if (peer == null || !reply.isConsistent() || !reply.jobs().stream().allMatch(JobSpec::isId)) {
      malformedMessages++;
      return;
    }
    reply.jobs().forEach(this::learn);
    peer.advance(reply, requestsSentAt.get(reply.requestId()), readUntil, runtime.now());
  }

  /** Returns the gauges for the metrics, by name. */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.cancellations.age",
        isEstablished() ? ageMs() / 1000.0 : Double.NaN,
        "snowturn.cancellations.listed",
        (double) log.size(),
        "snowturn.cancellations.malformed",
        (double) malformedMessages);
  }
}
