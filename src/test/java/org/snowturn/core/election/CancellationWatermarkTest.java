package org.snowturn.core.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.snowturn.core.Effect;
import org.snowturn.core.PeerMessage;
import org.snowturn.core.TestSettings;
import org.snowturn.core.effects.CoreRuntime;

/**
 * Guards against a leader that counts a cancellation as known although it has never received it.
 * Nodes confirm cancellations and restart while messages are lost, duplicated or delayed, and the
 * leader reads the state service from time to time.
 */
class CancellationWatermarkTest {
  private static final String LEADER = "n0";

  /** A node and its current process. */
  private static final class Node {
    private final String name;
    private int incarnation;
    private CoreRuntime runtime;
    private CancellationWatermark watermark;

    Node(String name, long now) {
      this.name = name;
      startProcess(now);
    }

    void startProcess(long now) {
      incarnation++;
      runtime = new CoreRuntime(31L * incarnation + name.hashCode());
      runtime.setTime(now, now);
      watermark =
          new CancellationWatermark(TestSettings.of(name), runtime, name + "-" + incarnation);
    }
  }

  private record Event(long at, long order, Runnable run) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** A simulation of three nodes, their messages and the leader's reads of the state service. */
  private static final class Cluster {
    private final RandomGenerator random;
    private final List<Node> nodes;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Long> confirmedAt = new HashMap<>();
    private long now = 1_000_000;
    private long order;
    private int knownCount;

    Cluster(long seed) {
      random = new SplittableRandom(seed);
      nodes = List.of(new Node(LEADER, now), new Node("n1", now), new Node("n2", now));
    }

    Node leader() {
      return nodes.get(0);
    }

    void schedule(long delayMs, Runnable run) {
      events.add(new Event(now + delayMs, order++, run));
    }

    void setTime(Node node) {
      node.runtime.setTime(now, now);
    }

    /** Delivers the messages of a node: mostly soon, sometimes late, twice or never. */
    void deliverMessages(Node from) {
      for (Effect effect : from.runtime.drainEffects()) {
        if (effect instanceof Effect.Broadcast broadcast) {
          for (Node to : nodes) {
            for (int copies = random.nextInt(6) == 0 ? random.nextInt(3) : 1;
                copies > 0;
                copies--) {
              long delayMs = random.nextInt(8) == 0 ? random.nextInt(4_000) : random.nextInt(20);
              if (to != from) {
                schedule(delayMs, () -> receive(to, broadcast.message()));
              }
            }
          }
        }
      }
    }

    void receive(Node to, PeerMessage message) {
      setTime(to);
      if (message instanceof PeerMessage.CancellationsRequest request) {
        to.watermark.onRequest(request);
      } else if (message instanceof PeerMessage.CancellationsReply reply) {
        to.watermark.onReply(reply);
      }
      deliverMessages(to);
    }

    /** Reads every confirmed cancellation from the state service, whose reply arrives later. */
    void readStateService() {
      long sentAt = now;
      int incarnation = leader().incarnation;
      schedule(
          random.nextInt(30),
          () -> {
            List<String> stored = List.copyOf(confirmedAt.keySet());
            schedule(
                random.nextInt(500),
                () -> {
                  if (leader().incarnation != incarnation) {
                    return; // a restarted process does not receive the reply
                  }
                  setTime(leader());
                  stored.forEach(leader().watermark::learn);
                  leader().watermark.onLiveJobsRead(sentAt);
                });
          });
    }

    void confirm(Node node, int jobCount) {
      setTime(node);
      for (int i = 0; i < jobCount; i++) {
        String job = "wk-" + String.format("%06d", confirmedAt.size());
        confirmedAt.put(job, now);
        node.watermark.confirm(job);
      }
    }

