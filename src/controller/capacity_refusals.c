#include "controller/capacity_refusals.h"

#include "protocol/cloud_api.h"
#include "transport/routine.h"

struct fc_capacity_refusals {
  const fc_cluster *cluster;
  GHashTable *until; /* "type zone spot" -> double: end of the refusal, monotonic time */
};

fc_capacity_refusals *fc_capacity_refusals_new(const fc_cluster *cluster) {
  fc_capacity_refusals *refusals = g_new0(fc_capacity_refusals, 1);
  refusals->cluster = cluster;
  refusals->until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  return refusals;
}

static char *kind_key(const char *type, const char *zone, bool spot) {
  return g_strdup_printf("%s %s %d", type, zone, spot);
}

void fc_capacity_refusals_note(fc_capacity_refusals *refusals, const char *type, const char *zone, bool spot,
                               double until) {
  double *stored_until = g_new(double, 1);
  *stored_until = until;
  g_hash_table_replace(refusals->until, kind_key(type, zone, spot), stored_until);
}

bool fc_capacity_refusals_active(int type, const char *zone, bool spot, void *refusals) {
  const fc_capacity_refusals *known = refusals;
  const fc_machine_type *machine_type = known->cluster->machine_types->pdata[type];
  char *key = kind_key(machine_type->name, zone, spot);
  const double *until = g_hash_table_lookup(known->until, key);
  g_free(key);
  return until && fc_now() < *until;
}
