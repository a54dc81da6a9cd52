/* What the parts of the simulated transport share: events.c (time, routines, processes),
 * exchanges.c (links, requests and answers), streams.c (streams between controllers). */
#ifndef FC_TESTS_SIM_NETWORK_H
#define FC_TESTS_SIM_NETWORK_H

#include "sim.h"
#include "transport/routine.h"

typedef struct sim_process {
  uint32_t ip;
  bool alive;
  double still_until; /* its routines don't run, its clock does, what comes waits */
  GPtrArray *routines;
} sim_process;

/* Runs fn(arg) at the time; what is at the same time runs in the order of these calls. */
void sim_at(double t, sim_fn fn, void *arg);
/* The process whose routine or handler runs; NULL: none. */
sim_process *sim_process_here(void);
fc_routine *sim_spawn_in(sim_process *p, fc_routine_fn fn, void *arg);

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
