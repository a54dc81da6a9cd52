#include "controller/description_relocation.h"

#include "bookkeeping/record_writes.h"

struct fc_description_relocation {
  fc_cluster *cluster;
  fc_kv_watch *watch;
  fc_group_commit *commit;
  fc_description_store *descriptions;
  const fc_leadership *leadership;
  fc_metrics *metrics;
  bool running; /* a routine moves descriptions */
};

fc_description_relocation *fc_description_relocation_new(fc_cluster *cluster, fc_kv_watch *watch,
                                                         fc_group_commit *commit, fc_description_store *descriptions,
                                                         const fc_leadership *leadership, fc_metrics *metrics) {
  fc_description_relocation *relocation = g_new(fc_description_relocation, 1);
  *relocation = (fc_description_relocation){.cluster = cluster,
                                            .watch = watch,
                                            .commit = commit,
                                            .descriptions = descriptions,
                                            .leadership = leadership,
                                            .metrics = metrics};
  return relocation;
}

/* Whether the description stands in the record of an accepted job, so that moving it makes room. */
static bool can_be_moved(const fc_job *job) {
  return job && job->record.phase == FC_PHASE_ACCEPTED && job->record.description.count == 0;
}

/* Writes the record with a reference to the parts, unless the job has changed while they were written. */
static bool write_reference(fc_description_relocation *relocation, const char *id, const fc_description_ref *parts,
                            uint64_t first_part, double deadline) {
  const fc_job *job = fc_cluster_find_job(relocation->cluster, id);
  if (!can_be_moved(job)) return true;
  fc_write *write = fc_job_description_move_write(relocation->cluster, job, parts, first_part);
  if (!write) return false;
  uint64_t revision = 0;
  return fc_group_commit_write(relocation->commit, write, FC_WRITE_PRIORITY_DECISION, deadline, &revision) ==
             FC_KV_OK &&
         fc_kv_watch_wait_revision(relocation->watch, revision, deadline);
}

/* Moves the description of a job. Returns false if it has to be tried again. */
static bool relocate(fc_description_relocation *relocation, const char *id) {
  const fc_job *job = fc_cluster_find_job(relocation->cluster, id);
  if (!can_be_moved(job)) return true;
  double deadline = fc_now() + relocation->cluster->settings->lease_s;
  fc_job_spec spec = fc_job_spec_copy(&job->spec); /* the job may be freed while its description is written */
  fc_description_ref parts = {.count = 0};
  uint64_t first_part = 0;
  fc_kv_result result = fc_description_store_write(relocation->descriptions, &spec, deadline, &parts, &first_part);
  fc_job_spec_clear(&spec);
  if (result != FC_KV_OK || !first_part || !write_reference(relocation, id, &parts, first_part, deadline)) return false;
  g_info("description moved to parts job=%s parts=%u", id, parts.count);
  return true;
}

static void run_pass(fc_description_relocation *relocation) {
  GHashTable *oversized = relocation->cluster->oversized_jobs;
  gpointer *ids = g_hash_table_get_keys_as_array(oversized, NULL);
  for (gpointer *id = ids; *id; id++) *id = g_strdup(*id);
  for (gpointer *id = ids; *id && fc_leadership_held(relocation->leadership); id++)
    if (relocate(relocation, *id)) g_hash_table_remove(oversized, *id);
  g_strfreev((char **)ids);
}

static void run(void *arg) {
  fc_description_relocation *relocation = arg;
  fc_metrics_enter_duty(relocation->metrics, FC_DUTY_COMMITS);
  run_pass(relocation);
  relocation->running = false;
}

void fc_description_relocation_begin(fc_description_relocation *relocation) {
  const fc_cluster *cluster = relocation->cluster;
  if (relocation->running || g_hash_table_size(cluster->oversized_jobs) == 0) return;
  if (!fc_cluster_moves_descriptions(cluster)) return;
  relocation->running = true;
  if (!fc_routine_spawn(run, relocation)) relocation->running = false;
}
