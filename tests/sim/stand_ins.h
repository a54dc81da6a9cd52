/* The stand-ins for the parties around the simulated controllers: jobs of users, workers with their
 * tasks, network faults, and what the modules of the stand-ins share. Tests include world.h only.
 *
 * Times are virtual seconds of sim_now(); 0 means "not yet" or "never" unless said otherwise.
 * Jobs, workers and tasks live until the process ends; only tasks that leave their worker
 * are freed. */
#ifndef FC_TESTS_SIM_STAND_INS_H
#define FC_TESTS_SIM_STAND_INS_H

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/* ---- settings of the deployment, and limits of the checks ---- */

#define LEASE_S 14.0
#define HEARTBEAT_S 2.0
#define CANCEL_DEADLINE_S 34.0 /* after it no task of a cancelled job runs */
#define GANG_WAIT_S 30.0       /* how long a task of a gang waits for the others */
#define GANG_PEER_S 5.0        /* within it a task of a gang detects that another is lost */
#define WORKER_STEP_S 0.25
#define MACHINE_CPUS 40.0
#define MACHINE_GPUS 4.0
#define BLUE_GPUS_MAX 12.0      /* the quota of team blue; team red has none */
#define ANSWER_DEADLINE_S 75.0  /* the longest that a job's status may be unavailable */
#define PENDING_LIMIT_S 90.0    /* how long a job that fits may be pending */
#define ROUNDING_TOLERANCE 1e-6 /* tolerance for sums of CPUs and GPUs */
#define ZONES 2

/* ---- users ---- */

/* A job as its user knows it. "seen": in a response that the user received. */
typedef struct sim_job {
  char id[32];
  unsigned tasks;
  const char *kind, *priority, *team;
  double cpus, gpus, run_s;
  double stagger_s; /* how much longer each task runs than the one before it */
  double odd_run_s; /* run time of the tasks with odd numbers; 0: run_s */
  bool one_zone, spread, spot;
  unsigned absent_types;                  /* listed as allowed machine types, though they do not exist */
  const char *zone;                       /* where it has to run; NULL: anywhere */
  char *body, *body_without_dependencies; /* of its submission */
  GPtrArray *dependencies;                /* sim_job: jobs that have to be done before it starts */
  double deadline_s;                      /* its service-level objective; 0: none */

  double created_at;
  double submit_delay_s; /* from created_at */
  double cancel_delay_s; /* from its acceptance; 0: not cancelled after a delay */
  double first_submitted_at;
  bool submitting, terminal; /* terminal: seen done or cancelled */
  bool seen_accepted, seen_cancelled, seen_done;
  double seen_accepted_at, seen_cancelled_at, seen_done_at;
  bool cancel_requested;
  double cancel_requested_at; /* the first request */
  double last_answer_at;      /* when a status request for it was last answered */

  bool *done; /* by task: whether it has completed at least once */
  unsigned done_count;
  unsigned starts;         /* tasks whose image fetch has ended */
  double first_started_at; /* when the first image fetch ended */
  double last_started_at;  /* when the latest image fetch ended */
  double began_at;         /* as first_started_at; for a gang, when all its tasks ran */
  double completed_at;     /* when its last task completed */
  double pending_since;    /* no task of it is on a machine although it fits; 0: not the case */
  double starved_since;    /* tasks of it could start but don't; 0: not the case */
} sim_job;

/* ---- workers ---- */

typedef enum { TASK_FETCHING, TASK_WAITING, TASK_RUNNING, TASK_EXITED } task_state;

typedef struct sim_task {
  sim_job *job; /* NULL: the worker does not know it */
  char job_id[32];
  unsigned index;
  uint64_t attempt;
  task_state state;
  const char *cause;     /* of its exit */
  double ends_at;        /* the image fetch, then the run */
  double waiting_since;  /* waits for the rest of its gang since then */
  bool fails;            /* ends with an error instead of completing */
  double gang_broken_at; /* when it detected the loss of another task of its gang */
} sim_task;

typedef struct sim_worker {
  char id[32];
  uint32_t ip;
  int zone;
  bool spot, up, terminated;
  double created_at, boots_at;
  double released_at; /* when it was returned to the cloud */
  double planned_hang_s;
  double tasks_fail_until;    /* until then every task that runs on it fails */
  double hung_until;          /* until then it neither runs nor answers */
  double inbound_lost_until;  /* until then nothing that is sent to it arrives */
  double outbound_lost_until; /* until then its heartbeats reach no controller */
  double preemption_notice_at, preempted_at;
  uint64_t epoch, heartbeat_seq, fencing_token;
  uint64_t token_before_restart; /* the highest token that it has seen in earlier lives */
  double restarted_at;           /* since when it has not seen a higher one; 0: it has, or was not restarted */
  double token_reported_at;      /* when a higher fencing token last counted as a changed status */
  double lease_renewed_at;       /* when the last answered heartbeat was sent */
  GPtrArray *tasks;              /* sim_task */
  int node;                      /* the controller that it sends heartbeats to */
  uint64_t connection;           /* to that controller; 0: none open */
  double next_heartbeat_at, heartbeat_sent_at;
  uint64_t sent_epoch;                    /* the epoch in the heartbeat in flight */
  unsigned incarnation, sent_incarnation; /* incremented at each restart of the machine */
  bool in_flight, status_changed;
  bool tried_live_controller; /* since the lease was renewed, a heartbeat was sent to a controller that was up */
} sim_worker;

