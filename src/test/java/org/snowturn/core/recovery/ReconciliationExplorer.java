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
 * Explores all orders of events around one task after a change of leader. There are two machines,
 * attempt 1 of the previous leader, whose start may still be in flight, and up to two attempts of
 * the new leader (2 and 3). Reports and commands may be delayed or lost, and the agent epoch of a
 * machine may end at any time.
 *
 * <p>A state is an array of small numbers, so that a set can hold very many states. Attempts are
 * indexed from 0 within an array and numbered from 1 in {@link #ATTEMPT}.
 */
@SuppressWarnings("EnumOrdinal") // a state is an array of small numbers
final class ReconciliationExplorer {
  private static final int MACHINES = 2;
  private static final int ATTEMPTS = 3;

  // States of an attempt on a machine and in its reports.
  private static final int NOT_LISTED = 0;
  private static final int ALIVE = 1;
  private static final int DONE = 2;
  private static final int ENDED = 3;

  // Fields of the leader: stored state of the task, machine, attempt and agent epoch of its
  // placement, and whether the attempt is to stop. The fields of the machines follow.
  private static final int STORED = 0;
  private static final int PLACED_ON = 1;
  private static final int ATTEMPT = 2;
  private static final int PLACED_IN_EPOCH = 3;
  private static final int STOPPING = 4;
  private static final int FIRST_MACHINE = 5;

  // Fields of each machine: agent epoch, token, states of the attempts, direct starts in flight
  // (each by the agent epoch that it is meant for, or 0) and their tokens, the answer in flight (0,
  // or the ordinal of the verdict to execute plus 1, its attempt and its token), and the report in
  // flight.
  private static final int EPOCH = 0;
  private static final int TOKEN = 1;
  private static final int ATTEMPT_STATES = 2;
  private static final int STARTS_IN_FLIGHT = ATTEMPT_STATES + ATTEMPTS;
  private static final int START_TOKENS = STARTS_IN_FLIGHT + ATTEMPTS;
  private static final int ANSWER = START_TOKENS + ATTEMPTS;
  private static final int ANSWER_ATTEMPT = ANSWER + 1;
  private static final int ANSWER_TOKEN = ANSWER + 2;
  private static final int REPORT = ANSWER + 3;
  private static final int REPORT_EPOCH = REPORT + 1;
  private static final int REPORT_TOKEN = REPORT + 2;
  private static final int REPORT_ATTEMPT_STATES = REPORT + 3;

  /** Newest agent epoch of the machine that the leader has heard. */
  private static final int LAST_HEARD_EPOCH = REPORT_ATTEMPT_STATES + ATTEMPTS;

  /** Whether the leader has heard that epoch under the new token. */
  private static final int TOKEN_ACKNOWLEDGED = LAST_HEARD_EPOCH + 1;

  /** Token of the leader's messages to the machine. */
  private static final int LEADER_TOKEN = TOKEN_ACKNOWLEDGED + 1;

  private static final int MACHINE_SIZE = LEADER_TOKEN + 1;

  // The new leader can raise its token once for each machine.
  private static final int OLD_TOKEN = 1;
  private static final int NEW_TOKEN = 2;
  private static final int RAISED_TOKEN = 3;
  private static final int FIRST_EPOCH = 1;
  private static final int LAST_EPOCH = 2;

  private final Function<Case, Verdict> decisionTable;
  private final Set<String> visited = new HashSet<>();
  private final ArrayDeque<int[]> frontier = new ArrayDeque<>();
  private int finishedStates;
  private String violation;

  ReconciliationExplorer(Function<Case, Verdict> decisionTable) {
    this.decisionTable = decisionTable;
  }

  int visitedStates() {
    return visited.size();
  }

  int finishedStates() {
    return finishedStates;
  }

  /** Returns the first state in which two attempts are alive; null if there is none. */
  String findViolation() {
    int[] start = new int[FIRST_MACHINE + MACHINES * MACHINE_SIZE];
    start[STORED] = Stored.INHERITED.ordinal();
    start[ATTEMPT] = 1;
    start[PLACED_IN_EPOCH] = FIRST_EPOCH;
    for (int machine = 0; machine < MACHINES; machine++) {
      start[index(machine, EPOCH)] = FIRST_EPOCH;
      start[index(machine, TOKEN)] = OLD_TOKEN;
      start[index(machine, LAST_HEARD_EPOCH)] = FIRST_EPOCH;
      start[index(machine, LEADER_TOKEN)] = NEW_TOKEN;
    }
    start[index(0, STARTS_IN_FLIGHT)] = FIRST_EPOCH; // the previous leader's direct start
    start[index(0, START_TOKENS)] = OLD_TOKEN;
    visit(start);
    while (!frontier.isEmpty() && violation == null) {
      int[] state = frontier.poll();
      for (int machine = 0; machine < MACHINES; machine++) {
        stepMachine(state, machine);
        stepLeader(state, machine);
      }
    }
    return violation;
  }

  private static int index(int machine, int field) {
    return FIRST_MACHINE + machine * MACHINE_SIZE + field;
  }

  private void visit(int[] state) {
    if (!visited.add(Arrays.toString(state))) {
      return;
    }
    int aliveAttempts = 0;
    for (int machine = 0; machine < MACHINES; machine++) {
      for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
        aliveAttempts += state[index(machine, ATTEMPT_STATES + attempt)] == ALIVE ? 1 : 0;
      }
    }
    if (aliveAttempts > 1) {
      violation = "two attempts are alive in state " + Arrays.toString(state);
    }
    finishedStates += state[STORED] == Stored.FINISHED.ordinal() ? 1 : 0;
    frontier.add(state);
  }

  /** Visits the states after each event on a machine or to a message in flight to it. */
  private void stepMachine(int[] state, int machine) {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (state[index(machine, ATTEMPT_STATES + attempt)] == ALIVE) {
        for (int end : new int[] {DONE, ENDED}) {
          int[] next = state.clone();
          next[index(machine, ATTEMPT_STATES + attempt)] = end;
          visit(next);
        }
      }
      int epoch = state[index(machine, STARTS_IN_FLIGHT + attempt)];
      if (epoch > 0) {
        int[] lost = state.clone();
        lost[index(machine, STARTS_IN_FLIGHT + attempt)] = 0;
        visit(lost);
        int[] next = lost.clone();
        int token = state[index(machine, START_TOKENS + attempt)];
        if (epoch == state[index(machine, EPOCH)] && token >= state[index(machine, TOKEN)]) {
          next[index(machine, TOKEN)] = token;
          startAttempt(next, machine, attempt);
          visit(next);
          // A copy of the start may arrive later.
          int[] duplicated = next.clone();
          duplicated[index(machine, STARTS_IN_FLIGHT + attempt)] = epoch;
          visit(duplicated);
        }
      }
    }
    if (state[index(machine, EPOCH)] == FIRST_EPOCH) {
      int[] next = state.clone();
      next[index(machine, EPOCH)] = LAST_EPOCH;
      Arrays.fill(
          next,
          index(machine, ATTEMPT_STATES),
          index(machine, ATTEMPT_STATES + ATTEMPTS),
          NOT_LISTED);
      next[index(machine, ANSWER)] = 0;
      visit(next);
    }
    if (state[index(machine, REPORT)] == 0 && state[index(machine, ANSWER)] == 0) {
      int[] next = state.clone();
      next[index(machine, REPORT)] = 1;
      next[index(machine, REPORT_EPOCH)] = state[index(machine, EPOCH)];
      next[index(machine, REPORT_TOKEN)] = state[index(machine, TOKEN)];
      System.arraycopy(
          state,
          index(machine, ATTEMPT_STATES),
          next,
          index(machine, REPORT_ATTEMPT_STATES),
          ATTEMPTS);
      visit(next);
    }
    if (state[index(machine, ANSWER)] > 0) {
      int[] lost = state.clone();
      lost[index(machine, ANSWER)] = 0;
      lost[index(machine, ANSWER_ATTEMPT)] = 0;
      lost[index(machine, ANSWER_TOKEN)] = 0;
      visit(lost);
      if (state[index(machine, REPORT_EPOCH)] != state[index(machine, EPOCH)]) {
        return; // the machine drops answers to reports of an earlier agent epoch
      }
      if (state[index(machine, ANSWER_TOKEN)] < state[index(machine, TOKEN)]) {
        return; // the machine drops answers with a lower token than it has seen
      }
      int[] next = lost.clone();
      next[index(machine, TOKEN)] = state[index(machine, ANSWER_TOKEN)];
      int command = state[index(machine, ANSWER)] - 1;
      int commandAttempt = state[index(machine, ANSWER_ATTEMPT)];
      if (command == Verdict.START.ordinal()) {
        startAttempt(next, machine, commandAttempt);
      } else if (command == Verdict.STOP.ordinal()
          && next[index(machine, ATTEMPT_STATES + commandAttempt)] == ALIVE) {
        next[index(machine, ATTEMPT_STATES + commandAttempt)] = ENDED;
      } else if (command == Verdict.FORGET.ordinal()
          && next[index(machine, ATTEMPT_STATES + commandAttempt)] > ALIVE) {
        next[index(machine, ATTEMPT_STATES + commandAttempt)] = NOT_LISTED;
      }
      visit(next);
    }
  }

  private static void startAttempt(int[] next, int machine, int attempt) {
    if (next[index(machine, ATTEMPT_STATES + attempt)] != NOT_LISTED) {
      return;
    }
    boolean busy = false;
    for (int other = 0; other < ATTEMPTS; other++) {
      busy |= next[index(machine, ATTEMPT_STATES + other)] == ALIVE;
    }
    next[index(machine, ATTEMPT_STATES + attempt)] = busy ? ENDED : ALIVE;
  }

  /**
   * Visits the states after each action of the leader: it places the task on the machine, decides
   * to stop it, or handles the report of the machine.
   */
  private void stepLeader(int[] state, int machine) {
    boolean isWaiting = state[STORED] == Stored.WAITING.ordinal();
    if (isWaiting && state[index(machine, TOKEN_ACKNOWLEDGED)] == 1 && state[ATTEMPT] < ATTEMPTS) {
      int[] next = state.clone();
      next[STORED] = Stored.STARTED.ordinal();
      next[PLACED_ON] = machine;
      next[ATTEMPT] = state[ATTEMPT] + 1;
      next[PLACED_IN_EPOCH] = state[index(machine, LAST_HEARD_EPOCH)];
      next[STOPPING] = 0;
      next[index(machine, STARTS_IN_FLIGHT + next[ATTEMPT] - 1)] = next[PLACED_IN_EPOCH];
      next[index(machine, START_TOKENS + next[ATTEMPT] - 1)] = next[index(machine, LEADER_TOKEN)];
      visit(next);
    }
    if (state[STORED] == Stored.STARTED.ordinal() && state[STOPPING] == 0) {
      int[] next = state.clone();
      next[STOPPING] = 1;
      visit(next);
    }
    if (state[index(machine, REPORT)] == 0) {
      return;
    }
    int[] next = state.clone();
    next[index(machine, REPORT)] = 0;
    if (state[index(machine, REPORT_EPOCH)] < state[index(machine, LAST_HEARD_EPOCH)]) {
      visit(next); // older than the newest report
      return;
    }
    boolean hasPresentToken = state[index(machine, REPORT_TOKEN)] >= NEW_TOKEN;
    boolean isSameEpoch =
        state[index(machine, REPORT_EPOCH)] == state[index(machine, LAST_HEARD_EPOCH)];
    next[index(machine, TOKEN_ACKNOWLEDGED)] =
        hasPresentToken ? 1 : isSameEpoch ? state[index(machine, TOKEN_ACKNOWLEDGED)] : 0;
    next[index(machine, LAST_HEARD_EPOCH)] = state[index(machine, REPORT_EPOCH)];
    boolean isPlacedHere =
        state[PLACED_ON] == machine && Stored.values()[state[STORED]].isPlacedHere();
    if (isPlacedHere) {
      apply(next, verdict(next, machine, state[ATTEMPT] - 1, hasPresentToken));
    }
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (state[index(machine, REPORT_ATTEMPT_STATES + attempt)] == DONE
          && verdict(next, machine, attempt, hasPresentToken) == Verdict.COMPLETE) {
        next[STORED] = Stored.FINISHED.ordinal();
      }
    }
    visitAnswers(next, machine, hasPresentToken);
    if (listsEndedAttemptNotFenced(next, machine)) {
      int[] raised = next.clone();
      raised[index(machine, LEADER_TOKEN)] = RAISED_TOKEN;
      visitAnswers(raised, machine, hasPresentToken);
    }
  }

  private static boolean listsEndedAttemptNotFenced(int[] state, int machine) {
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      if (state[index(machine, REPORT_ATTEMPT_STATES + attempt)] > ALIVE
          && state[index(machine, START_TOKENS + attempt)] >= state[index(machine, LEADER_TOKEN)]) {
        return true;
      }
    }
    return false;
  }

  /** Visits the states after each possible answer, which carries the token and a command. */
  private void visitAnswers(int[] state, int machine, boolean hasPresentToken) {
    List<int[]> answers = new ArrayList<>();
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      Verdict verdict = verdict(state, machine, attempt, hasPresentToken);
      boolean isCommand =
          verdict == Verdict.START || verdict == Verdict.STOP || verdict == Verdict.FORGET;
      boolean isListed = state[index(machine, REPORT_ATTEMPT_STATES + attempt)] != NOT_LISTED;
      if (isCommand && (isListed || verdict == Verdict.START)) {
        answers.add(new int[] {verdict.ordinal(), attempt});
      }
    }
    answers.add(new int[] {Verdict.KEEP.ordinal(), 0});
    for (int[] answer : answers) {
      int[] answered = state.clone();
      // Handled, so that states that differ only in the content of the report are the same.
      answered[index(machine, REPORT_TOKEN)] = 0;
      Arrays.fill(
          answered,
          index(machine, REPORT_ATTEMPT_STATES),
          index(machine, REPORT_ATTEMPT_STATES + ATTEMPTS),
          NOT_LISTED);
      answered[index(machine, ANSWER)] = answer[0] + 1;
      answered[index(machine, ANSWER_ATTEMPT)] = answer[1];
      answered[index(machine, ANSWER_TOKEN)] = state[index(machine, LEADER_TOKEN)];
      visit(answered);
    }
  }

  private static void apply(int[] next, Verdict verdict) {
    if (verdict == Verdict.RELEASE) {
      next[STORED] = Stored.WAITING.ordinal();
    } else if (verdict == Verdict.COMPLETE) {
      next[STORED] = Stored.FINISHED.ordinal();
    }
  }

  /** Returns the verdict of the table for an attempt, by the report of the machine. */
  private Verdict verdict(int[] state, int machine, int attempt, boolean hasPresentToken) {
    Stored current = Stored.values()[state[STORED]];
    boolean isPlacedHere =
        current.isPlacedHere() && state[PLACED_ON] == machine && state[ATTEMPT] == attempt + 1;
    Reported reported =
        switch (state[index(machine, REPORT_ATTEMPT_STATES + attempt)]) {
          case ALIVE -> Reported.ALIVE;
          case DONE -> Reported.DONE;
          case ENDED -> Reported.ENDED;
          default -> Reported.ABSENT;
        };
    EpochOrder epochOrder =
        state[index(machine, REPORT_EPOCH)] == state[PLACED_IN_EPOCH]
            ? EpochOrder.SAME
            : state[index(machine, REPORT_EPOCH)] > state[PLACED_IN_EPOCH]
                ? EpochOrder.LATER
                : EpochOrder.EARLIER;
    // What the leader knows: whether the machine has seen a higher token than that of the start, or
    // will have seen it when it executes the answer.
    int fencedBelow =
        reported == Reported.ABSENT
            ? state[index(machine, REPORT_TOKEN)]
            : state[index(machine, LEADER_TOKEN)];
    boolean settled = state[index(machine, START_TOKENS + attempt)] < fencedBelow;
    Stored stored = isPlacedHere || !current.isPlacedHere() ? current : Stored.ELSEWHERE;
    return decisionTable.apply(
        new Case(
            stored,
            reported,
            isPlacedHere ? epochOrder : EpochOrder.SAME,
            hasPresentToken,
            isPlacedHere && state[STOPPING] == 1,
            settled));
  }
}
