/* What the stand-ins share with each other: jobs, workers, the rules' checks. */
#ifndef FC_TESTS_PARTS_H
#define FC_TESTS_PARTS_H

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

#define LEASE_S 14.0
#define REPORT_S 2.0
#define CANCEL_S 34.0
#define GANG_WAIT_S 30.0
#define GANG_PEER_S 5.0
#define STEP_S 0.25
#define MACHINE_CPUS 40.0
#define MACHINE_GPUS 4.0
#define BLUE_GPUS_MAX 12.0 /* the limit of the team that has one */
#define FORGOTTEN_S 75.0   /* without an answer about a job */
#define WAITS_S 90.0

typedef struct job {
  char id[32];
  unsigned tasks;
  const char *kind, *rank, *team;
  double cpus, gpus, run_s, later_s;
  bool one_zone, spread, spot;
  const char *zone;        /* the only one allowed; NULL: any */
  char *body, *plain_body; /* the latter without what it awaits */
  bool told_accepted, cancel_asked, told_cancelled, told_done;
  double cancelled_at;
  double cancel_asked_at;      /* first */
  double submit_at, cancel_at; /* cancel_at 0: never; both count from other moments */
  double entered_at;           /* submit_at counts from it */
  double accepted_at;          /* when its user was first told */
  double first_submitted_at;   /* 0: not yet */
  bool *done;
  unsigned done_count;
  bool submitting, over;
  unsigned starts;
  double told_done_at;
  double waits_since; /* beside room, with nothing anywhere; 0: it doesn't */
  double answered_at; /* when a question about it was last answered */
  double started_at;  /* when its first task had its image; 0: not yet */
  double began_at;    /* the same, of a gang when all its tasks ran */
  double ended_at;    /* when its last task completed */
  double last_start;  /* of a task of it */
  double left_since;  /* it could run and waits; 0: it doesn't */
  GPtrArray *awaits;  /* job: have to be done before it starts */
  double whistle_s;   /* 0: no deadline */
} job;

typedef enum { T_FETCHING, T_WAITING, T_RUNNING, T_EXITED } tstate;

typedef struct task {
  job *job;
  char job_id[32];
  unsigned index;
  uint64_t attempt;
  tstate state;
  const char *cause;
  double until, since; /* fetch or run ends then; waiting or broken since */
  double broken_at;
} task;

typedef struct worker {
  char id[32];
  uint32_t ip;
  int zone;
  bool spot, up, gone;
  double returned_at; /* 0: not */
  double hang_s;      /* so long once it hangs */
  double born, up_at, hang_until, deaf_until, mute_until, notice_at, taken_at;
  uint64_t session, seq, token, told_token;
  double last_ok; /* when the last answered report was sent */
  GPtrArray *tasks;
  int node;
  uint64_t connection; /* to it; 0: none yet */
  double next_report, sent_at, last_sent;
  uint64_t sent_session;
  unsigned life, sent_life; /* one more each time it is back at once */
  bool in_flight, changed;
} worker;

typedef struct cut {
  enum {
    CUT_ZONES,
    CUT_NODE,
    CUT_NODE_STATE,
    CUT_NODE_PEERS,
    CUT_NODE_WORKERS,
    CUT_NODE_ALONE,
    CUT_ZONE,
    CUT_WORKER,
    CUT_PAIR /* one controller and one worker, from each other alone */
  } kind;
  int node; /* of CUT_ZONE the zone */
  uint32_t ip;
  double until;
  sim_link mode;
} cut;

extern const char *const world_zones[2];
extern GHashTable *g_jobs, *g_workers, *g_by_ip;
extern GPtrArray *g_order; /* workers in order of creation */
extern world_result g_result;
extern double g_copies;        /* share of reports that are delivered again, late */
extern double g_quiet_from;    /* all troubles are over by then; 0: not decided */
extern double g_cancel_at_end; /* share of the jobs that are called off as they end */
extern double g_late_writes;   /* share of transactions that are carried out late, unanswered */
extern double g_fetch_s;       /* the longest image fetch */
extern bool g_verbose;
extern unsigned g_capacity, g_capacity_spot; /* machines of a zone */

int world_any_node(void);
/* workers.c */
worker *worker_new(int zone, bool spot, double boot_s);
/* The machine is off and back at once, with nothing on it, under the same name. */
void worker_reborn(worker *w);
void workers_init(void);
/* cloud.c */
void cloud_init(void);
/* users.c */
void users_init(void);
void ask_unknown(void *arg);
/* Users cancel that many jobs that run, within so long; machines of theirs hang. */
void users_cancel_some(unsigned count, double within_s, double hang_s);
void users_cancel_later(unsigned count, double in_s); /* of those that run then */
void users_cancel_on(unsigned machine, unsigned count, double in_s);
/* Repeats, cancellations of what is done, jobs that can't be. */
void users_odd(double until);
/* Its last task has just completed. */
void users_job_ends(job *j);
void job_new(unsigned n, double busy_s, bool meetings);
/* A pipeline of up to six jobs, numbered from n on, some of which may await jobs of before;
 * how many there are. */
unsigned pipeline_new(unsigned n, double busy_s);
/* Since when everything that it awaits is done; INFINITY: something isn't. */
double job_ready_at(const job *j);
/* Was a job that it needs, directly or through others, called off? */
bool job_called_off(const job *j);
/* troubles.c: draws meetings up to `end`; all are over by the time it returns. */
double troubles_start(double end);
/* Jobs of such days: longer, bound to a zone, larger. */
void troubles_vary(job *j);
/* checks.c */
void checks_start(void);
double checks_day_ends(void);
void checks_end(void);

#endif
