#include "controller/rental_execution.h"

#include <string.h>

#include "bookkeeping/shard_ownership.h"
#include "controller/capacity_refusals.h"
#include "scheduler/scale_out.h"
#include "transport/routine.h"

#define WRITE_TIMEOUT_S 5.0
#define READ_TIMEOUT_S 2.0
#define CLOUD_TIMEOUT_S 4.0

/* All in worker leases. */
#define INTENT_TIMEOUT_LEASES 0.5
#define NO_CAPACITY_LEASES 1.0 /* how long a refused kind of machine is not requested again */
#define PARTIAL_CAPACITY_LEASES 0.5

/* Recorded as owner of a rental whose machines are distributed evenly among the shards; not a valid member name. */
#define BALANCED_OWNER "*"

struct fc_rental_execution {
  fc_cluster *cluster;
  fc_cloud_access *cloud;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_leadership *leadership;
  fc_capacity_refusals *refusals;
  uint64_t name_counter; /* rentals named by this incarnation so far */
};

/* A copy of a recorded intent, as the record may be removed while the routine is suspended. */
typedef struct rental {
  char *name;
  fc_rental_record record;
  GPtrArray *machine_ids;
  bool outcome_known;
} rental;

fc_rental_execution *fc_rental_execution_new(fc_cluster *cluster, fc_cloud_access *cloud, fc_group_commit *commit,
                                             fc_kv_watch *watch, fc_leadership *leadership) {
  fc_rental_execution *execution = g_new0(fc_rental_execution, 1);
  execution->cluster = cluster;
  execution->cloud = cloud;
  execution->commit = commit;
  execution->watch = watch;
  execution->leadership = leadership;
  execution->refusals = fc_capacity_refusals_new(cluster);
  return execution;
}

bool fc_rental_execution_idle(const fc_rental_execution *execution) {
  return g_hash_table_size(execution->cluster->rentals) == 0;
}

static rental *rental_new(const char *name, const fc_rental_record *record) {
  rental *copy = g_new0(rental, 1);
  copy->name = g_strdup(name);
  copy->record = *record;
  copy->machine_ids = g_ptr_array_new_with_free_func(g_free);
  return copy;
}

static void rental_free(gpointer data) {
  rental *copy = data;
  g_free(copy->name);
  g_ptr_array_free(copy->machine_ids, TRUE);
  g_free(copy);
}

static char *intent_key(const char *name) {
  return g_strconcat(FC_PREFIX_RENTAL, name, NULL);
}

static fc_kv_result commit_write(const fc_rental_execution *execution, fc_write *write, double timeout_s,
                                 uint64_t *revision) {
  return fc_group_commit_write(execution->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + timeout_s, revision);
}

static bool wait_revision(const fc_rental_execution *execution, uint64_t revision) {
  return fc_kv_watch_wait_revision(execution->watch, revision, fc_now() + READ_TIMEOUT_S);
}

static void wait_fresh(const fc_rental_execution *execution) {
  (void)fc_kv_watch_wait_fresh(execution->watch, fc_now() + READ_TIMEOUT_S);
}

/* ---- recording intents ---- */

/* The name is unique, as the number of an incarnation is never reused. */
static char *next_name(fc_rental_execution *execution) {
  return g_strdup_printf("r-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
                         (guint64)fc_leadership_incarnation(execution->leadership), (guint64)++execution->name_counter);
}

static fc_rental_record intent_of(const fc_cluster *cluster, const fc_rental_request *request) {
  const fc_machine_type *machine_type = cluster->machine_types->pdata[request->type];
  const char *owner = request->owner >= 0 ? cluster->membership.term.members[request->owner].name : BALANCED_OWNER;
  fc_rental_record intent = {.spot = request->spot, .count = MIN(request->count, FC_RENTAL_MACHINES_MAX)};
  g_strlcpy(intent.type, machine_type->name, sizeof intent.type);
  g_strlcpy(intent.zone, request->zone, sizeof intent.zone);
  g_strlcpy(intent.owner, owner, sizeof intent.owner);
  return intent;
}

