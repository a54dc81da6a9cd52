/* Copies of direct calls to simulated workers: a call that was executed and answered reaches its worker
 * again, late, and sometimes more than once. Draws come from a generator of their own, so that a day
 * without such copies goes as before. */
#include "repeated_calls.h"

#define COPY_DELAY_MIN_S 0.3
#define COPY_DELAY_MAX_S (4 * LEASE_S)
#define ANOTHER_COPY_CHANCE 0.3
#define HELD_RETRY_S 0.25 /* a copy waits this long at a machine that is not up or hangs, then tries again */
#define RAND_SEED_MASK 0x5eed5eedu

static GRand *g_rand;
static double g_repeated_share;
static GPtrArray *g_recorded; /* recorded_call; NULL: calls are not recorded */
static GPtrArray *g_answered; /* recorded_call: answers with starts, as calls with the same commands */

/* A call that was executed, as a copy of it is delivered. */
typedef struct recorded_call {
  sim_worker *worker;
  char *body;
} recorded_call;

void repeated_calls_init(uint32_t seed) {
  if (g_rand) g_rand_free(g_rand);
  g_rand = g_rand_new_with_seed(seed ^ RAND_SEED_MASK);
  g_repeated_share = 0;
  g_recorded = g_answered = NULL;
}

static recorded_call *new_call(sim_worker *worker, const char *body) {
  recorded_call *call = g_new(recorded_call, 1);
  *call = (recorded_call){.worker = worker, .body = g_strdup(body)};
  return call;
}

static unsigned unended_tasks(const sim_worker *worker) {
  unsigned count = 0;
  for (guint i = 0; i < worker->tasks->len; i++) count += ((sim_task *)worker->tasks->pdata[i])->state != TASK_EXITED;
  return count;
}

static void deliver_copy(void *arg) {
  recorded_call *copy = arg;
  sim_worker *worker = copy->worker;
  if (!worker->terminated && !worker_alive(worker)) {
    sim_after(HELD_RETRY_S, deliver_copy, copy);
    return;
  }
  if (!worker->terminated) {
    unsigned before = unended_tasks(worker);
    bool executed = worker_receive_call(worker, copy->body);
    unsigned after = unended_tasks(worker);
    g_result.copies++;
    g_result.copies_executed += executed;
    g_result.starts_by_copies += after > before ? after - before : 0;
    if (g_verbose)
      g_printerr("%.2f copy of a call machine=%s executed=%d tasks=%u to %u: %s\n", sim_now(), worker->id, executed,
                 before, after, copy->body);
  }
  g_free(copy->body);
  g_free(copy);
}

void repeated_calls_note_executed(sim_worker *worker, const char *body) {
  if (g_recorded) g_ptr_array_add(g_recorded, new_call(worker, body));
  if (g_repeated_share <= 0 || g_rand_double(g_rand) >= g_repeated_share) return;
  do {
    /* Evenly distributed on a logarithmic scale. */
    double exponent = g_rand_double_range(g_rand, log(COPY_DELAY_MIN_S), log(COPY_DELAY_MAX_S));
    sim_after(exp(exponent), deliver_copy, new_call(worker, body));
  } while (g_rand_double(g_rand) < ANOTHER_COPY_CHANCE);
}

void world_repeat_calls(double share) {
  g_repeated_share = share;
}

void world_record_calls(void) {
  g_recorded = g_ptr_array_new();
  g_answered = g_ptr_array_new();
}

void repeated_calls_note_answer(sim_worker *worker, const json_t *message) {
  if (!g_answered) return;
  json_t *call = json_pack("{sO sI sO}", "captaincy", json_object_get(message, "captaincy"), "stint",
                           (json_int_t)worker->epoch, "calls", json_object_get(message, "calls"));
  char *body = json_dumps(call, JSON_COMPACT);
  json_decref(call);
  if (body && strstr(body, "\"start\"")) g_ptr_array_add(g_answered, new_call(worker, body));
  free(body);
}

unsigned world_repeat_calls_to(unsigned machine) {
  unsigned count = 0;
  for (guint i = 0; i < g_recorded->len; i++) {
    const recorded_call *call = g_recorded->pdata[i];
    if (call->worker != g_worker_list->pdata[machine]) continue;
    sim_after(0, deliver_copy, new_call(call->worker, call->body));
    count++;
  }
  return count;
}

unsigned world_deliver_starts_directly(const char *id) {
  unsigned count = 0;
  for (guint i = 0; i < g_answered->len; i++) {
    const recorded_call *call = g_answered->pdata[i];
    if (!strstr(call->body, id)) continue;
    sim_after(0, deliver_copy, new_call(call->worker, call->body));
    count++;
  }
  return count;
}

bool repeated_calls_task_fails(void) {
  return g_failing_task_share > 0 && g_rand_double(g_rand) < g_failing_task_share;
}
