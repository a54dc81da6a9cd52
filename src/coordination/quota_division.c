#include "coordination/quota_division.h"

/* Sums of amounts that should be equal differ by less than this. */
#define ROUNDING_ERROR 1e-6

bool fc_quota_divide(double limit, const fc_quota_demand *demands, size_t count, double *shares) {
  double rest = limit, wanted = 0;
  for (size_t i = 0; i < count; i++) {
    shares[i] = demands[i].used;
    rest -= demands[i].used;
    wanted += demands[i].wanted;
  }
  if (rest <= 0) return rest > -ROUNDING_ERROR;
  double assigned = wanted < rest ? wanted : rest;
  for (size_t i = 0; i < count; i++) {
    if (wanted > 0) shares[i] += assigned * demands[i].wanted / wanted;
    shares[i] += (rest - assigned) / (double)count;
  }
  return true;
}

static double grown_share(double unassigned, const fc_quota_others *others, double own_share,
                          const fc_quota_demand *own) {
  double missing = own->used + own->wanted - own_share;
  double even_part = unassigned / (double)(others->count + 1);
  double growth = missing > even_part ? missing : even_part;
  if (growth > unassigned) growth = unassigned;
  if (growth < 0) growth = 0;
  /* A fraction that is too small to start any task is released while others lack something:
   * when every shard held one, a team stayed below its limit for as long as the tasks of the
   * largest shard ran. */
  if (own_share + growth < own->used + own->least - ROUNDING_ERROR && others->lacking > 0)
    return own->used < own_share ? own->used : own_share;
  return own_share + growth;
}

double fc_quota_adjust(double limit, const fc_quota_others *others, double own_share, const fc_quota_demand *own) {
  double need = own->used + own->wanted;
  double unassigned = limit - others->assigned - own_share;
  if (need > own_share) return grown_share(unassigned, others, own_share, own);
  double missing = others->lacking - unassigned;
  if (missing <= 0) return own_share;
  double spare = own_share - need;
  double released = missing > spare / 2 ? missing : spare / 2;
  return own_share - (released < spare ? released : spare);
}
