package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.snowturn.config.Settings;
import org.snowturn.config.Tunables;
import org.snowturn.wire.Json;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;
import org.snowturn.wire.StateMessage.Change;
import org.snowturn.wire.StateMessage.Condition;

/**
 * Leadership by a lease in the state service. The leader key's version is the token. A leader's
 * authority ends one lease life after its last successful renewal was <em>sent</em>, less the drift
 * of the clocks, so it always ends before the state service can end the lease.
 */
final class Election {
  private static final double DRIFT = 0.002;
  private static final int CALL_MS = 1500;
  private static final long RETRY_MS = 400;

  private enum Role {
    LOOKING,
    FOLLOWING,
    LEASING,
    CLAIMING,
    LEADING
  }

  private final Settings settings;
  private final Calls calls;
  private final String incarnation;
  private final long ttlMs;

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

  Election(Settings settings, Tunables tunables, Calls calls, String incarnation) {
    this.settings = settings;
    this.calls = calls;
    this.incarnation = incarnation;
    this.ttlMs = ttlMs(settings, tunables);
  }

  /** The lease's life: within a worker's lease a new leader must have been found by the workers. */
  static long ttlMs(Settings s, Tunables t) {
    double ttl = t.leaderTtlS() > 0 ? t.leaderTtlS() : Math.min(5, s.workers().leaseS() * 0.4);
    // A cancellation must be carried out by the next leader even if its machine only lapses.
    double most = s.workers().cancelS() - s.workers().leaseS() - 2;
    return (long) (1000 * Math.max(0.5, Math.min(ttl, most)));
  }

  boolean leading() {
    return role == Role.LEADING;
  }

  boolean hasAuthority() {
    return role == Role.LEADING && calls.now() < authorityUntil;
  }

  long token() {
    return token;
  }

  long lease() {
    return lease;
  }

  /** Who leads, as far as this node knows; null if nobody or itself without authority. */
  String leader() {
    return settings.node().equals(knownLeader) ? null : knownLeader;
  }

  void tick() {
    long now = calls.now();
    if (role == Role.LEADING) {
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
      case LEASING -> askLease();
      case CLAIMING -> claim();
      default -> {}
    }
  }

  private void retryLater(Role next) {
    role = next;
    busy = false;
    nextAt = calls.now() + RETRY_MS;
  }

  private void look() {
    busy = true;
    calls.state(
        "GET",
        "/kv?prefix=" + Keys.LEADER_PREFIX + "&most=5",
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
            List<StateMessage.Entry> found = StateMessage.entries(body);
            if (found.isEmpty()) {
              vacant();
            } else {
              occupied(found.get(0).value());
            }
          } catch (MalformedException e) {
            retryLater(Role.LOOKING);
          }
        });
  }

  private void occupied(JsonNode value) {
    knownLeader = value.path("node").asText(null);
    if (settings.node().equals(knownLeader) && !incarnation.equals(value.path("inc").asText())) {
      // Our own predecessor on this node: it has ended, since we run in its place.
      endLease(value.path("lease").asLong());
      return;
    }
    role = Role.FOLLOWING;
  }

  private void endLease(long id) {
    busy = true;
    calls.state(
        "DELETE",
        "/leases/" + id,
        null,
        CALL_MS,
        (outcome, status, body) -> retryLater(Role.LOOKING));
  }

  /** A leader that can no longer serve told us so: end its lease if the state service answers us. */
  void endForPeer(PeerRecord.Resign r) {
    if (role == Role.LEADING) {
      return;
    }
    calls.state("DELETE", "/leases/" + r.lease(), null, CALL_MS, (o, s, b) -> {});
  }

  private void vacant() {
    knownLeader = null;
    role = Role.LEASING;
    nextAt = Math.max(calls.now(), holdOffUntil);
  }

  private void askLease() {
    busy = true;
    leaseSentAt = calls.now();
    calls.state(
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
            .put("v", Keys.VERSION)
            .put("node", settings.node())
            .put("inc", incarnation)
            .put("lease", lease);
    JsonNode txn =
        StateMessage.txn(
            List.of(new Condition(Keys.LEADER, 0)),
            List.of(new Change(Keys.LEADER, value, lease)));
    calls.state(
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
              calls.note("unusable reply to a claim: " + e.getMessage());
            }
          }
          if (outcome == Outcome.UNKNOWN) {
            // The claim may still be executed: only ending its lease makes it harmless.
            endLease(lease);
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
    renewing = false;
    renewAt = calls.now() + ttlMs / 5;
    calls.note("leading with token " + token + ", lease life " + ttlMs + " ms");
  }

  private void extend(long sentAt) {
    authorityUntil = sentAt + (long) (ttlMs * (1 - DRIFT)) - 20;
  }

  private void renew() {
    renewing = true;
    long sentAt = calls.now();
    long mine = generation;
    calls.state(
        "POST",
        "/leases/" + lease + "/renew",
        null,
        1000,
        (outcome, status, body) -> {
          if (mine != generation || role != Role.LEADING) {
            return;
          }
          renewing = false;
          if (outcome == Outcome.ANSWERED && status == 200) {
            extend(sentAt);
            renewAt = sentAt + ttlMs / 5;
          } else if (outcome == Outcome.ANSWERED && status == 404) {
            stepDown("lease lost");
          } else {
            renewAt = calls.now() + 250;
          }
        });
  }

  /** Gives up leadership; the next look finds who has it. */
  void stepDown(String why) {
    if (role != Role.LEADING) {
      return;
    }
    calls.note("stepping down: " + why);
    generation++;
    authorityUntil = Long.MIN_VALUE;
    knownLeader = null;
    retryLater(Role.LOOKING);
  }

  /** Gives up leadership so that another node can have it at once. */
  void resign(String why, long holdOffMs) {
    long old = lease;
    holdOffUntil = calls.now() + holdOffMs;
    stepDown(why);
    nextAt = calls.now() + 1000;
    calls.toPeers(new PeerRecord.Resign(old, token));
    calls.state("DELETE", "/leases/" + old, null, CALL_MS, (o, s, b) -> {});
  }

  private void watch() {
    watching = true;
    calls.call(
        Effect.Target.STATE_WATCH,
        null,
        "GET",
        "/watch?prefix=" + Keys.LEADER_PREFIX + "&since=" + watchFrom + "&hold_ms=5000",
        null,
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
                occupied(last.value());
              }
            }
          } catch (MalformedException e) {
            retryLater(Role.LOOKING);
          }
        });
  }
}
