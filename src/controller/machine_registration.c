#include "controller/machine_registration.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/record_writes.h"
#include "bookkeeping/shard_ownership.h"
#include "protocol/records.h"
#include "transport/routine.h"

#define CONFIRM_TIMEOUT_HEARTBEATS 0.5
#define ENDPOINT_TIMEOUT_HEARTBEATS 1.0 /* for the write, and again for reading it back */
#define RECORD_TIMEOUT_S 2.0
#define RECORD_OUTCOME_TIMEOUT_S 1.5
#define RECORD_RETRY_TIMEOUT_S 1.0

struct fc_machine_registration {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_wakeups *wakeups;
  unsigned pending[FC_MEMBERS_MAX]; /* by member: records being written that name it as owner */
};

typedef struct endpoint_routine {
  fc_machine_registration *registration;
  char machine[FC_NAME_SIZE];
} endpoint_routine;

fc_machine_registration *fc_machine_registration_new(fc_cluster *cluster, const fc_leadership *leadership,
                                                     fc_group_commit *commit, fc_kv_watch *watch, fc_wakeups *wakeups) {
  fc_machine_registration *registration = g_new(fc_machine_registration, 1);
  *registration = (fc_machine_registration){
      .cluster = cluster, .leadership = leadership, .commit = commit, .watch = watch, .wakeups = wakeups};
  return registration;
}

void fc_machine_registration_free(fc_machine_registration *registration) {
  g_free(registration);
}

/* ---- endpoints ---- */

/* The routine that adds one machine's endpoint to its record. */
static void run_endpoint_write(void *arg) {
  const endpoint_routine routine = *(endpoint_routine *)arg;
  g_free(arg);
  fc_machine_registration *registration = routine.registration;
  const fc_cluster *cluster = registration->cluster;
  double timeout_s = cluster->settings->heartbeat_s * ENDPOINT_TIMEOUT_HEARTBEATS;
  fc_machine *machine = fc_cluster_find_machine(cluster, routine.machine);
  if (!machine) return;
  fc_write *write = fc_machine_record_write(routine.machine, machine->record_version, cluster->membership.term_version,
                                            &machine->record);
  uint64_t revision = 0;
  if (fc_group_commit_write(registration->commit, write, FC_WRITE_PRIORITY_HEARTBEAT, fc_now() + timeout_s,
                            &revision) == FC_KV_OK)
    (void)fc_kv_watch_wait_revision(registration->watch, revision, fc_now() + timeout_s);
  machine = fc_cluster_find_machine(cluster, routine.machine);
  if (machine) machine->endpoint_write_pending = false;
  fc_wakeups_raise(registration->wakeups, FC_WAKEUP_SCHEDULE);
}

void fc_machine_registration_record_endpoint(fc_machine_registration *registration, fc_machine *machine) {
  if (machine->endpoint_recorded || machine->endpoint_write_pending || machine->record_write_pending ||
      !machine->record.endpoint[0])
    return;
  endpoint_routine *routine = g_new0(endpoint_routine, 1);
  routine->registration = registration;
  g_strlcpy(routine->machine, machine->id, sizeof routine->machine);
  machine->endpoint_write_pending = true;
  if (!fc_routine_spawn(run_endpoint_write, routine)) {
    machine->endpoint_write_pending = false;
    g_free(routine);
  }
}

/* ---- records ---- */

/* Returns whether the machine exists, by calling it. A heartbeat of a machine without a record may
 * come from a delayed rental, or be a delayed copy from a machine that was returned; only the machine
 * itself can tell. Without this check a returned machine was recorded again. Suspends the calling
 * routine. */
static bool confirm_machine(const fc_machine_registration *registration, const fc_heartbeat *heartbeat) {
  const fc_cluster *cluster = registration->cluster;
  fc_endpoint endpoint;
  fc_heartbeat answer;
  if (!fc_endpoint_parse(heartbeat->endpoint, &endpoint)) return false;
  fc_worker_call_result result =
      fc_worker_call(&endpoint, cluster->membership.term.number, heartbeat->epoch, NULL, 0,
                     fc_now() + cluster->settings->heartbeat_s * CONFIRM_TIMEOUT_HEARTBEATS, &answer);
  if (!fc_worker_call_answered(result)) return false;
  bool same = strcmp(answer.machine, heartbeat->machine) == 0;
  fc_heartbeat_clear(&answer);
  return same;
}