    void checkKnownCancellations() {
      setTime(leader());
      long until = leader().watermark.knownUntil();
      confirmedAt.forEach(
          (job, at) -> {
            if (at < until) {
              knownCount++;
              assertTrue(
                  leader().watermark.isKnownCancelled(job),
                  job
                      + " confirmed at "
                      + at
                      + ", before the watermark "
                      + until
                      + ", is not known");
            }
          });
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        long next = now + random.nextInt(1, 400);
        while (!events.isEmpty() && events.peek().at() <= next) {
          Event event = events.poll();
          now = event.at();
          event.run().run();
        }
        now = next;
        Node peer = nodes.get(1 + random.nextInt(2));
        switch (random.nextInt(14)) {
          case 0, 1, 2 -> confirm(peer, 1 + random.nextInt(3));
          case 3 -> confirm(leader(), 1);
          case 4 -> confirm(peer, random.nextInt(20) == 0 ? 400 : 1);
          case 5 -> {
            if (random.nextInt(4) == 0) {
              (random.nextInt(4) == 0 ? leader() : peer).startProcess(now);
            }
          }
          case 6 -> {
            if (random.nextInt(3) == 0) {
              readStateService();
            }
          }
          default -> {
            setTime(leader());
            leader().watermark.tick(true);
            deliverMessages(leader());
          }
        }
        checkKnownCancellations();
      }
    }
  }

  @Property(seed = "11", tries = 400, edgeCases = EdgeCasesMode.NONE)
  void everyCancellationConfirmedBeforeTheWatermarkIsKnown(@ForAll long seed) {
    Cluster cluster = new Cluster(seed);
    cluster.run(150);
  }

  /**
   * Guards against a watermark that never advances, with which the property above would hold
   * without checking anything. All messages arrive, so the watermark must stay recent.
   */
  @Test
  void repliesOfPeersKeepTheWatermarkRecentOnceTheStateServiceWasRead() {
    Cluster cluster = clusterWithCurrentWatermark();
    cluster.confirm(cluster.nodes.get(1), 700); // more than one reply holds
    for (int i = 0; i < 40; i++) {
      step(cluster, 100);
    }
    cluster.checkKnownCancellations();
    assertTrue(
        cluster.leader().watermark.ageMs() < 500, "age " + cluster.leader().watermark.ageMs());
    assertEquals(700, cluster.knownCount);
    assertTrue(cluster.leader().watermark.isCurrent());
  }

  /**
   * Guards against trusting the replies of a restarted peer, which does not know what its previous
   * process confirmed, before the state service has been read.
   */
  @Test
  void repliesOfARestartedPeerCountOnlyAfterAReadOfTheStateService() {
    Cluster cluster = clusterWithCurrentWatermark();
    cluster.nodes.get(1).startProcess(cluster.now);
    long slack = CancellationWatermark.maxRenewalAgeMs(TestSettings.of(LEADER));
    for (long t = 0; t <= slack + 1_000; t += 100) {
      step(cluster, 100);
    }
    assertFalse(cluster.leader().watermark.isCurrent());
    cluster
        .leader()
        .watermark
        .onLiveJobsRead(cluster.now); // returns what the previous process may have confirmed
    step(cluster, 300);
    step(cluster, 300);
    assertTrue(cluster.leader().watermark.isCurrent());
  }

  /**
   * Guards against a late reply to the leader's previous process being matched to a request of the
   * new process. Both have sent the same number of requests, and the late reply lacks a
   * cancellation that the peer has confirmed since.
   */
  @Test
  void aReplyToThePreviousProcessDoesNotAdvanceTheWatermark() {
    Cluster cluster = clusterWithCurrentWatermark();
    Node peer = cluster.nodes.get(1);
    cluster.now += 400;
    cluster.setTime(cluster.leader());
    cluster.leader().watermark.tick(true);
    PeerMessage.CancellationsRequest request =
        (PeerMessage.CancellationsRequest) messages(cluster.leader()).get(0);
    cluster.setTime(peer);
    peer.watermark.onRequest(request);
    List<PeerMessage> lateReplies = messages(peer);
    cluster.leader().startProcess(cluster.now);
    step(cluster, 50);
    cluster.leader().watermark.onLiveJobsRead(cluster.now);
    step(cluster, 400);
    cluster.now += 10;
    cluster.confirm(peer, 1);
    for (int i = 0; i < 8; i++) {
      step(cluster, 400, cluster.nodes.subList(2, 3)); // requests to this peer are lost
    }
    lateReplies.forEach(
        reply -> cluster.leader().watermark.onReply((PeerMessage.CancellationsReply) reply));
    assertTrue(cluster.leader().watermark.knownUntil() < cluster.confirmedAt.get("wk-000000"));
  }

  @Test
  void inconsistentRepliesAreCountedAndDoNotAdvanceTheWatermark() {
    Cluster cluster = clusterWithCurrentWatermark();
    CancellationWatermark watermark = cluster.leader().watermark;
    long knownUntilBefore = watermark.knownUntil();
    List<String> jobs = List.of("wk-1");
    List<PeerMessage.CancellationsReply> malformedReplies = new ArrayList<>();
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n9", LEADER, 1, "x", 0, 1, 0, 0, jobs));
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 0, 0, 0, jobs));
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", -1, 0, 0, 0, jobs));
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 3, 4, 5, 0, jobs));
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 4, 0, 0, List.of()));
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 1, 0, -1, jobs));
    malformedReplies.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 1, 0, 0, List.of("../j")));
    malformedReplies.forEach(watermark::onReply);
    assertEquals(
        (double) malformedReplies.size(),
        watermark.gauges().get("snowturn.cancellations.malformed"));
    assertEquals(knownUntilBefore, watermark.knownUntil());
    assertFalse(watermark.isKnownCancelled("wk-1"));
  }

  /**
   * Creates a cluster with an established watermark, no cancellations and no messages in transit.
   */
  private static Cluster clusterWithCurrentWatermark() {
    Cluster cluster = new Cluster(1);
    step(cluster, 50);
    cluster.leader().watermark.onLiveJobsRead(cluster.now);
    step(cluster, 400);
    step(cluster, 400);
    assertTrue(cluster.leader().watermark.isCurrent());
    return cluster;
  }

  /** Advances the time, after which the leader and all peers exchange requests and replies. */
  private static void step(Cluster cluster, long ms) {
    step(cluster, ms, cluster.nodes.subList(1, 3));
  }

  private static void step(Cluster cluster, long ms, List<Node> reachablePeers) {
    cluster.now += ms;
    cluster.setTime(cluster.leader());
    cluster.leader().watermark.tick(true);
    List<PeerMessage> requests = messages(cluster.leader());
    for (Node peer : reachablePeers) {
      cluster.setTime(peer);
      requests.forEach(
          request -> peer.watermark.onRequest((PeerMessage.CancellationsRequest) request));
      messages(peer)
          .forEach(
              reply -> cluster.leader().watermark.onReply((PeerMessage.CancellationsReply) reply));
    }
  }

  private static List<PeerMessage> messages(Node node) {
    List<PeerMessage> messages = new ArrayList<>();
    for (Effect effect : node.runtime.drainEffects()) {
      if (effect instanceof Effect.Broadcast broadcast) {
        messages.add(broadcast.message());
      }
    }
    return messages;
  }
}
