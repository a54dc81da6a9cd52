/* Index of the description parts that the key-value store holds (protocol/job_description.h). It
 * holds the text of a part until its job has been read, and its version as long as the key exists.
 * Texts and ids passed in are copied. Nothing here suspends the calling routine. */
#ifndef FC_BOOKKEEPING_DESCRIPTION_PARTS_H
#define FC_BOOKKEEPING_DESCRIPTION_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job_description.h"

typedef struct fc_description_parts fc_description_parts;

/* The caller frees the index with fc_description_parts_free(). */
fc_description_parts *fc_description_parts_new(void);
/* NULL is allowed. */
void fc_description_parts_free(fc_description_parts *descriptions);

/* Records that a part's key has `text` at `version`; with `text` NULL, that the key was deleted at
 * that version. Ignored if `version` is not newer than the recorded one. */
void fc_description_parts_put(fc_description_parts *descriptions, const char *job, const char *digest, unsigned number,
                              const char *text, uint64_t version, double now);

/* Returns the whole text, which the caller frees with g_free(). NULL: the text of some part is
 * missing. */
char *fc_description_parts_join(const fc_description_parts *descriptions, const char *job,
                                const fc_description_ref *ref);

/* Frees the texts of a description whose job has been read; the versions are retained. */
void fc_description_parts_drop_texts(fc_description_parts *descriptions, const char *job, const char *digest);

/* The version of a part's key; 0: the key does not exist. */
uint64_t fc_description_parts_version(const fc_description_parts *descriptions, const char *job, const char *digest,
                                      unsigned number);

/* A description of which at least one part is stored. The strings are owned by the index. */
typedef struct fc_description_entry {
  const char *job, *digest;
  unsigned count;    /* one more than the highest part number seen */
  double first_seen; /* when its first part was read, by fc_now() */
} fc_description_entry;

/* `entry` is valid during the call only. */
typedef void (*fc_description_fn)(const fc_description_entry *entry, void *arg);

/* Calls `fn` for each description; `fn` must not change the index. */
void fc_description_parts_foreach(const fc_description_parts *descriptions, fc_description_fn fn, void *arg);

/* Updates the index after a full read as of `revision`: parts no newer than that whose keys are not
 * in `present`, a set of keys, have been deleted. */
void fc_description_parts_retain(fc_description_parts *descriptions, GHashTable *present, uint64_t revision);

#endif
