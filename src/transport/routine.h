/* Routines: stackful coroutines on one libev loop and one thread, one for each connection and each
 * long-lived task. A routine is suspended only inside the functions that say "May suspend the calling
 * routine": between them no other routine runs, so shared state does not change. Every such wait has a
 * deadline and ends early when the routine is cancelled. */
#ifndef FC_TRANSPORT_ROUTINE_H
#define FC_TRANSPORT_ROUTINE_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct fc_routine fc_routine;
typedef void (*fc_routine_fn)(void *arg);

typedef enum { FC_WAKE_OK = 0, FC_WAKE_TIMEOUT = -1, FC_WAKE_CANCELLED = -2 } fc_wake;

/* Creates the loop; to be called once, before any other function here but the clocks. False when libev
 * has no usable backend. */
bool fc_loop_init(void);
struct ev_loop *fc_loop(void);
/* Runs the loop; returns only when it has no watchers left. */
void fc_loop_run(void);

/* The monotonic clock, in seconds; all deadlines refer to it. */
double fc_now(void);
/* The wall-clock time, in seconds since 1970. It may be wrong by the clock error that the platform
 * states, so nothing relies on it for safety. */
double fc_time_of_day(void);

/* Starts a routine. It first runs once the caller is suspended or returns to the loop; it is freed when
 * `body` returns. NULL when memory is short. */
fc_routine *fc_routine_spawn(fc_routine_fn body, void *arg);
/* The calling routine; NULL outside routines. */
fc_routine *fc_routine_self(void);
/* Cancels a routine: its current wait and every later one end with FC_WAKE_CANCELLED. */
void fc_routine_cancel(fc_routine *routine);
/* Whether the calling routine was cancelled. */
bool fc_routine_cancelled(void);
size_t fc_routine_count(void);

/* What a group of routines has used since the process started. */
typedef struct fc_usage {
  uint64_t switches;     /* context switches to one of them */
  uint64_t system_calls; /* on sockets */
  uint64_t bytes_in, bytes_out;
  double busy_s; /* for which they ran, by the monotonic clock */
} fc_usage;

/* Adds what the calling routine uses from now on to `usage`, which has to outlive the routine. Routines
 * that it starts inherit `usage`. */
void fc_routine_account(fc_usage *usage);
/* Where the calling routine's usage is counted; never NULL. */
fc_usage *fc_routine_usage(void);

/* How many iterations the loop has run; wraps around. */
unsigned fc_loop_iterations(void);
/* How late timers fire, in seconds: the recent maximum, which decays with a half-life of one second. It
 * grows when the process gets less processor time than it needs. */
double fc_loop_lag(void);

/* Waits until fc_routine_wake(), cancellation or the deadline. May suspend the calling routine. */
fc_wake fc_routine_park(double deadline);
/* Ends the wait of a routine in fc_routine_park(); no effect when it is not waiting. */
void fc_routine_wake(fc_routine *routine);
/* Returns FC_WAKE_OK after `seconds`, FC_WAKE_CANCELLED on cancellation. May suspend the calling routine. */
fc_wake fc_routine_sleep(double seconds);

/* A condition variable for routines; zeroed, it has no waiters. */
typedef struct fc_cond {
  struct fc_waiter *first;
} fc_cond;
/* Waits for the next broadcast. May suspend the calling routine. */
fc_wake fc_cond_wait(fc_cond *cond, double deadline);
/* Wakes all routines that are waiting for the condition now. */
void fc_cond_broadcast(fc_cond *cond);

#endif
