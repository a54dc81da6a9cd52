/* Faults of the simulated key-value store: outages, slow answers, and transactions that are
 * applied late, when their sender has long given up. */
#include "kv.h"

#define USUAL_LEAST_LATE_S 2
#define USUAL_MOST_LATE_S 12

static bool g_down;
static double g_slow_until, g_slow_most_s;
double g_delayed_commit_share;
static double g_commit_delay_least_s, g_commit_delay_most_s;
static const char *g_delayed_commit_text; /* only those whose body holds it; NULL: all */

void kv_faults_init(void) {
  g_down = false;
  g_slow_until = g_delayed_commit_share = 0;
  world_lateness(USUAL_LEAST_LATE_S, USUAL_MOST_LATE_S);
  world_late_only(NULL);
}

/* ---- outages ---- */

bool kv_is_down(void) {
  return g_down;
}

/* After an outage every lease has its full time again. */
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
  double *length = g_new(double, 1);
  *length = for_s;
  sim_after(in_s, begin_outage, length);
}

/* ---- delays ---- */

void world_kv_slow(double for_s, double most_s) {
  g_slow_until = sim_now() + for_s;
  g_slow_most_s = most_s;
}

void world_late_writes(double share) {
  g_delayed_commit_share = share;
}

static void end_late_writes(void *arg) {
  (void)arg;
  world_late_writes(0);
}

void world_late_writes_end(double in_s) {
  sim_after(in_s, end_late_writes, NULL);
}

void world_late_only(const char *text) {
  g_delayed_commit_text = text;
}

void world_lateness(double least_s, double most_s) {
  g_commit_delay_least_s = least_s;
  g_commit_delay_most_s = most_s;
}

static bool may_be_late(const sim_request *request) {
  return strcmp(request->path, "/commit") == 0 &&
         (!g_delayed_commit_text || strstr(request->body, g_delayed_commit_text));
}

double kv_delay_of(const sim_request *request) {
  if (g_delayed_commit_share > 0 && may_be_late(request) && sim_chance(g_delayed_commit_share))
    return sim_draw(g_commit_delay_least_s, g_commit_delay_most_s);
  return sim_now() < g_slow_until ? sim_draw(0, g_slow_most_s) : 0;
}
