#include "transport/routine.h"

#include <math.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>

#include "transport/fcontext.h"

/* Address space of a stack with its guard page; only the pages that a routine touches take memory. */
#define STACK_BYTES ((size_t)96 * 1024)
#define GUARD_BYTES 4096u
/* How many stacks of finished routines are held for reuse. */
#define SPARE_STACKS_MAX 16u
/* Passes over the run queue between two polls of the sockets. */
#define QUEUE_PASSES_MAX 4u
#define LAG_HALF_LIFE_S 1.0
/* A running timer serves a later wait if it fires after at least this share of it. */
#define TIMER_REUSE_SHARE_MIN 0.5

struct fc_routine {
  fcontext_t context;
  fc_routine_fn body;
  void *arg;
  char *stack;
  fc_usage *usage;
  ev_timer timer;
  double fires_at; /* when the timer fires, if it is active */
  double deadline; /* of the current wait */
  fc_wake wake_reason;
  bool parked; /* suspended until it is woken */
  bool queued; /* in the run queue */
  bool cancelled;
  bool finished;
  fc_routine *next; /* in the run queue */
};

/* One wait for a condition; lives on the stack of the waiting routine. */
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
static char *g_spare_stacks[SPARE_STACKS_MAX];
static size_t g_spare_stack_count;
static size_t g_routine_count;
static fc_usage g_unaccounted;   /* of routines that never called fc_routine_account() */
static double g_accounted_until; /* the running routine's busy time is accounted up to here */
static double g_lag_s, g_lag_at; /* the lag last recorded, and when */

static double read_clock(clockid_t clock) {
  struct timespec now;
  if (clock_gettime(clock, &now) != 0) abort();
  return (double)now.tv_sec + (double)now.tv_nsec * 1e-9;
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
  return g_routine_count;
}

fc_usage *fc_routine_usage(void) {
  return g_self ? g_self->usage : &g_unaccounted;
}
unsigned fc_loop_iterations(void) {
  return ev_iteration(g_loop);
}

/* Adds the time since the last call to the running routine's busy time. */
static void account_busy_time(double now) {
  g_self->usage->busy_s += now - g_accounted_until;
  g_accounted_until = now;
}

void fc_routine_account(fc_usage *usage) {
  if (!g_self || g_self->usage == usage) return;
  account_busy_time(fc_now());
  g_self->usage = usage;
}

/* The recorded lag with its decay until `now`. */
static double lag_at(double now) {
  return g_lag_s * exp2((g_lag_at - now) / LAG_HALF_LIFE_S);
}

double fc_loop_lag(void) {
  return lag_at(fc_now());
}

static void record_lag(double now, double late_s) {
  g_lag_s = fmax(late_s, lag_at(now));
  g_lag_at = now;
}

