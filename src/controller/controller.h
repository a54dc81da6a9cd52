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
#include "controller/heartbeats.h"
#include "controller/kv_watch.h"
#include "controller/leadership.h"
#include "controller/machine_probes.h"
#include "controller/metrics.h"
#include "controller/peers.h"
#include "controller/wakeups.h"
#include "controller/worker_calls.h"
#include "controller/worker_leases.h"
#include "protocol/cloud_api.h"
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
  fc_cloud *cloud;
  fc_group_commit *commit;
  fc_metrics *metrics;
  fc_wakeups *wakeups;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_cancellations *cancellations;
  fc_kv_watch *watch;
  fc_worker_calls *worker_calls;
  fc_machine_probes *probes;
  fc_worker_leases *worker_leases;
  fc_heartbeats *heartbeats;

  fc_token_bucket cloud_budget;

  /* While a write of ours is undecided, the lower of it and the record counts. */
  double share_cap_cpus[FC_TEAMS_MAX], share_cap_gpus[FC_TEAMS_MAX];
  uint64_t share_cap_version; /* that write is conditional on it */
  bool share_capped;

  uint64_t attempt_counter;
  uint64_t rental_counter;
  double looked_at; /* when places beyond free room were last looked for */
  double types_at;  /* when the machine types were last read */
};

/* Starts listening and all duties. NULL, with the reason, when it can't. */
fc_controller *fc_controller_start(const fc_settings *settings, const char **why);

/* For tests: what it has counted since its start, and what it knows. */
const fc_counters *fc_controller_counters(const fc_controller *controller);
const fc_cluster *fc_controller_cluster(const fc_controller *controller);

/* Duties. */
void fc_round_main(void *controller);
void fc_rent_main(void *controller);
void fc_overdue_main(void *controller);

/* rent.c */
/* Waits for our share of the cloud's rate; false: cancelled. */
bool fc_cloud_turn(fc_controller *controller);
/* Takes nothing new from here on, and is among those to be given back. */
void fc_machine_begin_return(fc_machine *machine, const char *why, GPtrArray *ids);
/* The cloud has confirmed that these machines are gone: nothing is on them any more. */
void fc_machines_gone(fc_controller *controller, const GPtrArray *ids);

#endif
