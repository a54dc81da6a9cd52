/* src/transport/routine.h over virtual time: routines of simulated processes, the clocks that
 * they see, and their turns on a processor that they share. */
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
#define MOST_DRIFT 0.0005 /* steady clocks run up to so much fast, each at its own rate */
#define DRIFT_STEPS 7     /* different rates */
#define CLOCK_ROUNDING_S 1e-9
#define SIM_TIME_OF_DAY 1.8e9 /* when the simulation starts */

struct fc_routine {
  fcontext_t context;
  fc_routine_fn fn;
  void *arg;
  char *stack;
  sim_process *process;
  fc_wake reason;
  uint64_t waits;       /* tells a timer of an earlier wait from the present one */
  double unpaid_cost_s; /* of a whole processor: for what it reads next */
  double deadline;      /* of its present or last wait */
  bool parked, queued, finished, dead;
};

struct fc_waiter {
  fc_routine *routine;
  struct fc_waiter *next;
  bool signalled;
};

static fcontext_t g_scheduler_context;
static fc_routine *g_running;
static GPtrArray *g_spare_stacks;

void sim_routines_init(void) {
  if (!g_spare_stacks) g_spare_stacks = g_ptr_array_new();
  g_running = NULL;
}

/* ---- clocks ---- */

double fc_time_of_day(void) {
  return SIM_TIME_OF_DAY + sim_now();
}

/* How much faster than virtual time the running process's clock is. */
static double clock_drift(void) {
  const sim_process *process = sim_process_here();
  return process ? MOST_DRIFT * (process->ip % DRIFT_STEPS) / (DRIFT_STEPS - 1.0) : 0;
}

double fc_now(void) {
  return sim_now() * (1 + clock_drift());
}

static double virtual_time(double local) {
  return local / (1 + clock_drift());
}

/* As the real loop's: how late timers were, lately. */
static double current_lag(const sim_process *process) {
  return process->lag_s * exp2((process->lag_at - sim_now()) / LAG_HALF_LIFE_S);
}

double fc_loop_lag(void) {
  const sim_process *process = sim_process_here();
  return process ? current_lag(process) : 0;
}

static void note_lag(sim_process *process, double late_s) {
  process->lag_s = MAX(late_s, current_lag(process));
  process->lag_at = sim_now();
}

/* ---- what the loop has besides, and the simulation does without ---- */

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

/* Nothing here takes time or makes system calls, so there is nothing to account for. */
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
  const sim_process *process = sim_process_here();
  return process ? process->routines->len : 0;
}

void sim_routine_add_cost(fc_routine *routine, double cost_s) {
  routine->unpaid_cost_s += cost_s;
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
  g_ptr_array_add(g_spare_stacks, routine->stack);
  routine->stack = NULL;
  routine->dead = true; /* not freed: events may still name it */
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
  if (routine->waits > 0 && routine->reason == FC_WAKE_TIMEOUT) note_lag(process, sim_now() - routine->deadline);
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

/* ---- a processor that routines share ---- */

static void run_next(void *arg);

static void schedule_next(sim_process *process) {
  if (process->next_scheduled || g_queue_is_empty(&process->ready)) return;
  process->next_scheduled = true;
  sim_at(MAX(sim_now(), MAX(process->busy_until, process->paused_until)), run_next, process);
}

/* The first that is ready runs once all before it, and what it reads, has been paid for. */
static void run_next(void *arg) {
  sim_process *process = arg;
  process->next_scheduled = false;
  fc_routine *routine = g_queue_peek_head(&process->ready);
  if (sim_now() >= process->busy_until && sim_now() >= process->paused_until && process->alive && routine) {
    sim_charge(process, routine->unpaid_cost_s);
    routine->unpaid_cost_s = 0;
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
  if (routine->process->share > 0) {
    g_queue_push_tail(&routine->process->ready, routine);
    schedule_next(routine->process);
  } else {
    sim_at(sim_now(), run, routine);
  }
}

/* ---- start ---- */

static char *take_stack(void) {
  if (g_spare_stacks->len > 0) return g_ptr_array_steal_index_fast(g_spare_stacks, g_spare_stacks->len - 1);
  char *stack = mmap(NULL, STACK_BYTES, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (stack == MAP_FAILED) abort();
  return stack;
}

fc_routine *sim_spawn_in(sim_process *process, fc_routine_fn fn, void *arg) {
  sim_own_work_begin();
  fc_routine *routine = g_new0(fc_routine, 1);
  routine->fn = fn;
  routine->arg = arg;
  routine->process = process;
  routine->stack = take_stack();
  ASAN_UNPOISON_MEMORY_REGION(routine->stack, STACK_BYTES); /* frames of one that was killed */
  routine->context = make_fcontext(routine->stack + STACK_BYTES, STACK_BYTES, routine_main);
  g_ptr_array_add(process->routines, routine);
  enqueue(routine);
  sim_own_work_end();
  return routine;
}

fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg) {
  return sim_spawn_in(sim_process_here(), fn, arg);
}

/* ---- waiting ---- */

typedef struct park_timer {
  fc_routine *routine;
  uint64_t wait; /* fc_routine.waits as it was set */
} park_timer;

static void on_timer(void *arg) {
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
  double when = virtual_time(deadline);
  if (when <= sim_now()) return FC_WAKE_TIMEOUT;
  routine->parked = true;
  routine->reason = FC_WAKE_OK;
  sim_own_work_begin();
  park_timer *timer = g_new(park_timer, 1);
  *timer = (park_timer){.routine = routine, .wait = ++routine->waits};
  routine->deadline = when;
  if (routine->process->timer_delay_s > 0) when += sim_draw(0, routine->process->timer_delay_s);
  sim_at(when, on_timer, timer);
  sim_own_work_end();
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
