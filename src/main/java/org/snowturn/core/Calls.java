package org.snowturn.core;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects effects and remembers what to do with each reply. */
final class Calls {
  /** Continues after a reply. */
  interface Then {
    void on(Outcome outcome, int status, JsonNode body);
  }

  private final Map<Long, Then> waiting = new HashMap<>();
  private List<Effect> effects = new ArrayList<>();
  private long nextId = 1;
  private long now;
  private long wall;

  long now() {
    return now;
  }

  long wall() {
    return wall;
  }

  void at(long nowMs, long wallMs) {
    now = nowMs;
    wall = wallMs;
  }

  void state(String method, String path, JsonNode body, int timeoutMs, Then then) {
    call(Effect.Target.STATE, null, method, path, body, timeoutMs, then);
  }

  void call(
      Effect.Target target,
      String addr,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      Then then) {
    long id = nextId++;
    waiting.put(id, then);
    effects.add(new Effect.Call(id, target, addr, method, path, body, timeoutMs));
  }

  void answer(long exchange, int status, JsonNode body) {
    effects.add(new Effect.Answer(exchange, status, body, 0));
  }

  void refuse(long exchange, int status, int retryAfterS) {
    effects.add(new Effect.Answer(exchange, status, null, retryAfterS));
  }

  void toPeers(PeerRecord message) {
    effects.add(new Effect.ToPeers(message));
  }

  void note(String text) {
    effects.add(new Effect.Note(text));
  }

  void reply(Input.Reply r) {
    Then then = waiting.remove(r.call());
    if (then != null) {
      then.on(r.outcome(), r.status(), r.body());
    }
  }

  List<Effect> drain() {
    List<Effect> out = effects;
    effects = new ArrayList<>();
    return out;
  }
}
