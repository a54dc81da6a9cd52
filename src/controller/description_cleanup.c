#include "controller/description_cleanup.h"

#include <string.h>

#include "coordination/assignment.h"

#define PAUSE_ROUNDS 2.5 /* between two passes, in scheduling rounds */

/* Clients retry a submission for up to a minute, and a retry reuses the parts already written. */
#define RETENTION_S 120.0

struct fc_description_cleanup {
  fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_group_commit *commit;
  const fc_leadership *leadership;
  fc_metrics *metrics;
};

/* A stored description that no job record refers to. */
typedef struct unused_description {
  char job[FC_JOB_ID_SIZE];
  char digest[FC_JOB_DIGEST_SIZE];
  unsigned count; /* of its parts */
} unused_description;

typedef struct unused_search {
  const fc_cluster *cluster;
  GArray *found; /* unused_description */
  double first_seen_before;
} unused_search;

fc_description_cleanup *fc_description_cleanup_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit,
                                                   const fc_leadership *leadership, fc_metrics *metrics) {
  fc_description_cleanup *cleanup = g_new(fc_description_cleanup, 1);
  *cleanup = (fc_description_cleanup){
      .cluster = cluster, .watch = watch, .commit = commit, .leadership = leadership, .metrics = metrics};
  return cleanup;
}

static bool is_needed(const fc_cluster *cluster, const fc_description_entry *entry) {
  const fc_job *job = fc_cluster_find_job(cluster, entry->job);
  if (!job) return g_hash_table_contains(cluster->incomplete_jobs, entry->job);
  return job->record.description.count > 0 && strcmp(job->record.description.digest, entry->digest) == 0;
}

static void add_if_unused(const fc_description_entry *entry, void *arg) {
  unused_search *search = arg;
  const fc_cluster *cluster = search->cluster;
  if (entry->first_seen > search->first_seen_before || is_needed(cluster, entry)) return;
  if (fc_assign_key(&cluster->membership.term, entry->job) != cluster->membership.self) return;
  unused_description found = {.count = entry->count};
  g_strlcpy(found.job, entry->job, sizeof found.job);
  g_strlcpy(found.digest, entry->digest, sizeof found.digest);
  g_array_append_val(search->found, found);
}

/* Adds deletions of at most `max` parts, from part `first` on, to the write. Returns how many. */
static unsigned add_removals(const fc_description_cleanup *cleanup, const unused_description *description,
                             unsigned first, unsigned max, fc_write *write) {
  unsigned removals = 0;
  for (unsigned i = first; i < description->count && removals < max; i++) {
    uint64_t version =
        fc_description_parts_version(cleanup->cluster->descriptions, description->job, description->digest, i);
    if (!version) continue;
    char *key = fc_job_part_key(description->job, description->digest, i);
    fc_write_compare(write, key, version);
    fc_write_delete(write, key);
    g_free(key);
    removals++;
  }
  return removals;
}

/* Removes at most `max` parts, from part `first` on, unless the job's record changes meanwhile. Returns false if none
 * were left or the removal was not confirmed. */
static bool remove_parts(fc_description_cleanup *cleanup, const unused_description *description, unsigned first,
                         unsigned max) {
  const fc_settings *settings = cleanup->cluster->settings;
  const fc_job *job = fc_cluster_find_job(cleanup->cluster, description->job);
  char *record_key = g_strconcat(FC_PREFIX_JOB, description->job, NULL);
  fc_write *write = fc_write_new();
  fc_write_compare(write, record_key, job ? job->record.version : 0);
  g_free(record_key);
  if (add_removals(cleanup, description, first, max, write) == 0) {
    fc_write_free(write);
    return false;
  }
  uint64_t revision = 0;
  return fc_group_commit_write(cleanup->commit, write, FC_WRITE_PRIORITY_MAINTENANCE, fc_now() + settings->lease_s,
                               &revision) == FC_KV_OK &&
         fc_kv_watch_wait_revision(cleanup->watch, revision, fc_now() + settings->heartbeat_s);
}

/* Removes the first part in a transaction of its own: a record is conditional on it, so none can be written any more
 * when the other parts are removed. */
static void remove_description(fc_description_cleanup *cleanup, const unused_description *description) {
  bool first_gone =
      !fc_description_parts_version(cleanup->cluster->descriptions, description->job, description->digest, 0) ||
      remove_parts(cleanup, description, 0, 1);
  bool more = first_gone;
  while (more && fc_leadership_held(cleanup->leadership))
    more = remove_parts(cleanup, description, 1, fc_group_commit_max_writes(cleanup->commit));
}

static void run_pass(fc_description_cleanup *cleanup) {
  unused_search search = {.cluster = cleanup->cluster,
                          .found = g_array_new(FALSE, FALSE, sizeof(unused_description)),
                          .first_seen_before = fc_now() - RETENTION_S};
  fc_description_parts_foreach(cleanup->cluster->descriptions, add_if_unused, &search);
  for (guint i = 0; i < search.found->len; i++)
    remove_description(cleanup, &g_array_index(search.found, unused_description, i));
  g_array_free(search.found, TRUE);
}

static void run(void *arg) {
  fc_description_cleanup *cleanup = arg;
  fc_metrics_enter_duty(cleanup->metrics, FC_DUTY_COMMITS);
  while (fc_routine_sleep(cleanup->cluster->settings->operator_settings.round_s * PAUSE_ROUNDS) != FC_WAKE_CANCELLED) {
    if (fc_leadership_held(cleanup->leadership) && fc_cluster_store_reachable(cleanup->cluster, fc_now()) &&
        fc_group_commit_backlog(cleanup->commit) == 0)
      run_pass(cleanup);
  }
}

bool fc_description_cleanup_start(fc_description_cleanup *cleanup) {
  return fc_routine_spawn(run, cleanup) != NULL;
}
