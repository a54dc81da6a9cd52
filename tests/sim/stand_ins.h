/* The stand-ins around the simulated controllers: their users' jobs, the workers with their
 * tasks, the faults of links, and what the stand-ins' modules need of each other. Tests see
 * world.h alone.
 *
 * Times are virtual seconds of sim_now(); 0 means "not yet" or "never" unless said otherwise.
 * Jobs, workers and tasks live until the process ends; nobody frees them but for tasks that
 * leave their worker. */
#ifndef FC_TESTS_SIM_STAND_INS_H
#define FC_TESTS_SIM_STAND_INS_H

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

/* ---- what the deployment's settings say, and what checks allow ---- */

#define LEASE_S 14.0
#define HEARTBEAT_S 2.0
#define CANCEL_DEADLINE_S 34.0 /* a cancelled job has no task left after it */
#define GANG_WAIT_S 30.0       /* a gang's task waits for the others no longer */
#define GANG_PEER_S 5.0        /* within it a gang's task notices that another is gone */
#define WORKER_STEP_S 0.25
#define MACHINE_CPUS 40.0
#define MACHINE_GPUS 4.0
#define BLUE_GPUS_MAX 12.0     /* quota of the one team that has one */
#define ANSWER_DEADLINE_S 75.0 /* without an answer about a job */
#define PENDING_LIMIT_S 90.0   /* of a job that fits */
#define ROUNDING 1e-6          /* of sums of CPUs and GPUs */
#define ZONES 2

/* ---- users ---- */

/* A job as its user knows it. "seen": in an answer that its user got. */
typedef struct sim_job {
  char id[32];
  unsigned tasks;
  const char *kind, *priority, *team;
  double cpus, gpus, run_s;
  double stagger_s; /* each task runs so much longer than the one before it */
  bool one_zone, spread, spot;
  const char *zone;                /* the only one allowed; NULL: any */
  char *body, *body_without_needs; /* of its submission */
  GPtrArray *needs;                /* sim_job: have to be done before it starts */
  double deadline_s;               /* its service-level objective; 0: none */

  double created_at, submit_delay_s; /* the latter counts from the former */
  double cancel_delay_s;             /* counts from its acceptance; 0: never cancelled so */
  double first_submitted_at;         /* 0: not yet */
  bool submitting, terminal;         /* terminal: seen done or cancelled */
  bool seen_accepted, seen_cancelled, seen_done;
  double seen_accepted_at, seen_cancelled_at, seen_done_at;
  bool cancel_requested;
  double cancel_requested_at; /* first */
  double last_answer_at;      /* when a question about it was last answered */

  bool *done; /* by task: has completed once */
  unsigned done_count;
  unsigned starts;         /* of tasks that had their image */
  double first_started_at; /* when its first task had its image */
  double last_started_at;
  double began_at;      /* as first_started_at; of a gang when all its tasks ran */
  double completed_at;  /* when its last task completed */
  double pending_since; /* nothing of it is on a machine although it fits; 0: not so */
  double starved_since; /* tasks of it could start and don't; 0: not so */
} sim_job;

/* ---- workers ---- */

typedef enum { TASK_FETCHING, TASK_WAITING, TASK_RUNNING, TASK_EXITED } task_state;

typedef struct sim_task {
  sim_job *job; /* NULL: unknown here */
  char job_id[32];
  unsigned index;
  uint64_t attempt;
  task_state state;
  const char *cause;     /* of its exit */
  double ends_at;        /* its image fetch, then its run */
  double waiting_since;  /* for the rest of its gang */
  double gang_broken_at; /* when it missed another task of its gang */
} sim_task;

typedef struct sim_worker {
  char id[32];
  uint32_t ip;
  int zone;
  bool spot, up, terminated;
  double created_at, boots_at;
  double released_at; /* to the cloud */
  double planned_hang_s;
  double hung_until;          /* neither runs nor answers */
  double inbound_lost_until;  /* nothing that is sent to it arrives */
  double outbound_lost_until; /* no heartbeat of it reaches a controller */
  double preemption_notice_at, preempted_at;
  uint64_t epoch, heartbeat_seq, fencing_token;
  double lease_renewed_at; /* when the last answered heartbeat was sent */
  GPtrArray *tasks;        /* sim_task */
  int node;                /* the controller that it sends heartbeats to */
  uint64_t connection;     /* to it; 0: none yet */
  double next_heartbeat_at, heartbeat_sent_at;
  uint64_t sent_epoch;                    /* in the heartbeat in flight */
  unsigned incarnation, sent_incarnation; /* one more with each restart of the machine */
  bool in_flight, status_changed;
} sim_worker;

