/* src/transport/routine.h over virtual time: the routines of simulated processes, the clocks that they
 * read, and their scheduling on a share of a processor. */
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#include "network.h"
#include "sim.h"
#include "transport/fcontext.h"
#include "transport/routine.h"

#define STACK_BYTES ((size_t)512 * 1024)
#define LAG_HALF_LIFE_S 1.0
#define MAX_CLOCK_DRIFT 0.0005 /* monotonic clocks are fast by up to this share, at a rate per address */
#define CLOCK_DRIFT_RATES 7
#define CLOCK_ROUNDING_S 1e-9
#define TIME_OF_DAY_OFFSET_S 1.8e9 /* Unix time at virtual time 0 */

struct fc_routine {
  fcontext_t context;
  fc_routine_fn fn;
  void *arg;
  char *stack;
  sim_process *process;
  fc_wake reason;
  uint64_t waits;        /* so far; distinguishes timers of earlier waits from the present one's */
  double pending_cost_s; /* of a whole processor, charged before it runs next */
  double deadline;       /* of its present or last wait, in virtual time */
  bool parked, queued, finished, dead;
};

struct fc_waiter {
  fc_routine *routine;
  struct fc_waiter *next;
  bool signalled;
};

static fcontext_t g_scheduler_context;
static fc_routine *g_running;
static GPtrArray *g_free_stacks;

void sim_routines_init(void) {
  if (!g_free_stacks) g_free_stacks = g_ptr_array_new();
  g_running = NULL;
}

/* ---- clocks ---- */

double fc_time_of_day(void) {
  return TIME_OF_DAY_OFFSET_S + sim_now();
}

/* The share by which the running process's clock is faster than virtual time. */
static double clock_drift(void) {
  const sim_process *process = sim_running_process();
  return process ? MAX_CLOCK_DRIFT * (process->ip % CLOCK_DRIFT_RATES) / (CLOCK_DRIFT_RATES - 1.0) : 0;
}

double fc_now(void) {
  return sim_now() * (1 + clock_drift());
}

static double to_virtual_time(double clock_time) {
  return clock_time / (1 + clock_drift());
}

/* Recent timer lateness, which decays as in the real event loop. */
static double current_lag(const sim_process *process) {
  return process->lag_s * exp2((process->lag_measured_at - sim_now()) / LAG_HALF_LIFE_S);
}

double fc_loop_lag(void) {
  const sim_process *process = sim_running_process();
  return process ? current_lag(process) : 0;
}

static void record_lag(sim_process *process, double late_s) {
  process->lag_s = MAX(late_s, current_lag(process));
  process->lag_measured_at = sim_now();
}

/* ---- functions of the event loop that the simulation does not need ---- */

bool fc_loop_init(void) {
  return true;
}

struct ev_loop *fc_loop(void) {
  return NULL;
}

void fc_loop_run(void) {}

unsigned fc_loop_iterations(void) {
  return 0;
}

bool fc_routine_cancelled(void) {
  return false;
}

void fc_routine_cancel(fc_routine *routine) {
  (void)routine;
}

/* Simulated routines make no system calls and take no real time, so there is no usage to account. */
void fc_routine_account(fc_usage *usage) {
  (void)usage;
}

fc_usage *fc_routine_usage(void) {
  static fc_usage unaccounted;
  return &unaccounted;
}

/* ---- running ---- */

fc_routine *fc_routine_self(void) {
  return g_running;
}

size_t fc_routine_count(void) {
  const sim_process *process = sim_running_process();
  return process ? process->routines->len : 0;
}

void sim_routine_add_cost(fc_routine *routine, double cost_s) {
  routine->pending_cost_s += cost_s;
}

static void routine_main(transfer_t transfer) {
  g_scheduler_context = transfer.fctx;
  fc_routine *routine = transfer.data;
  routine->fn(routine->arg);
  routine->finished = true;
  jump_fcontext(g_scheduler_context, NULL);
  abort();
}

void sim_routine_release(fc_routine *routine) {
  g_ptr_array_remove_fast(routine->process->routines, routine);
  g_ptr_array_add(g_free_stacks, routine->stack);
  routine->stack = NULL;
  routine->dead = true; /* not freed: events may still refer to it */
}

static void run(void *arg) {
  fc_routine *routine = arg;
  sim_process *process = routine->process;
  if (!routine->dead && process->paused_until > sim_now()) {
    sim_at(process->paused_until, run, routine);
    return;
  }
  routine->queued = false;
  if (routine->dead) return;
  if (routine->waits > 0 && routine->reason == FC_WAKE_TIMEOUT) record_lag(process, sim_now() - routine->deadline);
  sim_charge_wake(process);
  fc_routine *running_before = g_running;
  g_running = routine;
  sim_process *process_before = sim_process_enter(process);
  transfer_t transfer = jump_fcontext(routine->context, routine);
  routine->context = transfer.fctx;
  sim_charge_work(process);
  g_running = running_before;
  (void)sim_process_enter(process_before);
  if (routine->finished) sim_routine_release(routine);
}

/* ---- scheduling on a share of a processor ---- */

