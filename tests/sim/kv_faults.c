/* Faults of the simulated key-value store: outages, delayed requests, and transactions that are applied
 * only after their sender has timed out. */
#include "kv.h"

#define DEFAULT_COMMIT_DELAY_MIN_S 2
#define DEFAULT_COMMIT_DELAY_MAX_S 12

static bool g_down;
static double g_slow_until, g_slow_max_s;
double g_delayed_commit_share;
static double g_commit_delay_min_s, g_commit_delay_max_s;
static const char *g_delayed_commit_text; /* delays only commits whose body contains it; NULL: all */

void kv_faults_init(void) {
  g_down = false;
  g_slow_until = g_delayed_commit_share = 0;
  world_late_writes_delay(DEFAULT_COMMIT_DELAY_MIN_S, DEFAULT_COMMIT_DELAY_MAX_S);
  world_late_writes_only(NULL);
}

/* ---- outages ---- */

bool kv_is_down(void) {
  return g_down;
}

/* The end of an outage restarts the TTL of every lease. */
void kv_set_down(bool down) {
  if (g_down && !down) kv_leases_renew_all();
  g_down = down;
}

static void end_outage(void *arg) {
  (void)arg;
  kv_set_down(false);
}

void world_kv_down(double for_s) {
  kv_set_down(true);
  sim_after(for_s, end_outage, NULL);
}

static void begin_outage(void *arg) {
  world_kv_down(*(double *)arg);
  g_free(arg);
}

void world_kv_down_in(double in_s, double for_s) {
  double *duration_s = g_new(double, 1);
  *duration_s = for_s;
  sim_after(in_s, begin_outage, duration_s);
}

/* ---- delays ---- */

void world_kv_slow(double for_s, double max_s) {
  g_slow_until = sim_now() + for_s;
  g_slow_max_s = max_s;
}

void world_late_writes(double share) {
  g_delayed_commit_share = share;
}

static void end_commit_delays(void *arg) {
  (void)arg;
  world_late_writes(0);
}

void world_late_writes_end(double in_s) {
  sim_after(in_s, end_commit_delays, NULL);
}

void world_late_writes_only(const char *text) {
  g_delayed_commit_text = text;
}

void world_late_writes_delay(double min_s, double max_s) {
  g_commit_delay_min_s = min_s;
  g_commit_delay_max_s = max_s;
}

static bool is_delayable_commit(const sim_request *request) {
  return strcmp(request->path, "/commit") == 0 &&
         (!g_delayed_commit_text || strstr(request->body, g_delayed_commit_text));
}

double kv_request_delay(const sim_request *request) {
  if (g_delayed_commit_share > 0 && is_delayable_commit(request) && sim_chance(g_delayed_commit_share))
    return sim_draw(g_commit_delay_min_s, g_commit_delay_max_s);
  return sim_now() < g_slow_until ? sim_draw(0, g_slow_max_s) : 0;
}
