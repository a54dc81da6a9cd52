/* Descriptions of jobs that are too long for one value of the key-value store, mostly because of
 * their dependencies: the text is cut into parts with keys of their own, and the job's record
 * refers to them by a digest of the text. Nothing here suspends the calling routine. */
#ifndef FC_PROTOCOL_JOB_DESCRIPTION_H
#define FC_PROTOCOL_JOB_DESCRIPTION_H

#include "protocol/job.h"

#define FC_JOB_PARTS_MAX 1024u
/* Hexadecimal, with the closing NUL. */
#define FC_JOB_DIGEST_SIZE 33u

/* Refers to a description in parts; count 0: it is in the job's record. */
typedef struct fc_description_ref {
  char digest[FC_JOB_DIGEST_SIZE];
  unsigned count;
} fc_description_ref;

/* The description with its dependencies as an ASCII text; the caller frees it. */
char *fc_job_description_text(const fc_job_spec *spec);
/* Reads such a text. False when it is malformed, with `out` empty; else `out` is the caller's to
 * clear. */
bool fc_job_description_read(const char *text, fc_job_spec *out);

/* Cuts the text so that each part's encoded value has at most `value_bytes`. Returns the parts'
 * texts, which the array owns; *ref refers to them. */
GPtrArray *fc_job_description_cut(const char *text, size_t value_bytes, fc_description_ref *ref);

/* The key of part `number` of a job's description; the caller frees it. */
char *fc_job_part_key(const char *job, const char *digest, unsigned number);
/* Splits such a key, without its prefix; false: it is malformed. */
bool fc_job_part_key_parse(const char *key, char job[FC_JOB_ID_SIZE], char digest[FC_JOB_DIGEST_SIZE],
                           unsigned *number);
/* The value of a part; the reference is the caller's. */
json_t *fc_job_part_encode(const char *text);
/* The text in a part's value, borrowed from it; NULL: it is malformed. */
const char *fc_job_part_decode(const json_t *value);

#endif
