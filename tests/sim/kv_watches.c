/* Watches of the simulated key-value store: long polls for changes of keys with a prefix. */
#include "kv.h"

typedef struct kv_watch {
  struct sim_exchange *exchange;
  char *prefix;
  uint64_t after_revision;
  double expires_at; /* answered then even without changes */
  bool reader_is_former;
} kv_watch;

static GPtrArray *g_watches;
static double g_stalled_until; /* no watch is answered before then */
/* The next commit whose body contains the text stalls watches for g_stall_s; 0: none does. */
static char g_stall_trigger[48];
static double g_stall_s;

void kv_watches_init(void) {
  g_watches = g_ptr_array_new();
  g_stalled_until = g_stall_s = 0;
}

void world_kv_stall_watches(const char *id, double for_s) {
  g_snprintf(g_stall_trigger, sizeof g_stall_trigger, "\"fc1/job/%s\"", id);
  g_stall_s = for_s;
}

void kv_watches_on_commit(const char *body) {
  if (g_stall_s <= 0 || !strstr(body, g_stall_trigger)) return;
  g_stalled_until = sim_now() + g_stall_s;
  g_stall_s = 0;
}

void kv_watches_answer(void) {
  if (kv_is_down() || sim_now() < g_stalled_until) return;
  for (guint i = g_watches->len; i-- > 0;) {
    kv_watch *watch = g_watches->pdata[i];
    if (world_kv_refuses(watch->exchange)) continue; /* stays open, as in an outage */
    json_t *events = kv_changes_after(watch->prefix, watch->after_revision, watch->reader_is_former);
    if (json_array_size(events) == 0 && sim_now() < watch->expires_at) {
      json_decref(events);
      continue;
    }
    kv_answer(watch->exchange, 200, json_pack("{sI so}", "round", kv_revision(), "events", events));
    g_ptr_array_remove_index(g_watches, i);
    g_free(watch->prefix);
    g_free(watch);
  }
}

void kv_watch_open(const sim_request *request, bool sender_is_former) {
  kv_watch *watch = g_new0(kv_watch, 1);
  watch->exchange = request->exchange;
  watch->reader_is_former = sender_is_former;
  watch->prefix = kv_query_value(request->path, "prefix");
  char *from = kv_query_value(request->path, "from"), *hold = kv_query_value(request->path, "holdMs");
  watch->after_revision = strtoull(from, NULL, 10);
  watch->expires_at = sim_now() + atof(hold) / 1000;
  g_free(from);
  g_free(hold);
  g_ptr_array_add(g_watches, watch);
  kv_watches_answer();
}