/* ---- faults of links ---- */

/* Which traffic a fault of links concerns. Random days draw among the first six. */
typedef enum {
  LINK_BETWEEN_ZONES,
  LINK_CONTROLLER, /* a controller and everybody */
  LINK_CONTROLLER_KV,
  LINK_CONTROLLER_PEERS,
  LINK_CONTROLLER_WORKERS,
  LINK_CONTROLLER_KV_AND_PEERS,
  LINK_ZONE,             /* a zone and everybody, what belongs to no zone included */
  LINK_WORKER,           /* a worker and everybody */
  LINK_CONTROLLER_WORKER /* one controller and one worker */
} link_scope;

typedef struct link_fault {
  link_scope scope;
  int node;    /* the controller; of LINK_ZONE the zone; -1: none */
  uint32_t ip; /* the worker's */
  double ends_at;
  sim_link mode;
} link_fault;

/* ---- what all stand-ins know ---- */

extern const char *const world_zones[ZONES];
extern GHashTable *g_jobs;          /* id -> sim_job */
extern GHashTable *g_workers;       /* id -> sim_worker */
extern GHashTable *g_workers_by_ip; /* address -> sim_worker */
extern GPtrArray *g_worker_list;    /* sim_worker, in order of creation */
extern world_result g_result;
extern double g_duplicate_share;            /* of heartbeats that are delivered again, late */
extern double g_faults_end_at;              /* all faults are over by then; 0: not decided */
extern double g_cancel_on_completion_share; /* of jobs that are cancelled as they complete */
extern double g_delayed_commit_share;       /* of transactions that are applied late, unanswered */
extern double g_image_fetch_max_s;
extern bool g_verbose;
extern unsigned g_zone_capacity, g_zone_spot_capacity; /* machines that the cloud has in a zone */

int world_any_node(void);

/* ---- workers.c ---- */

void workers_init(void);
/* A new machine, which boots in boot_s. */
sim_worker *worker_new(int zone, bool spot, double boot_s);
/* The room that the tasks on the machine leave. */
void worker_free_room(const sim_worker *worker, double *cpus, double *gpus);
/* The machine restarts at once, with no tasks, under the same name. */
void worker_restart_empty(sim_worker *worker);

/* ---- cloud.c ---- */

void cloud_init(void);

/* ---- users.c ---- */

void users_init(void);
/* Asks for a job that nobody submitted, again and again. */
void users_poll_unknown_job(void *arg);
/* Users cancel up to that many running jobs within within_s; with hang_s > 0 the machines of
 * those jobs hang for so long. */
void users_cancel_running(unsigned count, double within_s, double hang_s);
/* The same later, of the jobs that run then. */
void users_cancel_running_in(unsigned count, double in_s);
void users_cancel_on_machine_in(unsigned machine, unsigned count, double in_s);
/* Until then: repeated submissions, cancellations of done jobs, invalid jobs. */
void users_send_invalid(double until);
/* The job's last task has just completed. */
void users_job_completed(sim_job *job);
void users_add_random_job(unsigned number, double busy_s, bool incidents);
/* For so long users submit one-task jobs that run for a moment. */
void users_submit_burst(double for_s);
/* A pipeline of up to six jobs, numbered from `number` on, some of which may need jobs from
 * before it; returns how many it has. */
unsigned users_add_random_pipeline(unsigned number, double busy_s);
/* Since when everything that it needs is done; INFINITY: something isn't. */
double job_ready_at(const sim_job *job);
/* Was a job that it needs, directly or through others, cancelled? */
bool job_dependency_cancelled(const sim_job *job);

/* ---- incidents.c ---- */

/* Draws incidents, several of which overlap, until `end`; returns when all are over. */
double incidents_start(double end);
/* Makes a job of such a day longer, bound to a zone, or larger. */
void incidents_vary_job(sim_job *job);

/* ---- checks.c ---- */

void checks_start(void);
/* When the day may end: the slowest check has had its time. */
double checks_end_time(void);
void checks_end(void);

#endif
