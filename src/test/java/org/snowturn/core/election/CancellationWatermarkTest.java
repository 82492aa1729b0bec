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
 * A leader and its peers, who confirm cancellations, end and come back, while what they say to each
 * other is lost, doubled and late, and the state service is read now and then. Whatever the leader
 * takes for known, it knows.
 */
class CancellationWatermarkTest {
  private static final String LEADER = "n0";

  /** A node with its present process. */
  private static final class Node {
    private final String name;
    private int incarnation;
    private CoreRuntime runtime;
    private CancellationWatermark watermark;

    Node(String name, long now) {
      this.name = name;
      begin(now);
    }

    void begin(long now) {
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

  /** What goes on between them. */
  private static final class Nodes {
    private final RandomGenerator random;
    private final List<Node> all;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Long> confirmedAt = new HashMap<>();
    private long now = 1_000_000;
    private long order;
    private int known;

    Nodes(long seed) {
      random = new SplittableRandom(seed);
      all = List.of(new Node(LEADER, now), new Node("n1", now), new Node("n2", now));
    }

    Node leader() {
      return all.get(0);
    }

    void after(long ms, Runnable run) {
      events.add(new Event(now + ms, order++, run));
    }

    void at(Node node) {
      node.runtime.setTime(now, now);
    }

    /** Delivers what a node has to say: mostly soon, sometimes late, twice or never. */
    void deliver(Node from) {
      for (Effect effect : from.runtime.drainEffects()) {
        if (effect instanceof Effect.Broadcast broadcast) {
          for (Node to : all) {
            for (int copies = random.nextInt(6) == 0 ? random.nextInt(3) : 1;
                copies > 0;
                copies--) {
              long late = random.nextInt(8) == 0 ? random.nextInt(4_000) : random.nextInt(20);
              if (to != from) {
                after(late, () -> take(to, broadcast.message()));
              }
            }
          }
        }
      }
    }

    void take(Node to, PeerMessage message) {
      at(to);
      if (message instanceof PeerMessage.CancellationsRequest request) {
        to.watermark.onRequest(request);
      } else if (message instanceof PeerMessage.CancellationsReply reply) {
        to.watermark.onReply(reply);
      }
      deliver(to);
    }

    /** The state service has every confirmed cancellation; it is read at once, answered later. */
    void read() {
      long sentAt = now;
      int incarnation = leader().incarnation;
      after(
          random.nextInt(30),
          () -> {
            List<String> stored = List.copyOf(confirmedAt.keySet());
            after(
                random.nextInt(500),
                () -> {
                  if (leader().incarnation != incarnation) {
                    return; // a reply ends with the process that asked
                  }
                  at(leader());
                  stored.forEach(leader().watermark::learn);
                  leader().watermark.onLiveJobsRead(sentAt);
                });
          });
    }

    void confirm(Node node, int jobs) {
      at(node);
      for (int i = 0; i < jobs; i++) {
        String job = "wk-" + String.format("%06d", confirmedAt.size());
        confirmedAt.put(job, now);
        node.watermark.confirm(job);
      }
    }

    void check() {
      at(leader());
      long until = leader().watermark.knownUntil();
      confirmedAt.forEach(
          (job, at) -> {
            if (at < until) {
              known++;
              assertTrue(
                  leader().watermark.isCancelled(job), job + " told at " + at + " of " + until);
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
        Node peer = all.get(1 + random.nextInt(2));
        switch (random.nextInt(14)) {
          case 0, 1, 2 -> confirm(peer, 1 + random.nextInt(3));
          case 3 -> confirm(leader(), 1);
          case 4 -> confirm(peer, random.nextInt(20) == 0 ? 400 : 1);
          case 5 -> {
            if (random.nextInt(4) == 0) {
              (random.nextInt(4) == 0 ? leader() : peer).begin(now);
            }
          }
          case 6 -> {
            if (random.nextInt(3) == 0) {
              read();
            }
          }
          default -> {
            at(leader());
            leader().watermark.tick(true);
            deliver(leader());
          }
        }
        check();
      }
    }
  }

  @Property(seed = "11", tries = 400, edgeCases = EdgeCasesMode.NONE)
  void whatIsTakenForKnownIsKnown(@ForAll long seed) {
    Nodes nodes = new Nodes(seed);
    nodes.run(150);
  }

  /** So the property above is no empty one: with links that work the watermark follows closely. */
  @Test
  void logsAloneKeepTheWatermarkCloseOnceTheStateServiceWasRead() {
    Nodes nodes = quiet();
    nodes.confirm(nodes.all.get(1), 700); // more than one record holds
    for (int i = 0; i < 40; i++) {
      step(nodes, 100);
    }
    nodes.check();
    assertTrue(nodes.leader().watermark.ageMs() < 500, "age " + nodes.leader().watermark.ageMs());
    assertEquals(700, nodes.known);
    assertTrue(nodes.leader().watermark.isCurrent());
  }

  @Test
  void aRestartedPeerSaysNothingOfItsPredecessor() {
    Nodes nodes = quiet();
    nodes.all.get(1).begin(nodes.now);
    long slack = CancellationWatermark.slackMs(TestSettings.of(LEADER));
    for (long t = 0; t <= slack + 1_000; t += 100) {
      step(nodes, 100);
    }
    assertFalse(nodes.leader().watermark.isCurrent());
    nodes
        .leader()
        .watermark
        .onLiveJobsRead(nodes.now); // shows what the predecessor may have confirmed
    step(nodes, 300);
    step(nodes, 300);
    assertTrue(nodes.leader().watermark.isCurrent());
  }

  /** Both processes have asked as often; what the peer confirmed in between is not in its reply. */
  @Test
  void aReplyToThePreviousProcessMovesNothing() {
    Nodes nodes = quiet();
    Node peer = nodes.all.get(1);
    nodes.now += 400;
    nodes.at(nodes.leader());
    nodes.leader().watermark.tick(true);
    PeerMessage.CancellationsRequest asked =
        (PeerMessage.CancellationsRequest) messages(nodes.leader()).get(0);
    nodes.at(peer);
    peer.watermark.onRequest(asked);
    List<PeerMessage> late = messages(peer);
    nodes.leader().begin(nodes.now);
    step(nodes, 50);
    nodes.leader().watermark.onLiveJobsRead(nodes.now);
    step(nodes, 400);
    nodes.now += 10;
    nodes.confirm(peer, 1);
    for (int lost = 0; lost < 8; lost++) {
      step(nodes, 400, nodes.all.subList(2, 3)); // what this peer is asked is lost
    }
    late.forEach(c -> nodes.leader().watermark.onReply((PeerMessage.CancellationsReply) c));
    assertTrue(nodes.leader().watermark.knownUntil() < nodes.confirmedAt.get("wk-000000"));
  }

  @Test
  void inconsistentRepliesMoveNothingAndAreCounted() {
    Nodes nodes = quiet();
    CancellationWatermark watermark = nodes.leader().watermark;
    long before = watermark.knownUntil();
    List<String> job = List.of("wk-1");
    List<PeerMessage.CancellationsReply> wrong = new ArrayList<>();
    wrong.add(new PeerMessage.CancellationsReply("n9", LEADER, 1, "x", 0, 1, 0, 0, job));
    wrong.add(new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 0, 0, 0, job));
    wrong.add(new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", -1, 0, 0, 0, job));
    wrong.add(new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 3, 4, 5, 0, job));
    wrong.add(new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 4, 0, 0, List.of()));
    wrong.add(new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 1, 0, -1, job));
    wrong.add(
        new PeerMessage.CancellationsReply("n1", LEADER, 1, "x", 0, 1, 0, 0, List.of("../j")));
    wrong.forEach(watermark::onReply);
    assertEquals((double) wrong.size(), watermark.gauges().get("snowturn.cancellations.malformed"));
    assertEquals(before, watermark.knownUntil());
    assertFalse(watermark.isCancelled("wk-1"));
  }

