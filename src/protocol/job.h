/* Jobs as users submit them, and the answers to users. Nothing here suspends the calling routine. */
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
/* As stored. */
typedef enum { FC_PHASE_ACCEPTED, FC_PHASE_CANCELLED, FC_PHASE_DONE } fc_job_phase;
/* As answered to users. */
typedef enum { FC_STATUS_PENDING, FC_STATUS_RUNNING, FC_STATUS_DONE, FC_STATUS_CANCELLED } fc_job_status;

/* Buffers, with the closing NUL: for a job's id; for a name of a machine, type, zone or member. */
#define FC_JOB_ID_SIZE 32
#define FC_NAME_SIZE 64
#define FC_TASKS_MAX 100000u
#define FC_TYPES_PER_JOB 64u
#define FC_SLICES_MAX 16u

/* Amounts are for each task; times are in seconds. */
typedef struct fc_job_spec {
  char *id;
  GRefString *class_name, *team, *image;
  fc_job_kind kind;
  fc_priority priority;
  uint32_t tasks;
  double cpus, gpus, memory_gb, image_gb;
  char **types;     /* allowed machine types, NULL-terminated; NULL: any */
  GRefString *zone; /* NULL: any */
  bool one_zone;    /* all tasks in the same zone */
  bool spread;      /* at most half of the tasks, rounded up, in one zone */
  bool spot;        /* may run on spot instances */
  double estimate_s, checkpoint_s, save_s;
  double deadline_s;   /* < 0: none */
  char **dependencies; /* ids of the jobs that it depends on, sorted and without repeats; NULL-terminated;
                        * NULL: none */
} fc_job_spec;

/* The description without its dependencies, as JSON; the reference is the caller's. */
json_t *fc_job_spec_encode(const fc_job_spec *spec);
/* Reads that; what is wrong is recorded in the reader. `spec` has to be zeroed before, and is the
 * caller's to clear, also after an error. */
void fc_job_spec_read(fc_reader *reader, fc_job_spec *spec);
/* The ids of dependencies as "000398,000405", without their common prefix; the caller frees it. */
char *fc_job_dependencies_text(char *const *dependencies);
/* Reads such a text into spec->dependencies. */
void fc_job_dependencies_read(fc_reader *reader, const char *field, fc_job_spec *spec);

/* Whether this is an id of a job, such as "job-000412". */
bool fc_job_id_valid(const char *id);
/* Finds the id in a submission that may be malformed otherwise; false: there is none. */
bool fc_job_id_peek(const char *text, size_t length, char *id, size_t size);

/* Reads a submission. False with the faulty field and its error in `error`, and `out` empty; else
 * `out` is the caller's to clear. */
bool fc_job_spec_parse(const char *text, size_t length, fc_job_spec *out, char *error, size_t error_size);
/* A copy that is the caller's to clear; interned strings are shared. */
fc_job_spec fc_job_spec_copy(const fc_job_spec *spec);
void fc_job_spec_clear(fc_job_spec *spec);

/* The number of slices that the job is split into, a power of two up to `limit`: each of an array's
 * slices has at least two tasks; jobs of other kinds, and those whose tasks are placed with regard
 * to each other, have one. */
unsigned fc_job_slices(const fc_job_spec *spec, unsigned limit);

/* Append the body of an answer: the status of a job, of GET /ready, of an error. */
void fc_job_answer(GString *out, const char *id, fc_job_status status, uint32_t done, uint32_t running,
                   bool with_counts);
void fc_ready_answer(GString *out);
void fc_error_answer(GString *out, const char *text);

#endif
