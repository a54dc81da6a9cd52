/* Routines: stackful coroutines on one libev loop and one thread, one for each connection and each
 * long-lived task. A routine is suspended only inside the functions that say "May suspend the calling
 * routine": between them it sees no change made by others. Every such wait has a deadline and ends
 * early when the routine is cancelled. */
#ifndef FC_TRANSPORT_ROUTINE_H
#define FC_TRANSPORT_ROUTINE_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct fc_routine fc_routine;
typedef void (*fc_routine_fn)(void *arg);

typedef enum { FC_WAKE_OK = 0, FC_WAKE_TIMEOUT = -1, FC_WAKE_CANCELLED = -2 } fc_wake;

/* Prepares the loop; to be called once, before anything else here. False when libev offers none. */
bool fc_loop_init(void);
struct ev_loop *fc_loop(void);
/* Runs the loop; does not return while it has watchers. */
void fc_loop_run(void);

/* The monotonic clock, in seconds; all deadlines are times of it. */
double fc_now(void);
/* The time of day, in seconds. It may be wrong by as much as the platform states, so nothing that
 * has to be safe depends on it. */
double fc_time_of_day(void);

/* Starts a routine, which first runs once the caller is suspended or returns to the loop, and is freed
 * when `body` returns. NULL when memory is short. */
fc_routine *fc_routine_spawn(fc_routine_fn body, void *arg);
/* The calling routine; NULL outside of routines. */
fc_routine *fc_routine_self(void);
/* Ends the present wait of a routine, and every later one, with FC_WAKE_CANCELLED. */
void fc_routine_cancel(fc_routine *routine);
/* Whether the calling routine was cancelled. */
bool fc_routine_cancelled(void);
size_t fc_routine_count(void);

/* What a group of routines has used since the process started. */
typedef struct fc_usage {
  uint64_t switches;     /* to one of them */
  uint64_t system_calls; /* on sockets */
  uint64_t bytes_in, bytes_out;
  double busy_s; /* time that they ran, by the monotonic clock */
} fc_usage;

/* Accounts what the calling routine uses from now on to `usage`, which has to outlive it. Routines
 * that it starts inherit this. */
void fc_routine_account(fc_usage *usage);
/* Where the calling routine's use is accounted; never NULL. */
fc_usage *fc_routine_usage(void);

/* How many iterations the loop has made. */
unsigned fc_loop_iterations(void);
/* How late timers fire, in seconds: the recent maximum, which halves every second. It grows when the
 * process gets less processor time than it needs. */
double fc_loop_lag(void);

/* Waits until woken, cancelled or the deadline. May suspend the calling routine. */
fc_wake fc_routine_park(double deadline);
/* Ends the wait of a routine in fc_routine_park(); without effect when it is not waiting. */
void fc_routine_wake(fc_routine *routine);
/* FC_WAKE_OK after that time. May suspend the calling routine. */
fc_wake fc_routine_sleep(double seconds);

/* A condition variable of routines; zeroed: nobody waits. */
typedef struct fc_cond {
  struct fc_waiter *first;
} fc_cond;
/* Waits for the next broadcast. May suspend the calling routine. */
fc_wake fc_cond_wait(fc_cond *cond, double deadline);
/* Wakes all routines that wait now. */
void fc_cond_broadcast(fc_cond *cond);

#endif
