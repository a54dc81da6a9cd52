/* Jobs as users describe them and as the state service keeps them. */
#ifndef FC_PROTOCOL_JOB_H
#define FC_PROTOCOL_JOB_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum { FC_KIND_ARRAY, FC_KIND_GANG, FC_KIND_SERVICE } fc_job_kind;
/* Larger is more important. */
typedef enum { FC_RANK_BEST_EFFORT, FC_RANK_STANDARD, FC_RANK_HIGH, FC_RANK_PROD } fc_rank;
typedef enum { FC_PHASE_ACCEPTED, FC_PHASE_CANCELLED, FC_PHASE_DONE } fc_phase;
/* What users are told. */
typedef enum { FC_STATUS_PENDING, FC_STATUS_RUNNING, FC_STATUS_DONE, FC_STATUS_CANCELLED } fc_job_status;

#define FC_TASKS_MAX 100000u
#define FC_TYPES_PER_JOB 64u
#define FC_SLICES_MAX 16u

typedef struct fc_job_spec {
  char *id;
  GRefString *class_name, *team, *image;
  fc_job_kind kind;
  fc_rank rank;
  uint32_t tasks;
  double cpus, gpus, memory_gb, image_gb;
  char **types;     /* NULL-terminated; NULL: any */
  GRefString *zone; /* NULL: any */
  bool one_zone, spread, spot;
  double estimate_s, checkpoint_s, save_s;
  double deadline_s; /* < 0: none */
  char **awaits;     /* ids of jobs that have to be done before any task starts, each once, in
                      * order; NULL-terminated; NULL: none */
} fc_job_spec;

/* "job-000412": the only form of id there is. */
bool fc_job_id_valid(const char *id);

/* The id of a submission that may be malformed otherwise; false: none to be had. */
bool fc_job_id_peek(const char *text, size_t len, char *id, size_t size);
/* Reads a submission; false with a line that names the field. */
bool fc_job_spec_parse(const char *text, size_t len, fc_job_spec *out, char *error, size_t error_size);
void fc_job_spec_clear(fc_job_spec *s);

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
  fc_phase phase;
  char *done; /* ranges */
  unsigned slices;
  char *handed[FC_SLICES_MAX]; /* NULL: as dealt */
} fc_job_record;

/* An array is halved into virtual jobs of at least two tasks, at most `limit`; not one
 * whose tasks must share a zone or be scattered. */
unsigned fc_job_slices(const fc_job_spec *spec, unsigned limit);
/* The awaited jobs are kept as long as the job is accepted. `origin` NULL: not known. */
json_t *fc_job_record_encode(const fc_job_spec *spec, fc_phase phase, const char *done, unsigned slices,
                             char *const *handed, const fc_job_origin *origin);
bool fc_job_record_decode(const json_t *v, fc_job_record *out);
void fc_job_record_clear(fc_job_record *r);

/* The body of an answer to a user. */
void fc_job_answer(GString *out, const char *id, fc_job_status status, uint32_t done, uint32_t running,
                   bool with_counts);
/* The body of an answer to GET /ready by a node that is. */
void fc_ready_answer(GString *out);
void fc_error_answer(GString *out, const char *what);

/* Ranges of task numbers <-> bitmap. Decoding refuses numbers >= tasks. */
char *fc_ranges_encode(const uint8_t *bits, uint32_t tasks);
bool fc_ranges_decode(const char *text, uint8_t *bits, uint32_t tasks);

#endif
