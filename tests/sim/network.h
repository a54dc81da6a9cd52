/* The simulated transport: declarations that its files share. events.c has virtual time,
 * processes.c and routines.c the processes and their routines, load.c the processor time and traffic
 * of processes, exchanges.c links, requests and responses, and streams.c streams between controllers. */
#ifndef FC_TESTS_SIM_NETWORK_H
#define FC_TESTS_SIM_NETWORK_H

#include "sim.h"
#include "transport/routine.h"

typedef struct sim_process {
  uint32_t ip;
  bool alive;
  double paused_until; /* until then no routine runs and incoming messages stay queued; its clock goes on */
  GPtrArray *routines;
  /* With a CPU share, its routines run one at a time, each once the cost of the previous one is worked off. */
  double cpu_share;              /* 0: nothing costs time */
  double timer_delay_max_s;      /* its timers fire up to this much late */
  double busy_until;             /* when the cost charged so far has been worked off */
  GQueue ready;                  /* fc_routine */
  bool run_scheduled;            /* there is an event that runs the first of `ready` */
  double lag_s, lag_measured_at; /* how late a timer fired, and when */
} sim_process;

/* ---- events.c ---- */

/* Runs fn(arg) at the time; events of the same time run in the order of these calls. */
void sim_at(double time, sim_fn fn, void *arg);

/* ---- processes.c ---- */

void sim_processes_init(void);
/* The process whose routine or handler runs; NULL: none. */
sim_process *sim_running_process(void);
/* Makes it the running process; returns the previous one, to be restored by another call. */
sim_process *sim_process_enter(sim_process *process);

/* ---- routines.c ---- */

void sim_routines_init(void);
fc_routine *sim_spawn_in(sim_process *process, fc_routine_fn fn, void *arg);
/* Ends a routine without resuming it. */
void sim_routine_release(fc_routine *routine);
/* Adds a cost that is charged to its process before the routine runs next. */
void sim_routine_add_cost(fc_routine *routine, double cost_s);

/* ---- load.c ---- */

/* Costs are in seconds of a whole processor; a process with a CPU share takes longer in proportion. */

void sim_load_init(void);
/* Gives a starting process the CPU share that is set for its address, if there is one. */
void sim_apply_cpu_share(sim_process *process);
/* Memory allocated between the two is the simulation's and not counted as the process's. Calls nest. */
void sim_internal_alloc_begin(void);
void sim_internal_alloc_end(void);
/* The cost of reading or sending a message. */
double sim_message_cost(size_t bytes);
/* Keeps the process busy for that cost. No effect on NULL or a process without a CPU share. */
void sim_charge(sim_process *process, double cost_s);
void sim_charge_wake(sim_process *process);
/* Charges for the last run of a routine what the function of sim_set_work_cost() returns. */
void sim_charge_work(sim_process *process);
/* Seconds until a message sent now leaves the process: until all earlier cost is worked off. */
double sim_send_delay(const sim_process *process);
void sim_count_message(uint32_t from, uint32_t to, size_t bytes);

/* ---- exchanges.c and streams.c ---- */

#define SIM_HTTP_HEAD_BYTES 90u /* request or status line and headers */
#define SIM_HELD_RETRY_S 0.25   /* interval at which delivery over a SIM_HELD link is retried */

void sim_exchanges_init(void);
void sim_streams_init(void);
/* The present state of the link from one address to the other. */
sim_link sim_link_now(uint32_t from, uint32_t to);
/* Extra delay in seconds, drawn for each message while links are slow; else 0. */
double sim_draw_link_delay(void);
/* "ip:port", the key of listeners and servers; to be freed with g_free(). */
char *sim_endpoint_key(uint32_t ip, uint16_t port);

#endif
