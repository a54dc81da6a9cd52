/* A simulated transport: the calls of src/transport over virtual time and a network whose
 * faults are drawn from a seed. Several controllers run in one process, each in a group of
 * routines of its own that can be killed.
 *
 * Addresses are IPv4 in host order; times and durations are seconds. */
#ifndef FC_TESTS_SIM_H
#define FC_TESTS_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* ---- time and chance ---- */

void sim_init(uint32_t seed);
double sim_now(void);
GRand *sim_rand(void);
double sim_draw(double least, double most);
bool sim_chance(double probability);

typedef void (*sim_fn)(void *arg);
/* Runs fn(arg) after the delay; in no process, so that no crash prevents it. */
void sim_after(double delay_s, sim_fn fn, void *arg);
void sim_run_until(double time);

/* ---- processes ---- */

/* Starts a process at the address, in which fn(arg) runs. */
void sim_process_start(uint32_t ip, sim_fn fn, void *arg);
/* Ends the process with all its routines, wherever they wait. */
void sim_process_kill(uint32_t ip);
/* Pauses it while its clock runs on; what it is sent meanwhile stays queued. */
void sim_process_pause(uint32_t ip, double for_s);
/* From its next start on it has that share of a processor: whatever wakes it, and each message
 * and byte that it reads or sends, costs it time, in which nothing else of it runs; its clock
 * runs on. Its timers fire up to timers_late_s late besides. */
void sim_process_set_cpu_share(uint32_t ip, double of_processor, double timers_late_s);
bool sim_process_alive(uint32_t ip);
size_t sim_process_routine_count(uint32_t ip); /* now */
uint32_t sim_allocating_ip(void);              /* the process on whose behalf memory is taken now; 0: none */
uint32_t sim_running_ip(void);                 /* the process that runs now; 0: none */

/* ---- what processes cost ---- */

/* Of a whole processor, of one that has a share. */
typedef struct sim_costs {
  double wake_s, message_s, byte_s;
} sim_costs;

/* What the routine that has just run has cost besides, of a whole processor. */
typedef double (*sim_work_cost_fn)(uint32_t ip);
void sim_set_work_cost(sim_work_cost_fn fn);

/* What a process has sent and got since sim_init, its earlier incarnations included. */
typedef struct sim_traffic {
  uint64_t messages, bytes;
} sim_traffic;
typedef struct sim_two_way_traffic {
  sim_traffic sent, received;
} sim_two_way_traffic;
typedef struct sim_load {
  uint64_t wakes; /* of its routines */
  double busy_s;  /* of a whole processor; counted of one that has a share */
  sim_two_way_traffic peers, workers, others;
} sim_load;
sim_load sim_load_of(uint32_t ip);

/* ---- links ---- */

/* How traffic from one address to another fares at this moment: it arrives, waits, or its
 * connection is reset. */
typedef enum { SIM_CLEAR, SIM_HELD, SIM_RESET } sim_link;
typedef sim_link (*sim_link_fn)(uint32_t from, uint32_t to);
/* lose_request, lose_reply: the shares that are lost. */
void sim_set_links(sim_link_fn fn, double lose_request, double lose_reply);
/* What the sender at an address is at the moment, a number that its requests keep on their way. */
typedef unsigned (*sim_sender_tag_fn)(uint32_t ip);
void sim_set_sender_tags(sim_sender_tag_fn fn);
/* Until then everything that is sent takes up to so much longer. */
void sim_slow_links(double until, double most_s);

/* ---- a stand-in's server ---- */

typedef struct sim_request {
  const char *method, *path, *body;
  struct sim_exchange *exchange;
} sim_request;
/* It answers by sim_answer(), at once or later. */
typedef void (*sim_server_fn)(const sim_request *request, void *arg);
void sim_serve(uint32_t ip, sim_server_fn fn, void *arg);
/* What the request's sender was when it sent it; 0 without sim_set_sender_tags(). */
unsigned sim_sender_tag(const struct sim_exchange *exchange);
/* The first answer counts, others are ignored. */
void sim_answer(struct sim_exchange *exchange, int status, const char *body);

/* ---- a stand-in's client ---- */

/* status 0: no reply within the time. */
typedef void (*sim_reply_fn)(int status, const char *body, void *arg);
/* Within it: the Retry-After of that reply; 0: none. */
int sim_retry_after(void);
void sim_call(uint32_t from, uint32_t to, const char *method, const char *path, const char *body, double timeout,
              sim_reply_fn fn, void *arg);
/* A number for a connection that calls go on as long as they are answered. */
uint64_t sim_connection_number(void);
/* A POST on that connection. */
void sim_call_on(uint64_t connection, uint32_t from, uint32_t to, const char *path, const char *body, double timeout,
                 sim_reply_fn fn, void *arg);

#endif
