#include "bookkeeping/cluster.h"

#include <math.h>
#include <string.h>

#include "coordination/fencing_token.h"

/* The decay time of arrival statistics, in worker leases: about two boot times of a machine. With a
 * longer one, capacity stays reserved for a burst that has long ended. */
#define ARRIVAL_DECAY_LEASES 8

/* Earlier than any time of the monotonic clock: nothing has been read yet. */
#define NEVER_READ_S (-1e9)

/* The maximum age of the last read, in heartbeat intervals. While nothing changes, a read takes
 * half an interval and its age counts from when it was sent, so that just before the next one ends
 * the last is a whole interval old. With a bound of one interval, an idle store was considered
 * unreachable for a moment each second, and submissions were refused (scene
 * replies_about_archived_jobs). */
#define MAX_READ_AGE_HEARTBEATS 1.5

static void incomplete_job_free(gpointer freed) {
  fc_incomplete_job *incomplete = freed;
  json_decref(incomplete->value);
  g_free(incomplete);
}

static GHashTable *table_by_id(GDestroyNotify free_key, GDestroyNotify free_value) {
  return g_hash_table_new_full(g_str_hash, g_str_equal, free_key, free_value);
}

fc_cluster *fc_cluster_new(const fc_settings *settings) {
  fc_cluster *cluster = g_new0(fc_cluster, 1);
  cluster->settings = settings;
  cluster->sync.read_at = NEVER_READ_S;
  fc_value_limit_init(&cluster->value_limit, fc_settings_value_max_bytes(settings));
  cluster->jobs = table_by_id(NULL, fc_job_free);
  cluster->machines = table_by_id(NULL, fc_machine_free);
  cluster->machine_types = g_ptr_array_new_with_free_func(fc_machine_type_free);
  cluster->rentals = table_by_id(g_free, g_free);
  cluster->unread_cancellations = table_by_id(g_free, g_free);
  cluster->membership.keys = table_by_id(g_free, g_free);
  cluster->membership.self = -1;
  cluster->descriptions = fc_description_parts_new();
  cluster->incomplete_jobs = table_by_id(g_free, incomplete_job_free);
  cluster->oversized_jobs = table_by_id(g_free, NULL);
  cluster->unlisted_completions = table_by_id(g_free, NULL);
  cluster->dependencies.by_id = table_by_id(NULL, fc_dependency_free);
  cluster->dependencies.unrecorded_cancellations = table_by_id(NULL, NULL);
  fc_arrival_stats_init(&cluster->arrivals, settings->lease_s * ARRIVAL_DECAY_LEASES);
  for (size_t team = 0; team < FC_TEAMS_MAX; team++) {
    cluster->quota.carried_cpus[team] = INFINITY;
    cluster->quota.carried_gpus[team] = INFINITY;
  }
  return cluster;
}

void fc_cluster_free(fc_cluster *cluster) {
  if (!cluster) return;
  g_hash_table_destroy(cluster->jobs);
  g_hash_table_destroy(cluster->machines);
  g_ptr_array_free(cluster->machine_types, TRUE);
  g_hash_table_destroy(cluster->rentals);
  g_hash_table_destroy(cluster->unread_cancellations);
  g_hash_table_destroy(cluster->membership.keys);
  fc_description_parts_free(cluster->descriptions);
  g_hash_table_destroy(cluster->incomplete_jobs);
  g_hash_table_destroy(cluster->oversized_jobs);
  g_hash_table_destroy(cluster->unlisted_completions);
  g_hash_table_destroy(cluster->dependencies.by_id);
  g_hash_table_destroy(cluster->dependencies.unrecorded_cancellations);
  fc_arrival_stats_clear(&cluster->arrivals);
  g_free(cluster);
}

fc_job *fc_cluster_find_job(const fc_cluster *cluster, const char *id) {
  return g_hash_table_lookup(cluster->jobs, id);
}

fc_machine *fc_cluster_find_machine(const fc_cluster *cluster, const char *id) {
  return g_hash_table_lookup(cluster->machines, id);
}

