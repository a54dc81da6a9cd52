/* A simulated transport: implements the functions of src/transport over virtual time and a network
 * whose faults are drawn from a seed. Several controllers run in one operating system process, each
 * as a simulated process: a group of routines that can be killed.
 *
 * Addresses are IPv4 in host order; times and durations are seconds. */
#ifndef FC_TESTS_SIM_H
#define FC_TESTS_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* ---- virtual time and random draws ---- */

/* Resets the simulation. Equal seeds give equal runs. */
void sim_init(uint32_t seed);
double sim_now(void);
GRand *sim_rand(void);
/* Uniform in [min, max). */
double sim_draw(double min, double max);
bool sim_chance(double probability);

typedef void (*sim_fn)(void *arg);
/* Runs fn(arg) after the delay, outside of all processes, so that no crash prevents it. */
void sim_after(double delay_s, sim_fn fn, void *arg);
/* Runs all events up to the time, at which virtual time then stands. */
void sim_run_until(double time);

/* ---- processes ---- */

/* Starts a process at the address and runs fn(arg) in it. */
void sim_process_start(uint32_t ip, sim_fn fn, void *arg);
/* Ends the process with all its routines, without resuming them. */
void sim_process_kill(uint32_t ip);
/* Pauses it while its clock runs on; messages to it stay queued. */
void sim_process_pause(uint32_t ip, double for_s);
/* From its next start on the process has that share of a processor: each wake-up of a routine, and
 * each message and byte that it reads or sends, takes time during which none of its routines runs;
 * its clock runs on. Its timers also fire up to timer_delay_max_s late. */
void sim_process_set_cpu_share(uint32_t ip, double cpu_share, double timer_delay_max_s);
bool sim_process_alive(uint32_t ip);
size_t sim_process_routine_count(uint32_t ip); /* now */
uint32_t sim_allocating_ip(void);              /* of the process that memory allocated now is counted for; 0: none */
uint32_t sim_running_ip(void);                 /* of the process that runs now; 0: none */

/* ---- processor time and traffic of processes ---- */

/* Seconds of a whole processor, charged to processes that have a CPU share. */
typedef struct sim_costs {
  double wake_s, message_s, byte_s;
} sim_costs;

/* Returns the extra cost, in seconds of a whole processor, of the routine that has just run. */
typedef double (*sim_work_cost_fn)(uint32_t ip);
/* Called after each run of a routine of a process that has a CPU share. */
void sim_set_work_cost(sim_work_cost_fn fn);

/* Totals of an address since sim_init(), over restarts of its process. */
typedef struct sim_traffic {
  uint64_t messages, bytes;
} sim_traffic;
typedef struct sim_two_way_traffic {
  sim_traffic sent, received;
} sim_two_way_traffic;
typedef struct sim_load {
  uint64_t wakes; /* of its routines */
  double busy_s;  /* of a whole processor; 0 without a CPU share */
  sim_two_way_traffic peers, workers, others;
} sim_load;
sim_load sim_load_of(uint32_t ip);

/* ---- links ---- */

/* State of a link in one direction: messages are delivered, held back until the state changes, or
 * dropped with their connection reset. */
typedef enum { SIM_CLEAR, SIM_HELD, SIM_RESET } sim_link;
typedef sim_link (*sim_link_fn)(uint32_t from, uint32_t to);
/* request_loss, reply_loss: the shares of messages that are lost. */
void sim_set_links(sim_link_fn fn, double request_loss, double reply_loss);
/* Returns a number that describes the process at an address now; each request is tagged with that of
 * its sender when it is sent. */
typedef unsigned (*sim_sender_tag_fn)(uint32_t ip);
void sim_set_sender_tags(sim_sender_tag_fn fn);
/* Delays each message sent until then by up to max_s more. */
void sim_slow_links(double until, double max_s);

/* ---- servers of stand-ins ---- */

/* The texts live as long as the exchange. */
typedef struct sim_request {
  const char *method, *path, *body;
  struct sim_exchange *exchange;
} sim_request;
/* Answers with sim_answer(), at once or later. */
typedef void (*sim_server_fn)(const sim_request *request, void *arg);
/* Serves requests to any port of the address. */
void sim_serve(uint32_t ip, sim_server_fn fn, void *arg);
/* The request's tag; 0 without sim_set_sender_tags(). */
unsigned sim_sender_tag(const struct sim_exchange *exchange);
/* Only the first response to a request is sent. */
void sim_answer(struct sim_exchange *exchange, int status, const char *body);

/* Returns the text to send in place of the body of a message of a stand-in, newly allocated. */
typedef char *(*sim_body_fn)(const char *body);
/* Changes all bodies that stand-ins send from now on; NULL: none. */
void sim_set_stand_in_bodies(sim_body_fn fn);

/* ---- clients of stand-ins ---- */

/* status 0: no response before the timeout. */
typedef void (*sim_reply_fn)(int status, const char *body, void *arg);
/* Within a sim_reply_fn: the Retry-After of that response, in seconds; 0: none. */
int sim_retry_after(void);
/* Sends a request to a controller's client port. */
void sim_call(uint32_t from, uint32_t to, const char *method, const char *path, const char *body, double timeout,
              sim_reply_fn fn, void *arg);
/* A new number for a connection, to be used by calls as long as they are answered. */
uint64_t sim_connection_number(void);
/* Sends a POST request on that connection. */
void sim_call_on(uint64_t connection, uint32_t from, uint32_t to, const char *path, const char *body, double timeout,
                 sim_reply_fn fn, void *arg);

#endif
