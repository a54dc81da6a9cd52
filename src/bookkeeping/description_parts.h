/* The parts of job descriptions that are in the state service (protocol/job_description.h). Their
 * texts are kept until the job has been read, their versions as long as they are there. */
#ifndef FC_BOOKKEEPING_DESCRIPTION_PARTS_H
#define FC_BOOKKEEPING_DESCRIPTION_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job_description.h"

typedef struct fc_description_parts fc_description_parts;

fc_description_parts *fc_description_parts_new(void);
void fc_description_parts_free(fc_description_parts *descriptions);

/* A part was read; text NULL: it has been removed. Older news than is known is passed over. */
void fc_description_parts_put(fc_description_parts *descriptions, const char *job, const char *digest, unsigned number,
                              const char *text, uint64_t version, double now);
/* The whole text, which the caller frees; NULL: some of it is not there. */
char *fc_description_parts_join(const fc_description_parts *descriptions, const char *job,
                                const fc_description_ref *of);
/* The job has been read: its texts are needed no more. */
void fc_description_parts_drop_texts(fc_description_parts *descriptions, const char *job, const char *digest);
/* The version of a part; 0: it is not there. */
uint64_t fc_description_parts_version(const fc_description_parts *descriptions, const char *job, const char *digest,
                                      unsigned number);

/* One description of which parts are there. */
typedef struct fc_description_entry {
  const char *job, *digest;
  unsigned count;    /* one more than the highest number that is there */
  double first_seen; /* steady time */
} fc_description_entry;
/* Calls fn for each; nothing may be put meanwhile. */
typedef void (*fc_description_fn)(const fc_description_entry *e, void *arg);
void fc_description_parts_foreach(const fc_description_parts *descriptions, fc_description_fn fn, void *arg);
/* Everything was read anew, at the revision: what is older and not in `present`, a set of
 * keys, is gone. */
void fc_description_parts_retain(fc_description_parts *descriptions, GHashTable *present, uint64_t revision);

#endif
