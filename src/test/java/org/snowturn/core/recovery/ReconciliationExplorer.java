package org.snowturn.core.recovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.snowturn.core.recovery.Reconciliation.Case;
import org.snowturn.core.recovery.Reconciliation.EpochOrder;
import org.snowturn.core.recovery.Reconciliation.Reported;
import org.snowturn.core.recovery.Reconciliation.Stored;
import org.snowturn.core.recovery.Reconciliation.Verdict;

/**
 * All orders of events around one task after a change of leader: two machines, the old leader's
 * attempt (1), whose start may still be on its way, and up to two attempts of the new one (2, 3).
 * Reports and commands may come late or never; a session may end at any time.
 *
 * <p>A state is a row of small numbers, so that a set can hold very many.
 */
@SuppressWarnings("EnumOrdinal") // a state is packed into small numbers
final class ReconciliationExplorer {
  private static final int MACHINES = 2;
  private static final int ATTEMPTS = 3;

  // On the machine, and in a report of it, for each attempt.
  private static final int UNKNOWN = 0;
  private static final int ALIVE = 1;
  private static final int DONE = 2;
  private static final int ENDED = 3;

  // Layout: the leader's view, then per machine: session, token, attempts, direct starts in flight
  // (with their session), an answer under way, a report under way.
  private static final int STORED = 0;
  private static final int AT = 1;
  private static final int ATTEMPT = 2;
  private static final int IN_SESSION = 3;
  private static final int STOPPING = 4;
  private static final int FIRST = 5;
  private static final int SESSION = 0;
  private static final int TOKEN = 1;
  private static final int TASKS = 2;
  private static final int STARTS = TASKS + ATTEMPTS;
  private static final int ANSWER = STARTS + ATTEMPTS;
  private static final int REPORT = ANSWER + 2;
  private static final int REPORT_SESSION = REPORT + 1;
  private static final int REPORT_TOKEN = REPORT + 2;
  private static final int REPORT_TASKS = REPORT + 3;

  /**
   * Whether a direct start was in flight when the report left, or was carried out since. Its answer
   * is a newer message, so the leader knows that such a report tells nothing of it.
   */
  private static final int REPORT_STARTS = REPORT_TASKS + ATTEMPTS;

  /** The leader's: newest session heard, and whether it was heard there under the new token. */
  private static final int HEARD = REPORT_STARTS + ATTEMPTS;

  private static final int SHOWN = HEARD + 1;
  private static final int SIZE = SHOWN + 1;

  private static final int NEW_TOKEN = 2;

  private final Function<Case, Verdict> table;
  private final Set<String> seen = new HashSet<>();
  private final ArrayDeque<int[]> open = new ArrayDeque<>();
  private int finished;
  private String broken;

  ReconciliationExplorer(Function<Case, Verdict> table) {
    this.table = table;
  }

  int states() {
    return seen.size();
  }

  int finished() {
    return finished;
  }

  /** The first state in which a rule is broken, or null if there is none. */
  String explore() {
    int[] start = new int[FIRST + MACHINES * SIZE];
    start[STORED] = Stored.INHERITED.ordinal();
    start[ATTEMPT] = 1;
    start[IN_SESSION] = 1;
    for (int m = 0; m < MACHINES; m++) {
      start[at(m, SESSION)] = 1;
      start[at(m, TOKEN)] = 1;
      start[at(m, HEARD)] = 1;
    }
    start[at(0, STARTS)] = 1; // the old leader's direct start is still on its way
    visit(start);
    while (!open.isEmpty() && broken == null) {
      int[] s = open.poll();
      for (int m = 0; m < MACHINES; m++) {
        machine(s, m);
        leader(s, m);
      }
    }
    return broken;
  }

  private static int at(int machine, int what) {
    return FIRST + machine * SIZE + what;
  }

  private void visit(int[] s) {
    if (!seen.add(Arrays.toString(s))) {
      return;
    }
    int alive = 0;
    for (int m = 0; m < MACHINES; m++) {
      for (int a = 0; a < ATTEMPTS; a++) {
        alive += s[at(m, TASKS + a)] == ALIVE ? 1 : 0;
      }
    }
    if (alive > 1) {
      broken = "ran twice: " + Arrays.toString(s);
    }
    finished += s[STORED] == Stored.FINISHED.ordinal() ? 1 : 0;
    open.add(s);
  }