/* Records the intent, which has to be durable before the request to the cloud. Returns whether it is recorded, and has
 * been read. */
static bool record_intent(fc_rental_execution *execution, const fc_rental_request *request) {
  const fc_cluster *cluster = execution->cluster;
  fc_rental_record intent = intent_of(cluster, request);
  char *name = next_name(execution);
  char *key = intent_key(name);
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_TERM, cluster->membership.term_version);
  fc_write_compare(write, key, 0);
  fc_write_put(write, key, fc_rental_record_encode(&intent));
  uint64_t revision = 0;
  fc_kv_result result = commit_write(execution, write, cluster->settings->lease_s * INTENT_TIMEOUT_LEASES, &revision);
  g_free(name);
  g_free(key);
  return result == FC_KV_OK && wait_revision(execution, revision);
}

void fc_rental_execution_plan(fc_rental_execution *execution) {
  const fc_cluster *cluster = execution->cluster;
  GArray *requests = fc_scale_out_plan(cluster, fc_capacity_refusals_active, execution->refusals, fc_now());
  for (guint i = 0; i < requests->len; i++) {
    const fc_rental_request *request = &g_array_index(requests, fc_rental_request, i);
    /* The term may have changed while the last intent was written. */
    if (request->owner >= (int)cluster->membership.term.count) break;
    if (!record_intent(execution, request)) break;
  }
  g_array_free(requests, TRUE);
}

/* ---- the request to the cloud ---- */

static void note_refusal(const fc_rental_execution *execution, const fc_rental_record *record, double leases) {
  fc_capacity_refusals_note(execution->refusals, record->type, record->zone, record->spot,
                            fc_now() + execution->cluster->settings->lease_s * leases);
}

static void request_machines(const fc_rental_execution *execution, rental *rental) {
  const fc_rental_record *record = &rental->record;
  if (!fc_cloud_access_acquire_as_leader(execution->cloud)) return;
  fc_cloud_result result =
      fc_cloud_rent(fc_cloud_access_client(execution->cloud), rental->name, record->type, record->zone, record->spot,
                    record->count, fc_now() + CLOUD_TIMEOUT_S, rental->machine_ids);
  g_info("rental name=%s type=%s zone=%s spot=%d count=%u result=%d got=%u", rental->name, record->type, record->zone,
         record->spot, record->count, result, rental->machine_ids->len);
  if (result == FC_CLOUD_NO_CAPACITY) note_refusal(execution, record, NO_CAPACITY_LEASES);
  if (result == FC_CLOUD_OK && rental->machine_ids->len < record->count)
    note_refusal(execution, record, PARTIAL_CAPACITY_LEASES);
  rental->outcome_known = result == FC_CLOUD_OK || result == FC_CLOUD_NO_CAPACITY || result == FC_CLOUD_REFUSED;
}

/* ---- the records of rented machines ---- */

/* A batch of machine records to be written in one transaction. */
typedef struct record_batch {
  const rental *rental;
  unsigned assigned[FC_MEMBERS_MAX]; /* by member, in all batches; for fc_cluster_balanced_owner() */
  fc_write *write;
  unsigned count; /* records in `write` */
} record_batch;

static void add_machine_record(const fc_cluster *cluster, record_batch *batch, const char *id) {
  const fc_term *term = &cluster->membership.term;
  const fc_rental_record *rental = &batch->rental->record;
  int balanced_owner =
      fc_cluster_balanced_owner(cluster, id, rental->type, rental->zone, rental->spot, batch->assigned);
  batch->assigned[balanced_owner] += FC_BALANCE_SAME_KIND_WEIGHT;
  /* The owner that the rental names may have left the term. */
  bool owner_in_term = fc_term_find(term, rental->owner) >= 0;
  fc_machine_record record = {.spot = rental->spot};
  g_strlcpy(record.type, rental->type, sizeof record.type);
  g_strlcpy(record.zone, rental->zone, sizeof record.zone);
  g_strlcpy(record.owner, owner_in_term ? rental->owner : term->members[balanced_owner].name, sizeof record.owner);
  char *key = g_strconcat(FC_PREFIX_MACHINE, id, NULL);
  fc_write_compare(batch->write, key, 0);
  fc_write_put(batch->write, key, fc_machine_record_encode(&record));
  g_free(key);
  batch->count++;
}

