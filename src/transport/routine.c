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
  fc_routine *r = t.data;
  r->fn(r->arg);
  r->finished = true;
  count_slice(fc_now());
  jump_fcontext(g_main_context, r);
  abort(); /* a finished routine is never entered again */
}

static void enqueue(fc_routine *r) {
  if (r->queued) return;
  r->queued = true;
  r->next = NULL;
  if (g_queue_tail) {
    g_queue_tail->next = r;
  } else {
    g_queue_head = r;
  }
  g_queue_tail = r;
}

static void run_one(fc_routine *r) {
  fc_routine *before = g_self;
  g_self = r;
  r->usage->switches++;
  transfer_t t = jump_fcontext(r->context, r);
  r->context = t.fctx;
  g_self = before;
  if (r->finished) {
    ev_timer_stop(g_loop, &r->timer);
    stack_give(r->stack);
    free(r);
    g_count--;
  }
}

/* Runs the routines that are ready now, not those that these make ready. */
static void sweep_queue(void) {
  fc_routine *last = g_queue_tail;
  while (g_queue_head) {
    fc_routine *r = g_queue_head;
    bool stop = r == last;
    g_queue_head = r->next;
    if (!g_queue_head) g_queue_tail = NULL;
    r->queued = false;
    run_one(r);
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

static void arm(fc_routine *r, double now) {
  ev_timer_stop(g_loop, &r->timer);
  ev_now_update(g_loop);
  ev_timer_set(&r->timer, r->deadline - now, 0.);
  ev_timer_start(g_loop, &r->timer);
  r->armed_until = r->deadline;
}

/* A timer that an earlier wait has left is good for this one if it fires no later, and
 * not so early that it would mostly fire for nothing. */
static bool armed_well(const fc_routine *r, double now) {
  return ev_is_active(&r->timer) && r->armed_until <= r->deadline && r->armed_until - now >= (r->deadline - now) * 0.5;
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events) {
  (void)loop;
  (void)events;
  fc_routine *r = w->data;
  if (!r->parked) return;
  double now = fc_now();
  if (now < r->deadline) {
    arm(r, now);
    return;
  }
  note_lag(now, now - r->deadline);
  r->parked = false;
  r->reason = FC_WAKE_TIMEOUT;
  enqueue(r);
}

fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg) {
  fc_routine *r = calloc(1, sizeof *r);
  if (!r) return NULL;
  r->stack = stack_take();
  if (!r->stack) {
    free(r);
    return NULL;
  }
  r->fn = fn;
  r->arg = arg;
  r->usage = fc_routine_usage();
  r->context = make_fcontext(r->stack + STACK_BYTES, STACK_BYTES - GUARD_BYTES, entry);
  ev_timer_init(&r->timer, on_timer, 0., 0.);
  r->timer.data = r;
  g_count++;
  enqueue(r);
  return r;
}

fc_wake fc_routine_park(double deadline) {
  fc_routine *r = g_self;
  if (r->cancelled) return FC_WAKE_CANCELLED;
  double now = fc_now();
  if (deadline <= now) return FC_WAKE_TIMEOUT;
  r->parked = true;
  r->reason = FC_WAKE_OK;
  r->deadline = deadline;
  count_slice(now);
  if (!armed_well(r, now)) arm(r, now);
  transfer_t t = jump_fcontext(g_main_context, r);
  g_main_context = t.fctx;
  return r->reason;
}

void fc_routine_wake(fc_routine *r) {
  if (!r->parked) return;
  r->parked = false;
  r->reason = FC_WAKE_OK;
  enqueue(r);
}

void fc_routine_cancel(fc_routine *r) {
  r->cancelled = true;
  if (!r->parked) return;
  r->parked = false;
  r->reason = FC_WAKE_CANCELLED;
  enqueue(r);
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
