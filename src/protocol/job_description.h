/* Splits job descriptions that are too long for one value of the key-value store, mostly because of
 * their dependencies, into parts with their own keys. The job's record refers to the parts by a
 * digest of the text and of the size of its parts. Nothing here suspends the calling routine. */
#ifndef FC_PROTOCOL_JOB_DESCRIPTION_H
#define FC_PROTOCOL_JOB_DESCRIPTION_H

#include "protocol/job.h"

#define FC_JOB_PARTS_MAX 1024u
/* Buffer size in bytes: 32 hexadecimal digits and the NUL. */
#define FC_JOB_DIGEST_SIZE 33u

/* Refers to a description in parts; count 0: it is in the job's record. */
typedef struct fc_description_ref {
  char digest[FC_JOB_DIGEST_SIZE];
  unsigned count;
} fc_description_ref;

/* Encodes the description with its dependencies as ASCII JSON text; the caller frees it. */
char *fc_job_description_text(const fc_job_spec *spec);
/* Decodes such a text. False when it is malformed, with `out` empty; else the caller clears `out`. */
bool fc_job_description_read(const char *text, fc_job_spec *out);

/* Splits the text so that each part's encoded value has at most `value_bytes`. Returns the parts'
 * texts (char *), owned by the array, which the caller frees; *ref refers to them. */
GPtrArray *fc_job_description_split(const char *text, size_t value_bytes, fc_description_ref *ref);

/* The key of part `number` of a job's description; the caller frees it. */
char *fc_job_part_key(const char *job, const char *digest, unsigned number);
/* Parses such a key, given without FC_PREFIX_PART; false: it is malformed. */
bool fc_job_part_key_parse(const char *key, char job[FC_JOB_ID_SIZE], char digest[FC_JOB_DIGEST_SIZE],
                           unsigned *number);
/* Encodes the value of a part; the caller owns the reference. */
json_t *fc_job_part_encode(const char *text);
/* The text in a part's value, borrowed from it; NULL: the value is malformed. */
const char *fc_job_part_decode(const json_t *value);

#endif
