/* Applies job records, cancellations and the archiving of jobs to the cluster state. */
#ifndef FC_BOOKKEEPING_JOB_RECORDS_H
#define FC_BOOKKEEPING_JOB_RECORDS_H

#include "bookkeeping/cluster.h"

/* Applies a job's record as stored, if it is newer than what is known; returns the job.
 * `fresh`: the record was first seen as a change within the present term, so that nobody has
 * placed anything of the job before. `now`: steady time. */
fc_job *fc_cluster_apply_job(fc_cluster *cluster, const char *id, const fc_job_record *record, uint64_t version,
                             bool fresh, double now);
/* Applies a committed cancellation whose record has not been read: learned from a peer, or just
 * written by us. The job has ended from here on, whatever older records are still read; its own
 * version stays, so that no write of ours builds on what we have not read. `since`: no user had
 * it confirmed before that steady time. */
void fc_cluster_apply_cancellation(fc_cluster *cluster, const char *id, uint64_t revision, double since, double now);
/* Everything up to the revision has been read: cancellations up to there are in the records. */
void fc_cluster_caught_up(fc_cluster *cluster, uint64_t revision);
/* Removes and frees a job that has been archived. Placements of it that are left stay on their
 * machines, without a job. */
void fc_cluster_remove_job(fc_cluster *cluster, fc_job *job);

#endif
