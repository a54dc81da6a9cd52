#include "controller/record_applier.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/job_records.h"
#include "bookkeeping/quota_usage.h"
#include "bookkeeping/shard_ownership.h"
#include "transport/routine.h"

struct fc_record_applier {
  fc_cluster *cluster;
  fc_leadership *leadership;
  fc_peers *peers;
  fc_cancellations *cancellations;
  fc_wakeups *wakeups;
};

fc_record_applier *fc_record_applier_new(fc_cluster *cluster, fc_leadership *leadership, fc_peers *peers,
                                         fc_cancellations *cancellations, fc_wakeups *wakeups) {
  fc_record_applier *applier = g_new(fc_record_applier, 1);
  *applier = (fc_record_applier){
      .cluster = cluster, .leadership = leadership, .peers = peers, .cancellations = cancellations, .wakeups = wakeups};
  return applier;
}

/* ---- the term ---- */

/* Whether the next term lacks an incarnation of another member of the current term. */
static bool peer_left(const fc_membership *membership, const fc_term *next) {
  for (int i = 0; i < (int)membership->term.count; i++) {
    const fc_member *member = &membership->term.members[i];
    int index = fc_term_find(next, member->name);
    if (i != membership->self && (index < 0 || next->members[index].incarnation != member->incarnation)) return true;
  }
  return false;
}

/* Whether this incarnation of this controller is a member of the term. */
static bool includes_this_incarnation(const fc_record_applier *applier, const fc_term *term) {
  int index = fc_term_find(term, applier->cluster->settings->name);
  return index >= 0 && term->members[index].incarnation == fc_leadership_incarnation(applier->leadership);
}

static void apply_term(fc_record_applier *applier, const fc_kv_change *change) {
  fc_cluster *cluster = applier->cluster;
  fc_membership *membership = &cluster->membership;
  fc_term term;
  if (!change->value || !fc_term_decode(change->value, &term)) {
    g_critical("term unreadable version=%" G_GUINT64_FORMAT, (guint64)change->version);
    return;
  }
  if (term.number <= membership->term.number && membership->term_version) return;
  bool self_in_term = includes_this_incarnation(applier, &term);
  bool continuous = self_in_term && fc_leadership_in_term(applier->leadership);
  bool left = membership->term_version && peer_left(membership, &term);
  fc_peers_reset_acknowledged(applier->peers);
  double now = fc_now();
  fc_cluster_apply_term(cluster, &term, change->version, continuous, now);
  /* The member of this name is another incarnation, which owns that member's shard. */
  if (membership->self >= 0 && !self_in_term) membership->self = -1;
  fc_leadership_term_applied(applier->leadership, now, left);
  g_info("term number=%" G_GUINT64_FORMAT " members=%zu self=%d continuous=%d", (guint64)term.number, term.count,
         membership->self, continuous);
  fc_wakeups_raise(applier->wakeups, FC_WAKEUP_REPLICATE);
}

/* ---- jobs ---- */

/* Completes the record with its description, which is stored in separate keys. False if not all of
 * its parts have been read. */
static bool read_description(const fc_cluster *cluster, const char *id, fc_job_record *record) {
  /* A known job has its description already, and descriptions never change. */
  if (fc_cluster_find_job(cluster, id)) {
    fc_description_parts_drop_texts(cluster->descriptions, id, record->parts.digest);
    return true;
  }
  char *text = fc_description_parts_join(cluster->descriptions, id, &record->parts);
  bool ok = text && fc_job_description_read(text, &record->spec);
  if (text && !ok) g_critical("description unreadable job=%s", id);
  g_free(text);
  if (ok) fc_description_parts_drop_texts(cluster->descriptions, id, record->parts.digest);
  return ok;
}

/* Stores the record until its description has been read completely. */
static void defer_job(fc_cluster *cluster, const char *id, const fc_kv_change *change, bool read_as_change) {
  fc_incomplete_job *incomplete = g_new(fc_incomplete_job, 1);
  *incomplete = (fc_incomplete_job){
      .value = json_incref(change->value), .version = change->version, .read_as_change = read_as_change};
  g_hash_table_replace(cluster->incomplete_jobs, g_strdup(id), incomplete);
}

static void remove_job(fc_cluster *cluster, const char *id, uint64_t version) {
  /* A record is deleted only when its job has ended and is archived. */
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && job->record.version < version) fc_cluster_remove_job(cluster, job);
  g_hash_table_remove(cluster->incomplete_jobs, id);
}

