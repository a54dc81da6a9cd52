#include "controller/description_store.h"

#include <string.h>

#include "coordination/assignment.h"

/* Bytes of parts in one transaction: half of what its body may have. */
#define WRITE_BYTES_MOST ((size_t)32 * 1024)

/* Users repeat a submission for up to a minute, and its parts are of use as long. */
#define KEEP_S 120.0

/* The next transaction with parts that are not there; NULL: all are. */
static fc_write *next_parts(const fc_controller *controller, const char *job, const GPtrArray *texts,
                            const fc_description_ref *parts) {
  fc_write *write = NULL;
  unsigned n = 0;
  size_t bytes = 0;
  for (guint i = 0; i < texts->len && n < fc_group_commit_max_writes(controller->commit) && bytes < WRITE_BYTES_MOST;
       i++) {
    if (fc_description_parts_version(controller->cluster->descriptions, job, parts->digest, i)) continue;
    char *key = fc_job_part_key(job, parts->digest, i);
    if (!write) write = fc_write_new();
    fc_write_compare(write, key, 0);
    fc_write_put(write, key, fc_job_part_encode(texts->pdata[i]));
    g_free(key);
    bytes += strlen(texts->pdata[i]);
    n++;
  }
  return write;
}

fc_kv_result fc_description_store(fc_controller *controller, const fc_job_spec *spec, double deadline,
                                  fc_description_ref *parts, uint64_t *first) {
  char *text = fc_job_description_text(spec);
  GPtrArray *texts = fc_job_description_cut(text, fc_settings_value_bytes(controller->settings), parts);
  fc_kv_result result = FC_KV_OK;
  fc_write *write;
  while (result == FC_KV_OK && (write = next_parts(controller, spec->id, texts, parts))) {
    uint64_t revision = 0;
    result = fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_SUBMISSION, deadline, &revision);
    if (result == FC_KV_OK && !fc_kv_watch_wait_revision(controller->watch, revision, deadline)) result = FC_KV_UNKNOWN;
    /* Another controller writes the same ones, or one of ours was carried out late. */
    if (result == FC_KV_CONFLICT && fc_kv_watch_wait_fresh(controller->watch, deadline)) result = FC_KV_OK;
  }
  *first = fc_description_parts_version(controller->cluster->descriptions, spec->id, parts->digest, 0);
  g_ptr_array_free(texts, TRUE);
  g_free(text);
  return result;
}

/* ---- removal ---- */

typedef struct leftover {
  char job[32];
  char digest[FC_JOB_DIGEST_SIZE];
  unsigned count;
} leftover;

typedef struct search {
  const fc_controller *c;
  GArray *found; /* leftover */
  double before;
} search;

static bool needed(const fc_cluster *cluster, const fc_description_entry *entry) {
  const fc_job *job = fc_cluster_find_job(cluster, entry->job);
  if (job) return job->record.description.count > 0 && strcmp(job->record.description.digest, entry->digest) == 0;
  return g_hash_table_contains(cluster->incomplete_jobs, entry->job);
}

static void find_leftover(const fc_description_entry *entry, void *arg) {
  search *s = arg;
  const fc_cluster *cluster = s->c->cluster;
  if (entry->first_seen > s->before || needed(cluster, entry) ||
      fc_assign_key(&cluster->membership.term, entry->job) != cluster->membership.self)
    return;
  leftover l = {.count = entry->count};
  g_strlcpy(l.job, entry->job, sizeof l.job);
  g_strlcpy(l.digest, entry->digest, sizeof l.digest);
  g_array_append_val(s->found, l);
}

/* Removes the parts from `from` on, up to so many; how many there were. */
static unsigned add_removals(const fc_controller *controller, const leftover *l, unsigned from, unsigned most,
                             fc_write *write) {
  unsigned n = 0;
  for (unsigned i = from; i < l->count && n < most; i++) {
    uint64_t version = fc_description_parts_version(controller->cluster->descriptions, l->job, l->digest, i);
    if (!version) continue;
    char *key = fc_job_part_key(l->job, l->digest, i);
    fc_write_compare(write, key, version);
    fc_write_delete(write, key);
    g_free(key);
    n++;
  }
  return n;
}

/* The first part goes first and alone: a record is conditional on it, so that none can be
 * written any more when others go. False: not now. */
static bool remove_some(fc_controller *controller, const leftover *l, unsigned from, unsigned most) {
  fc_write *write = fc_write_new();
  char *record = g_strconcat(FC_PREFIX_JOB, l->job, NULL);
  const fc_job *job = fc_cluster_find_job(controller->cluster, l->job);
  fc_write_compare(write, record, job ? job->record.version : 0);
  g_free(record);
  if (add_removals(controller, l, from, most, write) == 0) {
    fc_write_free(write);
    return false;
  }
  uint64_t revision = 0;
  return fc_group_commit_write(controller->commit, write, FC_WRITE_PRIORITY_MAINTENANCE,
                               fc_now() + controller->settings->lease_s, &revision) == FC_KV_OK &&
         fc_kv_watch_wait_revision(controller->watch, revision, fc_now() + controller->settings->heartbeat_s);
}

static void remove_all(fc_controller *controller, const leftover *l) {
  bool gone = !fc_description_parts_version(controller->cluster->descriptions, l->job, l->digest, 0) ||
              remove_some(controller, l, 0, 1);
  while (gone && fc_leadership_held(controller->leadership))
    gone = remove_some(controller, l, 1, fc_group_commit_max_writes(controller->commit));
}

void fc_descriptions_main(void *arg) {
  fc_controller *controller = arg;
  fc_metrics_enter_duty(controller->metrics, FC_DUTY_COMMITS);
  while (fc_routine_sleep(controller->settings->op.round_s * 2.5) != FC_WAKE_CANCELLED) {
    if (!fc_leadership_held(controller->leadership) || !fc_cluster_store_reachable(controller->cluster, fc_now()) ||
        fc_group_commit_backlog(controller->commit) > 0)
      continue;
    search s = {.c = controller, .found = g_array_new(FALSE, FALSE, sizeof(leftover)), .before = fc_now() - KEEP_S};
    fc_description_parts_foreach(controller->cluster->descriptions, find_leftover, &s);
    for (guint i = 0; i < s.found->len; i++) remove_all(controller, &g_array_index(s.found, leftover, i));
    g_array_free(s.found, TRUE);
  }
}
