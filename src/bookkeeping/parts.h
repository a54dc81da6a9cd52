/* The parts of job descriptions that are in the state service (protocol/job_parts.h). Their
 * texts are kept until the job has been read, their versions as long as they are there. */
#ifndef FC_BOOKKEEPING_PARTS_H
#define FC_BOOKKEEPING_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job_parts.h"

typedef struct fc_parts fc_parts;

fc_parts *fc_parts_new(void);
void fc_parts_free(fc_parts *p);

/* A part was read; text NULL: it has been removed. Older news than is known is passed over. */
void fc_parts_put(fc_parts *p, const char *job, const char *digest, unsigned number, const char *text, uint64_t version,
                  double now);
/* The whole text, which the caller frees; NULL: some of it is not there. */
char *fc_parts_join(const fc_parts *p, const char *job, const fc_job_parts *of);
/* The job has been read: its texts are needed no more. */
void fc_parts_drop_texts(fc_parts *p, const char *job, const char *digest);
/* The version of a part; 0: it is not there. */
uint64_t fc_parts_version(const fc_parts *p, const char *job, const char *digest, unsigned number);

/* One description of which parts are there. */
typedef struct fc_parts_entry {
  const char *job, *digest;
  unsigned count;    /* one more than the highest number that is there */
  double first_seen; /* steady time */
} fc_parts_entry;
/* Calls fn for each; nothing may be put meanwhile. */
typedef void (*fc_parts_fn)(const fc_parts_entry *e, void *arg);
void fc_parts_each(const fc_parts *p, fc_parts_fn fn, void *arg);
/* Everything was read anew, at the revision: what is older and not in `present`, a set of
 * keys, is gone. */
void fc_parts_keep(fc_parts *p, GHashTable *present, uint64_t revision);

#endif
