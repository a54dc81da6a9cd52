/* Virtual time as a queue of events, and random draws from the seed. */
#include "network.h"
#include "sim.h"

#define START_TIME_S 100

typedef struct sim_event {
  double at;
  uint64_t order; /* number of its sim_at() call */
  sim_fn fn;
  void *arg;
} sim_event;

static double g_now;
static uint64_t g_next_order;
static GSequence *g_events; /* sim_event */
static GRand *g_rand;

static gint compare_events(gconstpointer left, gconstpointer right, gpointer data) {
  (void)data;
  const sim_event *first = left, *second = right;
  if (first->at != second->at) return first->at < second->at ? -1 : 1;
  return first->order < second->order ? -1 : first->order > second->order;
}

void sim_init(uint32_t seed) {
  g_now = START_TIME_S;
  g_next_order = 0;
  g_events = g_sequence_new(g_free);
  g_rand = g_rand_new_with_seed(seed);
  g_random_set_seed(seed);
  sim_processes_init();
  sim_routines_init();
  sim_load_init();
  sim_exchanges_init();
  sim_streams_init();
}

double sim_now(void) {
  return g_now;
}

GRand *sim_rand(void) {
  return g_rand;
}

double sim_draw(double min, double max) {
  return g_rand_double_range(g_rand, min, max);
}

bool sim_chance(double probability) {
  return g_rand_double(g_rand) < probability;
}

void sim_at(double time, sim_fn fn, void *arg) {
  sim_internal_alloc_begin();
  sim_event *event = g_new(sim_event, 1);
  *event = (sim_event){.at = time, .order = g_next_order++, .fn = fn, .arg = arg};
  g_sequence_insert_sorted(g_events, event, compare_events, NULL);
  sim_internal_alloc_end();
}

void sim_after(double delay_s, sim_fn fn, void *arg) {
  sim_at(g_now + delay_s, fn, arg);
}

void sim_run_until(double time) {
  while (!g_sequence_is_empty(g_events)) {
    GSequenceIter *first = g_sequence_get_begin_iter(g_events);
    sim_event event = *(sim_event *)g_sequence_get(first);
    if (event.at > time) break;
    g_sequence_remove(first);
    if (event.at > g_now) g_now = event.at;
    event.fn(event.arg);
  }
  g_now = time;
}
