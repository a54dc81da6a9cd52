/* The world around the simulated controllers: stand-ins for users, workers, the cloud and the
 * key-value store, written from the published protocol, that check each of its rules; and what
 * a scene does with them.
 *
 * Durations are seconds of virtual time, times are those of sim_now(). "node": a controller's
 * number; "machine", "from", "to" (exclusive): machines' numbers in order of creation. A job's
 * id has to name a job of the scene. */
#ifndef FC_TESTS_WORLD_SIM_H
#define FC_TESTS_WORLD_SIM_H

#include "controller/controller.h"
#include "sim.h"

#define IP(a, b, c, d) ((uint32_t)(a) << 24 | (uint32_t)(b) << 16 | (uint32_t)(c) << 8 | (uint32_t)(d))
#define WORLD_NODES 3
#define WORLD_NODE_IP(i) IP(10, 0, 0, 1 + (i))
#define WORLD_KV_IP IP(10, 2, 0, 1)
#define WORLD_CLOUD_IP IP(10, 2, 0, 2)
#define WORLD_USER_IP IP(10, 3, 0, 1)

/* ---- results ---- */

typedef struct world_result {
  unsigned broken;                /* rules */
  char first[200];                /* the first broken rule */
  unsigned ran_twice, over_limit; /* how often these two were broken */
  unsigned submitted, accepted, finished, unfinished, cancelled, starts;
  unsigned lease_kills; /* tasks that ended with their worker's lease */
  unsigned crashes, faults;
  unsigned late_starts;                                /* after the user saw that the job is cancelled */
  unsigned invalid_requests;                           /* requests that must be refused, or repeat what is done */
  unsigned served_least;                               /* of a class, a team, a class's largest jobs: percent */
  unsigned done_starts;                                /* of tasks that had completed before */
  unsigned submissions, unanswered, refused;           /* sent; without any answer; with 429 or 503 */
  double lease_left_s;                                 /* the least that a reachable worker had left of its lease */
  unsigned over_rate;                                  /* transactions that the key-value store refused for its rate */
  unsigned questions, status_answers, status_refusals; /* about jobs; answered with 200; with 503 */
} world_result;

world_result world_so_far(void);
void world_watch_leases(void); /* lease_left_s counts from here */

/* ---- random days ---- */

typedef struct world_day {
  bool overlapping_faults; /* also incidents that overlap */
  bool pipelines;          /* also jobs that need others */
  bool upgrade;            /* controllers begin with the former version and are replaced one by one */
} world_day;

/* Plays one day with the faults that the seed draws; jobs arrive for busy_s. */
world_result world_play(uint32_t seed, double busy_s, const world_day *day);

/* ---- set-up of a scene ---- */

/* The stand-ins, with the usual settings; that share of messages is lost. */
void world_set_up(uint32_t seed, double lose);
/* Then what deviates from the usual settings, then the controllers. */
void world_start_nodes(void);

void world_capacity(unsigned ordinary, unsigned spot); /* machines that the cloud has in a zone */
/* Ordinary machines that are there from the start. */
void world_machines_up(unsigned zone, unsigned count);
/* A deployment of that many machines instead of the small one; none is rented or returned. */
void world_large(unsigned machines);
/* The same on controllers with a fortieth of a core, with the rates of the key-value store and
 * the cloud that such sites have. */
void world_lean(unsigned machines);
void world_release_idle(void);              /* idle machines are returned at once */
void world_keep_idle(void);                 /* idle machines are not returned */
void world_archive_after(double for_s);     /* terminal jobs are archived after so long */
void world_limit(double cpus, double gpus); /* the quota of team blue */
void world_images_there(void);              /* no machine has to fetch an image */

/* ---- jobs ---- */

