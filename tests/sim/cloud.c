/* The cloud: rents machines out, in small numbers, some of which never boot. */
#include "parts.h"

static GHashTable *g_hires;
static bool g_cloud_down;

void world_cloud_down(bool down) {
  g_cloud_down = down;
}

static unsigned rented(int zone, bool spot) {
  unsigned n = 0;
  for (guint i = 0; i < g_order->len; i++) {
    worker *w = g_order->pdata[i];
    n += !w->gone && w->zone == zone && w->spot == spot;
  }
  return n;
}

static void cloud_hire(const sim_request *r) {
  json_t *v = json_loads(r->body, 0, NULL);
  const char *name = json_string_value(json_object_get(v, "hire"));
  json_t *known = g_hash_table_lookup(g_hires, name);
  if (!known) {
    int zone = strcmp(json_string_value(json_object_get(v, "ground")), "a") == 0 ? 0 : 1;
    bool spot = json_is_true(json_object_get(v, "loaners"));
    json_int_t count = json_integer_value(json_object_get(v, "count"));
    unsigned most = spot ? g_capacity_spot : g_capacity;
    json_t *ids = json_array();
    while (count-- > 0 && rented(zone, spot) < most) {
      double boot = sim_chance(0.05) ? 1e9 : sim_draw(0.5, 20);
      json_array_append_new(ids, json_string(worker_new(zone, spot, boot)->id));
    }
    if (json_array_size(ids) > 0) {
      known = json_pack("{so}", "paddocks", ids);
      g_hash_table_insert(g_hires, g_strdup(name), known);
    } else {
      json_decref(ids);
    }
  }
  json_decref(v);
  if (!known) {
    sim_answer(r->exchange, 503, "{\"error\":\"no capacity\"}");
    return;
  }
  char *s = json_dumps(known, JSON_COMPACT);
  sim_answer(r->exchange, 200, s);
  free(s);
}

static void cloud_release(const sim_request *r) {
  json_t *v = json_loads(r->body, 0, NULL), *id;
  size_t i;
  json_array_foreach(json_object_get(v, "paddocks"), i, id) {
    worker *w = g_hash_table_lookup(g_workers, json_string_value(id));
    if (w && !w->returned_at) w->returned_at = sim_now();
    if (w) w->gone = true;
  }
  json_decref(v);
  sim_answer(r->exchange, 200, "{}");
}

static void cloud_list(const sim_request *r) {
  json_t *list = json_array();
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    if (w->gone || sim_now() < w->born + 10) continue; /* the list is late */
    json_array_append_new(
        list, json_pack("{ss ss ss sb ss sf}", "id", w->id, "build", "g4", "ground", world_zones[w->zone], "loaners",
                        (int)w->spot, "status", w->up ? "running" : "starting", "ageS", sim_now() - w->born));
  }
  json_t *v = json_pack("{so sb}", "paddocks", list, "more", 0);
  char *s = json_dumps(v, JSON_COMPACT);
  json_decref(v);
  sim_answer(r->exchange, 200, s);
  free(s);
}

static void cloud_serve(const sim_request *r, void *arg) {
  (void)arg;
  if (g_cloud_down) {
    sim_answer(r->exchange, 503, "{\"error\":\"trouble\"}");
  } else if (strcmp(r->path, "/flavors") == 0) {
    sim_answer(r->exchange, 200,
               "{\"builds\":[{\"name\":\"g4\",\"cpus\":40,\"gpus\":4,\"memGb\":400,\"cacheGb\":100,\"pullGbPerS\":1,"
               "\"price\":10,\"marketPrice\":3,\"bootS\":10,\"grounds\":[\"a\",\"b\"]}]}");
  } else if (strcmp(r->path, "/hosts") == 0) {
    cloud_hire(r);
  } else if (strcmp(r->path, "/hosts/release") == 0) {
    cloud_release(r);
  } else {
    cloud_list(r);
  }
}

void cloud_init(void) {
  g_cloud_down = false;
  g_hires = g_hash_table_new(g_str_hash, g_str_equal);
  sim_serve(WORLD_CLOUD_IP, cloud_serve, NULL);
}
