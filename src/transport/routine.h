/* Routines: one for each connection and each long-lived duty, on one libev
 * loop. A routine gives way only inside the waits declared here; every wait has
 * a deadline and ends early when the routine is cancelled. */
#ifndef FC_TRANSPORT_ROUTINE_H
#define FC_TRANSPORT_ROUTINE_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct fc_routine fc_routine;
typedef void (*fc_routine_fn)(void *arg);

typedef enum { FC_WAKE_OK = 0, FC_WAKE_TIMEOUT = -1, FC_WAKE_CANCELLED = -2 } fc_wake;

/* Prepares the loop; call once, before anything else here. */
bool fc_loop_init(void);
struct ev_loop *fc_loop(void);
void fc_loop_run(void);

/* The steady clock, in seconds. Never the time of day. */
double fc_now(void);
/* Time of day in seconds, off by as much as the platform says; decides nothing that has to
 * be safe. */
double fc_time_of_day(void);

/* Starts a routine at the next turn of the loop. NULL when memory is short. */
fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg);
fc_routine *fc_routine_self(void);
/* Ends the present wait, and every later one, with FC_WAKE_CANCELLED. */
void fc_routine_cancel(fc_routine *routine);
bool fc_routine_cancelled(void);
size_t fc_routine_count(void);

/* What the routines of one duty have used since the process started. */
typedef struct fc_usage {
  uint64_t switches;     /* times one of them was switched to */
  uint64_t system_calls; /* made on sockets */
  uint64_t bytes_in, bytes_out;
  double busy_s; /* steady time between being switched to and giving way */
} fc_usage;

/* Counts what the calling routine uses from now on as `usage`, which has to outlive it;
 * routines that it starts begin with the same. */
void fc_routine_account(fc_usage *usage);
/* Where the calling routine's use is counted; never NULL. */
fc_usage *fc_routine_usage(void);

/* How many times the loop has looked for events. */
unsigned fc_loop_turns(void);
/* How late timers fire, in seconds: the worst lately, halved every second. A process
 * that gets less processor time than it needs sees it grow. */
double fc_loop_lag(void);

/* Waits until woken, cancelled or the deadline (steady clock) has come. */
fc_wake fc_routine_park(double deadline);
void fc_routine_wake(fc_routine *routine);
fc_wake fc_routine_sleep(double seconds);

/* A condition that routines wait on. Waking is a broadcast. */
typedef struct fc_cond {
  struct fc_waiter *first;
} fc_cond;
fc_wake fc_cond_wait(fc_cond *c, double deadline);
void fc_cond_broadcast(fc_cond *c);

#endif
