package org.snowturn.core.storage;

/**
 * The names of the stored records. Every value carries its format's version as {@code v}; readers
 * ignore fields they do not know.
 */
public final class StorageKeys {
  public static final String LEADER = "l/leader";
  public static final String LEADER_PREFIX = "l/";
  public static final String JOBS = "j/";
  public static final String OVER = "d/";
  public static final String TASKS = "t/";
  public static final String REGISTRY = "r/";
  public static final String RESTARTS = "s/";
  public static final int VERSION = 1;

  /** Since the second format; the version before reads none of these prefixes. */
  public static final int SECOND = 2;

  public static final String FORMAT = "f/";
  public static final String READERS = "f/n/";
  public static final String GATE = "f/gate";
  public static final String TASKS2 = "p/";
  public static final String PARTS = "x/";

  /** How many ordinary machines the operators kept up when the first leader came. */
  public static final String STANDING = "o/standing";

  private StorageKeys() {}

  public static String job(String id) {
    return JOBS + id;
  }

  public static String over(String id) {
    return OVER + id;
  }

  public static String tasks(String id, int chunk) {
    return TASKS + id + "/" + chunk;
  }

  public static String tasks2(String id, int chunk) {
    return TASKS2 + id + "/" + chunk;
  }

  public static String restarts(String id) {
    return RESTARTS + id;
  }

  /** All parts of one submission of a job whose record is too long for a value. */
  public static String parts(String id, String submission) {
    return PARTS + id + "/" + submission + "/";
  }
}
