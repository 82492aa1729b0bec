package org.snowturn.core.storage;

/**
 * The keys of the stored records. A constant that ends in a slash is the prefix of a key range.
 * Every value contains the version of its format in the field {@code v}; readers ignore unknown
 * fields.
 */
public final class StorageKeys {
  /** The key of the leader's record. Its version is the leader's fencing token. */
  public static final String LEADER = "l/leader";

  /** The range that contains only the leader key. */
  public static final String LEADER_PREFIX = "l/";

  /** Records of live jobs, which are not over yet. */
  public static final String JOBS = "j/";

  /** Short records of finished jobs, which are over. */
  public static final String FINISHED_JOBS = "d/";

  /** Results and assignments of tasks, in the first format. */
  public static final String FIRST_FORMAT_TASKS = "t/";

  /** Pages of the registry of machines that tasks may be on. */
  public static final String REGISTRY = "r/";

  /** Counts of task restarts, by job. */
  public static final String RESTARTS = "s/";

  /** Version of the first stored format. */
  public static final int FIRST_FORMAT = 1;

  /** Version of the second stored format, which introduced the prefixes below. */
  public static final int SECOND_FORMAT = 2;

  /** Records about the stored formats: the announcements of the nodes, and the gate. */
  public static final String FORMAT = "f/";

  /** Announcements of the nodes that can read the second format, by node name. */
  public static final String FORMAT_READERS = "f/n/";

  /** The format gate, which exists once all nodes can read the second format. */
  public static final String FORMAT_GATE = "f/gate";

  /** Results and assignments of tasks, in the second format. */
  public static final String SECOND_FORMAT_TASKS = "p/";

  /** Chunks of submissions that are too long for a value. */
  public static final String SUBMISSION_CHUNKS = "x/";

  /** Number of on-demand machines that operators were running when the first leader started. */
  public static final String EXTERNALLY_MANAGED_MACHINES = "o/standing";

  private StorageKeys() {}

  /** Returns the key of a live job. */
  public static String job(String id) {
    return JOBS + id;
  }

  /** Returns the key of a finished job's short record. */
  public static String finishedJob(String id) {
    return FINISHED_JOBS + id;
  }

  /**
   * Returns the key of a record of tasks in the first format.
   *
   * @param id the job's id
   * @param record number of the record within the job
   */
  public static String firstFormatTasks(String id, int record) {
    return FIRST_FORMAT_TASKS + id + "/" + record;
  }

  /**
   * Returns the key of a record of tasks in the second format.
   *
   * @param id the job's id
   * @param record number of the record within the job
   */
  public static String secondFormatTasks(String id, int record) {
    return SECOND_FORMAT_TASKS + id + "/" + record;
  }

  /** Returns the key of a job's count of task restarts. */
  public static String restarts(String id) {
    return RESTARTS + id;
  }

  /**
   * Returns the prefix of the chunks of one submission; a chunk's key ends in its number.
   *
   * @param id the job's id
   * @param submissionHash the hash that names the chunks, from {@link JobRecord#hashSubmission}
   */
  public static String submissionChunks(String id, String submissionHash) {
    return SUBMISSION_CHUNKS + id + "/" + submissionHash + "/";
  }
}
