#include "controller/orphan_machines.h"

#include "transport/routine.h"

#define LIST_TIMEOUT_S 3.0
#define RELEASE_TIMEOUT_S 4.0

#define SWEEP_INTERVAL_TIMES 3 /* times the worker lease or the lag of the cloud's list, whichever is longer */
#define PAGE_MACHINES 500
#define ORPHANS_PER_SWEEP 20 /* no further page is read once so many are found */

/* A machine without a record counts as orphaned once it is older than the sum of these. */
#define ORPHAN_STARTUP_TIMES 3
#define ORPHAN_LIST_LAGS 3
#define ORPHAN_LEASES 1

struct fc_orphan_machines {
  const fc_cluster *cluster;
  fc_cloud_access *cloud;
  const fc_leadership *leadership;
  double swept_at;
};

fc_orphan_machines *fc_orphan_machines_new(const fc_cluster *cluster, fc_cloud_access *cloud,
                                           const fc_leadership *leadership) {
  fc_orphan_machines *orphans = g_new(fc_orphan_machines, 1);
  *orphans = (fc_orphan_machines){.cluster = cluster, .cloud = cloud, .leadership = leadership, .swept_at = fc_now()};
  return orphans;
}

/* The usual start-up time of the machine type; the worker lease if the type is not known. */
static double startup_s(const fc_cluster *cluster, const char *type_name) {
  int type = fc_cluster_find_machine_type(cluster, type_name);
  if (type < 0) return cluster->settings->lease_s;
  return ((const fc_machine_type *)cluster->machine_types->pdata[type])->boot_s;
}

/* Returns whether the listed machine is orphaned. Nothing was ever started on such a machine, as that
 * requires a record. */
static bool is_orphan(const fc_cluster *cluster, const fc_listed_machine *listed) {
  const fc_settings *settings = cluster->settings;
  const fc_machine *machine = fc_cluster_find_machine(cluster, listed->id);
  if (machine && (machine->record_version || machine->worker.reported)) return false;
  return listed->age_s > ORPHAN_STARTUP_TIMES * startup_s(cluster, listed->type) +
                             ORPHAN_LIST_LAGS * settings->cloud_list_lag_s + settings->lease_s * ORPHAN_LEASES;
}

/* Reads the page of the list that follows the id *after, sets *after to the last id of that page, and
 * adds the ids of orphaned machines to `ids`. Returns false after the last page or a failed call. */
static bool read_page(const fc_orphan_machines *orphans, char **after, GPtrArray *ids) {
  GPtrArray *page = g_ptr_array_new_with_free_func(fc_listed_machine_free);
  bool more = false;
  fc_cloud_result result = fc_cloud_list(fc_cloud_access_client(orphans->cloud), *after, PAGE_MACHINES,
                                         fc_now() + LIST_TIMEOUT_S, page, &more);
  /* A machine without a record may belong to a rental in progress. */
  bool conclusive = result == FC_CLOUD_OK && g_hash_table_size(orphans->cluster->rentals) == 0;
  for (guint i = 0; i < page->len; i++) {
    const fc_listed_machine *listed = page->pdata[i];
    if (conclusive && is_orphan(orphans->cluster, listed)) g_ptr_array_add(ids, g_strdup(listed->id));
    g_free(*after);
    *after = g_strdup(listed->id);
  }
  if (result != FC_CLOUD_OK || page->len == 0) more = false;
  g_ptr_array_free(page, TRUE);
  return more;
}

/* Returns the ids of orphaned machines in an array that the caller frees. The cloud's list lags behind:
 * a machine missing from it proves nothing, only a listed machine without a record counts. */
static GPtrArray *find_orphans(const fc_orphan_machines *orphans) {
  GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
  char *after = NULL;
  bool more = true;
  while (more && ids->len < ORPHANS_PER_SWEEP && fc_cloud_access_acquire_as_leader(orphans->cloud))
    more = read_page(orphans, &after, ids);
  g_free(after);
  return ids;
}

static void return_orphans(const fc_orphan_machines *orphans, const GPtrArray *ids) {
  if (ids->len == 0 || !fc_cloud_access_acquire_as_leader(orphans->cloud)) return;
  fc_cloud_result result = fc_cloud_release(fc_cloud_access_client(orphans->cloud), (const char *const *)ids->pdata,
                                            ids->len, fc_now() + RELEASE_TIMEOUT_S);
  g_info("return of orphaned machines to the cloud count=%u first=%s result=%d", ids->len, (char *)ids->pdata[0],
         result);
}

void fc_orphan_machines_sweep(fc_orphan_machines *orphans) {
  const fc_settings *settings = orphans->cluster->settings;
  double interval_s = MAX(settings->lease_s, settings->cloud_list_lag_s) * SWEEP_INTERVAL_TIMES;
  if (fc_now() <= orphans->swept_at + interval_s) return;
  orphans->swept_at = fc_now();
  if (!fc_leadership_held(orphans->leadership)) return;
  GPtrArray *ids = find_orphans(orphans);
  return_orphans(orphans, ids);
  g_ptr_array_free(ids, TRUE);
}