/* ---- network faults ---- */

/* Which traffic a fault affects. Random faults use the first six. */
typedef enum {
  LINK_BETWEEN_ZONES,
  LINK_CONTROLLER, /* all traffic of a controller */
  LINK_CONTROLLER_KV,
  LINK_CONTROLLER_PEERS,
  LINK_CONTROLLER_WORKERS,
  LINK_CONTROLLER_KV_AND_PEERS,
  LINK_ZONE,             /* between a zone and all else, what belongs to no zone included */
  LINK_WORKER,           /* all traffic of a worker */
  LINK_CONTROLLER_WORKER /* one controller and one worker */
} link_scope;

typedef struct link_fault {
  link_scope scope;
  int node;    /* the controller; for LINK_ZONE the zone; -1: none */
  uint32_t ip; /* the worker's */
  double ends_at;
  sim_link mode;
} link_fault;

/* ---- state that all stand-ins share ---- */

extern const char *const k_zones[ZONES];
extern GHashTable *g_jobs;          /* id -> sim_job */
extern GHashTable *g_workers;       /* id -> sim_worker */
extern GHashTable *g_workers_by_ip; /* address -> sim_worker */
extern GPtrArray *g_worker_list;    /* sim_worker, in order of creation */
extern world_result g_result;
extern double g_duplicate_share;            /* of heartbeats that are delivered a second time, late */
extern double g_faults_end_at;              /* all faults are over by then; 0: not known yet */
extern double g_cancel_on_completion_share; /* of jobs that are cancelled as they complete */
extern double g_delayed_commit_share;       /* of transactions that are applied late, unanswered */
extern double g_failing_task_share;         /* of tasks that begin */
extern double g_image_fetch_max_s;
extern bool g_verbose;
extern unsigned g_zone_capacity, g_zone_spot_capacity; /* machines that the cloud has in each zone */

/* The number of a random controller. */
int world_random_node(void);

/* ---- workers.c ---- */

void workers_init(void);
/* Creates a machine that has booted after boot_s. */
sim_worker *worker_new(int zone, bool spot, double boot_s);
/* The CPUs and GPUs that the tasks on the machine leave free. */
void worker_free_room(const sim_worker *worker, double *cpus, double *gpus);
/* Restarts the machine at once under the same name, without its tasks. */
void worker_restart_empty(sim_worker *worker);

/* ---- cloud.c ---- */

void cloud_init(void);

/* ---- users.c ---- */

void users_init(void);
/* Keeps requesting the status of a job that was never submitted. */
void users_poll_unknown_job(void *arg);
/* Cancels up to `count` running jobs within within_s; with hang_s > 0 their machines hang for that
 * long. */
void users_cancel_running(unsigned count, double within_s, double hang_s);
/* Both cancel up to `count` jobs that run after in_s: on any machine, or on that one. */
void users_cancel_running_in(unsigned count, double in_s);
void users_cancel_on_machine_in(unsigned machine, unsigned count, double in_s);
/* Until then users repeat submissions, cancel done jobs and submit invalid jobs. */
void users_send_invalid(double until);
/* To be called when the last task of the job completes. */
void users_job_completed(sim_job *job);
/* Adds a random job that is submitted within busy_s. incidents: the day has incidents that overlap. */
void users_add_random_job(unsigned number, double busy_s, bool incidents);
/* Users submit short jobs of one task for that long. */
void users_submit_burst(double for_s);
/* Adds a pipeline of up to six jobs, numbered from `number` on, which may depend on an earlier job;
 * returns the number of its jobs. */
unsigned users_add_random_pipeline(unsigned number, double busy_s);
/* When the last of its dependencies was done; INFINITY: one of them isn't. */
double job_ready_at(const sim_job *job);
/* Whether a job was cancelled that it depends on directly or through others. */
bool job_dependency_cancelled(const sim_job *job);

/* ---- incidents.c ---- */

/* Starts random incidents, several at a time, until `end`; returns the time by which all are over. */
double incidents_start(double end);
/* Makes some jobs of a day with incidents longer, larger or restricted to a zone. */
void incidents_vary_job(sim_job *job);

/* ---- checks.c ---- */

/* Starts the periodic checks for starvation. */
void checks_start(void);
/* The time by which every delay that the checks allow is over, so that checks_end() can be called. */
double checks_end_time(void);
/* Checks what has to hold at the end of a day. */
void checks_end(void);

#endif
