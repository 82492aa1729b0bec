package org.snowturn.core.storage;

/**
 * The names of the stored records. Every value carries its format's version as {@code v}; readers
 * ignore fields they do not know.
 */
public final class StorageKeys {
  /** The leader key: its version is the leader's fencing token. */
  public static final String LEADER = "l/leader";

  public static final String LEADER_PREFIX = "l/";

  /** Jobs that are not over. */
  public static final String JOBS = "j/";

  /** Short records of jobs that are over. */
  public static final String FINISHED_JOBS = "d/";

  /** Results and assignments of tasks in the first format. */
  public static final String FIRST_FORMAT_TASKS = "t/";

  /** The machines that tasks may be on. */
  public static final String REGISTRY = "r/";

  /** How often tasks of a job were restarted. */
  public static final String RESTARTS = "s/";

  /** The first stored format. */
  public static final int FIRST_FORMAT = 1;

  /** The second stored format; the prefixes below came with it. */
  public static final int SECOND_FORMAT = 2;

  /** What the nodes say of the stored formats. */
  public static final String FORMAT = "f/";

  /** The nodes that read the second format, by name. */
  public static final String FORMAT_READERS = "f/n/";

  /** Exists once all nodes read the second format. */
  public static final String FORMAT_GATE = "f/gate";

  /** Results and assignments of tasks in the second format. */
  public static final String SECOND_FORMAT_TASKS = "p/";

  /** Submissions that are too long for a value. */
  public static final String SUBMISSION_CHUNKS = "x/";

  /** How many on-demand machines the operators kept up when the first leader took office. */
  public static final String EXTERNALLY_MANAGED_MACHINES = "o/standing";

  private StorageKeys() {}

  /** A job that is not over. */
  public static String job(String id) {
    return JOBS + id;
  }

  /** The short record of a job that is over. */
  public static String finishedJob(String id) {
    return FINISHED_JOBS + id;
  }

  /** One record of tasks in the first format. */
  public static String firstFormatTasks(String id, int chunk) {
    return FIRST_FORMAT_TASKS + id + "/" + chunk;
  }

  /** One record of tasks in the second format. */
  public static String secondFormatTasks(String id, int chunk) {
    return SECOND_FORMAT_TASKS + id + "/" + chunk;
  }

  /** The count of restarts of one job. */
  public static String restarts(String id) {
    return RESTARTS + id;
  }

  /** All parts of one submission of a job whose record is too long for a value. */
  public static String submissionChunks(String id, String submission) {
    return SUBMISSION_CHUNKS + id + "/" + submission + "/";
  }
}
