#include "coordination/quota_division.h"

/* Bound on rounding errors: sums that should be equal differ by less than this. */
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

static double larger(double left, double right) {
  return left > right ? left : right;
}

static double smaller(double left, double right) {
  return left < right ? left : right;
}

/* The amounts from which one shard's new share is computed. */
typedef struct share_state {
  double unassigned;
  const fc_quota_others *others;
  double share;
  const fc_quota_demand *demand;
  double need;        /* what it uses now, plus what its pending tasks could use now */
  double unplaceable; /* what its other pending tasks want, for which it has no room */
} share_state;

/* The share after taking unassigned quota. */
static double grown_share(const share_state *state) {
  const fc_quota_demand *demand = state->demand;
  double missing = state->need + state->unplaceable - state->share;
  double even_part = state->unassigned / (double)(state->others->count + 1);
  double growth = smaller(larger(missing, even_part), state->unassigned);
  if (state->unplaceable > 0)
    growth = smaller(growth, larger(state->need - state->share, state->unassigned - state->others->shortfall));
  growth = larger(growth, 0);
  /* A remainder that is too small to start any task is released while others lack quota: when every shard held such a
   * remainder, a team stayed below its limit for as long as the tasks of the largest shard ran. */
  if (state->share + growth < demand->used + demand->least - ROUNDING_ERROR && state->others->shortfall > 0)
    return smaller(demand->used, state->share);
  return state->share + growth;
}

/* The share after giving back quota that the shard does not need; others lack `missing` more than is unassigned. */
static double shrunk_share(const share_state *state, double missing) {
  double spare = state->share - state->need;
  return state->share - smaller(larger(missing, spare / 2), spare);
}

double fc_quota_adjust_by_room(double limit, const fc_quota_others *others, double own_share,
                               const fc_quota_demand *own, double unplaceable) {
  const share_state state = {.unassigned = limit - others->assigned - own_share,
                             .others = others,
                             .share = own_share,
                             .demand = own,
                             .need = own->used + own->wanted - unplaceable,
                             .unplaceable = unplaceable};
  double missing = others->shortfall - state.unassigned;
  /* `missing` is compared with a tolerance: without it, shards passed on halves of a mere rounding error, with a write
   * for each.
   * Unplaceable tasks do not count as needed: a shard with full machines held its share for its pending tasks, while
   * other shards had room but no share (scene share_without_room). */
  if (state.need < own_share && missing > ROUNDING_ERROR) return shrunk_share(&state, missing);
  if (state.need + unplaceable > own_share) return grown_share(&state);
  return own_share;
}

double fc_quota_adjust(double limit, const fc_quota_others *others, double own_share, const fc_quota_demand *own) {
  return fc_quota_adjust_by_room(limit, others, own_share, own, 0);
}
