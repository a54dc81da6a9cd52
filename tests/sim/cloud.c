/* The simulated cloud: rents out machines while it has capacity; some of them never boot. */
#include "stand_ins.h"

#define NEVER_BOOTS_S 1e9
#define NEVER_BOOTS_SHARE 0.05
#define REPEATED_SHARE 0.3 /* of the late requests: carried out at once, and again late */
#define LIST_DELAY_S 10    /* from the creation of a machine until it is listed */

static GHashTable *g_rentals; /* name of the request -> response (json_t), which is repeated for the same name */
static bool g_down;
static double g_late_share, g_late_min_s, g_late_max_s; /* of rentals and deletions */

void world_cloud_down(bool down) {
  g_down = down;
}

static unsigned count_rented(int zone, bool spot) {
  unsigned count = 0;
  for (guint i = 0; i < g_worker_list->len; i++) {
    sim_worker *worker = g_worker_list->pdata[i];
    count += !worker->terminated && worker->zone == zone && worker->spot == spot;
  }
  return count;
}

static void serve_rental(const sim_request *request) {
  json_t *message = json_loads(request->body, 0, NULL);
  const char *name = json_string_value(json_object_get(message, "hire"));
  json_t *known = g_hash_table_lookup(g_rentals, name);
  if (!known) {
    int zone = strcmp(json_string_value(json_object_get(message, "ground")), "a") == 0 ? 0 : 1;
    bool spot = json_is_true(json_object_get(message, "loaners"));
    json_int_t count = json_integer_value(json_object_get(message, "count"));
    unsigned capacity = spot ? g_zone_spot_capacity : g_zone_capacity;
    json_t *ids = json_array();
    while (count-- > 0 && count_rented(zone, spot) < capacity) {
      double boot = sim_chance(NEVER_BOOTS_SHARE) ? NEVER_BOOTS_S : sim_draw(0.5, 20);
      json_array_append_new(ids, json_string(worker_new(zone, spot, boot)->id));
    }
    if (json_array_size(ids) > 0) {
      known = json_pack("{so}", "paddocks", ids);
      g_hash_table_insert(g_rentals, g_strdup(name), known);
    } else {
      json_decref(ids);
    }
  }
  json_decref(message);
  if (!known) {
    sim_answer(request->exchange, 503, "{\"error\":\"no capacity\"}");
    return;
  }
  char *text = json_dumps(known, JSON_COMPACT);
  sim_answer(request->exchange, 200, text);
  free(text);
}

static unsigned wanted_tasks(const sim_worker *worker) {
  unsigned count = 0;
  for (guint i = 0; i < worker->tasks->len; i++) {
    const sim_task *task = worker->tasks->pdata[i];
    count += task->state != TASK_EXITED && !world_seen_cancelled_at(task->job_id);
  }
  return count;
}

static void serve_release(const sim_request *request) {
  json_t *message = json_loads(request->body, 0, NULL), *id;
  size_t i;
  json_array_foreach(json_object_get(message, "paddocks"), i, id) {
    sim_worker *worker = g_hash_table_lookup(g_workers, json_string_value(id));
    if (worker && !worker->released_at) worker->released_at = sim_now();
    if (worker && !worker->terminated) g_result.return_kills += wanted_tasks(worker);
    if (worker) worker->terminated = true;
  }
  json_decref(message);
  sim_answer(request->exchange, 200, "{}");
}

static void serve_machine_list(const sim_request *request) {
  json_t *list = json_array();
  for (guint i = 0; i < g_worker_list->len; i++) {
    const sim_worker *worker = g_worker_list->pdata[i];
    if (worker->terminated || sim_now() < worker->created_at + LIST_DELAY_S) continue;
    json_array_append_new(list, json_pack("{ss ss ss sb ss sf}", "id", worker->id, "build", "g4", "ground",
                                          k_zones[worker->zone], "loaners", (int)worker->spot, "status",
                                          worker->up ? "running" : "starting", "ageS", sim_now() - worker->created_at));
  }
  json_t *message = json_pack("{so sb}", "paddocks", list, "more", 0);
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  sim_answer(request->exchange, 200, text);
  free(text);
}

static void serve_now(const sim_request *request) {
  if (g_down) {
    sim_answer(request->exchange, 503, "{\"error\":\"trouble\"}");
  } else if (strcmp(request->path, "/flavors") == 0) {
    sim_answer(request->exchange, 200,
               "{\"builds\":[{\"name\":\"g4\",\"cpus\":40,\"gpus\":4,\"memGb\":400,\"cacheGb\":100,\"pullGbPerS\":1,"
               "\"price\":10,\"marketPrice\":3,\"bootS\":10,\"grounds\":[\"a\",\"b\"]}]}");
  } else if (strcmp(request->path, "/hosts") == 0) {
    serve_rental(request);
  } else if (strcmp(request->path, "/hosts/release") == 0) {
    serve_release(request);
  } else {
    serve_machine_list(request);
  }
}

/* ---- late requests ---- */

void world_late_cloud(double share, double min_s, double max_s) {
  g_late_share = share;
  g_late_min_s = min_s;
  g_late_max_s = max_s;
}

static void serve_late(void *arg) {
  sim_request *request = arg;
  g_result.late_cloud_requests++;
  serve_now(request);
  g_free(request);
}

static bool is_change(const sim_request *request) {
  return strcmp(request->method, "POST") == 0;
}

/* A late request gets no response in time, or is carried out and answered at once and then once more. */
static void serve(const sim_request *request, void *arg) {
  (void)arg;
  bool late = is_change(request) && g_late_share > 0 && sim_chance(g_late_share);
  if (late) {
    sim_request *copy = g_new(sim_request, 1);
    *copy = *request; /* its texts live as long as the exchange */
    sim_after(sim_draw(g_late_min_s, g_late_max_s), serve_late, copy);
  }
  if (!late || sim_chance(REPEATED_SHARE)) serve_now(request);
}

void cloud_init(void) {
  g_down = false;
  world_late_cloud(0, 0, 0);
  g_rentals = g_hash_table_new(g_str_hash, g_str_equal);
  sim_serve(WORLD_CLOUD_IP, serve, NULL);
}