static void apply_job(fc_record_applier *applier, const char *id, const fc_kv_change *change, bool read_as_change) {
  fc_cluster *cluster = applier->cluster;
  if (!change->value) {
    remove_job(cluster, id, change->version);
    return;
  }
  fc_job_record record;
  if (!fc_job_record_decode(change->value, &record)) {
    g_critical("job record unreadable key=%s", change->key);
    return;
  }
  if (record.parts.count > 0 && !read_description(cluster, id, &record)) {
    defer_job(cluster, id, change, read_as_change);
    fc_job_record_clear(&record);
    return;
  }
  g_hash_table_remove(cluster->incomplete_jobs, id);
  /* The cancellation was confirmed to its user after the last read that did not show it. */
  if (record.phase == FC_PHASE_CANCELLED)
    fc_cancellations_learned(applier->cancellations, id, change->version,
                             read_as_change ? cluster->sync.read_at : fc_now());
  const fc_membership *membership = &cluster->membership;
  bool fresh = read_as_change && membership->term_version && change->version > membership->term_version;
  (void)fc_cluster_apply_job(cluster, id, &record, change->version, fresh, fc_now());
  fc_job_record_clear(&record);
  fc_wakeups_raise(applier->wakeups, FC_WAKEUP_SCHEDULE);
}

static void apply_description_part(fc_record_applier *applier, const char *name, const fc_kv_change *change) {
  fc_cluster *cluster = applier->cluster;
  char job[FC_JOB_ID_SIZE], digest[FC_JOB_DIGEST_SIZE];
  unsigned number;
  const char *text = change->value ? fc_job_part_decode(change->value) : NULL;
  if (!fc_job_part_key_parse(name, job, digest, &number) || (change->value && !text)) {
    g_critical("part unreadable key=%s", change->key);
    return;
  }
  fc_description_parts_put(cluster->descriptions, job, digest, number, text, change->version, fc_now());
  const fc_incomplete_job *incomplete = g_hash_table_lookup(cluster->incomplete_jobs, job);
  if (!incomplete || !text) return;
  const fc_kv_change deferred = {
      .key = change->key, .value = json_incref(incomplete->value), .version = incomplete->version};
  apply_job(applier, job, &deferred, incomplete->read_as_change);
  json_decref(deferred.value);
}

/* ---- machines, members, rentals, quota ---- */

static void apply_machine(fc_record_applier *applier, const char *id, const fc_kv_change *change, bool read_as_change) {
  fc_cluster *cluster = applier->cluster;
  fc_machine *machine = fc_cluster_find_machine(cluster, id);
  if (!change->value) {
    if (machine && machine->record_version && machine->record_version < change->version)
      fc_cluster_remove_machine(cluster, machine);
    return;
  }
  fc_machine_record record;
  if (!fc_machine_record_decode(change->value, &record)) {
    g_critical("machine record unreadable key=%s", change->key);
    return;
  }
  machine = fc_cluster_ensure_machine(cluster, id, fc_now());
  if (machine->record_version >= change->version) return;
  bool endpoint_recorded = record.endpoint[0] != '\0';
  /* A record without an endpoint does not replace one learned from the worker. */
  if (!endpoint_recorded) g_strlcpy(record.endpoint, machine->record.endpoint, sizeof record.endpoint);
  machine->record = record;
  machine->record_version = change->version;
  fc_cluster_resolve_type_and_zone(cluster, machine);
  fc_cluster_assign_machine(cluster, machine, fc_now());
  /* A machine whose endpoint was first recorded within this term has never run a task of any owner. */
  const fc_membership *membership = &cluster->membership;
  bool this_term = read_as_change && membership->term_version && change->version > membership->term_version;
  if (endpoint_recorded && !machine->endpoint_recorded && this_term) machine->reconciled_term = membership->term.number;
  machine->endpoint_recorded = endpoint_recorded;
}

static void apply_member(fc_record_applier *applier, const char *name, const fc_kv_change *change) {
  GHashTable *keys = applier->cluster->membership.keys;
  if (!change->value) {
    g_hash_table_remove(keys, name);
    return;
  }
  fc_member_key *key = g_new(fc_member_key, 1);
  *key = (fc_member_key){.version = change->version,
                         .job_format = fc_member_key_format(change->value),
                         .raised_tokens = fc_member_key_raised_tokens(change->value),
                         .moved_descriptions = fc_member_key_moved_descriptions(change->value),
                         .starts_in_answers = fc_member_key_starts_in_answers(change->value)};
  g_hash_table_replace(keys, g_strdup(name), key);
}

static void apply_rental(fc_record_applier *applier, const char *name, const fc_kv_change *change) {
  GHashTable *rentals = applier->cluster->rentals;
  fc_rental_record record;
  if (!change->value || !fc_rental_record_decode(change->value, &record)) {
    g_hash_table_remove(rentals, name);
    return;
  }
  fc_rental_record *rental = g_new(fc_rental_record, 1);
  *rental = record;
  rental->version = change->version;
  g_hash_table_replace(rentals, g_strdup(name), rental);
}

