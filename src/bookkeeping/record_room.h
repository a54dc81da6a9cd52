/* Fits job records into values of the key-value store, whose size is limited. A record grows after its
 * job was accepted: completed tasks are added, slices are handed over, the phase changes. Completed tasks
 * may be left out: a worker that starts such a task again exits with its result at once. Nothing here
 * suspends the calling routine. */
#ifndef FC_BOOKKEEPING_RECORD_ROOM_H
#define FC_BOOKKEEPING_RECORD_ROOM_H

#include "bookkeeping/cluster.h"

/* Bytes of encoded ranges of completed tasks for which an accepted job's record has room, beside whatever
 * else may be written to it later: the job is cancelled, or each of its slices is handed over to the member
 * with the longest name. 0: not even room for that. */
size_t fc_job_record_completions_room(const fc_cluster *cluster, const fc_job_record *record);
/* The number of slices of a new job: those of the record, or fewer, if it has no room for the handovers of
 * so many; 0: not even for one. At least 1 if the description is in parts. */
unsigned fc_job_record_slices_with_room(const fc_cluster *cluster, const fc_job_record *record);

/* Encodes the record with `completed`, a bitmap of its tasks, in place of its `done`, in at most
 * `max_bytes` bytes; the caller owns the reference. If it is longer, completed tasks are left out, the
 * shortest ranges first. Of a job that has ended, whatever only matters for starting its tasks is left out
 * as well, and the number of completed tasks is retained. NULL: too large without any completed task;
 * never for a job that has ended, if values may have 1 KiB. */
json_t *fc_job_record_encode_within(const fc_job_record *record, const uint8_t *completed, size_t max_bytes);

#endif
