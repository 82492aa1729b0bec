package org.snowturn.wire;

/** The limit on the size of messages. */
public final class MessageSize {
  /**
   * Maximum size of a request body, and of a line in a response to a worker or a user. A worker's
   * response to a direct message has no limit.
   */
  public static final int MAX_BYTES = 64 * 1024;

  private MessageSize() {}
}
