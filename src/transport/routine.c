#include "transport/routine.h"

#include <math.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#else
#define ASAN_UNPOISON_MEMORY_REGION(p, n) ((void)0)
#endif

/* Boost.Context's switching primitives have a C calling convention but only a
 * C++ header, so they are declared here. They make no system call, unlike the
 * swapcontext() under libpcl (docs/design.md, "Routines"). */
typedef void *fcontext_t;
typedef struct {
  fcontext_t fctx;
  void *data;
} transfer_t;
/* The names are boost_context's. */
// NOLINTNEXTLINE(readability-identifier-naming)
extern transfer_t jump_fcontext(fcontext_t to, void *vp);
// NOLINTNEXTLINE(readability-identifier-naming)
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(transfer_t));

/* Only the pages a routine touches count as memory; what is reserved does not. */
#define STACK_BYTES ((size_t)96 * 1024)
#define GUARD_BYTES 4096u
#define SPARE_STACKS 16u
#define SWEEPS_MOST 4u
#define LAG_HALF_LIFE_S 1.0

struct fc_routine {
  fcontext_t context;
  fc_routine_fn fn;
  void *arg;
  char *stack;
  fc_usage *usage;
  ev_timer timer;
  double armed_until; /* when the timer fires, if it is active */
  double deadline;    /* of the present wait */
  fc_wake reason;
  bool parked;
  bool queued; /* in the run queue */
  bool cancelled;
  bool finished;
  fc_routine *next; /* run queue */
};

struct fc_waiter {
  fc_routine *routine;
  struct fc_waiter *next;
  bool signalled;
};

static struct ev_loop *g_loop;
static fcontext_t g_main_context;
static fc_routine *g_self;
static fc_routine *g_queue_head, *g_queue_tail;
static ev_prepare g_prepare;
static ev_idle g_idle;
static char *g_spare[SPARE_STACKS];
static size_t g_spare_count;
static size_t g_count;
static fc_usage g_unaccounted; /* of routines that never said what they are for */
static double g_slice_from;    /* use before this is counted already */
static double g_lag_s, g_lag_at;

static double read_clock(clockid_t clock) {
  struct timespec ts;
  if (clock_gettime(clock, &ts) != 0) abort();
  return (double)ts.tv_sec + (double)ts.tv_nsec * 1e-9;
}

double fc_now(void) {
  return read_clock(CLOCK_MONOTONIC);
}

double fc_time_of_day(void) {
  return read_clock(CLOCK_REALTIME);
}

struct ev_loop *fc_loop(void) {
  return g_loop;
}
fc_routine *fc_routine_self(void) {
  return g_self;
}
bool fc_routine_cancelled(void) {
  return g_self && g_self->cancelled;
}
size_t fc_routine_count(void) {
  return g_count;
}

fc_usage *fc_routine_usage(void) {
  return g_self ? g_self->usage : &g_unaccounted;
}
unsigned fc_loop_turns(void) {
  return ev_iteration(g_loop);
}

/* Counts the time since the last call as used by the running routine. */
static void count_slice(double now) {
  g_self->usage->busy_s += now - g_slice_from;
  g_slice_from = now;
}

void fc_routine_account(fc_usage *usage) {
  if (!g_self || g_self->usage == usage) return;
  count_slice(fc_now());
  g_self->usage = usage;
}

static double lag_at(double now) {
  return g_lag_s * exp2((g_lag_at - now) / LAG_HALF_LIFE_S);
}

double fc_loop_lag(void) {
  return lag_at(fc_now());
}

static void note_lag(double now, double late_s) {
  g_lag_s = fmax(late_s, lag_at(now));
  g_lag_at = now;
}

