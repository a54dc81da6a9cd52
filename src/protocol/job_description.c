#include "protocol/job_description.h"

#include <stdlib.h>
#include <string.h>

#include "protocol/records.h"

#define PART_FORMAT 1
#define DIGEST_TYPE G_CHECKSUM_MD5
/* {"f":1,"text":""} and a margin. */
#define VALUE_OVERHEAD 32u
#define TEXT_MOST ((size_t)1024 * 1024)

char *fc_job_description_text(const fc_job_spec *spec) {
  json_t *v = json_pack("{so}", "spec", fc_job_spec_encode(spec));
  if (spec->awaits) {
    char *awaits = fc_job_dependencies_text(spec->awaits);
    json_object_set_new(v, "awaits", json_string(awaits));
    g_free(awaits);
  }
  char *dumped = json_dumps(v, JSON_COMPACT | JSON_ENSURE_ASCII);
  json_decref(v);
  char *text = g_strdup(dumped);
  free(dumped);
  return text;
}

bool fc_job_description_read(const char *text, fc_job_spec *out) {
  memset(out, 0, sizeof *out);
  json_t *v = fc_json_parse(text, strlen(text));
  fc_reader reader, sr;
  fc_reader_init(&reader, v);
  fc_reader_init(&sr, fc_read_object(&reader, "spec"));
  fc_job_spec_read(&sr, out);
  if (json_object_get(v, "awaits")) fc_job_dependencies_read(&reader, "awaits", out);
  bool ok = fc_reader_ok(&reader) && fc_reader_ok(&sr);
  if (!ok) fc_job_spec_clear(out);
  json_decref(v);
  return ok;
}

/* Bytes that the character takes inside a JSON string; the text is ASCII without control
 * characters. */
static size_t encoded_size(char ch) {
  return ch == '"' || ch == '\\' ? 2 : 1;
}

GPtrArray *fc_job_description_cut(const char *text, size_t value_bytes, fc_description_ref *parts) {
  GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
  size_t most = value_bytes - VALUE_OVERHEAD;
  for (const char *from = text; *from;) {
    const char *to = from;
    for (size_t size = 0; *to && size + encoded_size(*to) <= most; to++) size += encoded_size(*to);
    g_ptr_array_add(out, g_strndup(from, (gsize)(to - from)));
    from = to;
  }
  parts->count = out->len;
  char *digest = g_compute_checksum_for_string(DIGEST_TYPE, text, -1);
  g_strlcpy(parts->digest, digest, sizeof parts->digest);
  g_free(digest);
  return out;
}

char *fc_job_part_key(const char *job, const char *digest, unsigned number) {
  return g_strdup_printf(FC_PREFIX_PART "%s/%s/%u", job, digest, number);
}

bool fc_job_part_key_parse(const char *key, char job[32], char digest[FC_JOB_DIGEST_SIZE], unsigned *number) {
  char **fields = g_strsplit(key, "/", -1);
  bool ok = g_strv_length(fields) == 3 && fc_job_id_valid(fields[0]) && strlen(fields[1]) == FC_JOB_DIGEST_SIZE - 1 &&
            g_ascii_isdigit(fields[2][0]);
  if (ok) {
    char *end = NULL;
    unsigned long n = strtoul(fields[2], &end, 10);
    ok = *end == '\0' && n < FC_JOB_PARTS_MAX;
    *number = (unsigned)n;
    g_strlcpy(job, fields[0], 32);
    g_strlcpy(digest, fields[1], FC_JOB_DIGEST_SIZE);
  }
  g_strfreev(fields);
  return ok;
}

json_t *fc_job_part_encode(const char *text) {
  return json_pack("{si ss}", "f", PART_FORMAT, "text", text);
}

const char *fc_job_part_decode(const json_t *v) {
  fc_reader reader;
  fc_reader_init(&reader, v);
  (void)fc_read_count(&reader, "f", PART_FORMAT, PART_FORMAT);
  return fc_read_string(&reader, "text", TEXT_MOST);
}
