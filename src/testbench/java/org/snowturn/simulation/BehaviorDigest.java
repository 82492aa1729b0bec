package org.snowturn.simulation;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.snowturn.core.Effect;
import org.snowturn.peer.PeerCodec;
import org.snowturn.wire.MalformedException;

/**
 * Hash over everything that the controllers of one simulation send, in wire form: calls, answers
 * and messages between controllers, each with its time and sender. Log lines are not included. Two
 * versions of the program with equal digests behave the same in that simulation.
 */
public final class BehaviorDigest implements EffectObserver {
  private static final int HASH_BYTES = 12;

  private final MessageDigest hash;
  private long calls;
  private long answers;
  private long peerMessages;

  /** Creates a digest that has observed no effects. */
  BehaviorDigest() {
    try {
      hash = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError("every Java platform has SHA-256", e);
    }
  }

  /**
   * Runs the simulation and returns its digest: the hash and the number of effects of each kind.
   */
  public static String of(Simulation simulation) throws IOException {
    BehaviorDigest digest = new BehaviorDigest();
    Scenario scenario = Scenario.of(simulation.text());
    scenario.observer = digest;
    try {
      scenario.run(simulation.seed());
    } catch (MalformedException e) {
      throw new IOException(simulation.name() + ": " + e.getMessage(), e);
    }
    return digest.value();
  }

  @Override
  public void onEffect(long atMs, String node, Effect effect) {
    if (effect instanceof Effect.Call call) {
      calls++;
      add(atMs, node, "call", call.target().name(), call.address(), call.method(), call.path());
      add(call.timeoutMs(), call.body());
    } else if (effect instanceof Effect.Answer answer) {
      answers++;
      add(atMs, node, "answer", "" + answer.exchange(), "" + answer.status());
      add(answer.retryAfterS(), answer.body());
    } else if (effect instanceof Effect.Broadcast broadcast) {
      peerMessages++;
      add(atMs, node, "peers");
      hash.update(PeerCodec.encode(broadcast.message()));
    }
  }

  private void add(long atMs, String... words) {
    add(atMs + " " + String.join(" ", words));
  }

  private void add(long number, JsonNode body) {
    add(number + " " + body);
  }

  private void add(String line) {
    hash.update(line.getBytes(StandardCharsets.UTF_8));
    hash.update((byte) '\n');
  }

  /** Returns the digest of the effects observed until now. */
  String value() {
    byte[] bytes = hash.digest();
    return HexFormat.of().formatHex(bytes, 0, HASH_BYTES)
        + String.format(" calls=%d answers=%d peer_messages=%d", calls, answers, peerMessages);
  }
}
