/* The conditional writes of records that several duties make. */
#ifndef FC_BOOKKEEPING_RECORD_WRITES_H
#define FC_BOOKKEEPING_RECORD_WRITES_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"

/* The job's record anew, if it is still at the version. NULL: it does not fit into a value of
 * the state service, as the limits are now or will be. That of a job that is over always does:
 * what only matters for placing tasks is left out if need be. */
fc_write *fc_job_record_write(const fc_cluster *cluster, const fc_job *job, uint64_t version, fc_job_phase phase,
                              const uint8_t *done, char *const *handed, const fc_job_origin *origin);
/* As many of the tasks that have just ended, `ended`, as its record has room for: adds them to
 * `done`, a copy of the record's own. True: any. */
bool fc_job_record_fit_completions(const fc_cluster *cluster, const fc_job *job, const uint8_t *ended, uint8_t *done);
/* The machine's record, if it is still at the version (0: there is none), and
 * the term's is at `term_version`. */
fc_write *fc_machine_record_write(const char *id, uint64_t version, uint64_t term_version,
                                  const fc_machine_record *rec);

#endif
