#include "controller/description_store.h"

#include <string.h>

/* Parts are added to a transaction up to this size, half of the limit on its body. */
#define TXN_BYTES_MAX ((size_t)32 * 1024)

struct fc_description_store {
  fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_group_commit *commit;
};

fc_description_store *fc_description_store_new(fc_cluster *cluster, fc_kv_watch *watch, fc_group_commit *commit) {
  fc_description_store *store = g_new(fc_description_store, 1);
  *store = (fc_description_store){.cluster = cluster, .watch = watch, .commit = commit};
  return store;
}

/* Builds a transaction with the next parts that are missing in the store, `parts_max` at most; NULL if none is. */
static fc_write *next_parts(const fc_description_store *store, const char *job, const GPtrArray *texts,
                            const fc_description_ref *ref, unsigned parts_max) {
  fc_write *write = NULL;
  unsigned parts = 0;
  size_t bytes = 0;
  for (guint i = 0; i < texts->len && parts < parts_max && bytes < TXN_BYTES_MAX; i++) {
    if (fc_description_parts_version(store->cluster->descriptions, job, ref->digest, i)) continue;
    char *key = fc_job_part_key(job, ref->digest, i);
    if (!write) write = fc_write_new();
    fc_write_compare(write, key, 0);
    fc_write_put(write, key, fc_job_part_encode(texts->pdata[i]));
    g_free(key);
    bytes += strlen(texts->pdata[i]);
    parts++;
  }
  return write;
}

fc_kv_result fc_description_store_write(fc_description_store *store, const fc_job_spec *spec, double deadline,
                                        fc_description_ref *ref, uint64_t *first_version) {
  char *text = fc_job_description_text(spec);
  GPtrArray *texts = fc_job_description_split(text, fc_value_limit_bytes(&store->cluster->value_limit), ref);
  unsigned parts_max = fc_group_commit_max_writes(store->commit);
  fc_kv_result result = FC_KV_OK;
  fc_write *write;
  while (result == FC_KV_OK && (write = next_parts(store, spec->id, texts, ref, parts_max))) {
    unsigned parts = fc_write_change_count(write);
    uint64_t revision = 0;
    result = fc_group_commit_write(store->commit, write, FC_WRITE_PRIORITY_SUBMISSION, deadline, &revision);
    if (result == FC_KV_OK && !fc_kv_watch_wait_revision(store->watch, revision, deadline)) result = FC_KV_UNKNOWN;
    /* Another controller has written the same parts, or an earlier write of this one was executed late. */
    if (result == FC_KV_CONFLICT && fc_kv_watch_wait_fresh(store->watch, deadline)) result = FC_KV_OK;
    /* The refusal of a single part shows whether its size is the reason. */
    if (result == FC_KV_REFUSED && parts > 1) {
      parts_max = 1;
      result = FC_KV_OK;
    }
  }
  *first_version = fc_description_parts_version(store->cluster->descriptions, spec->id, ref->digest, 0);
  g_ptr_array_free(texts, TRUE);
  g_free(text);
  return result;
}
