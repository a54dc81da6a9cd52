/* Direct calls that are held up on their way to simulated workers. Their senders get no answer; a worker that the
 * scene lets have them executes them if fencing token and epoch match by then. */
#include "held_calls.h"

#define LATE_MIN_S 2.0
#define LATE_MAX_S 16.0
#define RETRY_S 0.25 /* a late call waits this long at a machine that is not up or hangs, then tries again */
/* Machines that restart after a controller crashed or stood still: at most so many, so much later. */
#define RESTARTS_MAX 3
#define RESTART_MIN_S 0.3
#define RESTART_MAX_S 12.0
#define RAND_SEED_MASK 0x1a7eca11u

typedef struct held_call {
  sim_worker *worker;
  char *body;
} held_call;

static bool g_holding;
static GPtrArray *g_held; /* held_call */

static GRand *g_rand; /* its own, so that other days go as before */
static double g_late_share;

void held_calls_init(uint32_t seed) {
  if (g_rand) g_rand_free(g_rand);
  g_rand = g_rand_new_with_seed(seed ^ RAND_SEED_MASK);
  g_late_share = 0;
  g_holding = false;
  g_held = g_ptr_array_new();
}

static void deliver_late(void *arg) {
  held_call *call = arg;
  if (!call->worker->terminated && !worker_alive(call->worker)) {
    sim_after(RETRY_S, deliver_late, call);
    return;
  }
  if (!call->worker->terminated) g_result.late_calls_executed += worker_receive_call(call->worker, call->body);
  g_free(call->body);
  g_free(call);
}

bool held_calls_take(sim_worker *worker, const char *body) {
  bool late = g_late_share > 0 && g_rand_double(g_rand) < g_late_share;
  if (!g_holding && !late) return false;
  held_call *call = g_new(held_call, 1);
  *call = (held_call){.worker = worker, .body = g_strdup(body)};
  if (!g_holding) {
    sim_after(g_rand_double_range(g_rand, LATE_MIN_S, LATE_MAX_S), deliver_late, call);
    return true;
  }
  g_ptr_array_add(g_held, call);
  if (g_verbose) g_printerr("%.2f call held up machine=%s: %s\n", sim_now(), worker->id, body);
  return true;
}

void world_hold_calls(bool hold) {
  g_holding = hold;
}

unsigned world_held_calls(void) {
  return g_held->len;
}

int world_held_call_machine(unsigned call) {
  const held_call *held = g_held->pdata[call];
  guint machine;
  return g_ptr_array_find(g_worker_list, held->worker, &machine) ? (int)machine : -1;
}

unsigned world_deliver_held_calls(void) {
  unsigned executed = 0;
  for (guint i = 0; i < g_held->len; i++) {
    const held_call *held = g_held->pdata[i];
    if (!worker_alive(held->worker)) continue;
    bool accepted = worker_receive_call(held->worker, held->body);
    executed += accepted;
    if (g_verbose)
      g_printerr("%.2f held call arrives machine=%s executed=%d: %s\n", sim_now(), held->worker->id, accepted,
                 held->body);
  }
  g_ptr_array_set_size(g_held, 0);
  return executed;
}

void world_late_calls(double share) {
  g_late_share = share;
}

static void restart_machine(void *arg) {
  sim_worker *worker = arg;
  if (worker->up && !worker->terminated) worker_restart_empty(worker);
}

void held_calls_note_fault(void) {
  if (g_late_share <= 0 || g_worker_list->len == 0) return;
  for (int i = g_rand_int_range(g_rand, 0, RESTARTS_MAX + 1); i > 0; i--) {
    guint machine = (guint)g_rand_int_range(g_rand, 0, (gint32)g_worker_list->len);
    sim_after(g_rand_double_range(g_rand, RESTART_MIN_S, RESTART_MAX_S), restart_machine,
              g_worker_list->pdata[machine]);
  }
}