int fc_cluster_find_machine_type(const fc_cluster *cluster, const char *name) {
  for (guint i = 0; i < cluster->machine_types->len; i++) {
    const fc_machine_type *type = cluster->machine_types->pdata[i];
    if (strcmp(type->name, name) == 0) return (int)i;
  }
  return -1;
}

bool fc_cluster_store_reachable(const fc_cluster *cluster, double now) {
  double max_age_s = cluster->settings->heartbeat_s * MAX_READ_AGE_HEARTBEATS;
  return cluster->sync.loaded && now - cluster->sync.read_at < max_age_s;
}

typedef bool (*member_key_test)(const fc_member_key *key, unsigned arg);

/* Whether the test holds for the keys of all live members. */
static bool all_members(const fc_cluster *cluster, member_key_test test, unsigned arg) {
  const fc_membership *membership = &cluster->membership;
  for (size_t i = 0; i < membership->term.count; i++) {
    const fc_member_key *key = g_hash_table_lookup(membership->keys, membership->term.members[i].name);
    if (key && !test(key, arg)) return false;
  }
  return true;
}

static bool reads_format(const fc_member_key *key, unsigned format) {
  return key->job_format >= format;
}

static bool accepts_raised_tokens(const fc_member_key *key, unsigned unused) {
  (void)unused;
  return key->raised_tokens;
}

static bool follows_moved_descriptions(const fc_member_key *key, unsigned unused) {
  (void)unused;
  return key->moved_descriptions;
}

bool fc_cluster_members_read_format(const fc_cluster *cluster, unsigned format) {
  return all_members(cluster, reads_format, format);
}

bool fc_cluster_moves_descriptions(const fc_cluster *cluster) {
  return all_members(cluster, follows_moved_descriptions, 0);
}

bool fc_cluster_raises_tokens(const fc_cluster *cluster) {
  return fc_term_reserves_tokens(cluster->membership.term.number) && all_members(cluster, accepts_raised_tokens, 0);
}

bool fc_cluster_member_starts_in_answers(const fc_cluster *cluster, int member) {
  const fc_membership *membership = &cluster->membership;
  if (member < 0 || (size_t)member >= membership->term.count) return false;
  const fc_member *in_term = &membership->term.members[member];
  const fc_member_key *key = g_hash_table_lookup(membership->keys, in_term->name);
  return key && key->version == in_term->incarnation && key->starts_in_answers;
}

bool fc_cluster_is_cancelled(const fc_cluster *cluster, const char *id) {
  const fc_job *job = fc_cluster_find_job(cluster, id);
  return job ? job->phase == FC_PHASE_CANCELLED : g_hash_table_contains(cluster->unread_cancellations, id);
}

double fc_cluster_cancelled_since(const fc_cluster *cluster, const char *id) {
  const fc_job *job = fc_cluster_find_job(cluster, id);
  if (job) return job->phase == FC_PHASE_CANCELLED ? job->lifecycle.cancelled_since : INFINITY;
  const fc_unread_cancellation *unread = g_hash_table_lookup(cluster->unread_cancellations, id);
  return unread ? unread->since : INFINITY;
}

fc_job_iter fc_cluster_jobs(const fc_cluster *cluster) {
  fc_job_iter iter;
  g_hash_table_iter_init(&iter.entries, cluster->jobs);
  return iter;
}

fc_machine_iter fc_cluster_machines(const fc_cluster *cluster) {
  fc_machine_iter iter;
  g_hash_table_iter_init(&iter.entries, cluster->machines);
  return iter;
}

fc_job *fc_job_iter_next(fc_job_iter *iter) {
  gpointer job;
  return g_hash_table_iter_next(&iter->entries, NULL, &job) ? job : NULL;
}

fc_machine *fc_machine_iter_next(fc_machine_iter *iter) {
  gpointer machine;
  return g_hash_table_iter_next(&iter->entries, NULL, &machine) ? machine : NULL;
}
