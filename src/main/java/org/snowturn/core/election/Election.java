package org.snowturn.core.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.core.Outcome;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.admission.RequestClass;
import org.snowturn.core.effects.CoreRuntime;
import org.snowturn.core.effects.LogEvent;
import org.snowturn.core.effects.LogField;
import org.snowturn.core.model.Job;
import org.snowturn.core.recovery.Backoff;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Leadership by a lease in the state service. The leader key's version is the token. A leader's
 * authority ends one lease life after its last successful renewal was <em>sent</em>, less the drift
 * of the clocks, so it always ends before the state service can end the lease.
 *
 * <p>While the state service is out, authority can also rest on promises: every peer has promised
 * not to claim leadership for a while, so nobody can take over, whatever became of the lease. A
 * promise binds the node, not the process: a restarted node keeps quiet for as long as a promise of
 * its predecessor could last, unless every peer has told it that it does not lead.
 */
public final class Election {
  private static final double DRIFT = 0.002;
  private static final int CALL_MS = 1500;

  /** Failed looks and claims are repeated between these bounds: nobody leads meanwhile. */
  private static final long RETRY_LEAST_MS = 100;

  private static final long RETRY_MOST_MS = 400;

  private static final int PROMISE_MS = 2000;
  private static final long TELL_MS = 300;

  /** While peers wait to hear that this node does not lead. */
  private static final long TELL_NEW_MS = 100;

  /** A tick that comes so late means that replies have been waiting here, not there. */
  private static final long LATE_TICK_MS = 500;

  /**
   * A leader whose renewals fail for this long gives up if a peer is served: before its lease ends.
   */
  private static final long RESIGN_MS = 1500;

  /** For so long a peer that reaches the state service may take to end an offered lease. */
  private static final long OFFERED_MS = 700;

  private static final long HOLD_OFF_MS = 15_000;

  /** A process that has just begun leaves the claim to peers that are up for so long. */
  private static final long NEW_LIFE_MS = 400;

  /** A node that lacks a link leaves the claim to one that has all for so long. */
  private static final long HOLD_BACK_MS = 1_500;

  private enum Role {
    LOOKING,
    FOLLOWING,
    LEASING,
    CLAIMING,
    LEADING
  }

  private final Settings settings;
  private final CoreRuntime runtime;
  private final String incarnation;
  private final long ttlMs;
  private final long startedAt;
  private final Backoff backoff;

  private Role role = Role.LOOKING;
  private long nextAt;
  private boolean busy;
  private boolean watching;
  private long watchFrom;
  private long lease;
  private long leaseSentAt;
  private long token;
  private long authorityUntil = Long.MIN_VALUE;
  private long renewAt;
  private boolean renewing;
  private String knownLeader;
  private long holdOffUntil;
  private long generation;

  private final CancellationWatermark watermark;
  private boolean wasCurrent = true;
  private String loggedGround = "none";
  private BooleanSupplier betterElsewhere = () -> false;
  private boolean heldBack;
  private long tickedAt = Job.UNKNOWN;
  private long lateAt = Job.UNKNOWN;
  private boolean quiet = true;
  private final Set<String> notLeading = new HashSet<>();
  private long promisedUntil = Job.UNKNOWN;
  private boolean claimInDoubt;
  private long knownToken;
  private final PeerPromises promises;
  private long tellAt;
  private long renewFailingSince = Job.UNKNOWN;
  private long offeredAt = Job.UNKNOWN;
  private boolean leaseOffered;

  private final StateServiceHealth service;

  /**
   * Stands for nothing yet.
   *
   * @param startedAt when this process began, in milliseconds of the steady clock: whatever its
   *     predecessor on this node has promised was promised before that
   */
  public Election(
      Settings settings,
      Tunables tunables,
      CoreRuntime runtime,
      CancellationWatermark watermark,
      String incarnation,
      long startedAt) {
    this.startedAt = startedAt;
    this.watermark = watermark;
    this.backoff = runtime.backoff(RETRY_LEAST_MS, RETRY_MOST_MS);
    this.settings = settings;
    this.runtime = runtime;
    this.promises = new PeerPromises(settings.peers());
    this.service = new StateServiceHealth(runtime);
    this.incarnation = incarnation;
    this.ttlMs = ttlMs(settings, tunables);
  }

