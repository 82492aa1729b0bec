package org.snowturn.core.leader;

import org.snowturn.core.storage.JobRecord;
import org.snowturn.core.storage.StorageKeys;
import org.snowturn.wire.JobStatus;
import org.snowturn.wire.MalformedException;
import org.snowturn.wire.StateMessage;

/**
 * A job record as read at the start of a term. It is parsed at once, since the value of the record
 * takes several times its memory.
 *
 * @param key the key of the record
 * @param version the version of the record
 * @param phase the phase in the record, which is also known of an unreadable one
 * @param content the parsed record; null if it is unreadable
 * @param error why the record is unreadable; null if it is readable
 */
record StoredJob(String key, long version, JobStatus.Phase phase, JobRecord content, String error) {

  /** Parses a record. */
  static StoredJob parse(StateMessage.Entry entry) {
    JobStatus.Phase phase = JobRecord.phaseOf(entry.value());
    try {
      JobRecord content = JobRecord.parse(entry.value());
      return new StoredJob(entry.key(), entry.version(), phase, content, null);
    } catch (MalformedException | RuntimeException e) {
      return new StoredJob(entry.key(), entry.version(), phase, null, e.getMessage());
    }
  }

  /** Returns the parsed record. */
  JobRecord readableContent() throws MalformedException {
    if (content == null) {
      throw new MalformedException(error);
    }
    return content;
  }

  /** Returns the id of the job. */
  String id() {
    return key.substring(StorageKeys.JOBS.length());
  }
}
