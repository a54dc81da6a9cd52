/* Faults of the simulated key-value store that scenes ask for. */
#include "stand_ins.h"

void world_state_slow(double for_s, double most_s) {
  kv_slow(sim_now() + for_s, most_s);
}

void world_state_blind(const char *id, double for_s) {
  kv_delay_watches_after(id, for_s);
}

void world_late_writes(double share) {
  g_delayed_commit_share = share;
}

static void end_outage(void *arg) {
  (void)arg;
  state_down(false);
}

void world_state_down(double for_s) {
  state_down(true);
  sim_after(for_s, end_outage, NULL);
}

static void begin_outage(void *arg) {
  world_state_down(*(double *)arg);
  g_free(arg);
}

void world_state_down_in(double in_s, double for_s) {
  double *length = g_new(double, 1);
  *length = for_s;
  sim_after(in_s, begin_outage, length);
}
