package org.snowturn.core.leader;

import java.util.List;
import org.snowturn.core.storage.RangeReader.Range;

/**
 * All records that earlier terms and users have stored, as read at the start of a term.
 *
 * @param registryPages the pages of the machine registry
 * @param secondFormatTasks the task records in the second format
 * @param firstFormatTasks the task records in the first format
 * @param restartRecords the counters of the speculative restarts of jobs
 * @param submissionChunks the chunks of long submissions, which are read before the jobs so that no
 *     accepted job lacks its chunks
 * @param jobs the job records, parsed
 * @param jobsRevision the revision of the state service from which on the jobs may have changed
 * @param jobsReadAt the time at which the read of the jobs was sent, in milliseconds of the
 *     monotonic clock
 */
record StoredRecords(
    Range registryPages,
    Range secondFormatTasks,
    Range firstFormatTasks,
    Range restartRecords,
    Range submissionChunks,
    List<StoredJob> jobs,
    long jobsRevision,
    long jobsReadAt) {}
