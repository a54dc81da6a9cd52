#include "controller/machine_type_catalog.h"

#include "bookkeeping/cluster_machines.h"
#include "transport/routine.h"

#define REFRESH_LEASES 2 /* prices change; an outdated one only costs money */
#define REQUEST_TIMEOUT_S 3.0

struct fc_machine_type_catalog {
  fc_cluster *cluster;
  fc_cloud_access *cloud;
  double refreshed_at;
};

fc_machine_type_catalog *fc_machine_type_catalog_new(fc_cluster *cluster, fc_cloud_access *cloud) {
  fc_machine_type_catalog *catalog = g_new0(fc_machine_type_catalog, 1);
  catalog->cluster = cluster;
  catalog->cloud = cloud;
  catalog->refreshed_at = fc_now();
  return catalog;
}

bool fc_machine_type_catalog_known(const fc_machine_type_catalog *catalog) {
  return catalog->cluster->machine_types->len > 0;
}

static bool read_types(fc_machine_type_catalog *catalog, GPtrArray *types) {
  return fc_cloud_access_acquire(catalog->cloud) &&
         fc_cloud_types(fc_cloud_access_client(catalog->cloud), fc_now() + REQUEST_TIMEOUT_S, types) == FC_CLOUD_OK &&
         types->len > 0;
}

/* Adds or updates types, taking ownership of them. A known type keeps its index, and one that is no
 * longer offered stays, because machines refer to their types by index. */
static void merge_types(fc_cluster *cluster, const GPtrArray *types) {
  for (guint i = 0; i < types->len; i++) {
    fc_machine_type *type = types->pdata[i];
    int index = fc_cluster_find_machine_type(cluster, type->name);
    if (index < 0) {
      g_ptr_array_add(cluster->machine_types, type);
    } else {
      fc_machine_type_free(cluster->machine_types->pdata[index]);
      cluster->machine_types->pdata[index] = type;
    }
  }
}

static void locate_machines(const fc_cluster *cluster) {
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));)
    if (machine->type < 0) fc_cluster_resolve_type_and_zone(cluster, machine);
}

void fc_machine_type_catalog_refresh(fc_machine_type_catalog *catalog) {
  double max_age_s = catalog->cluster->settings->lease_s * REFRESH_LEASES;
  if (fc_machine_type_catalog_known(catalog) && fc_now() <= catalog->refreshed_at + max_age_s) return;
  GPtrArray *types = g_ptr_array_new();
  if (read_types(catalog, types)) {
    merge_types(catalog->cluster, types);
    catalog->refreshed_at = fc_now();
    locate_machines(catalog->cluster);
  } else {
    g_ptr_array_set_free_func(types, fc_machine_type_free);
  }
  g_ptr_array_free(types, TRUE);
}