  /** The lease's life: within a worker's lease a new leader must have been found by the workers. */
  public static long ttlMs(Settings settings, Tunables tunables) {
    double ttl =
        tunables.leaderTtlS() > 0
            ? tunables.leaderTtlS()
            : Math.min(2.5, settings.workers().leaseS() * 0.25);
    // A cancellation must be carried out by the next leader even if its machine only lapses.
    double most = settings.workers().cancelS() - settings.workers().leaseS() - 2;
    return (long) (1000 * Math.max(0.5, Math.min(ttl, most)));
  }

  /** Asks this before a claim: whether a peer reaches what this node does not. */
  public void holdBackIf(BooleanSupplier better) {
    betterElsewhere = better;
  }

  /** When the last request that the state service answered was sent; {@link Job#UNKNOWN}: never. */
  public long stateOkAt() {
    return service.answeredAt();
  }

  public boolean leading() {
    return role == Role.LEADING;
  }

  /**
   * Whether this node may act: nobody else can lead, and whatever cancellation it may not know of
   * would still be carried out in time.
   */
  public boolean hasAuthority() {
    return role == Role.LEADING
        && (runtime.now() < authorityUntil || promises.holdOfAll(runtime.now()))
        && watermark.current();
  }

  /** Whether the state service has answered this node lately. */
  public boolean stateHealthy() {
    return service.healthy();
  }

  /** Whether a peer has said lately that the state service answers it. */
  public boolean peersReachState() {
    return service.answersPeers();
  }

  public long token() {
    return token;
  }

  public long lease() {
    return lease;
  }

  /** Who leads, as far as this node knows; null if nobody or itself without authority. */
  public String leader() {
    return settings.node().equals(knownLeader) ? null : knownLeader;
  }

  public void tick() {
    long now = runtime.now();
    if (tickedAt != Job.UNKNOWN && now - tickedAt > LATE_TICK_MS) {
      lateAt = now;
    }
    tickedAt = now;
    long quietUntil = startedAt + PROMISE_MS + 200;
    quiet = quiet && now < quietUntil && notLeading.size() < settings.peers().size();
    logAuthority();
    service.probe(role == Role.LEADING);
    tell();
    watermark.tick(role == Role.LEADING);
    if (role == Role.LEADING) {
      logCancellationsKnown();
      if (!renewing && now >= renewAt) {
        renew();
      }
      return;
    }
    if (!watching && role == Role.FOLLOWING) {
      watch();
    }
    if (busy || now < nextAt) {
      return;
    }
    switch (role) {
      case LOOKING -> look();
      case LEASING -> {
        if (mustNotClaim()) {
          return;
        }
        if (!heldBack && betterElsewhere.getAsBoolean()) {
          // A peer that reaches more goes first; but only once, so that somebody leads in any case.
          heldBack = true;
          nextAt = now + HOLD_BACK_MS;
          runtime.note("another node is better placed to lead: holding back");
        } else {
          askLease();
        }
      }
      default -> {}
    }
  }

  /** Logs when this node's right to act begins, ends or comes to rest on something else. */
  private void logAuthority() {
    String ground = ground();
    if (!ground.equals(loggedGround)) {
      loggedGround = ground;
      runtime
          .events()
          .info(LogEvent.AUTHORITY_CHANGED)
          .with(LogField.TOKEN, token)
          .with(LogField.GROUND, ground)
          .with(LogField.LEASE, lease)
          .with(LogField.UNTIL_MS, authorityUntil - runtime.now())
          .write();
    }
  }

  private String ground() {
    if (role != Role.LEADING || !watermark.current()) {
      return "none";
    }
    return runtime.now() < authorityUntil
        ? "lease"
        : promises.holdOfAll(runtime.now()) ? "promises" : "none";
  }

  private void logCancellationsKnown() {
    if (wasCurrent != watermark.current()) {
      wasCurrent = !wasCurrent;
      runtime.note(
          wasCurrent
              ? "cancellations are known again: workers are answered"
              : "cancellations "
                  + (watermark.everKnown() ? "of the last " + watermark.ageMs() + " ms " : "")
                  + "may be unknown here: workers are not answered until that is known");
    }
  }

