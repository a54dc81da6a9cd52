#include "bookkeeping/description_parts.h"

#include <string.h>

typedef struct description_part {
  uint64_t version; /* of the last change of its key, including a deletion; 0: never read */
  bool exists;
  char *text; /* NULL: the key does not exist, or the text has been dropped */
} description_part;

typedef struct description {
  char job[FC_JOB_ID_SIZE];
  char digest[FC_JOB_DIGEST_SIZE];
  double first_seen;
  GArray *parts; /* description_part, by number */
} description;

struct fc_description_parts {
  GHashTable *by_key; /* "job/digest" -> description */
};

static void part_clear(gpointer element) {
  description_part *part = element;
  g_free(part->text);
}

static void description_free(gpointer value) {
  description *found = value;
  g_array_free(found->parts, TRUE);
  g_free(found);
}

fc_description_parts *fc_description_parts_new(void) {
  fc_description_parts *descriptions = g_new0(fc_description_parts, 1);
  descriptions->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, description_free);
  return descriptions;
}

void fc_description_parts_free(fc_description_parts *descriptions) {
  if (!descriptions) return;
  g_hash_table_destroy(descriptions->by_key);
  g_free(descriptions);
}

static char *index_key(const char *job, const char *digest) {
  return g_strconcat(job, "/", digest, NULL);
}

static description *find(const fc_description_parts *descriptions, const char *job, const char *digest) {
  char *key = index_key(job, digest);
  description *found = g_hash_table_lookup(descriptions->by_key, key);
  g_free(key);
  return found;
}

static description *find_or_create(fc_description_parts *descriptions, const char *job, const char *digest,
                                   double now) {
  description *found = find(descriptions, job, digest);
  if (found) return found;
  description *created = g_new0(description, 1);
  g_strlcpy(created->job, job, sizeof created->job);
  g_strlcpy(created->digest, digest, sizeof created->digest);
  created->first_seen = now;
  created->parts = g_array_new(FALSE, TRUE, sizeof(description_part));
  g_array_set_clear_func(created->parts, part_clear);
  g_hash_table_insert(descriptions->by_key, index_key(job, digest), created);
  return created;
}

/* NULL: the description is NULL, or no part of this number has been read. */
static description_part *part_at(const description *desc, unsigned number) {
  return desc && number < desc->parts->len ? &g_array_index(desc->parts, description_part, number) : NULL;
}

static bool any_part_exists(const description *desc) {
  for (guint i = 0; i < desc->parts->len; i++)
    if (part_at(desc, i)->exists) return true;
  return false;
}

static void remove_if_empty(fc_description_parts *descriptions, const description *desc) {
  if (any_part_exists(desc)) return;
  char *key = index_key(desc->job, desc->digest);
  g_hash_table_remove(descriptions->by_key, key);
  g_free(key);
}

void fc_description_parts_put(fc_description_parts *descriptions, const char *job, const char *digest, unsigned number,
                              const char *text, uint64_t version, double now) {
  description *desc = text ? find_or_create(descriptions, job, digest, now) : find(descriptions, job, digest);
  if (!desc) return;
  if (text && number >= desc->parts->len) g_array_set_size(desc->parts, number + 1);
  description_part *part = part_at(desc, number);
  if (!part || part->version >= version) return;
  g_free(part->text);
  *part = (description_part){.version = version, .exists = text != NULL, .text = g_strdup(text)};
  if (!text) remove_if_empty(descriptions, desc);
}

char *fc_description_parts_join(const fc_description_parts *descriptions, const char *job,
                                const fc_description_ref *ref) {
  const description *desc = find(descriptions, job, ref->digest);
  GString *joined = g_string_new(NULL);
  for (unsigned i = 0; i < ref->count; i++) {
    const description_part *part = part_at(desc, i);
    if (!part || !part->text) {
      g_string_free(joined, TRUE);
      return NULL;
    }
    g_string_append(joined, part->text);
  }
  return g_string_free(joined, FALSE);
}

void fc_description_parts_drop_texts(fc_description_parts *descriptions, const char *job, const char *digest) {
  const description *desc = find(descriptions, job, digest);
  if (!desc) return;
  for (guint i = 0; i < desc->parts->len; i++) {
    description_part *part = part_at(desc, i);
    g_free(part->text);
    part->text = NULL;
  }
}

uint64_t fc_description_parts_version(const fc_description_parts *descriptions, const char *job, const char *digest,
                                      unsigned number) {
  const description_part *part = part_at(find(descriptions, job, digest), number);
  return part && part->exists ? part->version : 0;
}

void fc_description_parts_foreach(const fc_description_parts *descriptions, fc_description_fn fn, void *arg) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, descriptions->by_key);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    const description *desc = value;
    const fc_description_entry entry = {
        .job = desc->job, .digest = desc->digest, .count = desc->parts->len, .first_seen = desc->first_seen};
    fn(&entry, arg);
  }
}

static void retain_parts(description *desc, GHashTable *present, uint64_t revision) {
  for (guint i = 0; i < desc->parts->len; i++) {
    description_part *part = part_at(desc, i);
    char *key = fc_job_part_key(desc->job, desc->digest, i);
    if (part->exists && part->version <= revision && !g_hash_table_contains(present, key)) part->exists = false;
    g_free(key);
  }
}

void fc_description_parts_retain(fc_description_parts *descriptions, GHashTable *present, uint64_t revision) {
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init(&iterator, descriptions->by_key);
  while (g_hash_table_iter_next(&iterator, NULL, &value)) {
    description *desc = value;
    retain_parts(desc, present, revision);
    if (!any_part_exists(desc)) g_hash_table_iter_remove(&iterator);
  }
}
