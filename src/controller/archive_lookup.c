#include "controller/archive_lookup.h"

#include "bookkeeping/token_bucket.h"
#include "transport/routine.h"

/* Part of this member's share of the store's request rate that is reserved for look-ups. */
#define LOOKUP_RATE_SHARE 0.1

/* The most dependencies in the cache, which is emptied when it is full. */
#define CACHED_JOBS_MAX 1024u

struct fc_archive_lookup {
  const fc_cluster *cluster;
  fc_kv *kv;
  fc_group_commit *commit;
  fc_token_bucket bucket;
  GHashTable *cache; /* id -> fc_archived_job, of dependencies */
};

fc_archive_lookup *fc_archive_lookup_new(const fc_cluster *cluster, fc_kv *kv, fc_group_commit *commit) {
  const fc_settings *settings = cluster->settings;
  double rate = settings->kv_rps / (double)(settings->peer_count + 1) * LOOKUP_RATE_SHARE;
  fc_archive_lookup *lookup = g_new0(fc_archive_lookup, 1);
  lookup->cluster = cluster;
  lookup->kv = kv;
  lookup->commit = commit;
  lookup->cache = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  fc_token_bucket_init(&lookup->bucket, rate, MAX(1.0, rate), fc_now());
  return lookup;
}

/* Ended jobs are polled as often as others: the reserved rate alone was too low for the polls of
 * ninety of them (fault test with pipelines, seed 15). */
static bool take_request(fc_archive_lookup *lookup) {
  return fc_token_bucket_take(&lookup->bucket, 1, 0, fc_now()) || fc_group_commit_take_spare_request(lookup->commit);
}

fc_archive_result fc_archive_lookup_find(fc_archive_lookup *lookup, const char *id, double deadline,
                                         fc_archived_job *out) {
  /* The marker is written before the first job is archived. */
  if (!lookup->cluster->archive_in_use) return FC_ARCHIVE_MISSING;
  if (!take_request(lookup)) return FC_ARCHIVE_UNAVAILABLE;
  char *key = g_strconcat(FC_PREFIX_ARCHIVED, id, NULL);
  json_t *value = NULL;
  fc_kv_result result = fc_kv_get(lookup->kv, key, deadline, &value);
  g_free(key);
  bool found = result == FC_KV_OK && fc_archived_job_decode(value, out);
  json_decref(value);
  if (found) return FC_ARCHIVE_FOUND;
  return result == FC_KV_GONE ? FC_ARCHIVE_MISSING : FC_ARCHIVE_UNAVAILABLE;
}

static void add_to_cache(fc_archive_lookup *lookup, const char *id, const fc_archived_job *job) {
  if (g_hash_table_size(lookup->cache) >= CACHED_JOBS_MAX) g_hash_table_remove_all(lookup->cache);
  fc_archived_job *copy = g_new(fc_archived_job, 1);
  *copy = *job;
  g_hash_table_replace(lookup->cache, g_strdup(id), copy);
}

fc_archive_result fc_archive_lookup_find_dependency(fc_archive_lookup *lookup, const char *id, double deadline,
                                                    fc_archived_job *out) {
  const fc_archived_job *cached = g_hash_table_lookup(lookup->cache, id);
  if (cached) {
    *out = *cached;
    return FC_ARCHIVE_FOUND;
  }
  fc_archive_result result = fc_archive_lookup_find(lookup, id, deadline, out);
  if (result == FC_ARCHIVE_FOUND) add_to_cache(lookup, id, out);
  return result;
}
