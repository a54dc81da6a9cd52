/* Requests to the simulated key-value store, and its periodic work. */
#include "kv.h"

#define TICK_INTERVAL_S 0.05
#define DEFAULT_PAGE_ROWS 1000

/* ---- helpers ---- */

void kv_answer(struct sim_exchange *exchange, int status, json_t *message) {
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  sim_answer(exchange, status, text);
  free(text);
}

char *kv_query_value(const char *path, const char *name) {
  char *assignment = g_strconcat(name, "=", NULL);
  const char *value_start = strstr(path, assignment);
  char *out = NULL;
  if (value_start) {
    value_start += strlen(assignment);
    out = g_strndup(value_start, strcspn(value_start, "&"));
  }
  g_free(assignment);
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

/* A page of keys with a prefix. */
typedef struct kv_listing {
  const char *prefix, *after; /* after: the last key of the previous page; NULL: none */
  json_t *rows;
  size_t page_rows;
  bool more, reader_is_former;
} kv_listing;

static gboolean add_row(gpointer key, gpointer value, gpointer data) {
  kv_listing *listing = data;
  const kv_entry *entry = value;
  if (!g_str_has_prefix(key, listing->prefix) || (listing->after && strcmp(key, listing->after) <= 0)) return FALSE;
  if (json_array_size(listing->rows) == listing->page_rows) {
    listing->more = true;
    return TRUE;
  }
  json_array_append_new(
      listing->rows, json_pack("{ss so sI}", "key", key, "v", kv_value_as_read(entry->value, listing->reader_is_former),
                               "edition", entry->version));
  return FALSE;
}

static void list_keys(const sim_request *request, bool sender_is_former) {
  kv_listing listing = {.rows = json_array(), .reader_is_former = sender_is_former};
  char *prefix = kv_query_value(request->path, "prefix"), *after = kv_query_value(request->path, "from"),
       *page = kv_query_value(request->path, "page");
  listing.prefix = prefix;
  listing.after = after;
  listing.page_rows = page ? strtoul(page, NULL, 10) : DEFAULT_PAGE_ROWS;
  kv_each(add_row, &listing);
  kv_answer(request->exchange, 200,
            json_pack("{so sb sI}", "rows", listing.rows, "more", (int)listing.more, "round", kv_revision()));
  g_free(prefix);
  g_free(after);
  g_free(page);
}

/* sender_is_former: the sender ran the former version when it sent the request. */
static void serve_now(const sim_request *request, bool sender_is_former) {
  if (kv_is_down() || world_kv_refuses(request->exchange)) {
    sim_answer(request->exchange, 503, "{}");
  } else if (strcmp(request->path, "/commit") == 0) {
    kv_commit(request, sender_is_former);
  } else if (strcmp(request->path, "/holds") == 0) {
    grant_lease(request);
  } else if (g_str_has_prefix(request->path, "/holds/")) {
    renew_lease(request);
  } else if (g_str_has_prefix(request->path, "/keys/")) {
    get_key(request);
  } else if (g_str_has_prefix(request->path, "/changes?")) {
    kv_watch_open(request, sender_is_former);
  } else {
    list_keys(request, sender_is_former);
  }
}

/* ---- delayed requests ---- */

typedef struct delayed_request {
  sim_request request; /* its texts live as long as the exchange */
  bool sender_is_former;
} delayed_request;

static void serve_delayed(void *arg) {
  const delayed_request *delayed = arg;
  serve_now(&delayed->request, delayed->sender_is_former);
  g_free(arg);
}

static void serve(const sim_request *request, void *arg) {
  (void)arg;
  bool sender_is_former = world_sent_by_former(request->exchange);
  double delay_s = kv_request_delay(request);
  if (delay_s <= 0) {
    serve_now(request, sender_is_former);
    return;
  }
  delayed_request *delayed = g_new(delayed_request, 1);
  *delayed = (delayed_request){*request, sender_is_former};
  sim_after(delay_s, serve_delayed, delayed);
}

/* ---- periodic work ---- */

static void tick(void *arg) {
  (void)arg;
  if (!kv_is_down()) kv_leases_expire();
  kv_watches_answer();
  sim_after(TICK_INTERVAL_S, tick, NULL);
}

void kv_init(void) {
  kv_store_init();
  kv_watches_init();
  kv_faults_init();
  kv_limits_init();
  sim_serve(WORLD_KV_IP, serve, NULL);
  tick(NULL);
}