static char *stack_acquire(void) {
  if (g_spare_stack_count > 0) {
    char *spare = g_spare_stacks[--g_spare_stack_count];
    /* The last functions on it never returned, so AddressSanitizer still has their frames poisoned. */
    ASAN_UNPOISON_MEMORY_REGION(spare + GUARD_BYTES, STACK_BYTES - GUARD_BYTES);
    return spare;
  }
  char *stack = mmap(NULL, STACK_BYTES, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (stack == MAP_FAILED) return NULL;
  /* With the guard page a stack overflow crashes instead of corrupting memory. */
  if (mprotect(stack, GUARD_BYTES, PROT_NONE) != 0) {
    munmap(stack, STACK_BYTES);
    return NULL;
  }
  return stack;
}

static void stack_release(char *stack) {
  if (g_spare_stack_count < SPARE_STACKS_MAX) {
    g_spare_stacks[g_spare_stack_count++] = stack;
  } else {
    munmap(stack, STACK_BYTES);
  }
}

/* The first function on every routine's stack. */
static void routine_entry(transfer_t from) {
  g_main_context = from.fctx;
  fc_routine *routine = from.data;
  routine->body(routine->arg);
  routine->finished = true;
  account_busy_time(fc_now());
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

/* Ends the wait of a parked routine. */
static void resume(fc_routine *routine, fc_wake reason) {
  routine->parked = false;
  routine->wake_reason = reason;
  enqueue(routine);
}

static fc_routine *dequeue(void) {
  fc_routine *routine = g_queue_head;
  g_queue_head = routine->next;
  if (!g_queue_head) g_queue_tail = NULL;
  routine->queued = false;
  return routine;
}

static void routine_free(fc_routine *routine) {
  ev_timer_stop(g_loop, &routine->timer);
  stack_release(routine->stack);
  free(routine);
  g_routine_count--;
}

/* Runs a routine until it waits or finishes, then frees it if it has finished. */
static void switch_to(fc_routine *routine) {
  fc_routine *previous = g_self;
  g_self = routine;
  routine->usage->switches++;
  transfer_t from = jump_fcontext(routine->context, routine);
  routine->context = from.fctx;
  g_self = previous;
  if (routine->finished) routine_free(routine);
}

/* Runs the routines that are queued now; those that they wake wait for the next pass. */
static void run_queue_once(void) {
  const fc_routine *last = g_queue_tail;
  while (g_queue_head) {
    fc_routine *routine = dequeue();
    bool is_last = routine == last;
    switch_to(routine);
    if (is_last) break;
  }
}

/* The number of passes is limited, as routines that wake each other must not starve the sockets. It is
 * more than one, as each poll of the sockets is a system call. */
static void run_queue(void) {
  if (g_queue_head) g_accounted_until = fc_now();
  for (unsigned pass = 0; pass < QUEUE_PASSES_MAX && g_queue_head; pass++) run_queue_once();
}

static void on_prepare(struct ev_loop *loop, ev_prepare *watcher, int events) {
  (void)watcher;
  (void)events;
  run_queue();
  /* The idle watcher keeps the loop from sleeping while routines are ready. */
  if (g_queue_head) {
    ev_idle_start(loop, &g_idle);
  } else {
    ev_idle_stop(loop, &g_idle);
  }
}

/* The idle watcher matters only by being active. */
static void on_idle(struct ev_loop *loop, ev_idle *watcher, int events) {
  (void)loop;
  (void)watcher;
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

static void arm_timer(fc_routine *routine, double now) {
  ev_timer_stop(g_loop, &routine->timer);
  ev_now_update(g_loop);
  ev_timer_set(&routine->timer, routine->deadline - now, 0.);
  ev_timer_start(g_loop, &routine->timer);
  routine->fires_at = routine->deadline;
}

/* Whether the timer of an earlier wait also serves this one: it fires no later than the deadline, and
 * not so early that it mostly has to be armed again. Saves restarting the timer for each wait. */
static bool timer_suffices(const fc_routine *routine, double now) {
  if (!ev_is_active(&routine->timer) || routine->fires_at > routine->deadline) return false;
  return routine->fires_at - now >= (routine->deadline - now) * TIMER_REUSE_SHARE_MIN;
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events) {
  (void)loop;
  (void)events;
  fc_routine *routine = watcher->data;
  if (!routine->parked) return;
  double now = fc_now();
  if (now < routine->deadline) { /* it was armed for an earlier wait */
    arm_timer(routine, now);
    return;
  }
  record_lag(now, now - routine->deadline);
  resume(routine, FC_WAKE_TIMEOUT);
}

fc_routine *fc_routine_spawn(fc_routine_fn body, void *arg) {
  fc_routine *routine = calloc(1, sizeof *routine);
  if (!routine) return NULL;
  routine->stack = stack_acquire();
  if (!routine->stack) {
    free(routine);
    return NULL;
  }
  routine->body = body;
  routine->arg = arg;
  routine->usage = fc_routine_usage();
  routine->context = make_fcontext(routine->stack + STACK_BYTES, STACK_BYTES - GUARD_BYTES, routine_entry);
  ev_timer_init(&routine->timer, on_timer, 0., 0.);
  routine->timer.data = routine;
  g_routine_count++;
  enqueue(routine);
  return routine;
}

fc_wake fc_routine_park(double deadline) {
  fc_routine *routine = g_self;
  if (routine->cancelled) return FC_WAKE_CANCELLED;
  double now = fc_now();
  if (deadline <= now) return FC_WAKE_TIMEOUT;
  routine->parked = true;
  routine->wake_reason = FC_WAKE_OK;
  routine->deadline = deadline;
  account_busy_time(now);
  if (!timer_suffices(routine, now)) arm_timer(routine, now);
  transfer_t from = jump_fcontext(g_main_context, routine);
  g_main_context = from.fctx;
  return routine->wake_reason;
}

void fc_routine_wake(fc_routine *routine) {
  if (routine->parked) resume(routine, FC_WAKE_OK);
}

void fc_routine_cancel(fc_routine *routine) {
  routine->cancelled = true;
  if (routine->parked) resume(routine, FC_WAKE_CANCELLED);
}

fc_wake fc_routine_sleep(double seconds) {
  double until = fc_now() + seconds;
  for (;;) {
    fc_wake wake = fc_routine_park(until);
    if (wake == FC_WAKE_TIMEOUT) return FC_WAKE_OK;
    if (wake == FC_WAKE_CANCELLED) return wake;
  }
}

static void cond_remove(fc_cond *cond, const struct fc_waiter *waiter) {
  struct fc_waiter **link = &cond->first;
  while (*link && *link != waiter) link = &(*link)->next;
  if (*link) *link = waiter->next;
}

fc_wake fc_cond_wait(fc_cond *cond, double deadline) {
  struct fc_waiter self = {.routine = g_self, .next = cond->first, .signalled = false};
  cond->first = &self;
  for (;;) {
    fc_wake wake = fc_routine_park(deadline);
    if (self.signalled) return FC_WAKE_OK;
    if (wake == FC_WAKE_OK) continue; /* woken by something other than the broadcast */
    cond_remove(cond, &self);
    return wake;
  }
}

void fc_cond_broadcast(fc_cond *cond) {
  struct fc_waiter *waiter = cond->first;
  cond->first = NULL;
  while (waiter) {
    struct fc_waiter *next = waiter->next; /* the waiter is on the stack of the routine that is woken */
    waiter->signalled = true;
    fc_routine_wake(waiter->routine);
    waiter = next;
  }
}
