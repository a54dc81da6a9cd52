/* What the parts of the simulated transport share: events.c (time, routines, processes),
 * load.c (what processes cost), exchanges.c (links, requests and answers), streams.c
 * (streams between controllers). */
#ifndef FC_TESTS_SIM_NETWORK_H
#define FC_TESTS_SIM_NETWORK_H

#include "sim.h"
#include "transport/routine.h"

typedef struct sim_process {
  uint32_t ip;
  bool alive;
  double still_until; /* its routines don't run, its clock does, what comes waits */
  GPtrArray *routines;
  /* With a share of a processor, its routines run one after the other as each is paid for. */
  double share;      /* 0: nothing costs time */
  double late_s;     /* its timers fire up to so much late */
  double busy_until; /* what has run so far takes until then */
  GQueue ready;      /* routines */
  double lag_s, lag_at;
  bool turn_due;
} sim_process;

/* Runs fn(arg) at the time; what is at the same time runs in the order of these calls. */
void sim_at(double t, sim_fn fn, void *arg);
/* The process whose routine or handler runs; NULL: none. */
sim_process *sim_process_here(void);
fc_routine *sim_spawn_in(sim_process *p, fc_routine_fn fn, void *arg);

/* The routine pays so much of a whole processor before it runs on. */
void sim_routine_owes(fc_routine *routine, double cost_s);

/* Between the two the simulation works on its own account, not on the process's. */
void sim_own_work_begin(void);
void sim_own_work_end(void);

/* Of a whole processor: for a message that is read or sent. */
double sim_message_cost(size_t bytes);
/* The process is busy for so much longer; nothing where it has no share. NULL: nobody. */
void sim_charge(sim_process *p, double cost_s);
void sim_charge_wake(sim_process *p);
/* For what it did while it ran, as sim_set_work() says. */
void sim_charge_work(sim_process *p);
/* What it sends now leaves it in so long: once all before has been paid for. */
double sim_departs_in(const sim_process *p);
void sim_count_message(uint32_t from, uint32_t to, size_t bytes);
/* Gives a process that starts its share, if one was set for its address. */
void sim_load_apply(sim_process *p);
void sim_load_init(void);

/* The first line and the fields of a request or an answer. */
#define SIM_HTTP_HEAD_BYTES 90u

/* How traffic between the two fares now. */
sim_link sim_link_now(uint32_t from, uint32_t to);
/* Drawn anew for each message while links are slow, else 0. */
double sim_slowness(void);
/* "ip:port"; the caller frees it. */
char *sim_place_key(uint32_t ip, uint16_t port);

/* Nothing is served or listens; for sim_init. */
void sim_exchanges_init(void);
void sim_streams_init(void);

#endif
