/* Jobs as users describe them, and what users are answered. */
#ifndef FC_PROTOCOL_JOB_H
#define FC_PROTOCOL_JOB_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/json.h"

typedef enum { FC_JOB_ARRAY, FC_JOB_GANG, FC_JOB_SERVICE } fc_job_kind;
/* Larger is more important. */
typedef enum { FC_PRIORITY_BEST_EFFORT, FC_PRIORITY_STANDARD, FC_PRIORITY_HIGH, FC_PRIORITY_PROD } fc_priority;
typedef enum { FC_PHASE_ACCEPTED, FC_PHASE_CANCELLED, FC_PHASE_DONE } fc_job_phase;
/* What users are told. */
typedef enum { FC_STATUS_PENDING, FC_STATUS_RUNNING, FC_STATUS_DONE, FC_STATUS_CANCELLED } fc_job_status;

/* Buffers, with the closing NUL: for a job's id; for a name of a machine, type, zone or member. */
#define FC_JOB_ID_SIZE 32
#define FC_NAME_SIZE 64
#define FC_TASKS_MAX 100000u
#define FC_TYPES_PER_JOB 64u
#define FC_SLICES_MAX 16u

typedef struct fc_job_spec {
  char *id;
  GRefString *class_name, *team, *image;
  fc_job_kind kind;
  fc_priority priority;
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

/* The description, without what the job awaits, as JSON and from it; what is wrong with it
 * is collected in the reader. */
json_t *fc_job_spec_encode(const fc_job_spec *spec);
void fc_job_spec_read(fc_reader *reader, fc_job_spec *spec);
/* One of several values of a field, by its name; 0, and an error, where it is none of them. */
int fc_read_choice(fc_reader *reader, const char *field, const char *const *names, int count);
/* The awaited ids as "000398,000405": without what all have in common. */
char *fc_job_dependencies_text(char *const *awaits);
void fc_job_dependencies_read(fc_reader *reader, const char *field, fc_job_spec *spec);

/* "job-000412": the only form of id there is. */
bool fc_job_id_valid(const char *id);

/* The id of a submission that may be malformed otherwise; false: none to be had. */
bool fc_job_id_peek(const char *text, size_t len, char *id, size_t size);
/* Reads a submission; false with a line that names the field. */
bool fc_job_spec_parse(const char *text, size_t len, fc_job_spec *out, char *error, size_t error_size);
/* A copy of its own; of strings that are shared another reference. */
fc_job_spec fc_job_spec_copy(const fc_job_spec *spec);
void fc_job_spec_clear(fc_job_spec *spec);

/* An array is halved into virtual jobs of at least two tasks, at most `limit`; not one
 * whose tasks must share a zone or be scattered. */
unsigned fc_job_slices(const fc_job_spec *spec, unsigned limit);
/* The body of an answer to a user. */
void fc_job_answer(GString *out, const char *id, fc_job_status status, uint32_t done, uint32_t running,
                   bool with_counts);
/* The body of an answer to GET /ready by a node that is. */
void fc_ready_answer(GString *out);
void fc_error_answer(GString *out, const char *what);

#endif
