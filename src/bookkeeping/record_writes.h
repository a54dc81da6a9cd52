/* Conditional writes of job and machine records, for all routines that store them. The caller owns
 * a returned write until it passes it to fc_group_commit_write(), or frees it with fc_write_free().
 * Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_RECORD_WRITES_H
#define FC_BOOKKEEPING_RECORD_WRITES_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"

/* Replaces the job's record, on condition that it is still the one that was read. `completed` is a
 * bitmap of its tasks; `handed_to` is as in fc_job_record. If the record exceeds the value size of the
 * key-value store, current or announced, it is shortened (record_room.h). NULL: the job is accepted, and
 * its record is too large even without any completed task; it is added to the cluster's oversized jobs. */
fc_write *fc_job_record_write(const fc_cluster *cluster, const fc_job *job, fc_job_phase phase,
                              const uint8_t *completed, char *const *handed_to, const fc_job_origin *origin);

/* Replaces the record of an accepted job by one that refers to its description in parts, on condition that
 * it is still the one that was read and that the first part is at version `first_part`. NULL as above. */
fc_write *fc_job_description_move_write(const fc_cluster *cluster, const fc_job *job, const fc_description_ref *parts,
                                        uint64_t first_part);

/* Fills `completed`, a bitmap of the job's size, with the known completions and as many of the newly
 * `ended` tasks as the job's record has room for, beside what may be written to it later. Where the known
 * completions alone exceed that room, some are left out. Returns whether `completed` contains more tasks
 * than the record lists now. */
bool fc_job_record_fit_completions(const fc_cluster *cluster, const fc_job *job, const uint8_t *ended,
                                   uint8_t *completed);

/* Stores the machine's record, on condition that its key is at `version` (0: does not exist) and
 * the key of the term at `term_version`. */
fc_write *fc_machine_record_write(const char *machine, uint64_t version, uint64_t term_version,
                                  const fc_machine_record *record);

#endif
