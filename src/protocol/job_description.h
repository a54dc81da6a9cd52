/* Descriptions of jobs that are too long for one value of the state service, mostly for the
 * jobs that they await: the text is cut into parts with keys of their own, and the job's record
 * names them by a digest of it. */
#ifndef FC_PROTOCOL_JOB_DESCRIPTION_H
#define FC_PROTOCOL_JOB_DESCRIPTION_H

#include "protocol/job.h"

#define FC_JOB_PARTS_MAX 1024u
#define FC_JOB_DIGEST_SIZE 33u

/* Where a job's description is; count 0: in its record. */
typedef struct fc_description_ref {
  char digest[FC_JOB_DIGEST_SIZE];
  unsigned count;
} fc_description_ref;

/* The description and what the job awaits as one text of ASCII; the caller frees it. */
char *fc_job_description_text(const fc_job_spec *spec);
bool fc_job_description_read(const char *text, fc_job_spec *out);

/* Cuts the text so that each part's value has at most so many bytes. The array owns the
 * texts. *parts names them. */
GPtrArray *fc_job_description_cut(const char *text, size_t value_bytes, fc_description_ref *parts);

/* The key of a part: of a job, a digest and a number. The caller frees it. */
char *fc_job_part_key(const char *job, const char *digest, unsigned number);
/* Takes such a key, without its prefix, apart; false: it is none. */
bool fc_job_part_key_parse(const char *key, char job[32], char digest[FC_JOB_DIGEST_SIZE], unsigned *number);
json_t *fc_job_part_encode(const char *text);
/* The text of a part's value; NULL: it is none. */
const char *fc_job_part_decode(const json_t *v);

#endif
