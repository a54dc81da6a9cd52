/* The simulated deployment as a whole: state that all stand-ins share, the set-up of a scene or a day,
 * and the count of violated rules. */
#include "deployment.h"
#include "held_calls.h"
#include "repeated_calls.h"
#include "stand_ins.h"

GHashTable *g_jobs, *g_workers, *g_workers_by_ip;
GPtrArray *g_worker_list;
world_result g_result;
double g_duplicate_share, g_faults_end_at, g_failing_task_share;
bool g_verbose;
unsigned g_zone_capacity, g_zone_spot_capacity;

const char *const k_zones[ZONES] = {"a", "b"};

/* Machines that the cloud has in each zone by default. */
#define DEFAULT_CAPACITY 5
#define DEFAULT_SPOT_CAPACITY 3

int world_random_node(void) {
  return g_rand_int_range(sim_rand(), 0, WORLD_NODES);
}

void world_rule_broken(const char *rule, const char *detail) {
  if (g_verbose) g_printerr("%.2f broke %s: %s\n", sim_now(), rule, detail);
  g_result.ran_twice += strcmp(rule, "ran_twice") == 0;
  g_result.over_quota += strcmp(rule, "quota") == 0;
  if (g_result.broken++ == 0) g_snprintf(g_result.first, sizeof g_result.first, "%.2f %s: %s", sim_now(), rule, detail);
}

world_result world_current_result(void) {
  return g_result;
}

void world_reset_min_lease_left(void) {
  g_result.min_lease_left_s = LEASE_S;
}

void world_checks_from(double in_s) {
  g_faults_end_at = sim_now() + in_s;
  checks_start();
  world_check_starvation(in_s);
}

void world_checks_end(void) {
  checks_end();
}

/* Writes a line with the simulated time and the controller's number. */
static GLogWriterOutput log_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data) {
  (void)level;
  (void)data;
  for (gsize i = 0; i < count; i++)
    if (strcmp(fields[i].key, "MESSAGE") == 0)
      g_printerr("%.2f p%d %s\n", sim_now(), links_controller_at(sim_running_ip()), (const char *)fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

/* With WORLD_VERBOSE set, the controllers' log is written to standard error. */
static void set_up_logging(void) {
  static bool logging;
  g_verbose = g_getenv("WORLD_VERBOSE") != NULL;
  if (g_verbose && !logging) g_log_set_writer_func(log_line, NULL, NULL);
  logging = g_verbose;
}

void world_set_up(uint32_t seed, double lose) {
  set_up_logging();
  memset(&g_result, 0, sizeof g_result);
  world_reset_min_lease_left();
  g_duplicate_share = g_faults_end_at = g_cancel_on_completion_share = g_failing_task_share = 0;
  repeated_calls_init(seed);
  held_calls_init(seed);
  world_capacity(DEFAULT_CAPACITY, DEFAULT_SPOT_CAPACITY);
  users_init();
  workers_init();
  controllers_init();
  links_init();
  sim_init(seed);
  sim_set_links(links_state, lose, lose);
  sim_set_sender_tags(deployment_version_at);
  kv_init();
  cloud_init();
  deployment_init();
}
