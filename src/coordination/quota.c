#include "coordination/quota.h"

#include <stddef.h>

bool fc_quota_divide(double limit, const fc_demand *parts, size_t count, double *shares) {
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

double fc_quota_adjust(double limit, double assigned_to_others, double own_share, const fc_demand *own) {
  double need = own->used + own->wanted;
  double most = limit - assigned_to_others;
  if (need <= own_share) return need;
  double share = need < most ? need : most;
  return share > own_share ? share : own_share;
}
