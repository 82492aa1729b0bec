package org.snowturn.core;

/** What is known of a request to the outside. */
public enum Outcome {
  /** Executed; the status and body say how. */
  ANSWERED,
  /** Certainly not executed. */
  REFUSED,
  /** No usable reply: it may have been executed, or may be later. */
  UNKNOWN
}
