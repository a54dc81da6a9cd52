/* Virtual time, its events, and the routines and processes that they run; see sim.h. */
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#else
#define ASAN_UNPOISON_MEMORY_REGION(address, size) ((void)0)
#endif

#include "network.h"
#include "sim.h"
#include "transport/routine.h"

typedef void *fcontext_t;
typedef struct {
  fcontext_t fctx;
  void *data;
} transfer_t;
extern transfer_t jump_fcontext(fcontext_t to, void *vp);
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(transfer_t));

#define STACK ((size_t)512 * 1024)
#define LAG_HALF_LIFE_S 1.0

typedef struct sim_event {
  double at;
  uint64_t order;
  sim_fn fn;
  void *arg;
} sim_event;

struct fc_routine {
  fcontext_t context;
  fc_routine_fn fn;
  void *arg;
  char *stack;
  sim_process *process;
  fc_wake reason;
  uint64_t waits;  /* tells a timer of an earlier wait from the present one */
  double owed_s;   /* of a whole processor: for what it reads next */
  double deadline; /* of its present or last wait */
  bool parked, queued, finished, dead;
};

struct fc_waiter {
  fc_routine *routine;
  struct fc_waiter *next;
  bool signalled;
};

static double g_now;
static uint64_t g_worker_list;
static GSequence *g_events;
static GRand *g_rand;
static GHashTable *g_processes; /* ip -> the newest process there */
static fcontext_t g_main;
static fc_routine *g_self;
static sim_process *g_process; /* whose routine or handler runs */
static GPtrArray *g_spare;

static gint compare_events(gconstpointer left, gconstpointer right, gpointer data) {
  (void)data;
  const sim_event *first = left, *second = right;
  if (first->at != second->at) return first->at < second->at ? -1 : 1;
  return first->order < second->order ? -1 : first->order > second->order;
}