typedef struct world_job {
  const char *id, *kind, *priority, *team; /* priority, team: NULL: standard, red */
  const char *zone;                        /* the only one allowed; NULL: any */
  unsigned tasks;
  double gpus, run_s, in_s; /* in_s: until its submission */
  double later_s;           /* each task runs so much longer than the one before it */
  bool one_zone, spread, spot;
  double cancel_in_s;          /* after its user sees that it is accepted; 0: never */
  double deadline_s;           /* 0: none */
  const char *dependencies[4]; /* jobs that it needs */
} world_job;

/* "job-000007"; good until the fourth call after it. */
const char *world_id(unsigned number);
void world_submit_job(const world_job *spec);
/* The usual job of its kind. */
void world_submit(const char *id, const char *kind, const char *priority, unsigned tasks, double gpus, double run_s,
                  double in_s);
/* A job that is known to workers alone. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s);
void world_cancel(const char *id, int node, double in_s); /* by that controller first; -1: by any */
void world_cancel_at_end(double share);                   /* that share of jobs, as they complete */
/* Users send all requests to that controller, as if it were the only healthy one; -1: to any. */
void world_users_to(int node);

/* ---- questions about jobs ---- */

double world_seen_accepted_at(const char *id);         /* when its user saw it; 0: not yet */
double world_seen_cancelled_at(const char *id);        /* when its user saw it; 0: not yet */
double world_seen_done_at(const char *id);             /* when its user saw it; 0: not yet */
const char *world_seen_terminal_state(const char *id); /* the terminal state that its user saw first; NULL: none yet */
double world_began(const char *id);                    /* 0: not yet */
double world_ended_at(const char *id);                 /* when its last task completed; 0: not yet */
unsigned world_tasks_of(const char *id);               /* on machines now, on unreachable and hung ones too */
unsigned world_starts_of(const char *id);              /* tasks that had their image */
/* The machine that a task of the job is on; -1: none. */
int world_machine_of(const char *id, unsigned index);
/* Jobs accepted before then that aren't terminal, and about which no question was answered since
 * then. */
unsigned world_unanswered(double since);
void world_ask_job(unsigned node, const char *id); /* its user does, and checks the answer */
int world_ask(unsigned node, const char *path);    /* runs until the answer; its status */

/* ---- controllers ---- */

void world_crash(unsigned node, double back_in_s);
void world_crash_in(unsigned node, double in_s, double back_in_s);
/* It crashes that long after it next writes a key with the prefix: before the answer arrives it
 * doesn't know of the write. */
void world_crash_at_write(unsigned node, const char *prefix, double after_s, double back_in_s);
void world_pause_node(unsigned node, double for_s); /* pauses while its clock runs on */
/* From its next start on it has that share of a processor, and timers up to so much late. */
void world_slow_node(unsigned node, double of_processor, double timers_late_s);
fc_counters world_counts(unsigned node); /* since its last start */
unsigned world_terms(void);              /* records of terms written so far */

/* ---- versions ---- */

/* The controllers are of the version before pipelines, until each is upgraded: they can't read
 * records of jobs that need others, ignore what a submission needs and what limits the key-value
 * store will have, and say nothing of the formats that they read. After world_kv_announce_limits, before
 * they start. */
void world_former_version(void);
/* The controller ends, and comes back with the present version, or again with the former. */
void world_upgrade(unsigned node, double back_in_s);
void world_downgrade(unsigned node, double back_in_s);
bool world_is_former(unsigned node);
bool world_any_former(void);

/* ---- links ---- */

void world_partition_node(unsigned node, double for_s); /* it reaches only its workers and users */
void world_cut_zone(unsigned zone, double for_s);       /* from everything */
/* Traffic between the two waits, or connections are reset; both reach all others. */
void world_cut_pair(unsigned node, unsigned machine, double for_s, sim_link mode);
void world_cut_node(unsigned node, double for_s, sim_link mode); /* from everything */
void world_cut_node_peers(unsigned node, double for_s);
void world_cut_node_workers(unsigned node, double for_s, sim_link mode);
void world_slow_links(double for_s, double most_s); /* whatever is sent takes up to so much longer */