  private void tell() {
    long now = runtime.now();
    if (now < tellAt) {
      return;
    }
    boolean isNew = now < startedAt + PROMISE_MS + 200 && role != Role.LEADING;
    tellAt = now + (isNew ? TELL_NEW_MS : TELL_MS);
    if (role != Role.LEADING) {
      runtime.broadcast(
          new PeerMessage.StandbyStatus(settings.node(), service.answersNow(role == Role.LEADING)));
      return;
    }
    runtime.broadcast(
        new PeerMessage.PromiseRequest(
            settings.node(), promises.request(now), token, renewFailingSince != Job.UNKNOWN));
  }

  /** Takes a peer's record. */
  public void fromPeer(PeerMessage message) {
    if (message instanceof PeerMessage.StandbyStatus s) {
      notLeading.add(s.from());
      service.heard(s.from(), s.stateOk());
    } else if (message instanceof PeerMessage.PromiseRequest a) {
      asked(a);
    } else if (message instanceof PeerMessage.Promise p) {
      promised(p);
    } else if (message instanceof PeerMessage.StepDown x) {
      endForPeer(x);
    } else if (message instanceof PeerMessage.LeaseHandover o) {
      offered(o);
    } else if (message instanceof PeerMessage.LeaseEnded e) {
      leaseEnded(e);
    }
  }

  /**
   * Promises nothing that it may not keep: not while a claim of its own may be executed, nor after
   * it has seen the leader's key vanish or a later leader's key.
   */
  private void asked(PeerMessage.PromiseRequest a) {
    service.heard(a.from(), !a.trouble());
    service.leaderInTrouble(a.trouble());
    if (role != Role.LEADING && a.token() >= knownToken) {
      knownLeader = a.from(); // only for workers to be sent there: a hint
    }
    boolean mayClaim =
        role == Role.LEADING || role == Role.CLAIMING || role == Role.LEASING || claimInDoubt;
    if (mayClaim || a.token() < knownToken) {
      return;
    }
    knownToken = a.token();
    promisedUntil = Math.max(promisedUntil, runtime.now() + PROMISE_MS);
    runtime.broadcast(
        new PeerMessage.Promise(
            settings.node(),
            a.seq(),
            a.token(),
            PROMISE_MS,
            service.answersNow(role == Role.LEADING)));
  }

  private void promised(PeerMessage.Promise p) {
    service.heard(p.from(), p.stateOk());
    if (role != Role.LEADING || p.token() != token || !promises.take(p)) {
      return;
    }
    // A node that is behind with its work has not heard replies that were there.
    boolean behind = runtime.now() - RESIGN_MS < lateAt;
    boolean lost =
        !behind
            && renewFailingSince != Job.UNKNOWN
            && runtime.now() - renewFailingSince > RESIGN_MS;
    if (!lost || !p.stateOk()) {
      return;
    }
    if (offeredAt < renewFailingSince) {
      offeredAt = runtime.now();
      // An offer may be taken up at any later time, so from now on only promises keep this term.
      authorityUntil = Long.MIN_VALUE;
      leaseOffered = true;
    }
    if (runtime.now() - offeredAt < OFFERED_MS) {
      runtime.broadcast(new PeerMessage.LeaseHandover(settings.node(), lease, token));
    } else {
      // Of the version before, or too slow; what it said of the state service is news.
      resign("the state service answers " + p.from() + " but not this node");
    }
  }

  /**
   * Ends a lease at its holder's wish. That takes nothing from what was promised: this node claims
   * nothing before its promises have ended or the holder, told of it, has released them.
   */
  private void offered(PeerMessage.LeaseHandover o) {
    if (role == Role.LEADING) {
      return;
    }
    deleteLease(
        o.lease(),
        (outcome, status, body) -> {
          if (outcome == Outcome.ANSWERED && (status == 200 || status == 404)) {
            runtime.broadcast(new PeerMessage.LeaseEnded(settings.node(), o.token()));
          }
        });
  }

  private void leaseEnded(PeerMessage.LeaseEnded e) {
    if (role == Role.LEADING && e.token() == token) {
      resign("the state service answers " + e.from() + " but not this node");
    }
  }

