package org.snowturn.core.election;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.snowturn.config.Settings;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.model.Job;
import org.snowturn.core.storage.LruMap;
import org.snowturn.wire.JobSpec;

/**
 * Up to when this node knows every cancellation that any node may have told a user of. A leader
 * that renews the leases of workers knows what it must stop; one that has lost the state service
 * does not, while its peers go on confirming. So it renews only while whatever it may not know of
 * would still lapse in time: see {@link #current()}.
 *
 * <p>Two things move the watermark. A question to the state service that was answered shows all
 * that was confirmed before it was sent, by whichever node. And each peer tells what it has
 * confirmed itself: all of it before the leader's question was sent, since its answer was made
 * after. What a process that has ended confirmed last, its successor on the same node cannot tell,
 * so the successor's word counts only once the state service has been read after it was first
 * heard.
 */
public final class CancellationWatermark {
  private static final double DRIFT = 0.002;

  /** For what a worker takes to find that its lease is over and to end its tasks. */
  private static final long MARGIN_MS = 1_000;

  private static final long LEAST_SLACK_MS = 2_000;

  private static final long ASK_MS = 300;

  /** Who does not lead asks as well, so that it is known early which process each peer is. */
  private static final long FOLLOWER_ASKS_MS = 1_000;

  private static final int MOST_ASKS = 50;
  private static final int REMEMBERED = 20_000;

  /** What is known from one peer. */
  private static final class Peer {
    String life;
    long upTo;
    long heardAt = Long.MAX_VALUE;
    long knownUntil = Job.UNKNOWN;
  }

  private final CoreRuntime runtime;
  private final String node;
  private final long slackMs;
  private final long dueMs;
  private final CancellationLog told;
  private final Map<String, Peer> peers = new LinkedHashMap<>();
  private final Map<Long, Long> asks = new LinkedHashMap<>();
  private final Map<String, Boolean> cancelled = new LruMap<>(REMEMBERED);
  private Consumer<String> listener = job -> {};
  private long readUntil = Job.UNKNOWN;
  private long askSeq;
  private long askedAt = Job.UNKNOWN;
  private long unusable;

  /**
   * Knows nothing yet.
   *
   * @param incarnation a name that no other process of this node has had
   */
  public CancellationWatermark(Settings settings, CoreRuntime runtime, String incarnation) {
    this.runtime = runtime;
    this.node = settings.node();
    this.told = new CancellationLog(incarnation);
    // A peer's late answer to the former life of this node must not be taken for one to this one.
    this.askSeq = new SplittableRandom(incarnation.hashCode()).nextLong() >>> 2;
    this.slackMs = slackMs(settings);
    this.dueMs = (long) (settings.workers().cancelS() * 1000 * (1 - DRIFT)) - MARGIN_MS;
    settings.peers().forEach(p -> peers.put(p.node(), new Peer()));
  }

  /**
   * How long after the watermark a worker may still be answered: its lease, counted from then, ends
   * before a cancellation just past the watermark is due. Where settings leave no such time nothing
   * could be served at all; then a lapse is late by what they lack.
   */
  static long slackMs(Settings settings) {
    double lease = settings.workers().leaseS() * 1000 * (1 + DRIFT);
    double slack = (settings.workers().cancelS() * 1000 - lease) * (1 - DRIFT) - MARGIN_MS;
    return (long) Math.max(LEAST_SLACK_MS, slack);
  }

  /** Tells this of every cancellation that becomes known, perhaps more than once. */
  public void listen(Consumer<String> l) {
    listener = l;
  }

  /** A user is about to be told by this node. */
  public void tell(String job) {
    told.tell(job, runtime.now());
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
   * The state service has answered a question about all live jobs, and what the answer holds has
   * been learnt.
   */
  public void read(long sentAt) {
    readUntil = Math.max(readUntil, sentAt);
  }

  /** Every cancellation that was confirmed before this moment is known. */
  public long knownUntil() {
    long until = runtime.now(); // what this node itself confirms, it knows
    for (Peer p : peers.values()) {
      until = Math.min(until, Math.max(readUntil, p.knownUntil));
    }
    return until;
  }

  /** Whether there was a moment up to which all were known. */
  boolean everKnown() {
    return knownUntil() != Job.UNKNOWN;
  }

  /**
   * Whether a worker that is answered now, and then never again, would lapse in time for a
   * cancellation that a user was told of after this moment.
   */
  public boolean lapsesInTime(long confirmedAfter) {
    return runtime.now() - confirmedAfter < slackMs;
  }

  /** How old the knowledge is, in milliseconds. */
  public long ageMs() {
    return runtime.now() - knownUntil();
  }

  /** Whether a worker that is answered now would lapse in time for whatever is not known. */
  public boolean current() {
    return lapsesInTime(knownUntil());
  }

  /**
   * Whether a job of which nothing is known may be called live now: if one that it needs was
   * cancelled, that is not due yet.
   */
  public boolean tells() {
    return ageMs() < dueMs;
  }

  /** Asks the peers now and then. */
  public void tick(boolean leading) {
    if (runtime.now() - askedAt < (leading ? ASK_MS : FOLLOWER_ASKS_MS)) {
      return;
    }
    askedAt = runtime.now();
    asks.put(++askSeq, runtime.now());
    if (asks.size() > MOST_ASKS) {
      asks.remove(asks.keySet().iterator().next());
    }
    Map<String, PeerMessage.LogPosition> heard = new HashMap<>();
    peers.forEach(
        (name, p) -> {
          if (p.life != null) {
            heard.put(name, new PeerMessage.LogPosition(p.life, p.upTo));
          }
        });
    runtime.broadcast(new PeerMessage.CancellationsRequest(node, askSeq, heard));
  }

  /** A peer wants to hear what this node has told users. */
  public void asked(PeerMessage.CancellationsRequest a) {
    if (!peers.containsKey(a.from())) {
      unusable++;
      return;
    }
    runtime.broadcast(told.part(a.heard().get(node), node, a.from(), a.seq(), runtime.now()));
  }

  /** A peer tells what it has told users, or a part of it. */
  public void heard(PeerMessage.CancellationsReply c) {
    if (!c.to().equals(node)) {
      return;
    }
    Peer p = peers.get(c.from());
    if (p == null || !c.possible() || !c.jobs().stream().allMatch(JobSpec::isId)) {
      unusable++;
      return;
    }
    c.jobs().forEach(this::learn);
    if (!c.life().equals(p.life)) {
      p.life = c.life();
      p.upTo = 0;
      p.heardAt = runtime.now();
    }
    // What the peer has dropped for its age counts as heard once the state service was read since.
    boolean skipped = c.after() > p.upTo;
    long droppedAt = runtime.now() - (long) (c.droppedAgeMs() * (1 - DRIFT));
    if (skipped && (c.after() > c.dropped() || readUntil < droppedAt)) {
      return;
    }
    p.upTo = Math.max(p.upTo, c.after() + c.jobs().size());
    Long sentAt = asks.get(c.seq());
    if (sentAt != null && p.upTo >= c.last() && readUntil >= p.heardAt) {
      p.knownUntil = Math.max(p.knownUntil, sentAt);
    }
  }

  /** Figures for operators. */
  public Map<String, Double> gauges() {
    return Map.of(
        "snowturn.cancellations.age",
        everKnown() ? ageMs() / 1000.0 : Double.NaN,
        "snowturn.cancellations.listed",
        (double) told.size(),
        "snowturn.cancellations.unusable",
        (double) unusable);
  }
}
