/* A stand-in for the state service. */
#include "parts.h"

typedef struct entry {
  json_t *value;
  uint64_t version, lease;
} entry;

typedef struct change {
  uint64_t version;
  char *key;
  json_t *value;
} change;

typedef struct watch {
  struct sim_exchange *x;
  char *prefix;
  uint64_t from;
  double until;
  bool by_former;
} watch;

static GTree *g_keys;
static GPtrArray *g_history;
static GHashTable *g_leases; /* id -> double* end */
static GHashTable *g_lease_s;
static GPtrArray *g_watches;
static uint64_t g_revision, g_next_lease;
static bool g_down;
static double g_slow_until, g_slow_most_s, g_blind_until, g_blind_next_s;
static char g_blind_key[48];
double g_late_writes;
static double g_late_least_s, g_late_most_s;

static const char *g_late_only;

/* What it takes; a larger value or transaction gets 400, changes beyond the rate 429. */
typedef struct limits {
  size_t value_bytes;
  unsigned txn_ops;
  double write_rps; /* 0: as many as come */
  double level, at; /* changes that may come at once, when that was reckoned */
} limits;

static limits g_limits, g_later; /* what it takes, and what those who know of it keep to */

void state_later_limits(double value_kb, unsigned txn_ops) {
  g_later = (limits){.value_bytes = (size_t)(value_kb * 1024), .txn_ops = txn_ops};
}

void world_state_limits(double value_kb, unsigned txn_ops, double write_rps) {
  g_limits = (limits){(size_t)(value_kb * 1024), txn_ops, write_rps, write_rps, sim_now()};
}

void world_late_only(const char *text) {
  g_late_only = text;
}

void world_lateness(double least_s, double most_s) {
  g_late_least_s = least_s;
  g_late_most_s = most_s;
}

static gint by_key(gconstpointer a, gconstpointer b, gpointer d) {
  (void)d;
  return strcmp(a, b);
}

static char *dump(json_t *v) {
  char *s = json_dumps(v, JSON_COMPACT);
  json_decref(v);
  return s;
}

static void answer(struct sim_exchange *x, int status, json_t *v) {
  char *s = dump(v);
  sim_answer(x, status, s);
  free(s);
}

static json_t *as_read(json_t *value, bool by_former);

static json_t *events_after(const char *prefix, uint64_t from, bool by_former) {
  json_t *events = json_array();
  /* Newest first: the protocol promises no order. */
  for (guint i = g_history->len; i-- > 0;) {
    change *c = g_history->pdata[i];
    if (c->version <= from) break;
    if (!g_str_has_prefix(c->key, prefix)) continue;
    if (c->value) {
      json_array_append_new(
          events, json_pack("{ss so sI}", "set", c->key, "v", as_read(c->value, by_former), "edition", c->version));
    } else {
      json_array_append_new(events, json_pack("{ss sI}", "remove", c->key, "edition", c->version));
    }
  }
  return events;
}

static void check_watches(void) {
  if (g_down || sim_now() < g_blind_until) return;
  for (guint i = g_watches->len; i-- > 0;) {
    watch *w = g_watches->pdata[i];
    if (world_state_refuses(w->x)) continue; /* it waits as in an outage */
    json_t *events = events_after(w->prefix, w->from, w->by_former);
    if (json_array_size(events) == 0 && sim_now() < w->until) {
      json_decref(events);
      continue;
    }
    answer(w->x, 200, json_pack("{sI so}", "round", g_revision, "events", events));
    g_ptr_array_remove_index(g_watches, i);
    g_free(w->prefix);
    g_free(w);
  }
}

static void put(const char *key, json_t *value, uint64_t lease) {
  change *c = g_new0(change, 1);
  c->version = g_revision;
  c->key = g_strdup(key);
  c->value = value ? json_incref(value) : NULL;
  g_ptr_array_add(g_history, c);
  if (!value) {
    g_tree_remove(g_keys, key);
    return;
  }
  entry *e = g_new0(entry, 1);
  e->value = json_incref(value);
  e->version = g_revision;
  e->lease = lease;
  g_tree_replace(g_keys, g_strdup(key), e);
}

