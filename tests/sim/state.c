/* A stand-in for the state service. */
#include "stand_ins.h"

typedef struct kv_entry {
  json_t *value;
  uint64_t version, lease;
} kv_entry;

typedef struct kv_change {
  uint64_t version;
  char *key;
  json_t *value;
} kv_change;

typedef struct kv_watch {
  struct sim_exchange *exchange;
  char *prefix;
  uint64_t from;
  double until;
  bool by_former;
} kv_watch;

static GTree *g_keys;
static GPtrArray *g_history;
static GHashTable *g_leases; /* id -> double* end */
static GHashTable *g_lease_s;
static GPtrArray *g_watches;
static uint64_t g_revision, g_next_lease;
static bool g_down;
static double g_slow_until, g_slow_most_s, g_blind_until, g_blind_next_s;
static char g_blind_key[48];
double g_delayed_commit_share;
static double g_late_least_s, g_late_most_s;

static const char *g_late_only;

/* What it takes; a larger value or transaction gets 400, changes beyond the rate 429. */
typedef struct kv_limits {
  size_t value_bytes;
  unsigned txn_ops;
  double write_rps; /* 0: as many as come */
  double level, at; /* changes that may come at once, when that was reckoned */
} kv_limits;

static kv_limits g_limits, g_later; /* what it takes, and what those who know of it keep to */

void kv_set_announced_limits(double value_kb, unsigned txn_ops) {
  g_later = (kv_limits){.value_bytes = (size_t)(value_kb * 1024), .txn_ops = txn_ops};
}

void world_state_limits(double value_kb, unsigned txn_ops, double write_rps) {
  g_limits = (kv_limits){(size_t)(value_kb * 1024), txn_ops, write_rps, write_rps, sim_now()};
}

void world_late_only(const char *text) {
  g_late_only = text;
}

void world_lateness(double least_s, double most_s) {
  g_late_least_s = least_s;
  g_late_most_s = most_s;
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer data) {
  (void)data;
  return strcmp(left, right);
}

static char *dump(json_t *message) {
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  return text;
}

static void answer(struct sim_exchange *exchange, int status, json_t *message) {
  char *text = dump(message);
  sim_answer(exchange, status, text);
  free(text);
}

static json_t *as_read(json_t *value, bool by_former);

static json_t *events_after(const char *prefix, uint64_t from, bool by_former) {
  json_t *events = json_array();
  /* Newest first: the protocol promises no order. */
  for (guint i = g_history->len; i-- > 0;) {
    kv_change *change = g_history->pdata[i];
    if (change->version <= from) break;
    if (!g_str_has_prefix(change->key, prefix)) continue;
    if (change->value) {
      json_array_append_new(events, json_pack("{ss so sI}", "set", change->key, "v", as_read(change->value, by_former),
                                              "edition", change->version));
    } else {
      json_array_append_new(events, json_pack("{ss sI}", "remove", change->key, "edition", change->version));
    }
  }
  return events;
}

static void check_watches(void) {
  if (g_down || sim_now() < g_blind_until) return;
  for (guint i = g_watches->len; i-- > 0;) {
    kv_watch *watcher = g_watches->pdata[i];
    if (world_kv_refuses(watcher->exchange)) continue; /* it waits as in an outage */
    json_t *events = events_after(watcher->prefix, watcher->from, watcher->by_former);
    if (json_array_size(events) == 0 && sim_now() < watcher->until) {
      json_decref(events);
      continue;
    }
    answer(watcher->exchange, 200, json_pack("{sI so}", "round", g_revision, "events", events));
    g_ptr_array_remove_index(g_watches, i);
    g_free(watcher->prefix);
    g_free(watcher);
  }
}

