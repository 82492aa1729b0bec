package org.snowturn.core.model;

import org.agrona.collections.Long2LongHashMap;

/**
 * Fencing of one machine against direct messages that arrive late.
 *
 * <p>The network may deliver a direct message at any later time, and again after the machine has
 * executed and answered it. A machine refuses messages with a lower token than the highest it has
 * seen. So a start that was sent directly can begin its attempt until the machine has seen a higher
 * token than the start's. This class knows the token that messages to the machine carry now, and
 * the token under which each start was sent directly in the present agent epoch.
 */
public final class CommandFence {
  /** Factor that exceeds the number of tasks of any job. */
  private static final long ATTEMPT_KEY_FACTOR = 131_072;

  private static final long NOT_SENT = Long.MIN_VALUE;

  private final long firstToken;
  private long token;
  private long highestUnknownToken;

  /** The tokens under which starts were sent directly, by attempt key. */
  private final Long2LongHashMap startTokens = new Long2LongHashMap(NOT_SENT);

  /**
   * Creates the fence of a machine to which this leader has sent nothing yet.
   *
   * @param termToken the fencing token of the term
   */
  public CommandFence(long termToken) {
    firstToken = termToken;
    token = termToken;
  }

  /** Returns the token that messages to the machine carry. */
  public long token() {
    return token;
  }

  /**
   * Raises the token of messages to the machine. A lower or equal token has no effect.
   *
   * @param newToken a token that belongs to this leader alone
   * @return whether the token was raised
   */
  public boolean raiseToken(long newToken) {
    boolean isHigher = newToken > token;
    token = Math.max(token, newToken);
    return isHigher;
  }

  /** Returns whether a token is one that this leader has sent to the machine. */
  public boolean isOwnToken(long seenToken) {
    return seenToken >= firstToken && seenToken <= token;
  }

  /**
   * Records the highest token that the machine has seen. All starts that were sent directly under
   * lower tokens are void from then on.
   *
   * @return whether the token is higher than any that this leader has sent to the machine, and was
   *     not reported before
   */
  public boolean onTokenSeen(long seenToken) {
    if (isOwnToken(seenToken) && !startTokens.isEmpty()) {
      startTokens.values().removeIf(startToken -> startToken < seenToken);
    }
    boolean isNewUnknown = seenToken > Math.max(token, highestUnknownToken);
    if (isNewUnknown) {
      highestUnknownToken = seenToken;
    }
    return isNewUnknown;
  }

  /** Records that a start is sent directly under the present token. */
  public void recordDirectStart(long attempt, int task) {
    startTokens.put(key(attempt, task), token);
  }

  /** Returns whether a start that was sent directly can still begin the attempt. */
  public boolean canStartArrive(long attempt, int task) {
    return startTokens.containsKey(key(attempt, task));
  }

  /**
   * Returns whether a machine that has seen the present token refuses all starts of the attempt
   * that were sent directly.
   */
  public boolean isStartFenced(long attempt, int task) {
    return startTokens.get(key(attempt, task)) < token;
  }

  /** Records that no start of the attempt has left this node. */
  public void withdrawDirectStart(long attempt, int task) {
    startTokens.remove(key(attempt, task));
  }

  /** Forgets all direct starts, since the machine refuses messages for an earlier agent epoch. */
  public void onNewAgentEpoch() {
    startTokens.clear();
  }

  /**
   * Returns a number that identifies an attempt of a task. The attempt number alone does not, since
   * it is the same for all tasks of a gang.
   */
  private static long key(long attempt, int task) {
    return attempt * ATTEMPT_KEY_FACTOR + task;
  }
}
