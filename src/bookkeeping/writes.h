/* The conditional writes of records that several duties make. */
#ifndef FC_BOOKKEEPING_WRITES_H
#define FC_BOOKKEEPING_WRITES_H

#include "bookkeeping/commit.h"
#include "bookkeeping/table.h"

/* The job's record anew, if it is still at the version. NULL: it does not fit into a value of
 * the state service, as the limits are now or will be. That of a job that is over always does:
 * what only matters for placing tasks is left out if need be. */
fc_write *fc_write_job(const fc_table *t, const fc_job *j, uint64_t version, fc_phase phase, const uint8_t *done,
                       char *const *handed, const fc_job_origin *origin);
/* As many of the tasks that have just ended, `ended`, as its record has room for: adds them to
 * `done`, a copy of the record's own. True: any. */
bool fc_write_job_fit(const fc_table *t, const fc_job *j, const uint8_t *ended, uint8_t *done);
/* The machine's record, if it is still at the version (0: there is none), and
 * the term's is at `term_version`. */
fc_write *fc_write_machine(const char *id, uint64_t version, uint64_t term_version, const fc_machine_record *rec);

#endif