  /** What can happen on a machine by itself, or to messages on their way to it. */
  private void machine(int[] s, int m) {
    for (int a = 0; a < ATTEMPTS; a++) {
      if (s[at(m, TASKS + a)] == ALIVE) {
        for (int end : new int[] {DONE, ENDED}) {
          int[] n = s.clone();
          n[at(m, TASKS + a)] = end;
          visit(n);
        }
      }
      int session = s[at(m, STARTS + a)];
      if (session > 0) {
        int[] lost = s.clone();
        lost[at(m, STARTS + a)] = 0;
        visit(lost);
        int[] n = lost.clone();
        int token = a == 0 ? 1 : NEW_TOKEN;
        if (session == s[at(m, SESSION)] && token >= s[at(m, TOKEN)]) {
          n[at(m, TOKEN)] = token;
          n[at(m, REPORT_STARTS + a)] = 1; // its answer overtakes a report that is under way
          start(n, m, a);
          visit(n);
          // Late copies: the message may be there once more.
          int[] again = n.clone();
          again[at(m, STARTS + a)] = session;
          visit(again);
        }
      }
    }
    if (s[at(m, SESSION)] == 1) {
      int[] n = s.clone();
      n[at(m, SESSION)] = 2;
      Arrays.fill(n, at(m, TASKS), at(m, TASKS + ATTEMPTS), UNKNOWN);
      n[at(m, ANSWER)] = 0;
      visit(n);
    }
    if (s[at(m, REPORT)] == 0 && s[at(m, ANSWER)] == 0) {
      int[] n = s.clone();
      n[at(m, REPORT)] = 1;
      n[at(m, REPORT_SESSION)] = s[at(m, SESSION)];
      n[at(m, REPORT_TOKEN)] = s[at(m, TOKEN)];
      System.arraycopy(s, at(m, TASKS), n, at(m, REPORT_TASKS), ATTEMPTS);
      System.arraycopy(s, at(m, STARTS), n, at(m, REPORT_STARTS), ATTEMPTS);
      visit(n);
    }
    if (s[at(m, ANSWER)] > 0) {
      int[] lost = s.clone();
      lost[at(m, ANSWER)] = 0;
      visit(lost);
      if (s[at(m, REPORT_SESSION)] != s[at(m, SESSION)]) {
        return; // answers to reports of an earlier session are dropped
      }
      int[] n = lost.clone();
      n[at(m, TOKEN)] = NEW_TOKEN;
      int order = s[at(m, ANSWER)] - 1;
      int attempt = s[at(m, ANSWER + 1)];
      if (order == Verdict.START.ordinal()) {
        start(n, m, attempt);
      } else if (order == Verdict.STOP.ordinal() && n[at(m, TASKS + attempt)] == ALIVE) {
        n[at(m, TASKS + attempt)] = ENDED;
      } else if (order == Verdict.FORGET.ordinal() && n[at(m, TASKS + attempt)] > ALIVE) {
        n[at(m, TASKS + attempt)] = UNKNOWN;
      }
      visit(n);
    }
  }

  private static void start(int[] n, int m, int attempt) {
    if (n[at(m, TASKS + attempt)] != UNKNOWN) {
      return;
    }
    boolean busy = false;
    for (int a = 0; a < ATTEMPTS; a++) {
      busy |= n[at(m, TASKS + a)] == ALIVE;
    }
    n[at(m, TASKS + attempt)] = busy ? ENDED : ALIVE;
  }

