/* Keys of the simulated key-value store with the history of their changes, and its leases. */
#include "kv.h"

#define UNKNOWN_FORMAT 99   /* a record format that no version reads */
#define FORMER_MAX_FORMAT 1 /* the newest record format that the former version reads */

typedef struct kv_change {
  uint64_t version;
  char *key;
  json_t *value; /* NULL: removed */
} kv_change;

typedef struct kv_lease {
  double expires_at, ttl_s;
} kv_lease;

static GTree *g_keys;        /* key -> kv_entry */
static GPtrArray *g_history; /* kv_change, oldest first */
static GHashTable *g_leases; /* id -> kv_lease */
static uint64_t g_revision, g_last_lease;

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer data) {
  (void)data;
  return strcmp(left, right);
}

void kv_store_init(void) {
  g_keys = g_tree_new_full(compare_keys, NULL, g_free, NULL);
  g_history = g_ptr_array_new();
  g_leases = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_revision = 0;
  g_last_lease = 0;
}

/* ---- keys ---- */

uint64_t kv_revision(void) {
  return g_revision;
}

void kv_next_revision(void) {
  g_revision++;
}

const kv_entry *kv_lookup(const char *key) {
  return g_tree_lookup(g_keys, key);
}

void kv_each(GTraverseFunc fn, gpointer data) {
  g_tree_foreach(g_keys, fn, data);
}

static void add_history(const char *key, json_t *value) {
  kv_change *change = g_new0(kv_change, 1);
  change->version = g_revision;
  change->key = g_strdup(key);
  change->value = value ? json_incref(value) : NULL;
  g_ptr_array_add(g_history, change);
}

void kv_put(const char *key, json_t *value, uint64_t lease) {
  add_history(key, value);
  if (!value) {
    g_tree_remove(g_keys, key);
    return;
  }
  kv_entry *entry = g_new0(kv_entry, 1);
  entry->value = json_incref(value);
  entry->version = g_revision;
  entry->lease = lease;
  g_tree_replace(g_keys, g_strdup(key), entry);
}

/* For the former version, a value in a newer format gets one that is unknown to it. */
json_t *kv_value_as_read(json_t *value, bool reader_is_former) {
  if (!reader_is_former || json_integer_value(json_object_get(value, "f")) <= FORMER_MAX_FORMAT)
    return json_incref(value);
  json_t *unreadable = json_copy(value);
  json_object_set_new(unreadable, "f", json_integer(UNKNOWN_FORMAT));
  return unreadable;
}

static json_t *change_event(const kv_change *change, bool reader_is_former) {
  if (!change->value) return json_pack("{ss sI}", "remove", change->key, "edition", change->version);
  return json_pack("{ss so sI}", "set", change->key, "v", kv_value_as_read(change->value, reader_is_former), "edition",
                   change->version);
}

/* The protocol guarantees no order of changes; newest first is the hardest case for controllers. */
json_t *kv_changes_after(const char *prefix, uint64_t revision, bool reader_is_former) {
  json_t *events = json_array();
  for (guint i = g_history->len; i-- > 0;) {
    const kv_change *change = g_history->pdata[i];
    if (change->version <= revision) break;
    if (g_str_has_prefix(change->key, prefix)) json_array_append_new(events, change_event(change, reader_is_former));
  }
  return events;
}

/* ---- leases ---- */

uint64_t kv_lease_grant(double ttl_s) {
  uint64_t id = ++g_last_lease;
  kv_lease *lease = g_new(kv_lease, 1);
  *lease = (kv_lease){.expires_at = sim_now() + ttl_s, .ttl_s = ttl_s};
  g_hash_table_insert(g_leases, GSIZE_TO_POINTER(id), lease);
  return id;
}

bool kv_lease_exists(uint64_t lease) {
  return g_hash_table_contains(g_leases, GSIZE_TO_POINTER(lease));
}

bool kv_lease_renew(uint64_t lease) {
  kv_lease *found = g_hash_table_lookup(g_leases, GSIZE_TO_POINTER(lease));
  if (found) found->expires_at = sim_now() + found->ttl_s;
  return found != NULL;
}

void kv_leases_renew_all(void) {
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_leases);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    kv_lease *lease = value;
    lease->expires_at = sim_now() + lease->ttl_s;
  }
}

typedef struct lease_key_search {
  uint64_t lease;
  GPtrArray *keys;
} lease_key_search;

static gboolean collect_lease_key(gpointer key, gpointer value, gpointer data) {
  const lease_key_search *search = data;
  if (((const kv_entry *)value)->lease == search->lease) g_ptr_array_add(search->keys, g_strdup(key));
  return FALSE;
}

static void remove_lease(uint64_t lease) {
  lease_key_search search = {lease, g_ptr_array_new_with_free_func(g_free)};
  g_tree_foreach(g_keys, collect_lease_key, &search);
  if (search.keys->len > 0) g_revision++;
  for (guint i = 0; i < search.keys->len; i++) kv_put(search.keys->pdata[i], NULL, 0);
  g_ptr_array_free(search.keys, TRUE);
  g_hash_table_remove(g_leases, GSIZE_TO_POINTER(lease));
}

void kv_leases_expire(void) {
  GHashTableIter iter;
  gpointer id, value;
  GArray *expired = g_array_new(FALSE, FALSE, sizeof(uint64_t));
  g_hash_table_iter_init(&iter, g_leases);
  while (g_hash_table_iter_next(&iter, &id, &value)) {
    uint64_t lease = GPOINTER_TO_SIZE(id);
    if (sim_now() > ((const kv_lease *)value)->expires_at) g_array_append_val(expired, lease);
  }
  for (guint i = 0; i < expired->len; i++) remove_lease(g_array_index(expired, uint64_t, i));
  g_array_free(expired, TRUE);
}

/* ---- queries by scenes ---- */

bool kv_has_key(const char *key) {
  return kv_lookup(key) != NULL;
}

bool kv_value_contains(const char *key, const char *text) {
  const kv_entry *entry = kv_lookup(key);
  if (!entry) return false;
  char *value = json_dumps(entry->value, JSON_COMPACT);
  bool contains = strstr(value, text) != NULL;
  free(value);
  return contains;
}

typedef struct job_visit {
  const char *prefix;
  void (*fn)(const char *id);
} job_visit;

static gboolean visit_job(gpointer key, gpointer value, gpointer data) {
  (void)value;
  const job_visit *visit = data;
  if (!g_str_has_prefix(key, visit->prefix)) return FALSE;
  char *id = g_strndup((const char *)key + strlen(visit->prefix), strlen("job-000000"));
  visit->fn(id);
  g_free(id);
  return FALSE;
}

void kv_each_job(const char *prefix, void (*fn)(const char *id)) {
  job_visit visit = {prefix, fn};
  kv_each(visit_job, &visit);
}