static char *stack_take(void) {
  if (g_spare_count > 0) {
    char *spare = g_spare[--g_spare_count];
    /* The frames it ended with were never left. */
    ASAN_UNPOISON_MEMORY_REGION(spare + GUARD_BYTES, STACK_BYTES - GUARD_BYTES);
    return spare;
  }
  char *p = mmap(NULL, STACK_BYTES, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (p == MAP_FAILED) return NULL;
  /* A guard page turns an overflow into a crash instead of corrupted tables. */
  if (mprotect(p, GUARD_BYTES, PROT_NONE) != 0) {
    munmap(p, STACK_BYTES);
    return NULL;
  }
  return p;
}

static void stack_give(char *p) {
  if (g_spare_count < SPARE_STACKS) {
    g_spare[g_spare_count++] = p;
  } else {
    munmap(p, STACK_BYTES);
  }
}

static void entry(transfer_t t) {
  g_main_context = t.fctx;
  fc_routine *routine = t.data;
  routine->fn(routine->arg);
  routine->finished = true;
  count_slice(fc_now());
  jump_fcontext(g_main_context, routine);
  abort(); /* a finished routine is never entered again */
}

static void enqueue(fc_routine *routine) {
  if (routine->queued) return;
  routine->queued = true;
  routine->next = NULL;
  if (g_queue_tail) {
    g_queue_tail->next = routine;
  } else {
    g_queue_head = routine;
  }
  g_queue_tail = routine;
}

static void run_one(fc_routine *routine) {
  fc_routine *before = g_self;
  g_self = routine;
  routine->usage->switches++;
  transfer_t t = jump_fcontext(routine->context, routine);
  routine->context = t.fctx;
  g_self = before;
  if (routine->finished) {
    ev_timer_stop(g_loop, &routine->timer);
    stack_give(routine->stack);
    free(routine);
    g_count--;
  }
}

/* Runs the routines that are ready now, not those that these make ready. */
static void sweep_queue(void) {
  fc_routine *last = g_queue_tail;
  while (g_queue_head) {
    fc_routine *routine = g_queue_head;
    bool stop = routine == last;
    g_queue_head = routine->next;
    if (!g_queue_head) g_queue_tail = NULL;
    routine->queued = false;
    run_one(routine);
    if (stop) break;
  }
}

/* Routines that wake each other must not starve the sockets; but each look at those is a
 * system call, so a short chain of them is run to its end first. */
static void drain_queue(void) {
  if (g_queue_head) g_slice_from = fc_now();
  for (unsigned sweep = 0; sweep < SWEEPS_MOST && g_queue_head; sweep++) sweep_queue();
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int events) {
  (void)w;
  (void)events;
  drain_queue();
  /* The idle watcher keeps the loop from sleeping while routines are ready. */
  if (g_queue_head) {
    ev_idle_start(loop, &g_idle);
  } else {
    ev_idle_stop(loop, &g_idle);
  }
}

static void on_idle(struct ev_loop *loop, ev_idle *w, int events) {
  (void)loop;
  (void)w;
  (void)events;
}

bool fc_loop_init(void) {
  g_loop = ev_default_loop(EVBACKEND_EPOLL | EVFLAG_NOENV);
  if (!g_loop) g_loop = ev_default_loop(EVFLAG_AUTO);
  if (!g_loop) return false;
  ev_prepare_init(&g_prepare, on_prepare);
  ev_prepare_start(g_loop, &g_prepare);
  ev_idle_init(&g_idle, on_idle);
  return true;
}

void fc_loop_run(void) {
  ev_run(g_loop, 0);
}

static void arm(fc_routine *routine, double now) {
  ev_timer_stop(g_loop, &routine->timer);
  ev_now_update(g_loop);
  ev_timer_set(&routine->timer, routine->deadline - now, 0.);
  ev_timer_start(g_loop, &routine->timer);
  routine->armed_until = routine->deadline;
}

/* A timer that an earlier wait has left is good for this one if it fires no later, and
 * not so early that it would mostly fire for nothing. */
static bool armed_well(const fc_routine *routine, double now) {
  return ev_is_active(&routine->timer) && routine->armed_until <= routine->deadline &&
         routine->armed_until - now >= (routine->deadline - now) * 0.5;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events) {
  (void)loop;
  (void)events;
  fc_routine *routine = w->data;
  if (!routine->parked) return;
  double now = fc_now();
  if (now < routine->deadline) {
    arm(routine, now);
    return;
  }
  note_lag(now, now - routine->deadline);
  routine->parked = false;
  routine->reason = FC_WAKE_TIMEOUT;
  enqueue(routine);
}

fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg) {
  fc_routine *routine = calloc(1, sizeof *routine);
  if (!routine) return NULL;
  routine->stack = stack_take();
  if (!routine->stack) {
    free(routine);
    return NULL;
  }
  routine->fn = fn;
  routine->arg = arg;
  routine->usage = fc_routine_usage();
  routine->context = make_fcontext(routine->stack + STACK_BYTES, STACK_BYTES - GUARD_BYTES, entry);
  ev_timer_init(&routine->timer, on_timer, 0., 0.);
  routine->timer.data = routine;
  g_count++;
  enqueue(routine);
  return routine;
}

fc_wake fc_routine_park(double deadline) {
  fc_routine *routine = g_self;
  if (routine->cancelled) return FC_WAKE_CANCELLED;
  double now = fc_now();
  if (deadline <= now) return FC_WAKE_TIMEOUT;
  routine->parked = true;
  routine->reason = FC_WAKE_OK;
  routine->deadline = deadline;
  count_slice(now);
  if (!armed_well(routine, now)) arm(routine, now);
  transfer_t t = jump_fcontext(g_main_context, routine);
  g_main_context = t.fctx;
  return routine->reason;
}

void fc_routine_wake(fc_routine *routine) {
  if (!routine->parked) return;
  routine->parked = false;
  routine->reason = FC_WAKE_OK;
  enqueue(routine);
}

void fc_routine_cancel(fc_routine *routine) {
  routine->cancelled = true;
  if (!routine->parked) return;
  routine->parked = false;
  routine->reason = FC_WAKE_CANCELLED;
  enqueue(routine);
}

fc_wake fc_routine_sleep(double seconds) {
  double until = fc_now() + seconds;
  for (;;) {
    fc_wake w = fc_routine_park(until);
    if (w == FC_WAKE_TIMEOUT) return FC_WAKE_OK;
    if (w == FC_WAKE_CANCELLED) return w;
  }
}

fc_wake fc_cond_wait(fc_cond *c, double deadline) {
  struct fc_waiter self = {.routine = g_self, .next = c->first, .signalled = false};
  c->first = &self;
  for (;;) {
    fc_wake w = fc_routine_park(deadline);
    if (self.signalled) return FC_WAKE_OK;
    if (w == FC_WAKE_OK) continue; /* woken for another reason */
    for (struct fc_waiter **p = &c->first; *p; p = &(*p)->next) {
      if (*p == &self) {
        *p = self.next;
        break;
      }
    }
    return w;
  }
}

void fc_cond_broadcast(fc_cond *c) {
  struct fc_waiter *w = c->first;
  c->first = NULL;
  while (w) {
    struct fc_waiter *next = w->next;
    w->signalled = true;
    fc_routine_wake(w->routine);
    w = next;
  }
}
