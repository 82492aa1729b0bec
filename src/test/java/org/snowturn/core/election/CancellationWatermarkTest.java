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

  /** A node with the life that it is in. */
  private static final class Node {
    final String name;
    int life;
    CoreRuntime runtime;
    CancellationWatermark watermark;

    Node(String name, long now) {
      this.name = name;
      begin(now);
    }

    void begin(long now) {
      life++;
      runtime = new CoreRuntime(31L * life + name.hashCode());
      runtime.setTime(now, now);
      watermark = new CancellationWatermark(TestSettings.of(name), runtime, name + "-" + life);
    }
  }

  private record Event(long at, long order, Runnable run) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(order, o.order);
    }
  }

  /** What goes on between them. */
  private static final class Nodes {
    final RandomGenerator random;
    final List<Node> all;
    final PriorityQueue<Event> events = new PriorityQueue<>();
    final Map<String, Long> told = new HashMap<>();
    long now = 1_000_000;
    long order;
    int known;

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

    void at(Node n) {
      n.runtime.setTime(now, now);
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
      if (message instanceof PeerMessage.CancellationsRequest a) {
        to.watermark.onRequest(a);
      } else if (message instanceof PeerMessage.CancellationsReply c) {
        to.watermark.onReply(c);
      }
      deliver(to);
    }

    /** The state service has every confirmed cancellation; it is read at once, answered later. */
    void read() {
      long sentAt = now;
      int life = leader().life;
      after(
          random.nextInt(30),
          () -> {
            List<String> stored = List.copyOf(told.keySet());
            after(
                random.nextInt(500),
                () -> {
                  if (leader().life != life) {
                    return; // a reply ends with the process that asked
                  }
                  at(leader());
                  stored.forEach(leader().watermark::learn);
                  leader().watermark.read(sentAt);
                });
          });
    }

    void confirm(Node n, int jobs) {
      at(n);
      for (int i = 0; i < jobs; i++) {
        String job = "wk-" + String.format("%06d", told.size());
        told.put(job, now);
        n.watermark.confirm(job);
      }
    }

    void check() {
      at(leader());
      long until = leader().watermark.knownUntil();
      told.forEach(
          (job, at) -> {
            if (at < until) {
              known++;
              assertTrue(
                  leader().watermark.cancelled(job), job + " told at " + at + " of " + until);
            }
          });
    }

    void run(int steps) {
      for (int i = 0; i < steps; i++) {
        long next = now + random.nextInt(1, 400);
        while (!events.isEmpty() && events.peek().at() <= next) {
          Event e = events.poll();
          now = e.at();
          e.run().run();
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
  void listsAloneKeepTheWatermarkCloseOnceTheStateServiceWasRead() {
    Nodes n = quiet();
    n.confirm(n.all.get(1), 700); // more than one record holds
    for (int i = 0; i < 40; i++) {
      step(n, 100);
    }
    n.check();
    assertTrue(n.leader().watermark.ageMs() < 500, "age " + n.leader().watermark.ageMs());
    assertEquals(700, n.known);
    assertTrue(n.leader().watermark.current());
  }

  @Test
  void aNewLifeSaysNothingOfItsPredecessor() {
    Nodes n = quiet();
    n.all.get(1).begin(n.now);
    long slack = CancellationWatermark.slackMs(TestSettings.of(LEADER));
    for (long t = 0; t <= slack + 1_000; t += 100) {
      step(n, 100);
    }
    assertFalse(n.leader().watermark.current());
    n.leader().watermark.read(n.now); // shows what the predecessor may have confirmed
    step(n, 300);
    step(n, 300);
    assertTrue(n.leader().watermark.current());
  }

  /** Both lives have asked as many times; what the peer confirmed in between is not on its list. */
  @Test
  void anAnswerToTheFormerLifeMovesNothing() {
    Nodes n = quiet();
    Node peer = n.all.get(1);
    n.now += 400;
    n.at(n.leader());
    n.leader().watermark.tick(true);
    PeerMessage.CancellationsRequest asked =
        (PeerMessage.CancellationsRequest) messages(n.leader()).get(0);
    n.at(peer);
    peer.watermark.onRequest(asked);
    List<PeerMessage> late = messages(peer);
    n.leader().begin(n.now);
    step(n, 50);
    n.leader().watermark.read(n.now);
    step(n, 400);
    n.now += 10;
    n.confirm(peer, 1);
    for (int lost = 0; lost < 8; lost++) {
      step(n, 400, n.all.subList(2, 3)); // what this peer is asked is lost
    }
    late.forEach(c -> n.leader().watermark.onReply((PeerMessage.CancellationsReply) c));
    assertTrue(n.leader().watermark.knownUntil() < n.told.get("wk-000000"));
  }

  @Test
  void impossibleListsMoveNothingAndAreCounted() {
    Nodes n = quiet();
    CancellationWatermark h = n.leader().watermark;
    long before = h.knownUntil();
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
    wrong.forEach(h::onReply);
    assertEquals((double) wrong.size(), h.gauges().get("snowturn.cancellations.unusable"));
    assertEquals(before, h.knownUntil());
    assertFalse(h.cancelled("wk-1"));
  }

  /** Nobody confirms anything, no message is lost, and the state service has been read. */
  private static Nodes quiet() {
    Nodes n = new Nodes(1);
    step(n, 50);
    n.leader().watermark.read(n.now);
    step(n, 400);
    step(n, 400);
    assertTrue(n.leader().watermark.current());
    return n;
  }

  private static void step(Nodes n, long ms) {
    step(n, ms, n.all.subList(1, 3));
  }

  private static void step(Nodes n, long ms, List<Node> reached) {
    n.now += ms;
    n.at(n.leader());
    n.leader().watermark.tick(true);
    List<PeerMessage> asks = messages(n.leader());
    for (Node peer : reached) {
      n.at(peer);
      asks.forEach(a -> peer.watermark.onRequest((PeerMessage.CancellationsRequest) a));
      messages(peer).forEach(c -> n.leader().watermark.onReply((PeerMessage.CancellationsReply) c));
    }
  }

  private static List<PeerMessage> messages(Node n) {
    List<PeerMessage> out = new ArrayList<>();
    for (Effect effect : n.runtime.drainEffects()) {
      if (effect instanceof Effect.Broadcast broadcast) {
        out.add(broadcast.message());
      }
    }
    return out;
  }
}
