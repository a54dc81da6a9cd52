/* One controller. Being taken apart: each duty gets a struct of its own that is handed what it
 * needs; what is left here are the duties that still share this one. */
#ifndef FC_CONTROLLER_CONTROLLER_H
#define FC_CONTROLLER_CONTROLLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "bookkeeping/record_writes.h"
#include "bookkeeping/token_bucket.h"
#include "controller/cancellations.h"
#include "controller/cloud_access.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/quota_shares.h"
#include "controller/wakeups.h"
#include "protocol/json.h"
#include "protocol/peer_frame.h"
#include "protocol/settings.h"
#include "transport/http.h"
#include "transport/routine.h"

typedef struct fc_controller fc_controller;

struct fc_controller {
  const fc_settings *settings;
  fc_cluster *cluster;
  fc_kv *kv;
  fc_cloud_access *cloud;
  fc_group_commit *commit;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_cancellations *cancellations;
  fc_kv_watch *watch;
  fc_quota_shares *quota_shares;

  fc_token_bucket lookup_budget; /* for questions about jobs that are not in memory */
  GHashTable *archived;          /* id -> fc_archived_job: awaited ones that were found lately */

  unsigned giving[FC_MEMBERS_MAX]; /* machines whose records, being written, give them to these */
  unsigned worker_calls;           /* direct calls to workers under way */
  uint64_t attempt_counter;
  double started_at;
  double looked_at;      /* when places beyond free room were last looked for */
  GHashTable *recording; /* id of a job whose ends are being written -> fc_cond: another of its tasks has ended */
};

typedef enum { FC_FOUND, FC_NOT_THERE, FC_NOT_SURE } fc_lookup;
/* Looks for a job among the archived ones; the table has just been proved current. */
fc_lookup fc_archive_find(fc_controller *controller, const char *id, double deadline, fc_archived_job *out);

/* Starts listening and all duties. NULL, with the reason, when it can't. */
fc_controller *fc_controller_start(const fc_settings *settings, const char **why);

/* For tests: what it has counted since its start, and what it knows. */
const fc_counters *fc_controller_counters(const fc_controller *controller);
const fc_cluster *fc_controller_cluster(const fc_controller *controller);

/* Duties. */
void fc_round_main(void *controller);
void fc_archive_main(void *controller);
bool fc_front_start(fc_controller *controller);

/* workers.c */
void fc_workers_report(fc_controller *controller, const fc_http_request *req, int *status, GString *out);
/* Sends what the machine is owed (starts, stops, clears) or, when it is not
 * settled yet, an empty command that fences it. */
void fc_workers_push(fc_controller *controller, fc_machine *machine);
/* Takes in what a machine of ours has answered to a direct call that was sent at `asked_at`. */
void fc_workers_called(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat, double asked_at);
/* Is there a socket for it? */
bool fc_workers_may_push(const fc_controller *controller, const fc_machine *machine);
/* Marks the task to be stopped with time to save; it is told by the next push or
 * answer. */
void fc_workers_stop(const fc_controller *controller, fc_placement *placement);
/* May the task not run any more? */
bool fc_workers_unwanted(const fc_controller *controller, const fc_placement *placement);
/* Marks the machine to be asked directly when there is reason to; true: it is. */
bool fc_workers_doubt(const fc_controller *controller, fc_machine *machine);
/* completions.c */
/* Writes the ends of a job's tasks to the state service. */
void fc_workers_record(fc_controller *controller, const char *job_id);

/* reachability.c */
/* Asks another member's machine directly, where its owner may have to know whether anybody
 * reaches it. */
void fc_workers_ask(fc_controller *controller, fc_machine *machine);
/* Silent for so long that its worker has given up all its tasks? */
void fc_workers_expire(fc_controller *controller);

#endif