void sim_init(uint32_t seed) {
  g_now = 100;
  g_worker_list = 0;
  g_events = g_sequence_new(g_free);
  g_rand = g_rand_new_with_seed(seed);
  g_random_set_seed(seed);
  g_processes = g_hash_table_new(NULL, NULL);
  if (!g_spare) g_spare = g_ptr_array_new();
  g_self = NULL;
  g_process = NULL;
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
double sim_draw(double least, double most) {
  return g_rand_double_range(g_rand, least, most);
}
bool sim_chance(double probability) {
  return g_rand_double(g_rand) < probability;
}

void sim_at(double time, sim_fn fn, void *arg) {
  sim_own_work_begin();
  sim_event *event = g_new(sim_event, 1);
  *event = (sim_event){.at = time, .order = g_worker_list++, .fn = fn, .arg = arg};
  g_sequence_insert_sorted(g_events, event, compare_events, NULL);
  sim_own_work_end();
}

void sim_after(double dt, sim_fn fn, void *arg) {
  sim_at(g_now + dt, fn, arg);
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

/* ---- routines ---- */

bool fc_loop_init(void) {
  return true;
}
struct ev_loop *fc_loop(void) {
  return NULL;
}
void fc_loop_run(void) {}
#define SIM_TIME_OF_DAY 1.8e9 /* when the simulation starts */

double fc_time_of_day(void) {
  return SIM_TIME_OF_DAY + sim_now();
}

double fc_now(void) {
  /* Steady clocks run up to 0.05% fast, each at its own rate. */
  double drift = g_process ? 0.0005 * (g_process->ip % 7) / 6.0 : 0;
  return g_now * (1 + drift);
}

static double true_time(double local) {
  double drift = g_process ? 0.0005 * (g_process->ip % 7) / 6.0 : 0;
  return local / (1 + drift);
}

fc_routine *fc_routine_self(void) {
  return g_self;
}
bool fc_routine_cancelled(void) {
  return false;
}
size_t fc_routine_count(void) {
  return g_process ? g_process->routines->len : 0;
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
unsigned fc_loop_turns(void) {
  return 0;
}
/* As the real one: how late timers were, lately. */
static double lag_of(const sim_process *process) {
  return process->lag_s * exp2((process->lag_at - g_now) / LAG_HALF_LIFE_S);
}

double fc_loop_lag(void) {
  return g_process ? lag_of(g_process) : 0;
}

static void note_lag(sim_process *process, double late_s) {
  process->lag_s = MAX(late_s, lag_of(process));
  process->lag_at = g_now;
}

void sim_routine_owes(fc_routine *routine, double cost_s) {
  routine->owed_s += cost_s;
}

static void entry(transfer_t transfer) {
  g_main = transfer.fctx;
  fc_routine *routine = transfer.data;
  routine->fn(routine->arg);
  routine->finished = true;
  jump_fcontext(g_main, NULL);
  abort();
}

static void release(fc_routine *routine) {
  g_ptr_array_remove_fast(routine->process->routines, routine);
  g_ptr_array_add(g_spare, routine->stack);
  routine->stack = NULL;
  routine->dead = true; /* kept: events may still name it */
}

static void run(void *arg) {
  fc_routine *routine = arg;
  if (!routine->dead && routine->process->still_until > g_now) {
    sim_at(routine->process->still_until, run, routine);
    return;
  }
  routine->queued = false;
  if (routine->dead) return;
  if (routine->waits > 0 && routine->reason == FC_WAKE_TIMEOUT) note_lag(routine->process, g_now - routine->deadline);
  sim_charge_wake(routine->process);
  fc_routine *self_before = g_self;
  sim_process *process_before = g_process;
  g_self = routine;
  g_process = routine->process;
  transfer_t transfer = jump_fcontext(routine->context, routine);
  routine->context = transfer.fctx;
  sim_charge_work(routine->process);
  g_self = self_before;
  g_process = process_before;
  if (routine->finished) release(routine);
}

static void turn(void *arg);

static void next_turn(sim_process *process) {
  if (process->turn_due || g_queue_is_empty(&process->ready)) return;
  process->turn_due = true;
  sim_at(MAX(g_now, MAX(process->busy_until, process->still_until)), turn, process);
}

/* The first that is ready runs once all before it, and what it reads, has been paid for. */
static void turn(void *arg) {
  sim_process *process = arg;
  process->turn_due = false;
  fc_routine *routine = g_queue_peek_head(&process->ready);
  if (g_now >= process->busy_until && g_now >= process->still_until && process->alive && routine) {
    sim_charge(process, routine->owed_s);
    routine->owed_s = 0;
    if (process->busy_until <= g_now || routine->dead) {
      (void)g_queue_pop_head(&process->ready);
      run(routine);
    }
  }
  if (process->alive) next_turn(process);
}

static void enqueue(fc_routine *routine) {
  if (routine->queued) return;
  routine->queued = true;
  if (routine->process->share > 0) {
    g_queue_push_tail(&routine->process->ready, routine);
    next_turn(routine->process);
  } else {
    sim_at(g_now, run, routine);
  }
}

fc_routine *sim_spawn_in(sim_process *process, fc_routine_fn fn, void *arg) {
  sim_own_work_begin();
  fc_routine *routine = g_new0(fc_routine, 1);
  routine->fn = fn;
  routine->arg = arg;
  routine->process = process;
  if (g_spare->len > 0) {
    routine->stack = g_ptr_array_steal_index_fast(g_spare, g_spare->len - 1);
  } else {
    routine->stack = mmap(NULL, STACK, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (routine->stack == MAP_FAILED) abort();
  }
  ASAN_UNPOISON_MEMORY_REGION(routine->stack, STACK); /* frames of one that was killed */
  routine->context = make_fcontext(routine->stack + STACK, STACK, entry);
  g_ptr_array_add(process->routines, routine);
  enqueue(routine);
  sim_own_work_end();
  return routine;
}

fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg) {
  return sim_spawn_in(g_process, fn, arg);
}

typedef struct park_timer {
  fc_routine *routine;
  uint64_t wait;
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
  fc_routine *routine = g_self;
  double when = true_time(deadline);
  if (when <= g_now) return FC_WAKE_TIMEOUT;
  routine->parked = true;
  routine->reason = FC_WAKE_OK;
  sim_own_work_begin();
  park_timer *timer = g_new(park_timer, 1);
  *timer = (park_timer){.routine = routine, .wait = ++routine->waits};
  routine->deadline = when;
  if (routine->process->late_s > 0) when += sim_draw(0, routine->process->late_s);
  sim_at(when, on_timer, timer);
  sim_own_work_end();
  transfer_t tr = jump_fcontext(g_main, NULL);
  g_main = tr.fctx;
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
  while (fc_now() < until - 1e-9)
    if (fc_routine_park(until) == FC_WAKE_TIMEOUT) break;
  return FC_WAKE_OK;
}

fc_wake fc_cond_wait(fc_cond *cond, double deadline) {
  struct fc_waiter self = {.routine = g_self, .next = cond->first};
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

/* ---- processes ---- */

void sim_process_start(uint32_t ip, sim_fn fn, void *arg) {
  sim_process *process = g_new0(sim_process, 1);
  process->ip = ip;
  process->alive = true;
  process->routines = g_ptr_array_new();
  g_queue_init(&process->ready);
  sim_load_apply(process);
  g_hash_table_insert(g_processes, GUINT_TO_POINTER(ip), process);
  sim_process *before = g_process;
  g_process = process;
  fn(arg);
  g_process = before;
}

void sim_process_kill(uint32_t ip) {
  sim_process *process = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  if (!process || !process->alive) return;
  process->alive = false;
  while (process->routines->len > 0) release(process->routines->pdata[0]);
}

void sim_process_still(uint32_t ip, double for_s) {
  sim_process *process = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  if (process) process->still_until = g_now + for_s;
}

sim_process *sim_process_here(void) {
  return g_process;
}

size_t sim_process_routines(uint32_t ip) {
  const sim_process *process = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  return process ? process->routines->len : 0;
}

uint32_t sim_here(void) {
  return g_process ? g_process->ip : 0;
}

bool sim_process_alive(uint32_t ip) {
  sim_process *process = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  return process && process->alive;
}
