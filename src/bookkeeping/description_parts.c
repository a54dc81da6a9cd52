#include "bookkeeping/description_parts.h"

#include <string.h>

typedef struct part {
  uint64_t version;
  bool there;
  char *text; /* NULL: not there, or dropped */
} part;

typedef struct part_set {
  char job[32];
  char digest[FC_JOB_DIGEST_SIZE];
  double first_seen;
  GArray *parts; /* part, by number */
} part_set;

struct fc_description_parts {
  GHashTable *sets; /* "job/digest" -> part_set */
};

static void part_clear(gpointer p) {
  part *x = p;
  g_free(x->text);
}

static void set_free(gpointer p) {
  part_set *s = p;
  g_array_free(s->parts, TRUE);
  g_free(s);
}

fc_description_parts *fc_description_parts_new(void) {
  fc_description_parts *descriptions = g_new0(fc_description_parts, 1);
  descriptions->sets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, set_free);
  return descriptions;
}

void fc_description_parts_free(fc_description_parts *descriptions) {
  if (!descriptions) return;
  g_hash_table_destroy(descriptions->sets);
  g_free(descriptions);
}

static char *set_key(const char *job, const char *digest) {
  return g_strconcat(job, "/", digest, NULL);
}

static part_set *set_of(const fc_description_parts *descriptions, const char *job, const char *digest) {
  char *key = set_key(job, digest);
  part_set *s = g_hash_table_lookup(descriptions->sets, key);
  g_free(key);
  return s;
}

static part_set *set_get(fc_description_parts *descriptions, const char *job, const char *digest, double now) {
  part_set *s = set_of(descriptions, job, digest);
  if (s) return s;
  s = g_new0(part_set, 1);
  g_strlcpy(s->job, job, sizeof s->job);
  g_strlcpy(s->digest, digest, sizeof s->digest);
  s->first_seen = now;
  s->parts = g_array_new(FALSE, TRUE, sizeof(part));
  g_array_set_clear_func(s->parts, part_clear);
  g_hash_table_insert(descriptions->sets, set_key(job, digest), s);
  return s;
}

static part *part_at(const part_set *s, unsigned number) {
  return s && number < s->parts->len ? &g_array_index(s->parts, part, number) : NULL;
}

static unsigned count_there(const part_set *s) {
  unsigned n = 0;
  for (guint i = 0; i < s->parts->len; i++) n += g_array_index(s->parts, part, i).there;
  return n;
}

static void forget_empty(fc_description_parts *descriptions, const part_set *s) {
  if (count_there(s) > 0) return;
  char *key = set_key(s->job, s->digest);
  g_hash_table_remove(descriptions->sets, key);
  g_free(key);
}

void fc_description_parts_put(fc_description_parts *descriptions, const char *job, const char *digest, unsigned number,
                              const char *text, uint64_t version, double now) {
  part_set *s = text ? set_get(descriptions, job, digest, now) : set_of(descriptions, job, digest);
  if (!s) return;
  if (text && number >= s->parts->len) g_array_set_size(s->parts, number + 1);
  part *x = part_at(s, number);
  if (!x || x->version >= version) return;
  g_free(x->text);
  *x = (part){version, text != NULL, g_strdup(text)};
  if (!text) forget_empty(descriptions, s);
}

char *fc_description_parts_join(const fc_description_parts *descriptions, const char *job,
                                const fc_description_ref *of) {
  const part_set *s = set_of(descriptions, job, of->digest);
  GString *whole = g_string_new(NULL);
  for (unsigned i = 0; i < of->count; i++) {
    const part *x = part_at(s, i);
    if (!x || !x->text) {
      g_string_free(whole, TRUE);
      return NULL;
    }
    g_string_append(whole, x->text);
  }
  return g_string_free(whole, FALSE);
}

void fc_description_parts_drop_texts(fc_description_parts *descriptions, const char *job, const char *digest) {
  const part_set *s = set_of(descriptions, job, digest);
  for (guint i = 0; s && i < s->parts->len; i++) {
    part *x = &g_array_index(s->parts, part, i);
    g_free(x->text);
    x->text = NULL;
  }
}

uint64_t fc_description_parts_version(const fc_description_parts *descriptions, const char *job, const char *digest,
                                      unsigned number) {
  const part *x = part_at(set_of(descriptions, job, digest), number);
  return x && x->there ? x->version : 0;
}

void fc_description_parts_foreach(const fc_description_parts *descriptions, fc_description_fn fn, void *arg) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, descriptions->sets);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const part_set *s = value;
    const fc_description_entry e = {s->job, s->digest, s->parts->len, s->first_seen};
    fn(&e, arg);
  }
}

void fc_description_parts_retain(fc_description_parts *descriptions, GHashTable *present, uint64_t revision) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, descriptions->sets);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    part_set *s = value;
    for (guint i = 0; i < s->parts->len; i++) {
      part *x = &g_array_index(s->parts, part, i);
      char *key = fc_job_part_key(s->job, s->digest, i);
      if (x->there && x->version <= revision && !g_hash_table_contains(present, key)) x->there = false;
      g_free(key);
    }
    if (count_there(s) == 0) g_hash_table_iter_remove(&it);
  }
}
