/* Jobs as the state service keeps them. */
#ifndef FC_PROTOCOL_JOB_RECORD_H
#define FC_PROTOCOL_JOB_RECORD_H

#include "protocol/job.h"
#include "protocol/job_description.h"

/* The stored form: format version, description, phase, finished tasks as
 * ranges ("0-3,7"), the number of virtual jobs (slices) an array is split into,
 * and the controllers that slices were handed to, if any. An accepted job that awaits
 * others has a format of its own, which versions that don't know of awaiting can't read,
 * and so never run. */
#define FC_JOB_FORMAT_PLAIN 1
#define FC_JOB_FORMAT_AWAITING 2

/* Where a record comes from: when it was written first, and its hand-overs since. */
typedef struct fc_job_origin {
  double submitted_at; /* time of day, in seconds; 0: not known. Kept while the job awaits others */
  uint64_t term;       /* it was accepted in this term or later; 0: not known */
  unsigned moved;      /* a bit a slice: it has been handed over since */
  /* Of a slice that was: the term of the last hand-over, and a bit for each member of
   * that term on whose machines tasks of it were then, or could be started from then on.
   * 0, 0: not known. */
  struct {
    uint64_t term;
    unsigned members;
  } last_move[FC_SLICES_MAX];
  /* A bit a slice: whoever it was handed to last may not have seen all of its tasks. They
   * are older than the term of the hand-over and on settled machines, so it has once all
   * machines are settled for it too. */
  unsigned unseen;
} fc_job_origin;

typedef struct fc_job_record {
  fc_job_spec spec;
  fc_job_origin origin;
  fc_job_phase phase;
  char *done; /* ranges */
  unsigned slices;
  char *handed[FC_SLICES_MAX]; /* NULL: as dealt */
  fc_description_ref parts;    /* where the description is, if it isn't in the record */
  bool awaiting;               /* it still awaits what its description says */
} fc_job_record;

/* The record's value. An accepted job that still awaits others, or whose description is
 * elsewhere, has the format that older versions can't read. Strings of the record are read
 * only. */
json_t *fc_job_record_encode(const fc_job_record *record);
/* Where the description is in parts, the record's is left empty. */
bool fc_job_record_decode(const json_t *v, fc_job_record *out);
void fc_job_record_clear(fc_job_record *record);

/* Ranges of task numbers <-> bitmap. Decoding refuses numbers >= tasks. */
char *fc_ranges_encode(const uint8_t *bits, uint32_t tasks);
bool fc_ranges_decode(const char *text, uint8_t *bits, uint32_t tasks);

#endif