/* Adds records until the transaction is full. Returns the index of the first machine left. */
static guint fill_batch(const fc_rental_execution *execution, record_batch *batch, guint first) {
  const GPtrArray *ids = batch->rental->machine_ids;
  guint next = first;
  for (; next < ids->len && batch->count < fc_group_commit_max_writes(execution->commit); next++) {
    const fc_machine *machine = fc_cluster_find_machine(execution->cluster, ids->pdata[next]);
    bool already_recorded = machine && machine->record_version;
    if (!already_recorded) add_machine_record(execution->cluster, batch, ids->pdata[next]);
  }
  return next;
}

/* Records the machines just rented, in as many transactions as needed. If this process ends in between, the member that
 * repeats the rental gets the same machine names and writes the missing records. Returns false if not all are known to
 * be written; the intent is still recorded then, and will be repeated. */
static bool record_machines(const fc_rental_execution *execution, const rental *rental) {
  const GPtrArray *ids = rental->machine_ids;
  char *key = intent_key(rental->name);
  record_batch batch = {.rental = rental};
  uint64_t revision = 0, term_version = execution->cluster->membership.term_version;
  bool ok = true;
  for (guint i = 0; i < ids->len && ok;) {
    batch.write = fc_write_new();
    batch.count = 0;
    fc_write_compare(batch.write, FC_KEY_TERM, term_version);
    /* A delayed copy of this write can't tell a machine that was never recorded from one that was recorded and has been
     * returned since: both have no record. So the write is conditional on the intent, which has been removed for good
     * by then (scene delayed_transactions_about_removed_records: a returned machine was recorded again). */
    fc_write_compare(batch.write, key, rental->record.version);
    i = fill_batch(execution, &batch, i);
    ok = commit_write(execution, batch.write, WRITE_TIMEOUT_S, &revision) == FC_KV_OK;
  }
  g_free(key);
  if (ok) return ids->len == 0 || wait_revision(execution, revision);
  wait_fresh(execution);
  return false;
}

static void remove_intent(const fc_rental_execution *execution, const char *name) {
  char *key = intent_key(name);
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_TERM, execution->cluster->membership.term_version);
  fc_write_delete(write, key);
  g_free(key);
  uint64_t revision = 0;
  fc_kv_result result = commit_write(execution, write, WRITE_TIMEOUT_S, &revision);
  fc_kv_watch_wait_outcome(execution->watch, result, revision, fc_now() + READ_TIMEOUT_S);
}

/* ---- carrying out the recorded intents ---- */

static GPtrArray *copy_intents(const fc_cluster *cluster) {
  GPtrArray *rentals = g_ptr_array_new_with_free_func(rental_free);
  GHashTableIter iter;
  gpointer name = NULL, record = NULL;
  g_hash_table_iter_init(&iter, cluster->rentals);
  while (g_hash_table_iter_next(&iter, &name, &record)) g_ptr_array_add(rentals, rental_new(name, record));
  return rentals;
}

/* Requests all machines before it records the first, so that they boot while the records are written. */
void fc_rental_execution_carry_out(fc_rental_execution *execution) {
  GPtrArray *rentals = copy_intents(execution->cluster);
  for (guint i = 0; i < rentals->len; i++) request_machines(execution, rentals->pdata[i]);
  for (guint i = 0; i < rentals->len; i++) {
    const rental *rental = rentals->pdata[i];
    if (!rental->outcome_known || !fc_leadership_held(execution->leadership)) continue;
    if (record_machines(execution, rental)) remove_intent(execution, rental->name);
  }
  g_ptr_array_free(rentals, TRUE);
}