/* Returns whether the cloud offers machines of that type in that zone. */
static bool type_and_zone_known(const fc_cluster *cluster, const fc_heartbeat *heartbeat) {
  int type = fc_cluster_find_machine_type(cluster, heartbeat->type);
  if (type < 0) return false;
  const fc_machine_type *machine_type = cluster->machine_types->pdata[type];
  return g_strv_contains((const gchar *const *)machine_type->zones, heartbeat->zone);
}

/* Returns the index of the member that is to own the machine. */
static int choose_owner(const fc_machine_registration *registration, const fc_heartbeat *heartbeat) {
  /* Records that are still being written count too: without them, when a whole fleet sent its first
   * heartbeats at once, hundreds of machines went to the member that had the fewest just before. */
  unsigned pending[FC_MEMBERS_MAX];
  for (size_t i = 0; i < FC_MEMBERS_MAX; i++) pending[i] = registration->pending[i] * FC_BALANCE_SAME_KIND_WEIGHT;
  return fc_cluster_balanced_owner(registration->cluster, heartbeat->machine, heartbeat->type, heartbeat->zone,
                                   heartbeat->spot, pending);
}

/* Writes the record of a machine that has none. Suspends the calling routine. */
static fc_kv_result write_record(fc_machine_registration *registration, const fc_heartbeat *heartbeat,
                                 uint64_t *revision) {
  const fc_cluster *cluster = registration->cluster;
  fc_machine_record record = {.spot = heartbeat->spot};
  g_strlcpy(record.endpoint, heartbeat->endpoint, sizeof record.endpoint);
  g_strlcpy(record.type, heartbeat->type, sizeof record.type);
  g_strlcpy(record.zone, heartbeat->zone, sizeof record.zone);
  int owner = choose_owner(registration, heartbeat);
  g_strlcpy(record.owner, cluster->membership.term.members[owner].name, sizeof record.owner);
  registration->pending[owner]++;
  fc_write *write = fc_machine_record_write(heartbeat->machine, 0, cluster->membership.term_version, &record);
  /* A delayed write must not bring back the record of a machine that has been recorded, used and
   * returned in the meantime. */
  fc_write_compare(write, FC_KEY_RETURNED, cluster->returns_version);
  fc_kv_result result = fc_group_commit_write(registration->commit, write, FC_WRITE_PRIORITY_HEARTBEAT,
                                              fc_now() + RECORD_TIMEOUT_S, revision);
  registration->pending[owner]--;
  return result;
}

bool fc_machine_registration_record(fc_machine_registration *registration, const fc_heartbeat *heartbeat) {
  fc_cluster *cluster = registration->cluster;
  /* A machine of unknown type or zone is never used, and is returned as an orphan. */
  if (!type_and_zone_known(cluster, heartbeat) || !confirm_machine(registration, heartbeat) ||
      !fc_leadership_held(registration->leadership))
    return false;
  fc_machine *machine = fc_cluster_ensure_machine(cluster, heartbeat->machine, fc_now());
  if (machine->record_write_pending) return false;
  machine->record_write_pending = true;
  uint64_t revision = 0;
  fc_kv_result result = write_record(registration, heartbeat, &revision);
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  if (machine) machine->record_write_pending = false;
  if (result == FC_KV_OK)
    return fc_kv_watch_wait_revision(registration->watch, revision, fc_now() + RECORD_OUTCOME_TIMEOUT_S);
  (void)fc_kv_watch_wait_fresh(registration->watch, fc_now() + RECORD_RETRY_TIMEOUT_S);
  machine = fc_cluster_find_machine(cluster, heartbeat->machine);
  return machine && machine->record_version;
}
