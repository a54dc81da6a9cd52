#include "coordination/quota_division.h"

#include <stddef.h>

bool fc_quota_divide(double limit, const fc_quota_demand *parts, size_t count, double *shares) {
  double rest = limit, wanted = 0;
  for (size_t i = 0; i < count; i++) {
    shares[i] = parts[i].used;
    rest -= parts[i].used;
    wanted += parts[i].wanted;
  }
  if (rest <= 0) return rest > -1e-6;
  double dealt = wanted < rest ? wanted : rest;
  for (size_t i = 0; i < count; i++) {
    if (wanted > 0) shares[i] += dealt * parts[i].wanted / wanted;
    shares[i] += (rest - dealt) / (double)count;
  }
  return true;
}

double fc_quota_adjust(double limit, const fc_quota_others *others, double own_share, const fc_quota_demand *own) {
  double need = own->used + own->wanted;
  double unassigned = limit - others->assigned - own_share;
  if (need > own_share) {
    double even = unassigned / (double)(others->count + 1);
    double grow = need - own_share > even ? need - own_share : even;
    if (grow > unassigned) grow = unassigned;
    if (grow < 0) grow = 0;
    /* Fractions of a task that every part kept, none enough for one, left a team below
     * its limit for as long as the largest part's tasks took. */
    if (own_share + grow < own->used + own->least - 1e-6 && others->lacking > 0)
      return own->used < own_share ? own->used : own_share;
    return own_share + grow;
  }
  double missing = others->lacking - unassigned, spare = own_share - need;
  if (missing <= 0) return own_share;
  double give = missing > spare / 2 ? missing : spare / 2;
  return own_share - (give < spare ? give : spare);
}