static void apply_quota(fc_record_applier *applier, const fc_kv_change *change) {
  fc_cluster *cluster = applier->cluster;
  if (!change->value || change->version <= cluster->quota.version) return;
  fc_quota_record quota;
  if (!fc_quota_record_decode(change->value, cluster->settings, &quota)) {
    memset(&quota, 0, sizeof quota); /* no member has a share */
    g_critical("quota record unreadable");
  }
  fc_cluster_apply_quota(cluster, &quota, change->version);
}

void fc_record_applier_apply(fc_record_applier *applier, const fc_kv_change *change, bool read_as_change) {
  fc_cluster *cluster = applier->cluster;
  const char *key = change->key;
  if (strcmp(key, FC_KEY_TERM) == 0) {
    apply_term(applier, change);
  } else if (strcmp(key, FC_KEY_QUOTA) == 0) {
    apply_quota(applier, change);
  } else if (strcmp(key, FC_KEY_ARCHIVE) == 0) {
    cluster->archive_in_use = change->value != NULL;
  } else if (strcmp(key, FC_KEY_RETURNED) == 0) {
    cluster->returns_version = MAX(cluster->returns_version, change->version);
  } else if (g_str_has_prefix(key, FC_PREFIX_PART)) {
    apply_description_part(applier, key + strlen(FC_PREFIX_PART), change);
  } else if (g_str_has_prefix(key, FC_PREFIX_JOB)) {
    apply_job(applier, key + strlen(FC_PREFIX_JOB), change, read_as_change);
  } else if (g_str_has_prefix(key, FC_PREFIX_MACHINE)) {
    apply_machine(applier, key + strlen(FC_PREFIX_MACHINE), change, read_as_change);
  } else if (g_str_has_prefix(key, FC_PREFIX_MEMBER)) {
    apply_member(applier, key + strlen(FC_PREFIX_MEMBER), change);
  } else if (g_str_has_prefix(key, FC_PREFIX_RENTAL)) {
    apply_rental(applier, key + strlen(FC_PREFIX_RENTAL), change);
  }
}

/* ---- removing what is no longer in the store ---- */

static bool is_present(GHashTable *present, const char *prefix, const char *name) {
  char *key = g_strconcat(prefix, name, NULL);
  bool found = g_hash_table_contains(present, key);
  g_free(key);
  return found;
}

static void retain_machines(fc_cluster *cluster, GHashTable *present, uint64_t revision) {
  GPtrArray *gone = g_ptr_array_new();
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));)
    if (machine->record_version && machine->record_version <= revision &&
        !is_present(present, FC_PREFIX_MACHINE, machine->id))
      g_ptr_array_add(gone, machine);
  for (guint i = 0; i < gone->len; i++) fc_cluster_remove_machine(cluster, gone->pdata[i]);
  g_ptr_array_free(gone, TRUE);
}

static void retain_jobs(fc_cluster *cluster, GHashTable *present, uint64_t revision) {
  GPtrArray *gone = g_ptr_array_new();
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));)
    if (job->record.version <= revision && !is_present(present, FC_PREFIX_JOB, job->spec.id))
      g_ptr_array_add(gone, job);
  for (guint i = 0; i < gone->len; i++) fc_cluster_remove_job(cluster, gone->pdata[i]);
  g_ptr_array_free(gone, TRUE);
}

static void retain_incomplete_jobs(fc_cluster *cluster, GHashTable *present, uint64_t revision) {
  GHashTableIter iter;
  gpointer id, value;
  g_hash_table_iter_init(&iter, cluster->incomplete_jobs);
  while (g_hash_table_iter_next(&iter, &id, &value)) {
    const fc_incomplete_job *incomplete = value;
    if (incomplete->version <= revision && !is_present(present, FC_PREFIX_JOB, id)) g_hash_table_iter_remove(&iter);
  }
}

/* Removes the entries of the table whose keys (prefix and name) are not present. */
static void retain_named(GHashTable *table, const char *prefix, GHashTable *present) {
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init(&iter, table);
  while (g_hash_table_iter_next(&iter, &name, NULL))
    if (!is_present(present, prefix, name)) g_hash_table_iter_remove(&iter);
}

void fc_record_applier_retain(fc_record_applier *applier, GHashTable *present, uint64_t revision) {
  fc_cluster *cluster = applier->cluster;
  retain_machines(cluster, present, revision);
  retain_jobs(cluster, present, revision);
  fc_description_parts_retain(cluster->descriptions, present, revision);
  retain_incomplete_jobs(cluster, present, revision);
  retain_named(cluster->membership.keys, FC_PREFIX_MEMBER, present);
  retain_named(cluster->rentals, FC_PREFIX_RENTAL, present);
}
