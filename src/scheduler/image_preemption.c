#include "scheduler/image_preemption.h"

#include "scheduler/free_capacity.h"
#include "scheduler/victim_selection.h"

/* A task waits for at most this share of the time that fetching its image would take, and only if that is longer
 * than a preemption: a checkpoint and one or two heartbeats. */
#define WAIT_SHARE_OF_FETCH 0.5
#define PREEMPTION_HEARTBEATS 3

struct fc_image_preemption {
  const fc_cluster *cluster;
  double now;
  fc_team_usage usage;
  GArray *capacity;     /* fc_free_capacity; NULL: not gathered yet */
  GHashTable *by_image; /* image -> GArray of fc_free_capacity, without the room already used in this round */
};

fc_image_preemption *fc_image_preemption_new(const fc_cluster *cluster, double now) {
  fc_image_preemption *search = g_new0(fc_image_preemption, 1);
  search->cluster = cluster;
  search->now = now;
  search->by_image = g_hash_table_new_full(NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
  return search;
}

void fc_image_preemption_free(fc_image_preemption *search) {
  if (search->capacity) g_array_free(search->capacity, TRUE);
  g_hash_table_destroy(search->by_image);
  g_free(search);
}

/* The machines that have the image. Jobs with the same image share the entries, so that room used for one of them is
 * not used again; a job with another image has entries of its own, without those changes. */
static GArray *machines_with_image(fc_image_preemption *search, GRefString *image) {
  GArray *found = g_hash_table_lookup(search->by_image, image);
  if (found) return found;
  if (!search->capacity) {
    search->usage = fc_cluster_team_usage(search->cluster);
    search->capacity = fc_preemption_capacity(search->cluster, search->now);
  }
  found = g_array_new(FALSE, TRUE, sizeof(fc_free_capacity));
  for (guint i = 0; i < search->capacity->len; i++) {
    const fc_free_capacity *entry = &g_array_index(search->capacity, fc_free_capacity, i);
    if (fc_machine_has_image(entry->machine, image)) g_array_append_val(found, *entry);
  }
  g_hash_table_insert(search->by_image, image, found);
  return found;
}

bool fc_image_preemption_defer(fc_image_preemption *search, const fc_placement_decision *decision, GPtrArray *stops) {
  const fc_cluster *cluster = search->cluster;
  const fc_job *job = decision->job;
  const fc_machine *machine = decision->machine;
  if (job->queue.priority < FC_PRIORITY_PROD || job->spec.kind == FC_JOB_GANG || machine->type < 0) return false;
  if (fc_machine_has_image(machine, job->spec.image)) return false;
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  double fetch_s = machine_type->fetch_gb_per_s > 0 ? job->spec.image_gb / machine_type->fetch_gb_per_s : 0;
  double wait_s = fetch_s * WAIT_SHARE_OF_FETCH;
  if (wait_s < cluster->settings->heartbeat_s * PREEMPTION_HEARTBEATS || search->now > job->queue.entered_at + wait_s)
    return false;
  GArray *candidates = machines_with_image(search, job->spec.image);
  return fc_victims_select(cluster, &search->usage, candidates, job, search->now, stops);
}
