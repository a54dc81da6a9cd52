/* The world around the controllers: stand-ins, written from the published
 * protocol, that check each of its rules. */
#ifndef FC_TESTS_WORLD_SIM_H
#define FC_TESTS_WORLD_SIM_H

#include "controller/controller.h"
#include "sim.h"

#define IP(a, b, c, d) ((uint32_t)(a) << 24 | (uint32_t)(b) << 16 | (uint32_t)(c) << 8 | (uint32_t)(d))
#define WORLD_NODES 3
#define WORLD_NODE_IP(i) IP(10, 0, 0, 1 + (i))
#define WORLD_STATE_IP IP(10, 2, 0, 1)
#define WORLD_CLOUD_IP IP(10, 2, 0, 2)
#define WORLD_USER_IP IP(10, 3, 0, 1)

typedef struct world_result {
  unsigned broken;
  char first[200]; /* the first broken rule */
  unsigned submitted, accepted, finished, unfinished, cancelled, starts, lease_kills, crashes, faults;
} world_result;

/* Plays one day with the faults that the seed draws. */
world_result world_play(uint32_t seed, double busy_s, double quiet_s);

/* For tests that play their own scene: the stand-ins, then the controllers. */
void world_set_up(uint32_t seed, double lose);
void world_start_nodes(void);
unsigned world_machines(void); /* rented ever */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s);
bool world_give_notice(double in_s); /* to a cheap machine in use */
unsigned world_ended(const char *cause);
void world_capacity(unsigned ordinary, unsigned spot); /* of a zone */
/* A deployment of that many machines, instead of the small one: to be said before the
 * controllers start. */
void world_large(unsigned machines);
void world_keep_idle(void); /* idle machines are not returned */
/* What a controller has counted since its last start. */
fc_counts world_counts(unsigned node);
void world_machines_up(unsigned zone, unsigned count); /* ordinary ones, there from the start */
void world_submit(const char *id, const char *kind, const char *rank, unsigned tasks, double gpus, double run_s,
                  double in_s);
double world_began(const char *id); /* 0: not yet */
void world_crash(unsigned node, double back_in_s);
void world_alone(unsigned node, double for_s);             /* with nobody but its workers */
void world_cut_zone(unsigned zone, double for_s);          /* from everything */
void world_still(unsigned node, double for_s);             /* while its clock runs on */
void world_deaf(unsigned from, unsigned to, double for_s); /* machines in order of creation */
unsigned world_gone(unsigned from, unsigned to);
void world_kill(unsigned from, unsigned to); /* machines in order of creation */
world_result world_so_far(void);
unsigned world_running(void);                   /* tasks, now */
int world_ask(unsigned node, const char *path); /* the status of the answer */

/* Within the stand-ins. */
void state_init(void);
void state_down(bool down);
bool state_has(const char *key);
bool world_state_refuses(const sim_request *r);
void world_broke(const char *rule, const char *detail);

#endif
