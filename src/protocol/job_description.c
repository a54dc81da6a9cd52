#include "protocol/job_description.h"

#include <stdlib.h>
#include <string.h>

#include "protocol/records.h"

#define PART_FORMAT 1
#define DIGEST_TYPE G_CHECKSUM_MD5
/* Bytes of a part's value without its text, {"f":1,"text":""}, with a margin. */
#define VALUE_OVERHEAD 32u
#define TEXT_LENGTH_MAX ((size_t)1024 * 1024)

/* Fields of descriptions and their parts. */
#define FIELD_SPEC "spec"
#define FIELD_DEPENDENCIES "awaits"
#define FIELD_FORMAT "f"
#define FIELD_TEXT "text"

char *fc_job_description_text(const fc_job_spec *spec) {
  json_auto_t *object = json_pack("{so}", FIELD_SPEC, fc_job_spec_encode(spec));
  if (spec->dependencies) {
    g_autofree char *dependencies = fc_job_dependencies_text(spec->dependencies);
    json_object_set_new(object, FIELD_DEPENDENCIES, json_string(dependencies));
  }
  char *dumped = json_dumps(object, JSON_COMPACT | JSON_ENSURE_ASCII);
  char *text = g_strdup(dumped);
  free(dumped);
  return text;
}

bool fc_job_description_read(const char *text, fc_job_spec *out) {
  memset(out, 0, sizeof *out);
  json_auto_t *object = fc_json_parse(text, strlen(text), NULL);
  fc_reader reader, spec_reader;
  fc_reader_init(&reader, object);
  fc_reader_init(&spec_reader, fc_read_object(&reader, FIELD_SPEC));
  fc_job_spec_read(&spec_reader, out);
  if (json_object_get(object, FIELD_DEPENDENCIES)) fc_job_dependencies_read(&reader, FIELD_DEPENDENCIES, out);
  if (fc_reader_ok(&reader) && fc_reader_ok(&spec_reader)) return true;
  fc_job_spec_clear(out);
  return false;
}

/* Bytes of a character in a JSON string, with its escape; the text is ASCII without control
 * characters. */
static size_t escaped_size(char ch) {
  return ch == '"' || ch == '\\' ? 2 : 1;
}

/* The end of the longest prefix of `start` that has at most `size_max` bytes when escaped. */
static const char *end_of_part(const char *start, size_t size_max) {
  const char *end = start;
  for (size_t size = 0; *end && size + escaped_size(*end) <= size_max; end++) size += escaped_size(*end);
  return end;
}

/* Digest of the text and of the size of its parts: a retry under another limit must not mix its parts with
 * those that are stored already. */
static void set_digest(fc_description_ref *ref, const char *text, size_t value_bytes) {
  g_autofree char *digested = g_strdup_printf("%zu %s", value_bytes, text);
  g_autofree char *digest = g_compute_checksum_for_string(DIGEST_TYPE, digested, -1);
  g_strlcpy(ref->digest, digest, sizeof ref->digest);
}

GPtrArray *fc_job_description_split(const char *text, size_t value_bytes, fc_description_ref *ref) {
  GPtrArray *parts = g_ptr_array_new_with_free_func(g_free);
  for (const char *start = text; *start;) {
    const char *end = end_of_part(start, value_bytes - VALUE_OVERHEAD);
    g_ptr_array_add(parts, g_strndup(start, (gsize)(end - start)));
    start = end;
  }
  ref->count = parts->len;
  set_digest(ref, text, value_bytes);
  return parts;
}

char *fc_job_part_key(const char *job, const char *digest, unsigned number) {
  return g_strdup_printf(FC_PREFIX_PART "%s/%s/%u", job, digest, number);
}

bool fc_job_part_key_parse(const char *key, char job[FC_JOB_ID_SIZE], char digest[FC_JOB_DIGEST_SIZE],
                           unsigned *number) {
  g_auto(GStrv) fields = g_strsplit(key, "/", -1);
  if (g_strv_length(fields) != 3 || !fc_job_id_valid(fields[0])) return false;
  if (strlen(fields[1]) != FC_JOB_DIGEST_SIZE - 1 || !g_ascii_isdigit(fields[2][0])) return false;
  char *end = NULL;
  unsigned long parsed = strtoul(fields[2], &end, 10);
  *number = (unsigned)parsed;
  g_strlcpy(job, fields[0], FC_JOB_ID_SIZE);
  g_strlcpy(digest, fields[1], FC_JOB_DIGEST_SIZE);
  return *end == '\0' && parsed < FC_JOB_PARTS_MAX;
}

json_t *fc_job_part_encode(const char *text) {
  return json_pack("{si ss}", FIELD_FORMAT, PART_FORMAT, FIELD_TEXT, text);
}

const char *fc_job_part_decode(const json_t *value) {
  fc_reader reader;
  fc_reader_init(&reader, value);
  (void)fc_read_count(&reader, FIELD_FORMAT, PART_FORMAT, PART_FORMAT);
  return fc_read_string(&reader, FIELD_TEXT, TEXT_LENGTH_MAX);
}
