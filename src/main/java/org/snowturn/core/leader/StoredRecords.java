package org.snowturn.core.leader;

import org.snowturn.core.storage.RangeReader.Range;

/**
 * All records that earlier terms and users have stored, as read at the begin of a term.
 *
 * @param submissionChunks read before the jobs, so that no accepted job lacks its chunks
 * @param jobsReadAt when the read of the jobs was sent, in milliseconds of the steady clock
 */
record StoredRecords(
    Range registryPages,
    Range secondFormatTasks,
    Range firstFormatTasks,
    Range restartRecords,
    Range submissionChunks,
    Range jobs,
    long jobsReadAt) {}
