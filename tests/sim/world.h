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
  unsigned late_starts;                      /* after the user was told that the job is cancelled */
  unsigned odd;                              /* requests that must be refused, or repeat what is over */
  unsigned served_least;                     /* of a class, a team, a class's largest jobs: percent */
  unsigned done_starts;                      /* of tasks that had completed before */
  unsigned submissions, unanswered, refused; /* sent; without any answer; with 429 or 503 */
  double lease_left_s;                       /* the least that a worker in touch had left of its lease */
  unsigned over_rate;                        /* transactions that the state service refused for its rate */
  unsigned questions, told, put_off;         /* about jobs; answered with 200; with 503 */
} world_result;

/* Plays one day with the faults that the seed draws. */
typedef struct world_day {
  bool meetings;  /* also troubles that begin within seconds of each other */
  bool pipelines; /* also jobs that await others */
  bool upgrade;   /* controllers begin with the former version and are replaced one by one */
} world_day;
world_result world_play(uint32_t seed, double busy_s, const world_day *day);

/* For tests that play their own scene: the stand-ins, then the controllers. */
void world_set_up(uint32_t seed, double lose);
void world_start_nodes(void);
unsigned world_machines(void); /* rented ever */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s);
bool world_give_notice(double in_s); /* to a cheap machine in use */
void world_notice(unsigned machine, double in_s);
unsigned world_ended(const char *cause);
void world_capacity(unsigned ordinary, unsigned spot); /* of a zone */
/* A deployment of that many machines, instead of the small one: to be said before the
 * controllers start. */
void world_large(unsigned machines);
/* A deployment of that many machines on controllers with a fortieth of a core: rates of the
 * state service and the cloud as such sites have them; nothing is rented or returned. */
void world_lean(unsigned machines);
/* The controller has that share of a processor, and timers up to so much late, from its next
 * start on. */
void world_slow(unsigned node, double of_processor, double timers_late_s);
unsigned world_terms(void); /* written so far */
/* From then on what must hold all through a quiet day is checked, and in the end what must
 * hold then. */
void world_checks_from(double in_s);
void world_checks_end(void);
void world_return_idle(void);       /* idle machines are returned at once */
void world_keep_idle(void);         /* idle machines are not returned */
void world_keep_over(double for_s); /* jobs that are over are archived after so long */
/* What a controller has counted since its last start. */
fc_counters world_counts(unsigned node);
void world_machines_up(unsigned zone, unsigned count); /* ordinary ones, there from the start */
/* "job-000007"; good until the fourth call after it. */
const char *world_id(unsigned k);
typedef struct world_job {
  const char *id, *kind, *rank, *team; /* rank, team: NULL: standard, red */
  const char *zone;                    /* the only one allowed; NULL: any */
  unsigned tasks;
  double gpus, run_s, in_s;
  double later_s; /* so much later than the one before it each task ends */
  bool one_zone, spread, spot;
  double cancel_in_s; /* after its user is told that it is accepted; 0: never */
  double whistle_s;   /* its deadline; 0: none */
  const char *awaits[4];
} world_job;
void world_submit_job(const world_job *spec);
void world_submit(const char *id, const char *kind, const char *rank, unsigned tasks, double gpus, double run_s,
                  double in_s);
double world_began(const char *id); /* 0: not yet */
void world_crash(unsigned node, double back_in_s);
/* It ends that long after it next writes a key that begins so: within the way of the
 * answer it has not learned of the write. */
void world_crash_at_write(unsigned node, const char *prefix, double after_s, double back_in_s);
void world_alone(unsigned node, double for_s);             /* with nobody but its workers */
void world_cut_zone(unsigned zone, double for_s);          /* from everything */
void world_still(unsigned node, double for_s);             /* while its clock runs on */
void world_deaf(unsigned from, unsigned to, double for_s); /* machines in order of creation */
unsigned world_gone(unsigned from, unsigned to);
void world_kill(unsigned from, unsigned to); /* machines in order of creation */
void world_images_there(void);               /* no machine has to fetch one */
unsigned world_node_of(unsigned machine);    /* the controller that it reports to */
void world_hang(unsigned from, unsigned to, double for_s);
/* They reach no controller; direct commands reach them. */
void world_mute(unsigned from, unsigned to, double for_s);
/* Packets between the two wait, or connections are reset; both reach all others. */
void world_cut_pair(unsigned node, unsigned machine, double for_s, sim_link mode);
void world_cut_node(unsigned node, double for_s, sim_link mode); /* from everything */
void world_cut_node_peers(unsigned node, double for_s);
void world_cut_node_workers(unsigned node, double for_s, sim_link mode);
/* The machine's report of now arrives, once more, there and then. */
void world_report_later(unsigned machine, unsigned node, double in_s);
void world_refuse(unsigned node, double for_s); /* by the state service, alone */
void world_state_down(double for_s);
void world_state_down_in(double in_s, double for_s);
void world_state_slow(double for_s, double most_s); /* each answer takes up to so long */
/* The limits of the state service from now on. write_rps 0: as many changes as come. A
 * transaction that is refused for its size breaks a rule. */
