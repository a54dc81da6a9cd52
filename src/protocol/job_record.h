/* Encodes and decodes the records of jobs in the key-value store. Nothing here suspends the calling
 * routine. */
#ifndef FC_PROTOCOL_JOB_RECORD_H
#define FC_PROTOCOL_JOB_RECORD_H

#include "protocol/job.h"
#include "protocol/job_description.h"
#include "protocol/task_ranges.h"

/* Formats of a record. Records of accepted jobs with unfinished dependencies, and records that refer to
 * a description in parts, have the second: versions without support for dependencies reject it, and so
 * never run the job. */
#define FC_JOB_FORMAT_PLAIN 1
#define FC_JOB_FORMAT_AWAITING 2

/* When the job was submitted and accepted, and the handovers of its slices to other controllers. */
typedef struct fc_job_origin {
  double submitted_at;  /* Unix time in seconds; 0: unknown. Stored only while dependencies are unfinished */
  uint64_t term;        /* the job was accepted in this term or later; 0: unknown */
  unsigned handed_over; /* bitmap of the slices that have been handed over */
  /* For each slice that was handed over: the term of the last handover, and a bitmap of the members of that
   * term on whose machines its tasks were then, or may have been started since. 0, 0: unknown. */
  struct {
    uint64_t term;
    unsigned members;
  } last_handover[FC_SLICES_MAX];
  /* Bitmap of the slices whose owner since the last handover may not have seen all of their tasks.
   * These tasks are older than the term of the handover and on machines that were reconciled, so the
   * owner has seen them once it has reconciled all machines too. */
  unsigned partly_known;
} fc_job_origin;

typedef struct fc_job_record {
  fc_job_spec spec;
  fc_job_origin origin;
  fc_job_phase phase;
  char *done;                     /* numbers of the finished tasks as ranges, "0-3,7" */
  uint32_t done_count;            /* of a job that has ended: how many have finished, if `done` lacks some; else 0 */
  unsigned slices;                /* number of slices; 1 unless the job is a split array */
  char *handed_to[FC_SLICES_MAX]; /* by slice: the controller that it was handed over to; NULL: as assigned */
  fc_description_ref parts;       /* of the description, when it is not in the record */
  bool awaiting;                  /* its dependencies are unfinished */
} fc_job_record;

/* Encodes the record's value; the caller owns the reference. */
json_t *fc_job_record_encode(const fc_job_record *record);
/* Decodes such a value. False when it is malformed, with `out` empty; else the caller clears `out`. The
 * spec stays empty when the description is in parts. */
bool fc_job_record_decode(const json_t *value, fc_job_record *out);
void fc_job_record_clear(fc_job_record *record);

#endif
