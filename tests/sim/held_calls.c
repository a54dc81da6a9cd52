/* Direct calls that are held up on their way to simulated workers. Their senders get no answer; a worker that the
 * scene lets have them executes them if fencing token and epoch match by then. */
#include "held_calls.h"

typedef struct held_call {
  sim_worker *worker;
  char *body;
} held_call;

static bool g_holding;
static GPtrArray *g_held; /* held_call */

void held_calls_init(void) {
  g_holding = false;
  g_held = g_ptr_array_new();
}

bool held_calls_take(sim_worker *worker, const char *body) {
  if (!g_holding) return false;
  held_call *call = g_new(held_call, 1);
  *call = (held_call){.worker = worker, .body = g_strdup(body)};
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
