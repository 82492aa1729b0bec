package org.snowturn.core.recovery;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.agrona.collections.Int2ObjectHashMap;

/**
 * Whom a new leader asks next, and how many at a time.
 *
 * <p>All at once, a thousand questions, their answers and the workers that then turn over would
 * stand before everything else that the node has to do, the renewal of its own lease included. So
 * only a window of questions is under way. It grows by one with each prompt answer and shrinks when
 * answers are late or when the node itself runs late; thereby it follows what node and wire can
 * bear, whatever the number of machines. A question without an answer does not hold its place for
 * long, since there may be many dead.
 *
 * <p>Who is heard without being asked is not asked. Whoever does not answer is asked again, a few
 * times in all.
 */
public final class PacedProbes {
  /** How many tries without an answer are needed before silence says anything. */
  public static final int TRIES = 3;

  private static final int FIRST_WINDOW = 16;
  private static final int LEAST_WINDOW = 4;

  /** As far as the window grows without answers, so that hundreds of dead are found together. */
  private static final int IDLE_WINDOW = 64;

  private static final int MOST_WINDOW = 256;

  /** An answer within this time is prompt. */
  private static final long PROMPT_MS = 120;

  /** A question that has been open for so long no longer holds back others. */
  private static final long HOLDS_MS = 300;

  /** Between two shrinks, so that one late moment counts once. */
  private static final long SHRINK_EVERY_MS = 200;

  private static final class Question {
    final int id;
    int urgency;
    int failed;
    long notBefore;
    long firstAt = Long.MAX_VALUE;
    long askedAt;
    boolean open;

    Question(int id, int urgency) {
      this.id = id;
      this.urgency = urgency;
    }
  }

  private final Int2ObjectHashMap<Question> all = new Int2ObjectHashMap<>();
  private final PriorityQueue<Question> waiting =
      new PriorityQueue<>(
          Comparator.<Question>comparingLong(q -> q.notBefore)
              .thenComparingInt(q -> q.urgency)
              .thenComparingInt(q -> q.id));

  /** Those under way that hold a place in the window, the longest first. */
  private final ArrayDeque<Question> counted = new ArrayDeque<>();

  private final long againMs;
  private double window = FIRST_WINDOW;
  private long shrunkAt = Long.MIN_VALUE / 2;
  private long asked;

  /**
   * Nobody is to be asked yet.
   *
   * @param againMs how long after a question that got no answer the next one is asked
   */
  public PacedProbes(long againMs) {
    this.againMs = againMs;
  }

  /**
   * Asks for this one to be asked; smaller urgencies go first.
   *
   * @param notBeforeMs until then it is expected to be heard by itself
   */
  public void add(int id, int urgency, long notBeforeMs) {
    if (!all.containsKey(id)) {
      Question q = new Question(id, urgency);
      q.notBefore = notBeforeMs;
      all.put(id, q);
      waiting.add(q);
    }
  }

  /** This one is expected to be heard by itself until then. */
  public void expect(int id, long notBeforeMs) {
    Question q = all.get(id);
    if (q != null && !q.open && q.notBefore < notBeforeMs) {
      waiting.remove(q);
      q.notBefore = notBeforeMs;
      waiting.add(q);
    }
  }

  /** Who is to be asked now, or -1 if nobody is or the window is full. */
  public int next(long nowMs) {
    while (!counted.isEmpty() && nowMs - counted.peek().askedAt >= HOLDS_MS) {
      release(counted.peek()); // dead, most likely: that is no sign of a node that is behind
    }
    if (counted.size() >= (int) window) {
      return -1;
    }
    Question q = waiting.peek();
    if (q == null || q.notBefore > nowMs) {
      return -1;
    }
    waiting.poll();
    q.askedAt = nowMs;
    q.firstAt = Math.min(q.firstAt, nowMs);
    q.open = true;
    asked++;
    counted.add(q);
    return q.id;
  }

  /** This one has been heard, asked or not. */
  public void heard(int id, long nowMs) {
    Question q = all.remove(id);
    if (q == null) {
      return;
    }
    if (!q.open) {
      waiting.remove(q);
      return;
    }
    if (release(q)) {
      if (nowMs - q.askedAt <= PROMPT_MS) {
        window = Math.min(MOST_WINDOW, window + 1);
      } else {
        shrink(nowMs);
      }
    }
  }

  /**
   * A question got no answer: it is asked again later.
   *
   * @param counts whether that says something of the one who was asked
   */
  public void unanswered(int id, long nowMs, boolean counts) {
    Question q = all.get(id);
    if (q == null || !q.open) {
      return;
    }
    release(q);
    q.open = false;
    q.failed += counts ? 1 : 0;
    q.notBefore = nowMs + againMs;
    waiting.add(q);
  }

  /** This one need not be asked any more. */
  public void drop(int id) {
    Question q = all.remove(id);
    if (q != null) {
      waiting.remove(q);
      release(q);
    }
  }

  /** The node itself runs late. */
  public void late(long nowMs) {
    shrink(nowMs);
  }

  /** The node keeps up with its work: it can bear more questions, though few are answered. */
  public void punctual() {
    if (window < IDLE_WINDOW) {
      window++;
    }
  }

  /**
   * Whether silence tells something: asked {@link #TRIES} times in vain, first so long ago.
   *
   * @param sinceMs the time in milliseconds that must have passed since the first question
   */
  public boolean isUnresponsive(int id, long sinceMs, long nowMs) {
    Question q = all.get(id);
    return q != null && q.failed >= TRIES && nowMs - q.firstAt >= sinceMs;
  }

  /** Whether this one has left a question unanswered and has not been heard since. */
  public boolean hasMissed(int id) {
    Question q = all.get(id);
    return q != null && q.failed > 0;
  }

  /** How many have not been heard. */
  public int unheard() {
    return all.size();
  }

  /** How many questions have been asked. */
  public long sent() {
    return asked;
  }

  /** How many questions may be under way now. */
  public int window() {
    return (int) window;
  }

  /** Gives back the question's place in the window; false if it had none any more. */
  private boolean release(Question q) {
    return counted.remove(q);
  }

  private void shrink(long nowMs) {
    if (nowMs - shrunkAt >= SHRINK_EVERY_MS) {
      shrunkAt = nowMs;
      window = Math.max(LEAST_WINDOW, window * 0.7);
    }
  }
}
