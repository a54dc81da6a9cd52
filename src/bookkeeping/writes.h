/* The conditional writes of records that several duties make. */
#ifndef FC_BOOKKEEPING_WRITES_H
#define FC_BOOKKEEPING_WRITES_H

#include "bookkeeping/commit.h"
#include "bookkeeping/table.h"

/* The job's record anew, if it is still at the version. */
fc_write *fc_write_job(const fc_job *j, uint64_t version, fc_phase phase, const uint8_t *done, char *const *handed,
                       const fc_job_origin *origin);
/* The machine's record, if it is still at the version (0: there is none), and
 * the term's is at `term_version`. */
fc_write *fc_write_machine(const char *id, uint64_t version, uint64_t term_version, const fc_machine_record *rec);

#endif
