/* Requests to the simulated key-value store, and its clock. */
#include "kv.h"

#define TICK_S 0.05
#define USUAL_PAGE_ROWS 1000

/* ---- helpers ---- */

void kv_answer(struct sim_exchange *exchange, int status, json_t *message) {
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  sim_answer(exchange, status, text);
  free(text);
}

char *kv_query_value(const char *path, const char *name) {
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

/* ---- requests ---- */

static void grant_lease(const sim_request *request) {
  json_t *body = json_loads(request->body, 0, NULL);
  double ttl_s = (double)json_integer_value(json_object_get(body, "lifeMs")) / 1000;
  json_decref(body);
  kv_answer(request->exchange, 200, json_pack("{sI}", "pass", (json_int_t)kv_lease_grant(ttl_s)));
}

static void renew_lease(const sim_request *request) {
  uint64_t lease = strtoul(request->path + strlen("/holds/"), NULL, 10);
  sim_answer(request->exchange, kv_lease_renew(lease) ? 200 : 404, "{}");
}

static void get_key(const sim_request *request) {
  const char *key = request->path + strlen("/keys/");
  const kv_entry *entry = kv_lookup(key);
  if (entry) {
    kv_answer(request->exchange, 200,
              json_pack("{ss sO sI}", "key", key, "v", entry->value, "edition", (json_int_t)entry->version));
  } else {
    kv_answer(request->exchange, 404, json_pack("{sI}", "round", (json_int_t)kv_revision()));
  }
}

/* A page of keys. */
typedef struct kv_listing {
  const char *prefix, *after; /* after: NULL: from the first */
  json_t *rows;
  size_t most;
  bool more, by_former;
} kv_listing;

static gboolean list_one(gpointer key, gpointer value, gpointer data) {
  kv_listing *listing = data;
  const kv_entry *entry = value;
  if (!g_str_has_prefix(key, listing->prefix) || (listing->after && strcmp(key, listing->after) <= 0)) return FALSE;
  if (json_array_size(listing->rows) == listing->most) {
    listing->more = true;
    return TRUE;
  }
  json_array_append_new(listing->rows,
                        json_pack("{ss so sI}", "key", key, "v", kv_value_as_read(entry->value, listing->by_former),
                                  "edition", entry->version));
  return FALSE;
}

static void list_keys(const sim_request *request, bool former) {
  kv_listing listing = {.rows = json_array(), .by_former = former};
  char *prefix = kv_query_value(request->path, "prefix"), *after = kv_query_value(request->path, "from"),
       *page = kv_query_value(request->path, "page");
  listing.prefix = prefix;
  listing.after = after;
  listing.most = page ? strtoul(page, NULL, 10) : USUAL_PAGE_ROWS;
  kv_each(list_one, &listing);
  kv_answer(request->exchange, 200,
            json_pack("{so sb sI}", "rows", listing.rows, "more", (int)listing.more, "round", kv_revision()));
  g_free(prefix);
  g_free(after);
  g_free(page);
}

/* former: whoever sent it was of that version then. */
static void serve_now(const sim_request *request, bool former) {
  if (kv_is_down() || world_kv_refuses(request->exchange)) {
    sim_answer(request->exchange, 503, "{}");
  } else if (strcmp(request->path, "/commit") == 0) {
    kv_commit(request, former);
  } else if (strcmp(request->path, "/holds") == 0) {
    grant_lease(request);
  } else if (g_str_has_prefix(request->path, "/holds/")) {
    renew_lease(request);
  } else if (g_str_has_prefix(request->path, "/keys/")) {
    get_key(request);
  } else if (g_str_has_prefix(request->path, "/changes?")) {
    kv_watch_open(request, former);
  } else {
    list_keys(request, former);
  }
}

/* ---- delayed requests ---- */

typedef struct delayed_request {
  sim_request request; /* what it points to stays with the exchange */
  bool former;
} delayed_request;

static void serve_delayed(void *arg) {
  const delayed_request *delayed = arg;
  serve_now(&delayed->request, delayed->former);
  g_free(arg);
}

static void serve(const sim_request *request, void *arg) {
  (void)arg;
  bool former = world_sent_by_former(request->exchange);
  double delay_s = kv_delay_of(request);
  if (delay_s <= 0) {
    serve_now(request, former);
    return;
  }
  delayed_request *delayed = g_new(delayed_request, 1);
  *delayed = (delayed_request){*request, former};
  sim_after(delay_s, serve_delayed, delayed);
}

/* ---- clock ---- */

static void tick(void *arg) {
  (void)arg;
  if (!kv_is_down()) kv_leases_expire();
  kv_watches_answer();
  sim_after(TICK_S, tick, NULL);
}

void kv_init(void) {
  kv_store_init();
  kv_watches_init();
  kv_faults_init();
  kv_limits_init();
  sim_serve(WORLD_KV_IP, serve, NULL);
  tick(NULL);
}
