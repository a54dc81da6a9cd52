/* The environment of the simulated controllers: stand-ins for users, workers, the cloud and the
 * key-value store, written from the published protocol, that check each of its rules; and the calls
 * with which a scene controls them.
 *
 * Durations are seconds of virtual time, times are those of sim_now(). "node": the number of a
 * controller; "machine", "from", "to" (exclusive): numbers of machines in order of creation. A job id
 * has to name a job of the scene. */
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
  unsigned broken;                /* violations of rules */
  char first[200];                /* the first of them */
  unsigned ran_twice, over_quota; /* violations of these two rules: tasks that run twice, quotas exceeded */
  unsigned submitted, accepted, finished, unfinished, cancelled; /* jobs */
  unsigned starts;                                               /* of tasks */
  unsigned lease_kills;             /* tasks that ended because their worker's lease expired */
  unsigned unavoidable_lease_kills; /* of those, on machines that had found no controller up since the renewal */
  unsigned return_kills;            /* tasks of jobs not seen cancelled that ended because their machine was returned */
  unsigned crashes, faults;
  unsigned late_starts;                      /* of tasks, after the user saw the job cancelled */
  unsigned invalid_requests;                 /* requests that must be refused or change nothing */
  unsigned min_served_percent;               /* the lowest percentage of jobs that began, of the jobs of each kind,
                                              * of each team, and of the largest jobs of each kind */
  unsigned starts_after_done;                /* starts of tasks that had completed before */
  unsigned submissions, unanswered, refused; /* ended; not answered; answered with 429 or 503 */
  double min_lease_left_s;                   /* the shortest remaining lease of a running worker */
  unsigned copies, copies_executed, starts_by_copies; /* copies of direct calls delivered; of those, executed; tasks
                                                       * that they began */
  double max_unfenced_s;        /* the longest time in which a restarted machine had seen no token above those before */
  unsigned late_cloud_requests; /* rentals and deletions that were carried out late */
  unsigned late_calls_executed; /* direct calls that were held up, and executed when they arrived */
  unsigned unknown_members;     /* messages that had unknown members */
  unsigned over_rate;           /* transactions that the key-value store refused for their rate */
  unsigned status_requests, status_answers, status_refusals; /* ended; answered with 200; with 503 */
} world_result;

world_result world_current_result(void);
void world_reset_min_lease_left(void); /* min_lease_left_s is measured from here on */

/* ---- random days ---- */

typedef struct world_day {
  bool overlapping_faults; /* add incidents that overlap */
  bool pipelines;          /* add jobs that depend on others */
  bool repeated_calls;     /* executed direct calls arrive again, and some tasks fail */
  bool unknown_members;    /* messages of users, workers, the key-value store and the cloud have unknown members */
  bool late_calls;         /* direct calls are held up, and machines restart after crashes of controllers */
  bool late_cloud;         /* rentals and deletions are carried out late */
  bool upgrade;            /* controllers start with the former version and are upgraded one by one */
} world_day;

/* Simulates one day with the jobs and faults that follow from the seed; jobs are submitted during the
 * first busy_s. */
world_result world_play(uint32_t seed, double busy_s, const world_day *day);

/* ---- set-up of a scene ---- */

/* Creates the stand-ins with the default settings. lose: the share of requests, and of responses,
 * that is lost. */
void world_set_up(uint32_t seed, double lose);
/* Starts the controllers; to be called after the scene has changed its settings. */
void world_start_nodes(void);

void world_capacity(unsigned ordinary, unsigned spot); /* machines that the cloud has in each zone */
/* Adds on-demand machines that have booted. */
void world_add_machines(unsigned zone, unsigned count);
/* Settings for a deployment of that many machines; none is rented or returned. */
void world_large(unsigned machines);
/* The same for a site whose controllers have a fortieth of a core, with the request rates of the
 * key-value store and the cloud that such sites have. */
void world_large_constrained(unsigned machines);
void world_release_idle(void);                       /* idle machines are returned at once */
void world_keep_idle(void);                          /* idle machines are not returned */
void world_archive_after(double for_s);              /* terminal jobs are archived after for_s */
void world_set_blue_quota(double cpus, double gpus); /* the quota of team blue */
void world_add_teams(unsigned count);                /* further teams with a quota, without jobs */
void world_cache_images(void);                       /* machines have all images cached */

/* ---- jobs ---- */

typedef struct world_job {
  const char *id, *kind, *priority, *team; /* priority, team: NULL: standard, red */
  const char *zone;                        /* where it has to run; NULL: anywhere */
  unsigned tasks;
  double gpus, run_s;    /* of each task; it has as many CPUs as GPUs */
  unsigned absent_types; /* machine types that do not exist, listed beside that of all machines */
  double in_s;           /* until its submission */
  double stagger_s;      /* how much longer each task runs than the one before it */
  double odd_run_s;      /* run time of the tasks with odd numbers; 0: run_s */
  bool one_zone, spread, spot;
  double cancel_in_s;          /* from its acceptance as seen by the user; 0: never */
  double deadline_s;           /* 0: none */
  const char *dependencies[4]; /* ids of the jobs that it depends on */
} world_job;