static void put(const char *key, json_t *value, uint64_t lease) {
  kv_change *change = g_new0(kv_change, 1);
  change->version = g_revision;
  change->key = g_strdup(key);
  change->value = value ? json_incref(value) : NULL;
  g_ptr_array_add(g_history, change);
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

static gboolean collect(gpointer key, gpointer value, gpointer data) {
  struct {
    uint64_t lease;
    GPtrArray *out;
  } *search = data;
  if (((kv_entry *)value)->lease == search->lease) g_ptr_array_add(search->out, g_strdup(key));
  return FALSE;
}

static void end_lease(uint64_t lease) {
  struct {
    uint64_t lease;
    GPtrArray *out;
  } search = {lease, g_ptr_array_new_with_free_func(g_free)};
  g_tree_foreach(g_keys, collect, &search);
  if (search.out->len) g_revision++;
  for (guint i = 0; i < search.out->len; i++) put(search.out->pdata[i], NULL, 0);
  g_ptr_array_free(search.out, TRUE);
  g_hash_table_remove(g_leases, GSIZE_TO_POINTER(lease));
}

static void tick(void *arg) {
  (void)arg;
  if (!g_down) {
    GHashTableIter iter;
    gpointer id, end;
    GArray *over = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_iter_init(&iter, g_leases);
    while (g_hash_table_iter_next(&iter, &id, &end)) {
      uint64_t lease_id = GPOINTER_TO_SIZE(id);
      if (sim_now() > *(double *)end) g_array_append_val(over, lease_id);
    }
    for (guint i = 0; i < over->len; i++) end_lease(g_array_index(over, uint64_t, i));
    g_array_free(over, TRUE);
  }
  check_watches();
  sim_after(0.05, tick, NULL);
}

bool state_has(const char *key) {
  return g_tree_lookup(g_keys, key) != NULL;
}

bool state_says(const char *key, const char *text) {
  const kv_entry *entry = g_tree_lookup(g_keys, key);
  if (!entry) return false;
  char *value = json_dumps(entry->value, JSON_COMPACT);
  bool says = strstr(value, text) != NULL;
  free(value);
  return says;
}

typedef struct each_arg {
  const char *prefix;
  void (*fn)(const char *id);
} each_arg;

static gboolean each_key(gpointer key, gpointer value, gpointer data) {
  (void)value;
  const each_arg *search = data;
  if (!g_str_has_prefix(key, search->prefix)) return FALSE;
  char *id = g_strndup((const char *)key + strlen(search->prefix), strlen("job-000000"));
  search->fn(id);
  g_free(id);
  return FALSE;
}

void state_each(const char *prefix, void (*fn)(const char *id)) {
  each_arg search = {prefix, fn};
  g_tree_foreach(g_keys, each_key, &search);
}

void state_down(bool down) {
  /* After an outage every lease has its full time again. */
  if (g_down && !down) {
    GHashTableIter iter;
    gpointer id, end;
    g_hash_table_iter_init(&iter, g_leases);
    while (g_hash_table_iter_next(&iter, &id, &end))
      *(double *)end = sim_now() + *(double *)g_hash_table_lookup(g_lease_s, id);
  }
  g_down = down;
}

#define CONDITIONS_PER_CHANGE 4u
#define TXN_BYTES ((size_t)64 * 1024)

/* Why the transaction is larger than the limits; NULL: it is not. */
static const char *too_large(const sim_request *request, const json_t *when, const json_t *then,
                             const kv_limits *limits) {
  static char why[200];
  if (strlen(request->body) > TXN_BYTES) return "transaction";
  if (json_array_size(then) > limits->txn_ops) return "changes of a transaction";
  if (json_array_size(when) > (size_t)limits->txn_ops * CONDITIONS_PER_CHANGE) return "conditions of a transaction";
  json_t *item;
  size_t i;
  json_array_foreach(then, i, item) {
    size_t size = json_dumpb(json_object_get(item, "v"), NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
    if (size <= limits->value_bytes) continue;
    g_snprintf(why, sizeof why, "value of %s: %zu bytes", json_string_value(json_object_get(item, "set")), size);
    return why;
  }
  return NULL;
}

/* Takes the changes from the rate; false: they are beyond it. */
static bool within_rate(size_t changes) {
  if (g_limits.write_rps <= 0) return true;
  double grown = g_limits.level + (sim_now() - g_limits.at) * g_limits.write_rps;
  g_limits.level = MIN(grown, g_limits.write_rps);
  g_limits.at = sim_now();
  if (g_limits.level < (double)changes) return false;
  g_limits.level -= (double)changes;
  return true;
}

/* The former version says nothing of the formats that it reads. */
static void forget_formats(const json_t *then) {
  json_t *item;
  size_t i;
  json_array_foreach(then, i, item) json_object_del(json_object_get(item, "v"), "jobFormat");
}

/* As the asker reads it: what the former version can't read is of no format that anybody knows.
 * The caller's to drop. */
static json_t *as_read(json_t *value, bool by_former) {
  const json_int_t plain = 1;
  if (!by_former || json_integer_value(json_object_get(value, "f")) <= plain) return json_incref(value);
  json_t *unread = json_copy(value);
  json_object_set_new(unread, "f", json_integer(99));
  return unread;
}

/* The keys whose conditions don't hold; the caller's to drop. */
static json_t *failed_conditions(const json_t *when) {
  json_t *failed = json_array(), *item;
  size_t i;
  json_array_foreach(when, i, item) {
    const char *key = json_string_value(json_object_get(item, "key"));
    kv_entry *entry = g_tree_lookup(g_keys, key);
    if ((entry ? entry->version : 0) != (uint64_t)json_integer_value(json_object_get(item, "edition")))
      json_array_append_new(failed, json_string(key));
  }
  return failed;
}

static bool leases_there(const json_t *then) {
  json_t *item;
  size_t i;
  json_array_foreach(then, i, item) {
    json_t *pass = json_object_get(item, "pass");
    if (pass && !g_hash_table_contains(g_leases, GSIZE_TO_POINTER((size_t)json_integer_value(pass)))) return false;
  }
  return true;
}

static void apply_changes(const sim_request *request, const json_t *then) {
  json_t *item;
  size_t i;
  if (json_array_size(then) > 0) g_revision++;
  json_array_foreach(then, i, item) {
    const char *key = json_string_value(json_object_get(item, "set"));
    if (key) {
      put(key, json_object_get(item, "v"), (uint64_t)json_integer_value(json_object_get(item, "pass")));
      world_key_written(request->exchange, key);
    } else {
      put(json_string_value(json_object_get(item, "remove")), NULL, 0);
    }
  }
}

static void commit(const sim_request *request, bool former) {
  json_t *body = json_loads(request->body, 0, NULL);
  const json_t *then = json_object_get(body, "then");
  const json_t *when = json_object_get(body, "when");
  if (former) forget_formats(then);
  const char *why = former ? NULL : too_large(request, when, then, &g_later);
  if (why) world_broke("too large for the state service", why);
  if (too_large(request, when, then, &g_limits)) {
    sim_answer(request->exchange, 400, "{}");
    json_decref(body);
    return;
  }
  if (!within_rate(json_array_size(then))) {
    g_result.over_rate++;
    sim_answer(request->exchange, 429, "{}");
    json_decref(body);
    return;
  }
  json_t *failed = failed_conditions(json_object_get(body, "when"));
  if (!leases_there(then)) {
    answer(request->exchange, 400, json_pack("{ss}", "error", "no such lease"));
    json_decref(failed);
    json_decref(body);
    return;
  }
  if (json_array_size(failed) > 0) {
    answer(request->exchange, 409, json_pack("{so sI}", "failed", failed, "round", g_revision));
    json_decref(body);
    return;
  }
  json_decref(failed);
  apply_changes(request, then);
  if (g_blind_next_s > 0 && strstr(request->body, g_blind_key)) {
    g_blind_until = sim_now() + g_blind_next_s;
    g_blind_next_s = 0;
  }
  answer(request->exchange, 200, json_pack("{sI}", "round", g_revision));
  json_decref(body);
  check_watches();
}

static char *query_value(const char *path, const char *name) {
  char *mark = g_strconcat(name, "=", NULL);
  const char *value_start = strstr(path, mark);
  char *out = NULL;
  if (value_start) {
    value_start += strlen(mark);
    out = g_strndup(value_start, strcspn(value_start, "&"));
  }
  g_free(mark);
  return out;
}

typedef struct kv_listing {
  const char *prefix, *after;
  json_t *rows;
  size_t most;
  bool more, by_former;
} kv_listing;

static gboolean list_one(gpointer key, gpointer value, gpointer data) {
  kv_listing *listing = data;
  kv_entry *entry = value;
  if (!g_str_has_prefix(key, listing->prefix) || (listing->after && strcmp(key, listing->after) <= 0)) return FALSE;
  if (json_array_size(listing->rows) == listing->most) {
    listing->more = true;
    return TRUE;
  }
  json_array_append_new(listing->rows, json_pack("{ss so sI}", "key", key, "v",
                                                 as_read(entry->value, listing->by_former), "edition", entry->version));
  return FALSE;
}

void kv_slow(double until, double most_s) {
  g_slow_until = until;
  g_slow_most_s = most_s;
}

void kv_delay_watches_after(const char *id, double for_s) {
  g_snprintf(g_blind_key, sizeof g_blind_key, "\"fc1/job/%s\"", id);
  g_blind_next_s = for_s;
}

static void grant_lease(const sim_request *request) {
  json_t *body = json_loads(request->body, 0, NULL);
  double ttl = (double)json_integer_value(json_object_get(body, "lifeMs")) / 1000;
  json_decref(body);
  size_t id = ++g_next_lease;
  double *end = g_new(double, 1), *duration = g_new(double, 1);
  *end = sim_now() + ttl;
  *duration = ttl;
  g_hash_table_insert(g_leases, GSIZE_TO_POINTER(id), end);
  g_hash_table_insert(g_lease_s, GSIZE_TO_POINTER(id), duration);
  answer(request->exchange, 200, json_pack("{sI}", "pass", (json_int_t)id));
}

static void renew_lease(const sim_request *request) {
  size_t id = strtoul(request->path + 7, NULL, 10);
  double *end = g_hash_table_lookup(g_leases, GSIZE_TO_POINTER(id));
  if (end) *end = sim_now() + *(double *)g_hash_table_lookup(g_lease_s, GSIZE_TO_POINTER(id));
  sim_answer(request->exchange, end ? 200 : 404, "{}");
}

static void get_key(const sim_request *request) {
  const char *key = request->path + strlen("/keys/");
  const kv_entry *entry = g_tree_lookup(g_keys, key);
  if (entry) {
    answer(request->exchange, 200,
           json_pack("{ss sO sI}", "key", key, "v", entry->value, "edition", (json_int_t)entry->version));
  } else {
    answer(request->exchange, 404, json_pack("{sI}", "round", (json_int_t)g_revision));
  }
}

static void open_watch(const sim_request *request, bool former) {
  kv_watch *watcher = g_new0(kv_watch, 1);
  watcher->exchange = request->exchange;
  watcher->by_former = former;
  watcher->prefix = query_value(request->path, "prefix");
  char *from = query_value(request->path, "from"), *hold = query_value(request->path, "holdMs");
  watcher->from = strtoull(from, NULL, 10);
  watcher->until = sim_now() + atof(hold) / 1000;
  g_free(from);
  g_free(hold);
  g_ptr_array_add(g_watches, watcher);
  check_watches();
}

static void list_keys(const sim_request *request, bool former) {
  kv_listing listing = {.rows = json_array(), .by_former = former};
  char *prefix = query_value(request->path, "prefix"), *after = query_value(request->path, "from"),
       *page = query_value(request->path, "page");
  listing.prefix = prefix;
  listing.after = after;
  listing.most = page ? strtoul(page, NULL, 10) : 1000;
  g_tree_foreach(g_keys, list_one, &listing);
  answer(request->exchange, 200,
         json_pack("{so sb sI}", "rows", listing.rows, "more", (int)listing.more, "round", g_revision));
  g_free(prefix);
  g_free(after);
  g_free(page);
}

/* `former`: whoever sent it was of that version then. */
static void serve_now(const sim_request *request, bool former) {
  if (g_down || world_kv_refuses(request->exchange)) {
    sim_answer(request->exchange, 503, "{}");
  } else if (strcmp(request->path, "/commit") == 0) {
    commit(request, former);
  } else if (strcmp(request->path, "/holds") == 0) {
    grant_lease(request);
  } else if (g_str_has_prefix(request->path, "/holds/")) {
    renew_lease(request);
  } else if (g_str_has_prefix(request->path, "/keys/")) {
    get_key(request);
  } else if (g_str_has_prefix(request->path, "/changes?")) {
    open_watch(request, former);
  } else {
    list_keys(request, former);
  }
}

typedef struct late_request {
  sim_request request; /* what it points to stays with the exchange */
  bool former;
} late_request;

static void serve_later(void *arg) {
  const late_request *late = arg;
  serve_now(&late->request, late->former);
  g_free(arg);
}

static void serve(const sim_request *request, void *arg) {
  (void)arg;
  double late = 0;
  bool former = world_sent_by_former(request->exchange);
  if (g_delayed_commit_share > 0 && strcmp(request->path, "/commit") == 0 &&
      (!g_late_only || strstr(request->body, g_late_only)) && sim_chance(g_delayed_commit_share)) {
    late = sim_draw(g_late_least_s, g_late_most_s);
  } else if (sim_now() < g_slow_until) {
    late = sim_draw(0, g_slow_most_s);
  }
  if (late <= 0) {
    serve_now(request, former);
    return;
  }
  late_request *delayed = g_new(late_request, 1);
  *delayed = (late_request){*request, former};
  sim_after(late, serve_later, delayed);
}

void kv_init(void) {
  g_keys = g_tree_new_full(compare_keys, NULL, g_free, NULL);
  g_history = g_ptr_array_new();
  g_leases = g_hash_table_new(NULL, NULL);
  g_lease_s = g_hash_table_new(NULL, NULL);
  g_watches = g_ptr_array_new();
  g_revision = 0;
  g_next_lease = 0;
  g_down = false;
  g_slow_until = g_blind_until = g_blind_next_s = g_delayed_commit_share = 0;
  world_lateness(2, 12);
  world_late_only(NULL);
  world_state_limits(8, 8, 0);
  kv_set_announced_limits(8, 8);
  sim_serve(WORLD_STATE_IP, serve, NULL);
  tick(NULL);
}