static gboolean collect(gpointer key, gpointer value, gpointer data) {
  struct {
    uint64_t lease;
    GPtrArray *out;
  } *a = data;
  if (((entry *)value)->lease == a->lease) g_ptr_array_add(a->out, g_strdup(key));
  return FALSE;
}

static void end_lease(uint64_t lease) {
  struct {
    uint64_t lease;
    GPtrArray *out;
  } a = {lease, g_ptr_array_new_with_free_func(g_free)};
  g_tree_foreach(g_keys, collect, &a);
  if (a.out->len) g_revision++;
  for (guint i = 0; i < a.out->len; i++) put(a.out->pdata[i], NULL, 0);
  g_ptr_array_free(a.out, TRUE);
  g_hash_table_remove(g_leases, GSIZE_TO_POINTER(lease));
}

static void tick(void *arg) {
  (void)arg;
  if (!g_down) {
    GHashTableIter it;
    gpointer id, end;
    GArray *over = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_hash_table_iter_init(&it, g_leases);
    while (g_hash_table_iter_next(&it, &id, &end)) {
      uint64_t n = GPOINTER_TO_SIZE(id);
      if (sim_now() > *(double *)end) g_array_append_val(over, n);
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
  const entry *e = g_tree_lookup(g_keys, key);
  if (!e) return false;
  char *s = json_dumps(e->value, JSON_COMPACT);
  bool says = strstr(s, text) != NULL;
  free(s);
  return says;
}

typedef struct each_arg {
  const char *prefix;
  void (*fn)(const char *id);
} each_arg;

static gboolean each_key(gpointer key, gpointer value, gpointer data) {
  (void)value;
  const each_arg *a = data;
  if (!g_str_has_prefix(key, a->prefix)) return FALSE;
  char *id = g_strndup((const char *)key + strlen(a->prefix), strlen("job-000000"));
  a->fn(id);
  g_free(id);
  return FALSE;
}

void state_each(const char *prefix, void (*fn)(const char *id)) {
  each_arg a = {prefix, fn};
  g_tree_foreach(g_keys, each_key, &a);
}

void state_down(bool down) {
  /* After an outage every lease has its full time again. */
  if (g_down && !down) {
    GHashTableIter it;
    gpointer id, end;
    g_hash_table_iter_init(&it, g_leases);
    while (g_hash_table_iter_next(&it, &id, &end))
      *(double *)end = sim_now() + *(double *)g_hash_table_lookup(g_lease_s, id);
  }
  g_down = down;
}

#define CONDITIONS_PER_CHANGE 4u
#define TXN_BYTES ((size_t)64 * 1024)

/* Why the transaction is larger than the limits; NULL: it is not. */
static const char *too_large(const sim_request *r, const json_t *when, const json_t *then, const limits *l) {
  static char why[200];
  if (strlen(r->body) > TXN_BYTES) return "transaction";
  if (json_array_size(then) > l->txn_ops) return "changes of a transaction";
  if (json_array_size(when) > (size_t)l->txn_ops * CONDITIONS_PER_CHANGE) return "conditions of a transaction";
  json_t *item;
  size_t i;
  json_array_foreach(then, i, item) {
    size_t size = json_dumpb(json_object_get(item, "v"), NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
    if (size <= l->value_bytes) continue;
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
    entry *e = g_tree_lookup(g_keys, key);
    if ((e ? e->version : 0) != (uint64_t)json_integer_value(json_object_get(item, "edition")))
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

static void apply_changes(const sim_request *r, const json_t *then) {
  json_t *item;
  size_t i;
  if (json_array_size(then) > 0) g_revision++;
  json_array_foreach(then, i, item) {
    const char *key = json_string_value(json_object_get(item, "set"));
    if (key) {
      put(key, json_object_get(item, "v"), (uint64_t)json_integer_value(json_object_get(item, "pass")));
      world_wrote(r->exchange, key);
    } else {
      put(json_string_value(json_object_get(item, "remove")), NULL, 0);
    }
  }
}

static void commit(const sim_request *r, bool former) {
  json_t *body = json_loads(r->body, 0, NULL);
  const json_t *then = json_object_get(body, "then");
  const json_t *when = json_object_get(body, "when");
  if (former) forget_formats(then);
  const char *why = former ? NULL : too_large(r, when, then, &g_later);
  if (why) world_broke("too large for the state service", why);
  if (too_large(r, when, then, &g_limits)) {
    sim_answer(r->exchange, 400, "{}");
    json_decref(body);
    return;
  }
  if (!within_rate(json_array_size(then))) {
    g_result.over_rate++;
    sim_answer(r->exchange, 429, "{}");
    json_decref(body);
    return;
  }
  json_t *failed = failed_conditions(json_object_get(body, "when"));
  if (!leases_there(then)) {
    answer(r->exchange, 400, json_pack("{ss}", "error", "no such lease"));
    json_decref(failed);
    json_decref(body);
    return;
  }
  if (json_array_size(failed) > 0) {
    answer(r->exchange, 409, json_pack("{so sI}", "failed", failed, "round", g_revision));
    json_decref(body);
    return;
  }
  json_decref(failed);
  apply_changes(r, then);
  if (g_blind_next_s > 0 && strstr(r->body, g_blind_key)) {
    g_blind_until = sim_now() + g_blind_next_s;
    g_blind_next_s = 0;
  }
  answer(r->exchange, 200, json_pack("{sI}", "round", g_revision));
  json_decref(body);
  check_watches();
}

static char *query_value(const char *path, const char *name) {
  char *mark = g_strconcat(name, "=", NULL);
  const char *p = strstr(path, mark);
  char *out = NULL;
  if (p) {
    p += strlen(mark);
    out = g_strndup(p, strcspn(p, "&"));
  }
  g_free(mark);
  return out;
}

typedef struct listing {
  const char *prefix, *after;
  json_t *rows;
  size_t most;
  bool more, by_former;
} listing;

static gboolean list_one(gpointer key, gpointer value, gpointer data) {
  listing *l = data;
  entry *e = value;
  if (!g_str_has_prefix(key, l->prefix) || (l->after && strcmp(key, l->after) <= 0)) return FALSE;
  if (json_array_size(l->rows) == l->most) {
    l->more = true;
    return TRUE;
  }
  json_array_append_new(
      l->rows, json_pack("{ss so sI}", "key", key, "v", as_read(e->value, l->by_former), "edition", e->version));
  return FALSE;
}

void state_slow(double until, double most_s) {
  g_slow_until = until;
  g_slow_most_s = most_s;
}

void state_blind(const char *id, double for_s) {
  g_snprintf(g_blind_key, sizeof g_blind_key, "\"fc1/job/%s\"", id);
  g_blind_next_s = for_s;
}

static void grant_lease(const sim_request *r) {
  json_t *body = json_loads(r->body, 0, NULL);
  double ttl = (double)json_integer_value(json_object_get(body, "lifeMs")) / 1000;
  json_decref(body);
  size_t id = ++g_next_lease;
  double *end = g_new(double, 1), *s = g_new(double, 1);
  *end = sim_now() + ttl;
  *s = ttl;
  g_hash_table_insert(g_leases, GSIZE_TO_POINTER(id), end);
  g_hash_table_insert(g_lease_s, GSIZE_TO_POINTER(id), s);
  answer(r->exchange, 200, json_pack("{sI}", "pass", (json_int_t)id));
}

static void renew_lease(const sim_request *r) {
  size_t id = strtoul(r->path + 7, NULL, 10);
  double *end = g_hash_table_lookup(g_leases, GSIZE_TO_POINTER(id));
  if (end) *end = sim_now() + *(double *)g_hash_table_lookup(g_lease_s, GSIZE_TO_POINTER(id));
  sim_answer(r->exchange, end ? 200 : 404, "{}");
}

static void get_key(const sim_request *r) {
  const char *key = r->path + strlen("/keys/");
  const entry *e = g_tree_lookup(g_keys, key);
  if (e) {
    answer(r->exchange, 200, json_pack("{ss sO sI}", "key", key, "v", e->value, "edition", (json_int_t)e->version));
  } else {
    answer(r->exchange, 404, json_pack("{sI}", "round", (json_int_t)g_revision));
  }
}

static void open_watch(const sim_request *r, bool former) {
  watch *w = g_new0(watch, 1);
  w->x = r->exchange;
  w->by_former = former;
  w->prefix = query_value(r->path, "prefix");
  char *from = query_value(r->path, "from"), *hold = query_value(r->path, "holdMs");
  w->from = strtoull(from, NULL, 10);
  w->until = sim_now() + atof(hold) / 1000;
  g_free(from);
  g_free(hold);
  g_ptr_array_add(g_watches, w);
  check_watches();
}

static void list_keys(const sim_request *r, bool former) {
  listing l = {.rows = json_array(), .by_former = former};
  char *prefix = query_value(r->path, "prefix"), *after = query_value(r->path, "from"),
       *page = query_value(r->path, "page");
  l.prefix = prefix;
  l.after = after;
  l.most = page ? strtoul(page, NULL, 10) : 1000;
  g_tree_foreach(g_keys, list_one, &l);
  answer(r->exchange, 200, json_pack("{so sb sI}", "rows", l.rows, "more", (int)l.more, "round", g_revision));
  g_free(prefix);
  g_free(after);
  g_free(page);
}

/* `former`: whoever sent it was of that version then. */
static void serve_now(const sim_request *r, bool former) {
  if (g_down || world_state_refuses(r->exchange)) {
    sim_answer(r->exchange, 503, "{}");
  } else if (strcmp(r->path, "/commit") == 0) {
    commit(r, former);
  } else if (strcmp(r->path, "/holds") == 0) {
    grant_lease(r);
  } else if (g_str_has_prefix(r->path, "/holds/")) {
    renew_lease(r);
  } else if (g_str_has_prefix(r->path, "/keys/")) {
    get_key(r);
  } else if (g_str_has_prefix(r->path, "/changes?")) {
    open_watch(r, former);
  } else {
    list_keys(r, former);
  }
}

typedef struct late_request {
  sim_request r; /* what it points to stays with the exchange */
  bool former;
} late_request;

static void serve_later(void *arg) {
  const late_request *l = arg;
  serve_now(&l->r, l->former);
  g_free(arg);
}

static void serve(const sim_request *r, void *arg) {
  (void)arg;
  double late = 0;
  bool former = world_from_former(r->exchange);
  if (g_late_writes > 0 && strcmp(r->path, "/commit") == 0 && (!g_late_only || strstr(r->body, g_late_only)) &&
      sim_chance(g_late_writes)) {
    late = sim_draw(g_late_least_s, g_late_most_s);
  } else if (sim_now() < g_slow_until) {
    late = sim_draw(0, g_slow_most_s);
  }
  if (late <= 0) {
    serve_now(r, former);
    return;
  }
  late_request *l = g_new(late_request, 1);
  *l = (late_request){*r, former};
  sim_after(late, serve_later, l);
}

void state_init(void) {
  g_keys = g_tree_new_full(by_key, NULL, g_free, NULL);
  g_history = g_ptr_array_new();
  g_leases = g_hash_table_new(NULL, NULL);
  g_lease_s = g_hash_table_new(NULL, NULL);
  g_watches = g_ptr_array_new();
  g_revision = 0;
  g_next_lease = 0;
  g_down = false;
  g_slow_until = g_blind_until = g_blind_next_s = g_late_writes = 0;
  world_lateness(2, 12);
  world_late_only(NULL);
  world_state_limits(8, 8, 0);
  state_later_limits(8, 8);
  sim_serve(WORLD_STATE_IP, serve, NULL);
  tick(NULL);
}