/* The id of that number, such as "job-000007"; valid until the fourth call after this one. */
const char *world_id(unsigned number);
void world_submit_job(const world_job *spec);
/* Submits a job of team red with the placement options that are typical of its kind. */
void world_submit(const char *id, const char *kind, const char *priority, unsigned tasks, double gpus, double run_s,
                  double in_s);
/* Makes a job known to the workers without submitting it. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s);
void world_cancel(const char *id, int node, double in_s); /* through that controller first; -1: any */
void world_cancel_on_completion(double share);            /* cancels that share of jobs as they complete */
/* Users send their requests to that controller, as if the load balancer found no other healthy; -1: to any. */
void world_set_users_node(int node);

/* ---- state of jobs ---- */

/* When the user saw the job in that state; 0: not yet. */
double world_seen_accepted_at(const char *id);
double world_seen_cancelled_at(const char *id);
double world_seen_done_at(const char *id);
const char *world_seen_terminal_state(const char *id); /* "done" or "cancelled"; NULL: neither seen yet */
double world_began_at(const char *id);                 /* when its first task, or its whole gang, ran; 0: not yet */
double world_completed_at(const char *id);             /* when its last task completed; 0: not yet */
unsigned world_tasks_of(const char *id);               /* tasks on machines now, unreachable and hung ones included */
unsigned world_starts_of(const char *id);              /* tasks whose image fetch has ended */
/* The machine that the task with that index is on; -1: none. */
int world_machine_of(const char *id, unsigned index);
/* The number of jobs that were accepted before then, aren't terminal, and have had no status request
 * answered since. */
unsigned world_jobs_unanswered_since(double since);
void world_request_job_status(unsigned node, const char *id); /* its user requests its status and checks the response */
/* Sends a GET request, runs the simulation until it is answered, and returns the HTTP status; 0: timeout. */
int world_get_status(unsigned node, const char *path);

/* ---- controllers ---- */

/* Kills the process; a new one starts after back_in_s. */
void world_crash(unsigned node, double back_in_s);
void world_crash_in(unsigned node, double in_s, double back_in_s);
/* It crashes after_s after its next write of a key with the prefix. With an after_s shorter than the
 * network delay it crashes before it learns the outcome. */
void world_crash_at_write(unsigned node, const char *prefix, double after_s, double back_in_s);
void world_pause_node(unsigned node, double for_s); /* its clock keeps running */
/* From its next start on it has the share of_processor of a core, and its timers fire up to timers_late_s
 * late. */
void world_slow_node(unsigned node, double of_processor, double timers_late_s);
fc_counters world_counters(unsigned node); /* its counters since its last start */
unsigned world_terms_written(void);        /* how often the record of the term was written */

/* ---- versions ---- */

/* Until each is upgraded, controllers run the version that preceded pipelines: they can't read records
 * of jobs with dependencies, ignore the dependencies of submissions and the announced limits of the
 * key-value store, and don't report the formats that they read. To be called after
 * world_kv_announce_limits() and before they start. */
void world_former_version(void);
/* Both kill the controller; it restarts with the current or the former version after back_in_s. */
void world_upgrade(unsigned node, double back_in_s);
void world_downgrade(unsigned node, double back_in_s);
bool world_is_former(unsigned node);
bool world_any_former(void);

/* ---- network faults ---- */

void world_partition_node(unsigned node, double for_s); /* from the key-value store and its peers */
void world_cut_zone(unsigned zone, double for_s);       /* from everything outside the zone */
/* Traffic between the two is held, or connections are reset; both reach all others. */
void world_cut_pair(unsigned node, unsigned machine, double for_s, sim_link mode);
void world_cut_node(unsigned node, double for_s, sim_link mode);         /* from everything */
void world_cut_node_peers(unsigned node, double for_s);                  /* from the other controllers */
void world_cut_node_workers(unsigned node, double for_s, sim_link mode); /* from all workers */
void world_slow_links(double for_s, double max_s);                       /* every message takes up to max_s longer */

/* ---- the key-value store ---- */

void world_kv_refuse_node(unsigned node, double for_s); /* it refuses all requests of that controller */
void world_kv_down(double for_s);
void world_kv_down_in(double in_s, double for_s);
void world_kv_slow(double for_s, double max_s); /* each request is executed up to max_s late */
/* From the next write of the job on, watches are not answered for for_s; writes are served. */
void world_kv_stall_watches(const char *id, double for_s);
/* Sets its limits from now on; write_rps 0: unlimited. */
void world_kv_limit(double value_kb, unsigned txn_ops, double write_rps);
/* Announces those limits in the settings of the controllers; to be called before they start. Larger
 * values and transactions of theirs break a rule from the start. */
