/* Applies job records, cancellations and the removal of archived jobs to the cluster state. Times
 * are on the monotonic clock of fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_JOB_RECORDS_H
#define FC_BOOKKEEPING_JOB_RECORDS_H

#include "bookkeeping/cluster.h"

/* Applies a stored job record if it is newer than the known one; returns the job. `fresh`: the
 * record was first read as a change within the current term, so that no task of the job can have
 * been placed before. */
fc_job *fc_cluster_apply_job(fc_cluster *cluster, const char *id, const fc_job_record *record, uint64_t version,
                             bool fresh, double now);
/* Applies a committed cancellation whose record has not been read: reported by a peer, or just
 * written by this controller. The job has ended from now on, whatever older records are still read.
 * The job's record version is unchanged, so that no write depends on a record that this
 * controller has not read. `since`: lower bound of when a user saw it confirmed. */
void fc_cluster_apply_cancellation(fc_cluster *cluster, const char *id, uint64_t revision, double since, double now);
/* Called when all changes up to `revision` have been read: drops the unread cancellations up to
 * there, which the records now contain. */
void fc_cluster_prune_unread_cancellations(fc_cluster *cluster, uint64_t revision);
/* Removes and frees an archived job. Its remaining placements stay on their machines, without a
 * job. */
void fc_cluster_remove_job(fc_cluster *cluster, fc_job *job);

#endif