static void run_next(void *arg);

static void schedule_next(sim_process *process) {
  if (process->run_scheduled || g_queue_is_empty(&process->ready)) return;
  process->run_scheduled = true;
  sim_at(MAX(sim_now(), MAX(process->busy_until, process->paused_until)), run_next, process);
}

/* Runs the first ready routine once all earlier cost and the cost of what it reads are worked off. */
static void run_next(void *arg) {
  sim_process *process = arg;
  process->run_scheduled = false;
  fc_routine *routine = g_queue_peek_head(&process->ready);
  if (sim_now() >= process->busy_until && sim_now() >= process->paused_until && process->alive && routine) {
    sim_charge(process, routine->pending_cost_s);
    routine->pending_cost_s = 0;
    if (process->busy_until <= sim_now() || routine->dead) {
      (void)g_queue_pop_head(&process->ready);
      run(routine);
    }
  }
  if (process->alive) schedule_next(process);
}

static void enqueue(fc_routine *routine) {
  if (routine->queued) return;
  routine->queued = true;
  if (routine->process->cpu_share > 0) {
    g_queue_push_tail(&routine->process->ready, routine);
    schedule_next(routine->process);
  } else {
    sim_at(sim_now(), run, routine);
  }
}

/* ---- start ---- */

static char *stack_acquire(void) {
  if (g_free_stacks->len > 0) return g_ptr_array_steal_index_fast(g_free_stacks, g_free_stacks->len - 1);
  char *stack = mmap(NULL, STACK_BYTES, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (stack == MAP_FAILED) abort();
  return stack;
}

fc_routine *sim_spawn_in(sim_process *process, fc_routine_fn fn, void *arg) {
  sim_internal_alloc_begin();
  fc_routine *routine = g_new0(fc_routine, 1);
  routine->fn = fn;
  routine->arg = arg;
  routine->process = process;
  routine->stack = stack_acquire();
  ASAN_UNPOISON_MEMORY_REGION(routine->stack, STACK_BYTES); /* a killed routine's frames left it poisoned */
  routine->context = make_fcontext(routine->stack + STACK_BYTES, STACK_BYTES, routine_main);
  g_ptr_array_add(process->routines, routine);
  enqueue(routine);
  sim_internal_alloc_end();
  return routine;
}

fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg) {
  return sim_spawn_in(sim_running_process(), fn, arg);
}

/* ---- waiting ---- */

typedef struct park_timer {
  fc_routine *routine;
  uint64_t wait; /* fc_routine.waits when the timer was set */
} park_timer;

static void on_park_timeout(void *arg) {
  park_timer *timer = arg;
  fc_routine *routine = timer->routine;
  if (!routine->dead && routine->parked && routine->waits == timer->wait) {
    routine->parked = false;
    routine->reason = FC_WAKE_TIMEOUT;
    enqueue(routine);
  }
  g_free(timer);
}

fc_wake fc_routine_park(double deadline) {
  fc_routine *routine = g_running;
  double expires_at = to_virtual_time(deadline);
  if (expires_at <= sim_now()) return FC_WAKE_TIMEOUT;
  routine->parked = true;
  routine->reason = FC_WAKE_OK;
  sim_internal_alloc_begin();
  park_timer *timer = g_new(park_timer, 1);
  *timer = (park_timer){.routine = routine, .wait = ++routine->waits};
  routine->deadline = expires_at;
  if (routine->process->timer_delay_max_s > 0) expires_at += sim_draw(0, routine->process->timer_delay_max_s);
  sim_at(expires_at, on_park_timeout, timer);
  sim_internal_alloc_end();
  transfer_t transfer = jump_fcontext(g_scheduler_context, NULL);
  g_scheduler_context = transfer.fctx;
  return routine->reason;
}

void fc_routine_wake(fc_routine *routine) {
  if (routine->dead || !routine->parked) return;
  routine->parked = false;
  routine->reason = FC_WAKE_OK;
  enqueue(routine);
}

fc_wake fc_routine_sleep(double seconds) {
  double until = fc_now() + seconds;
  while (fc_now() < until - CLOCK_ROUNDING_S)
    if (fc_routine_park(until) == FC_WAKE_TIMEOUT) break;
  return FC_WAKE_OK;
}

fc_wake fc_cond_wait(fc_cond *cond, double deadline) {
  struct fc_waiter self = {.routine = g_running, .next = cond->first};
  cond->first = &self;
  for (;;) {
    fc_wake wake = fc_routine_park(deadline);
    if (self.signalled) return FC_WAKE_OK;
    if (wake == FC_WAKE_OK) continue;
    for (struct fc_waiter **link = &cond->first; *link; link = &(*link)->next) {
      if (*link != &self) continue;
      *link = self.next;
      break;
    }
    return wake;
  }
}

void fc_cond_broadcast(fc_cond *cond) {
  struct fc_waiter *waiter = cond->first;
  cond->first = NULL;
  while (waiter) {
    struct fc_waiter *next = waiter->next;
    waiter->signalled = true;
    fc_routine_wake(waiter->routine);
    waiter = next;
  }
}
