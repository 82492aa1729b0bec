package org.snowturn.core;

/**
 * The names of the stored records. Every value carries its format's version as {@code v}; readers
 * ignore fields they do not know.
 */
final class Keys {
  static final String LEADER = "l/leader";
  static final String LEADER_PREFIX = "l/";
  static final String JOBS = "j/";
  static final String OVER = "d/";
  static final String TASKS = "t/";
  static final String ROLL = "r/";
  static final String RESTARTS = "s/";
  static final int VERSION = 1;

  /** Since the second format; the version before reads none of these prefixes. */
  static final int SECOND = 2;

  static final String FORMAT = "f/";
  static final String READERS = "f/n/";
  static final String GATE = "f/gate";
  static final String TASKS2 = "p/";
  static final String PARTS = "x/";

  private Keys() {}

  static String job(String id) {
    return JOBS + id;
  }

  static String over(String id) {
    return OVER + id;
  }

  static String tasks(String id, int chunk) {
    return TASKS + id + "/" + chunk;
  }

  static String tasks2(String id, int chunk) {
    return TASKS2 + id + "/" + chunk;
  }

  static String restarts(String id) {
    return RESTARTS + id;
  }

  /** All parts of one submission of a job whose record is too long for a value. */
  static String parts(String id, String submission) {
    return PARTS + id + "/" + submission + "/";
  }
}