  /** What the leader does: takes a machine's report, places the task there, learns of an end. */
  private void leader(int[] s, int m) {
    boolean waiting = s[STORED] == Stored.WAITING.ordinal();
    if (waiting && s[at(m, SHOWN)] == 1 && s[ATTEMPT] < ATTEMPTS) {
      int[] n = s.clone();
      n[STORED] = Stored.STARTED.ordinal();
      n[AT] = m;
      n[ATTEMPT] = s[ATTEMPT] + 1;
      n[IN_SESSION] = s[at(m, HEARD)];
      n[STOPPING] = 0;
      n[at(m, STARTS + n[ATTEMPT] - 1)] = n[IN_SESSION];
      visit(n);
    }
    if (s[STORED] == Stored.STARTED.ordinal() && s[STOPPING] == 0) {
      int[] n = s.clone();
      n[STOPPING] = 1;
      visit(n);
    }
    if (s[at(m, REPORT)] == 0) {
      return;
    }
    int[] n = s.clone();
    n[at(m, REPORT)] = 0;
    if (s[at(m, REPORT_SESSION)] < s[at(m, HEARD)]) {
      visit(n); // older than what is known
      return;
    }
    boolean ours = s[at(m, REPORT_TOKEN)] == NEW_TOKEN;
    boolean sameSession = s[at(m, REPORT_SESSION)] == s[at(m, HEARD)];
    n[at(m, SHOWN)] = ours ? 1 : sameSession ? s[at(m, SHOWN)] : 0;
    n[at(m, HEARD)] = s[at(m, REPORT_SESSION)];
    boolean here = s[AT] == m && Stored.values()[s[STORED]].isPlacedHere();
    if (here) {
      apply(n, verdict(n, m, s[ATTEMPT] - 1, ours));
    }
    for (int a = 0; a < ATTEMPTS; a++) {
      if (s[at(m, REPORT_TASKS + a)] == DONE && verdict(n, m, a, ours) == Verdict.COMPLETE) {
        n[STORED] = Stored.FINISHED.ordinal();
      }
    }
    // The answer carries the token and one order; which one is left open, so all are tried.
    List<int[]> answers = new ArrayList<>();
    for (int a = 0; a < ATTEMPTS; a++) {
      Verdict v = verdict(n, m, a, ours);
      boolean order = v == Verdict.START || v == Verdict.STOP || v == Verdict.FORGET;
      boolean present = s[at(m, REPORT_TASKS + a)] != UNKNOWN;
      if (order && (present || v == Verdict.START)) {
        answers.add(new int[] {v.ordinal(), a});
      }
    }
    answers.add(new int[] {Verdict.KEEP.ordinal(), 0});
    for (int[] answer : answers) {
      int[] next = n.clone();
      next[at(m, ANSWER)] = answer[0] + 1;
      next[at(m, ANSWER + 1)] = answer[1];
      visit(next);
    }
  }

  private static void apply(int[] n, Verdict verdict) {
    if (verdict == Verdict.RELEASE) {
      n[STORED] = Stored.WAITING.ordinal();
    } else if (verdict == Verdict.COMPLETE) {
      n[STORED] = Stored.FINISHED.ordinal();
    }
  }

  /** Puts an attempt to the table, as the leader sees it with the report at hand. */
  private Verdict verdict(int[] n, int m, int attempt, boolean ours) {
    Stored now = Stored.values()[n[STORED]];
    boolean here = now.isPlacedHere() && n[AT] == m && n[ATTEMPT] == attempt + 1;
    Reported listed =
        switch (n[at(m, REPORT_TASKS + attempt)]) {
          case ALIVE -> Reported.ALIVE;
          case DONE -> Reported.DONE;
          case ENDED -> Reported.ENDED;
          default -> Reported.ABSENT;
        };
    EpochOrder session =
        n[at(m, REPORT_SESSION)] == n[IN_SESSION]
            ? EpochOrder.SAME
            : n[at(m, REPORT_SESSION)] > n[IN_SESSION] ? EpochOrder.LATER : EpochOrder.EARLIER;
    boolean settled =
        n[at(m, STARTS + attempt)] == 0
            && (listed != Reported.ABSENT || n[at(m, REPORT_STARTS + attempt)] == 0);
    Stored stored = here || !now.isPlacedHere() ? now : Stored.ELSEWHERE;
    return table.apply(
        new Case(
            stored,
            listed,
            here ? session : EpochOrder.SAME,
            ours,
            here && n[STOPPING] == 1,
            settled));
  }
}