  private boolean mustNotClaim() {
    return quiet || runtime.now() < promisedUntil;
  }

  private void retryLater(Role next) {
    role = next;
    busy = false;
    nextAt = runtime.now() + backoff.next(runtime.retryAfterMs());
  }

  private void lookAgain() {
    role = Role.LOOKING;
    busy = false;
    nextAt = runtime.now();
  }

  private void look() {
    busy = true;
    runtime.callForAuthority(
        "GET",
        "/kv?prefix=" + StorageKeys.LEADER_PREFIX + "&most=5",
        null,
        CALL_MS,
        (outcome, status, body) -> {
          busy = false;
          if (outcome != Outcome.ANSWERED || status != 200) {
            retryLater(Role.LOOKING);
            return;
          }
          try {
            watchFrom = StateMessage.epoch(body);
            backoff.reset();
            List<StateMessage.Entry> found = StateMessage.entries(body);
            if (found.isEmpty()) {
              vacant();
            } else {
              occupied(found.get(0));
            }
          } catch (MalformedException e) {
            retryLater(Role.LOOKING);
          }
        });
  }

  private void occupied(StateMessage.Entry key) {
    JsonNode value = key.value();
    knownToken = Math.max(knownToken, key.stamp());
    knownLeader = value.path("node").asText(null);
    if (settings.node().equals(knownLeader) && !incarnation.equals(value.path("inc").asText())) {
      // Our own predecessor on this node: it has ended, since we run in its place. What peers have
      // promised it holds nobody back any more, and they are ahead of a process that has just
      // begun.
      long left = value.path("lease").asLong();
      runtime.broadcast(new PeerMessage.StepDown(settings.node(), left, key.stamp()));
      holdOffUntil = Math.max(holdOffUntil, notLeading.isEmpty() ? 0 : runtime.now() + NEW_LIFE_MS);
      endLease(left);
      return;
    }
    role = Role.FOLLOWING;
    heldBack = false;
  }

  private void deleteLease(long id, CoreRuntime.ReplyHandler then) {
    runtime.callForAuthority("DELETE", "/leases/" + id, null, CALL_MS, then);
  }

  private void endLease(long id) {
    busy = true;
    deleteLease(
        id,
        (outcome, status, body) -> {
          if (outcome != Outcome.ANSWERED && claimInDoubt) {
            runtime.retry(backoff, () -> endLease(id)); // busy until then
            return;
          }
          claimInDoubt = false;
          if (outcome == Outcome.ANSWERED) {
            lookAgain();
          } else {
            retryLater(Role.LOOKING);
          }
        });
  }

  /**
   * A leader that can no longer serve told us so: end its lease if the state service answers us.
   */
  private void endForPeer(PeerMessage.StepDown r) {
    if (role == Role.LEADING) {
      return;
    }
    if (r.token() >= knownToken) {
      promisedUntil = Job.UNKNOWN; // the one it was given to has released us
    }
    deleteLease(r.lease(), (o, s, b) -> {});
  }

  private void vacant() {
    knownLeader = null;
    role = Role.LEASING;
    nextAt = Math.max(runtime.now(), holdOffUntil);
    tick();
  }

  private void askLease() {
    busy = true;
    leaseSentAt = runtime.now();
    runtime.callForAuthority(
        "POST",
        "/leases",
        StateMessage.lease(ttlMs),
        CALL_MS,
        (outcome, status, body) -> {
          busy = false;
          if (outcome != Outcome.ANSWERED || status != 200) {
            retryLater(Role.LOOKING);
            return;
          }
          try {
            lease = StateMessage.leaseId(body);
            if (mustNotClaim()) {
              retryLater(Role.LOOKING);
              return;
            }
            role = Role.CLAIMING;
            claim();
          } catch (MalformedException e) {
            retryLater(Role.LOOKING);
          }
        });
  }

