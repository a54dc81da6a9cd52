/* What the files of the simulated transport need of each other: events.c (time), processes.c,
 * routines.c, load.c (what processes cost), exchanges.c (links, requests and replies) and
 * streams.c (streams between controllers). */
#ifndef FC_TESTS_SIM_NETWORK_H
#define FC_TESTS_SIM_NETWORK_H

#include "sim.h"
#include "transport/routine.h"

typedef struct sim_process {
  uint32_t ip;
  bool alive;
  double paused_until; /* its routines don't run, its clock does; what arrives stays queued */
  GPtrArray *routines;
  /* With a share of a processor, its routines run one after the other as each is paid for. */
  double share;         /* 0: nothing costs time */
  double timer_delay_s; /* its timers fire up to so much late */
  double busy_until;    /* what has run so far takes until then */
  GQueue ready;         /* fc_routine */
  bool next_scheduled;  /* the event that runs the first of `ready` */
  double lag_s, lag_at; /* how late a timer was, and when */
} sim_process;

/* ---- events.c ---- */

/* Runs fn(arg) at the time; events of the same time run in the order of these calls. */
void sim_at(double time, sim_fn fn, void *arg);

/* ---- processes.c ---- */

void sim_processes_init(void);
/* The process whose routine or handler runs; NULL: none. */
sim_process *sim_process_here(void);
/* Makes it the one that runs; returns the one before, to be restored by another call. */
sim_process *sim_process_enter(sim_process *process);

/* ---- routines.c ---- */

void sim_routines_init(void);
fc_routine *sim_spawn_in(sim_process *process, fc_routine_fn fn, void *arg);
/* Ends it without letting it run on. */
void sim_routine_release(fc_routine *routine);
/* The routine pays so much of a whole processor before it runs on. */
void sim_routine_add_cost(fc_routine *routine, double cost_s);

/* ---- load.c ---- */

void sim_load_init(void);
/* Gives a process that starts its share, if one was set for its address. */
void sim_load_apply(sim_process *process);
/* Between the two, memory is taken on the simulation's account, not on the process's. */
void sim_own_work_begin(void);
void sim_own_work_end(void);
/* Of a whole processor, in seconds: for a message that is read or sent. */
double sim_message_cost(size_t bytes);
/* The process is busy for so much longer; nothing where it has no share. NULL: nobody. */
void sim_charge(sim_process *process, double cost_s);
void sim_charge_wake(sim_process *process);
/* For what it did while it ran, as sim_set_work_cost() says. */
void sim_charge_work(sim_process *process);
/* What it sends now leaves it in so many seconds: once all before has been paid for. */
double sim_departs_in(const sim_process *process);
void sim_count_message(uint32_t from, uint32_t to, size_t bytes);

/* ---- exchanges.c and streams.c ---- */

#define SIM_HTTP_HEAD_BYTES 90u /* the first line and the fields of a request or a reply */
#define SIM_HELD_RETRY_S 0.25   /* how often what a link holds back is tried again */

void sim_exchanges_init(void);
void sim_streams_init(void);
/* How traffic between the two fares now. */
sim_link sim_link_now(uint32_t from, uint32_t to);
/* Seconds, drawn anew for each message while links are slow; else 0. */
double sim_slowness(void);
/* "ip:port"; the caller frees it by g_free(). */
char *sim_place_key(uint32_t ip, uint16_t port);

#endif