void world_kv_announce_limits(double value_kb, unsigned txn_ops, double write_rps);
/* That share of transactions gets no response in time and is applied 2 to 12 s late. */
void world_late_writes(double share);
void world_late_writes_end(double in_s);
void world_late_writes_delay(double min_s, double max_s); /* the delay of late transactions, instead of 2 to 12 s */
void world_late_writes_only(const char *text);            /* only transactions with that text are late; NULL: all */
void kv_set_down(bool down);
bool kv_has_key(const char *key);
bool kv_value_contains(const char *key, const char *text);        /* the text is in its value as compact JSON */
void kv_each_job(const char *prefix, void (*fn)(const char *id)); /* for the job ids that follow the prefix in keys */

/* ---- machines and the cloud ---- */

void world_hang_machines(unsigned from, unsigned to, double for_s); /* they neither run nor answer */
void world_terminate_machines(unsigned from, unsigned to);          /* they end for good */
/* They restart at once under the same names, without their tasks, epochs and fencing tokens; network
 * faults that affect them go on. */
void world_restart_machines(unsigned from, unsigned to);
void world_cut_inbound(unsigned from, unsigned to, double for_s); /* nothing that is sent to them arrives */
/* Their heartbeats reach no controller; direct commands reach them. */
void world_cut_outbound(unsigned from, unsigned to, double for_s);
/* Every task that runs on the machine within for_s fails. */
void world_fail_tasks(unsigned machine, double for_s);
/* That share of the direct calls that workers execute arrives again, a fraction of a second to some leases later,
 * some of it more than once. */
void world_repeat_calls(double share);
void world_record_calls(void); /* records the direct calls and the starts that workers execute from now on */
/* Copies of the recorded calls to the machine arrive now; returns their number. */
unsigned world_repeat_calls_to(unsigned machine);
/* The recorded starts of the job arrive now by direct calls, as an earlier version sent them; returns the number of
 * calls. */
unsigned world_deliver_starts_directly(const char *id);
/* From now on direct calls to workers are held up on their way, and not answered; or no more are. */
void world_hold_calls(bool hold);
/* That share of the direct calls arrives 2 to 16 s late, without an answer; machines restart after crashes of
 * controllers. */
void world_late_calls(double share);
unsigned world_held_calls(void);            /* how many are held */
int world_held_call_machine(unsigned call); /* the machine that the held call of that number was sent to */
/* The held calls arrive; returns how many were executed. */
unsigned world_deliver_held_calls(void);
/* Both give a machine notice that it is preempted in in_s; the first picks a spot machine in use, and
 * returns false if there is none. */
bool world_preempt_any_spot(double in_s);
void world_preempt_machine(unsigned machine, double in_s);
/* Delivers a heartbeat with the machine's current status to the controller after in_s. */
void world_duplicate_heartbeat(unsigned machine, unsigned node, double in_s);
/* That share of the rentals and deletions is carried out so much later, without a response in time or a second time. */
void world_late_cloud(double share, double min_s, double max_s);
/* Checks that each machine with tasks that have not ended has a record. */
void world_check_tasks_known(void);
void world_cloud_down(bool down); /* it answers every request with 503 */

unsigned world_machine_count(void);                             /* created so far */
unsigned world_terminated_machines(unsigned from, unsigned to); /* how many of them are terminated */
/* How many workers have seen a raised fencing token, while no term is of the former version. */
unsigned world_raised_tokens(void);
/* The machine's worker sees a token that leaves few raised ones in its term. */
void world_use_up_tokens(unsigned machine);
unsigned world_owner_of(unsigned machine);      /* the controller that owns it; WORLD_NODES: none */
unsigned world_node_of(unsigned machine);       /* the controller that it sends heartbeats to */
unsigned world_running_tasks(void);             /* the number of running tasks */
unsigned world_fetching_tasks(void);            /* the number of tasks that fetch their image */
unsigned world_exited_tasks(const char *cause); /* the number of tasks that exited with that cause */

/* ---- checks ---- */

/* From then on checks what has to hold while there are no faults; world_checks_end() checks what has to
 * hold at the end. */
void world_checks_from(double in_s);
void world_checks_end(void);
/* From then on it is a violation if a job has no task anywhere for 90 s although it fits and the quota
 * of its team allows it. */
void world_check_starvation(double in_s);
void world_check_released(void); /* checks that no record is left of a machine that was returned */

/* ---- between the stand-ins ---- */

/* Records a violation of the rule; detail: what violated it. */
void world_rule_broken(const char *rule, const char *detail);
/* Whether a controller of the former version sent the request. */
bool world_sent_by_former(const struct sim_exchange *exchange);
/* Whether the key-value store refuses the sender of the request. */
bool world_kv_refuses(const struct sim_exchange *exchange);
/* To be called when the sender of the request has written the key. */
void world_key_written(const struct sim_exchange *exchange, const char *key);
void kv_init(void);
/* Sets the limits that controllers aware of announced limits have to respect from now on. */
void kv_set_announced_limits(double value_kb, unsigned txn_ops);

#endif