/* ---- the key-value store ---- */

void world_kv_refuse(unsigned node, double for_s); /* it refuses that controller alone */
void world_kv_down(double for_s);
void world_kv_down_in(double in_s, double for_s);
void world_kv_slow(double for_s, double most_s); /* each answer takes up to so long */
/* From the next write of the job on, watches are not answered; writes are served. */
void world_kv_silence_watches(const char *id, double for_s);
/* Its limits from now on; write_rps 0: no limit of the rate. */
void world_kv_limit(double value_kb, unsigned txn_ops, double write_rps);
/* The controllers' settings announce those limits; before they start. Larger values and
 * transactions of theirs break a rule from the start. */
void world_kv_announce_limits(double value_kb, unsigned txn_ops, double write_rps);
/* That share of transactions gets no answer in time and is applied 2 to 12 s late. */
void world_late_writes(double share);
void world_late_writes_end(double in_s);
void world_late_writes_delay(double least_s, double most_s); /* of those; instead of 2 to 12 s */
void world_late_writes_only(const char *text);               /* of those whose body holds that; NULL: all */
void kv_set_down(bool down);
bool kv_has_key(const char *key);
bool kv_value_contains(const char *key, const char *text);        /* its value, as compact JSON, holds that */
void kv_each_job(const char *prefix, void (*fn)(const char *id)); /* the ids of jobs after the prefix */

/* ---- machines and the cloud ---- */

void world_hang(unsigned from, unsigned to, double for_s);
void world_kill(unsigned from, unsigned to);
/* They begin anew at once, with no tasks, epoch or fencing token, under the same names; what holds up
 * messages to them goes on. */
void world_restart_machines(unsigned from, unsigned to);
void world_cut_inbound(unsigned from, unsigned to, double for_s); /* nothing that is sent to them arrives */
/* They reach no controller; direct commands reach them. */
void world_cut_outbound(unsigned from, unsigned to, double for_s);
bool world_give_notice(double in_s); /* of preemption, to a spot machine in use; false: there is none */
void world_notice(unsigned machine, double in_s);
/* The machine's heartbeat of now arrives, once more, there and then. */
void world_duplicate_heartbeat(unsigned machine, unsigned node, double in_s);
void world_cloud_down(bool down); /* it answers every request with 503 */

unsigned world_machines(void);                                  /* that there ever were */
unsigned world_terminated_machines(unsigned from, unsigned to); /* how many of them have ended */
unsigned world_node_of(unsigned machine);                       /* the controller that it sends heartbeats to */
unsigned world_running(void);                                   /* tasks, now */
unsigned world_fetching(void);                                  /* tasks that were started and wait for their image */
unsigned world_ended(const char *cause);                        /* tasks that have exited for it */

/* ---- checks ---- */

/* From then on what must hold all through a quiet day is checked, and by world_checks_end() what
 * must hold at its end. */
void world_checks_from(double in_s);
void world_checks_end(void);
/* From then on it breaks a rule when a job has no task anywhere for 90 s although it fits and its
 * team's quota allows it. */
void world_check_starvation(double in_s);
void world_check_released(void); /* no record is left of a machine that was returned */

/* ---- between the stand-ins ---- */

/* A rule is broken; detail: by what. */
void world_broke(const char *rule, const char *detail);
/* Did a controller of the former version send the request? */
bool world_sent_by_former(const struct sim_exchange *exchange);
/* Does the key-value store refuse its sender? */
bool world_kv_refuses(const struct sim_exchange *exchange);
/* The request's sender has written the key. */
void world_key_written(const struct sim_exchange *exchange, const char *key);
void kv_init(void);
/* What controllers that know of announced limits keep to from now on. */
void kv_set_announced_limits(double value_kb, unsigned txn_ops);

#endif