void world_state_limits(double value_kb, unsigned txn_ops, double write_rps);
/* The controllers' settings say that it will have those limits; before they start. Larger
 * values and transactions of theirs break a rule from the start. */
void world_state_next(double value_kb, unsigned txn_ops, double write_rps);
/* The controllers are of the version before pipelines, until each is upgraded: they can't read
 * records of jobs that await others, ignore what a submission awaits and what limits the state
 * service will have, and say nothing of what they read. After world_state_next, before they
 * start. */
void world_former_version(void);
/* The controller ends, and comes back with the present version, or again with the former. */
void world_upgrade(unsigned node, double back_in_s);
void world_downgrade(unsigned node, double back_in_s);
bool world_is_former(unsigned node);
bool world_any_former(void);
/* From the next write of the job on, reads of changes wait; writes are served. */
void world_state_blind(const char *id, double for_s);
void world_slow_links(double for_s, double most_s); /* whatever is sent takes up to so much longer */
/* From then on it breaks a rule when a job has nothing anywhere for 90 s, while there
 * is room for it and its team's limit allows it. */
void world_troubles_end(double in_s);
/* That share of transactions gets no answer and is carried out 2 to 12 s late. */
void world_late_writes(double share);
void world_lateness(double least_s, double most_s);       /* of those; instead of 2 to 12 s */
void world_late_only(const char *text);                   /* of those whose body holds that; NULL: all */
void world_check_returned(void);                          /* no record is left of a machine that was returned */
void world_cancel(const char *id, int node, double in_s); /* by that controller first; -1: any */
double world_accepted_at(const char *id);                 /* when its user was told; 0: not yet */
double world_cancelled_at(const char *id);                /* when its user was told; 0: not yet */
void world_users_to(int node);                            /* the only healthy one; -1: any */
void world_cancel_at_end(double share);
double world_ended_at(const char *id);      /* when its last task completed; 0: not yet */
const char *world_told(const char *id);     /* the final state that its user was told first; NULL: none yet */
void world_cloud_down(bool down);           /* it answers every request with 503 */
void world_limit(double cpus, double gpus); /* of team blue, before the controllers start */
unsigned world_tasks_of(const char *id);    /* on machines now, those of cut and hung ones too */
unsigned world_starts_of(const char *id);   /* that had their image */
double world_told_done_at(const char *id);  /* 0: not yet */
/* Jobs accepted before then that aren't over, and about which no question was answered since then. */
unsigned world_unanswered(double since);
/* The machine that a task of the job is on, in order of creation; -1: none. */
int world_machine_of(const char *id, unsigned index);
world_result world_so_far(void);
void world_watch_leases(void);                     /* lease_left_s counts from here */
unsigned world_running(void);                      /* tasks, now */
unsigned world_fetching(void);                     /* tasks that were told to start and wait for their image */
void world_ask_job(unsigned node, const char *id); /* its user does, and checks the answer */
int world_ask(unsigned node, const char *path);    /* the status of the answer */

/* Within the stand-ins. */
void kv_init(void);
/* What those who know of them have to keep to from now on. */
void kv_set_announced_limits(double value_kb, unsigned txn_ops);
bool world_sent_by_former(const struct sim_exchange *x); /* a request of a controller of that version */
void state_down(bool down);
void kv_delay_watches_after(const char *id, double for_s);
bool state_has(const char *key);
bool state_says(const char *key, const char *text);              /* its value, as compact JSON, holds that */
void state_each(const char *prefix, void (*fn)(const char *id)); /* the ids of jobs behind it */
bool world_kv_refuses(const struct sim_exchange *x);
void world_key_written(const struct sim_exchange *x, const char *key);
void world_broke(const char *rule, const char *detail);

#endif
