/* Parses the jobs that users submit, encodes job descriptions, and writes the responses to users.
 * Nothing here suspends the calling routine. */
#ifndef FC_PROTOCOL_JOB_H
#define FC_PROTOCOL_JOB_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/json.h"

typedef enum { FC_JOB_ARRAY, FC_JOB_GANG, FC_JOB_SERVICE } fc_job_kind;
/* In ascending order of importance. */
typedef enum { FC_PRIORITY_BEST_EFFORT, FC_PRIORITY_STANDARD, FC_PRIORITY_HIGH, FC_PRIORITY_PROD } fc_priority;
/* The phase of a job in its stored record. */
typedef enum { FC_PHASE_ACCEPTED, FC_PHASE_CANCELLED, FC_PHASE_DONE } fc_job_phase;
/* The status of a job in responses to users. */
typedef enum { FC_STATUS_PENDING, FC_STATUS_RUNNING, FC_STATUS_DONE, FC_STATUS_CANCELLED } fc_job_status;

/* Buffer sizes in bytes, including the NUL: for a job's id; for the name of a machine, type, zone or
 * member. */
#define FC_JOB_ID_SIZE 32
#define FC_NAME_SIZE 64
#define FC_TASKS_MAX 100000u
#define FC_TYPES_PER_JOB 64u
#define FC_SLICES_MAX 16u

/* A job's description. Resources are per task; times are in seconds. */
typedef struct fc_job_spec {
  char *id;
  GRefString *class_name, *team, *image;
  fc_job_kind kind;
  fc_priority priority;
  uint32_t tasks;
  double cpus, gpus, memory_gb, image_gb;
  char **types;        /* allowed machine types, NULL-terminated; NULL: any */
  GRefString *zone;    /* NULL: any */
  bool one_zone;       /* all tasks in the same zone */
  bool spread;         /* at most half of the tasks, rounded up, in one zone */
  bool spot;           /* may run on spot instances */
  double estimate_s;   /* expected run time */
  double checkpoint_s; /* between checkpoints; 0: it takes none */
  double save_s;       /* to save a checkpoint */
  double deadline_s;   /* after the submission; < 0: none */
  char **dependencies; /* ids of the jobs that it depends on, sorted and without duplicates; NULL-terminated;
                        * NULL: none */
} fc_job_spec;

/* Encodes the description without its dependencies; the caller owns the reference. */
json_t *fc_job_spec_encode(const fc_job_spec *spec);
/* Decodes such a description; errors are recorded in the reader. `spec` has to be zeroed before, and
 * the caller clears it, also after an error. */
void fc_job_spec_read(fc_reader *reader, fc_job_spec *spec);
/* Encodes the ids of dependencies without their common prefix, as "000398,000405"; the caller frees
 * the text. */
char *fc_job_dependencies_text(char *const *dependencies);
/* Decodes such a text into spec->dependencies; errors are recorded in the reader. */
void fc_job_dependencies_read(fc_reader *reader, const char *field, fc_job_spec *spec);

/* Whether the text has the form of a job's id, such as "job-000412"; false for NULL. */
bool fc_job_id_valid(const char *id);
/* Reads only the id of a submission, whose other fields may be invalid. False if it has no valid id. */
bool fc_job_id_peek(const char *text, size_t length, char *id, size_t size);

/* Parses a submission. On failure returns false, fills in *error, and leaves `out` empty; else the caller clears
 * `out`. */
bool fc_job_spec_parse(const char *text, size_t length, fc_job_spec *out, fc_message_error *error);
/* Returns a copy, which the caller clears; interned strings are shared. */
fc_job_spec fc_job_spec_copy(const fc_job_spec *spec);
void fc_job_spec_clear(fc_job_spec *spec);

/* The number of slices that the job is split into. An array has a power of two up to `limit`, with at
 * least two tasks in each slice. Jobs of other kinds, and those whose tasks' zones depend on each
 * other, have one. */
unsigned fc_job_slice_count(const fc_job_spec *spec, unsigned limit);

/* Append the body of a response: the status of a job (with the numbers of done and running tasks if
 * `with_counts`), GET /ready, an error. */
void fc_job_answer(GString *out, const char *id, fc_job_status status, uint32_t done, uint32_t running,
                   bool with_counts);
void fc_ready_answer(GString *out);
void fc_error_answer(GString *out, const char *text);

#endif