  private void claim() {
    busy = true;
    JsonNode value =
        Json.object()
            .put("v", StorageKeys.VERSION)
            .put("node", settings.node())
            .put("inc", incarnation)
            .put("lease", lease);
    JsonNode txn =
        StateMessage.txn(
            List.of(new Condition(StorageKeys.LEADER, 0)),
            List.of(new Change(StorageKeys.LEADER, value, lease)));
    runtime.callForAuthority(
        "POST",
        "/txn",
        txn,
        CALL_MS,
        (outcome, status, body) -> {
          busy = false;
          if (outcome == Outcome.ANSWERED && status == 200) {
            try {
              won(StateMessage.epoch(body));
              return;
            } catch (MalformedException e) {
              runtime.note("unusable reply to a claim: " + e.getMessage());
            }
          }
          if (outcome == Outcome.UNKNOWN) {
            // The claim may still be executed: only ending its lease makes it harmless.
            claimInDoubt = true;
            endLease(lease);
            return;
          }
          if (outcome == Outcome.ANSWERED && status == 409) {
            lookAgain(); // another node was first
            return;
          }
          retryLater(Role.LOOKING);
        });
  }

  private void won(long epoch) {
    role = Role.LEADING;
    generation++;
    token = epoch;
    knownLeader = settings.node();
    extend(leaseSentAt);
    leaseOffered = false;
    promises.clear();
    knownToken = Math.max(knownToken, token);
    renewFailingSince = Job.UNKNOWN;
    tellAt = runtime.now();
    renewing = false;
    wasCurrent = true;
    renewAt = runtime.now() + ttlMs / 5;
    runtime.note("leading with token " + token + ", lease life " + ttlMs + " ms");
  }

  private void extend(long sentAt) {
    authorityUntil = sentAt + (long) (ttlMs * (1 - DRIFT)) - 20;
  }

  private void renew() {
    renewing = true;
    long sentAt = runtime.now();
    long mine = generation;
    runtime.callForAuthority(
        "POST",
        "/leases/" + lease + "/renew",
        null,
        1000,
        (outcome, status, body) -> {
          if (mine != generation || role != Role.LEADING) {
            return;
          }
          renewing = false;
          if (outcome == Outcome.ANSWERED && status == 200 && leaseOffered) {
            resign("its lease was offered to peers while the state service did not answer");
          } else if (outcome == Outcome.ANSWERED && status == 200) {
            extend(sentAt);
            service.answered(sentAt);
            renewFailingSince = Job.UNKNOWN;
            renewAt = sentAt + ttlMs / 5;
          } else if (outcome == Outcome.ANSWERED && status == 404) {
            stepDown("lease lost");
          } else {
            if (renewFailingSince == Job.UNKNOWN) {
              renewFailingSince = sentAt;
            }
            renewAt = runtime.now() + 250;
          }
        });
  }

  /** Gives up leadership; the next look finds who has it. */
  public void stepDown(String why) {
    if (role != Role.LEADING) {
      return;
    }
    runtime.note("stepping down: " + why);
    generation++;
    authorityUntil = Long.MIN_VALUE;
    knownLeader = null;
    retryLater(Role.LOOKING);
  }

  /** Gives up leadership so that another node can have it at once. */
  public void resign(String why) {
    long old = lease;
    holdOffUntil = runtime.now() + HOLD_OFF_MS;
    stepDown(why);
    nextAt = runtime.now() + 1000;
    runtime.broadcast(new PeerMessage.StepDown(settings.node(), old, token));
    deleteLease(old, (o, s, b) -> {});
  }

  private void watch() {
    watching = true;
    runtime.watchState(
        RequestClass.AUTHORITY,
        "/watch?prefix=" + StorageKeys.LEADER_PREFIX + "&since=" + watchFrom + "&hold_ms=5000",
        7000,
        (outcome, status, body) -> {
          watching = false;
          if (role != Role.FOLLOWING) {
            return;
          }
          if (outcome != Outcome.ANSWERED || status != 200) {
            retryLater(Role.LOOKING);
            return;
          }
          try {
            watchFrom = Math.max(watchFrom, StateMessage.epoch(body));
            List<StateMessage.Entry> events = StateMessage.events(body);
            if (!events.isEmpty()) {
              StateMessage.Entry last = events.get(events.size() - 1);
              if (last.value() == null) {
                vacant();
              } else {
                occupied(last);
              }
            }
          } catch (MalformedException e) {
            retryLater(Role.LOOKING);
          }
        });
  }
}