  /** Nobody confirms anything, no message is lost, and the state service has been read. */
  private static Nodes quiet() {
    Nodes nodes = new Nodes(1);
    step(nodes, 50);
    nodes.leader().watermark.onLiveJobsRead(nodes.now);
    step(nodes, 400);
    step(nodes, 400);
    assertTrue(nodes.leader().watermark.isCurrent());
    return nodes;
  }

  private static void step(Nodes nodes, long ms) {
    step(nodes, ms, nodes.all.subList(1, 3));
  }

  private static void step(Nodes nodes, long ms, List<Node> reached) {
    nodes.now += ms;
    nodes.at(nodes.leader());
    nodes.leader().watermark.tick(true);
    List<PeerMessage> asks = messages(nodes.leader());
    for (Node peer : reached) {
      nodes.at(peer);
      asks.forEach(a -> peer.watermark.onRequest((PeerMessage.CancellationsRequest) a));
      messages(peer)
          .forEach(c -> nodes.leader().watermark.onReply((PeerMessage.CancellationsReply) c));
    }
  }

  private static List<PeerMessage> messages(Node node) {
    List<PeerMessage> out = new ArrayList<>();
    for (Effect effect : node.runtime.drainEffects()) {
      if (effect instanceof Effect.Broadcast broadcast) {
        out.add(broadcast.message());
      }
    }
    return out;
  }
}
