#include "controller/quota_shares.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/quota_usage.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/quota_plan.h"
#include "controller/quota_room.h"
#include "controller/quota_tally.h"
#include "scheduler/team_quota.h"
#include "transport/routine.h"

#define WRITE_TIMEOUT_S 2.0
#define READ_TIMEOUT_S 2.0

/* All in scheduling rounds. */
#define CHECK_INTERVAL_ROUNDS 0.1
#define ADJUST_INTERVAL_ROUNDS 0.25
#define FIRST_WRITE_ROUNDS 0.5 /* delay of a term's first write, per position of the member in the term */

/* How long the first division of a term waits for machines that are not reconciled. */
#define RECONCILIATION_HEARTBEATS 1.5

/* Upper bounds of this member's shares while the outcome of its writes is unknown: any of them may be the one that is
 * applied. INFINITY: no bound. */
typedef struct share_caps {
  bool active;
  uint64_t version; /* of the quota record, on which the last write was conditional */
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} share_caps;

struct fc_quota_shares {
  fc_cluster *cluster;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  const fc_leadership *leadership;
  fc_peers *peers;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
  share_caps caps;
  double adjusted_at;
  double logged_at; /* when the demand was last logged */
  /* Large, so allocated only if some team has a limit. */
  fc_quota_record *next; /* the record that is being planned */
  fc_quota_tally *tally; /* use and demand that it is planned from */
};

/* ---- caps ---- */

static void lift_caps(share_caps *caps) {
  caps->active = false;
  for (size_t team = 0; team < FC_TEAMS_MAX; team++) caps->cpus[team] = caps->gpus[team] = INFINITY;
}

/* The lowest share of all writes of unknown outcome counts. `own`: index of this member in the record; -1: none. */
static void lower_caps(share_caps *caps, const fc_quota_record *quota, int own) {
  caps->active = true;
  for (size_t team = 0; own >= 0 && team < FC_TEAMS_MAX; team++) {
    caps->cpus[team] = MIN(caps->cpus[team], quota->cpus[own][team]);
    caps->gpus[team] = MIN(caps->gpus[team], quota->gpus[own][team]);
  }
}

fc_quota_shares *fc_quota_shares_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                     const fc_leadership *leadership, fc_peers *peers, fc_wakeups *wakeups,
                                     fc_metrics *metrics) {
  fc_quota_shares *shares = g_new0(fc_quota_shares, 1);
  shares->cluster = cluster;
  shares->commit = commit;
  shares->watch = watch;
  shares->leadership = leadership;
  shares->peers = peers;
  shares->wakeups = wakeups;
  shares->metrics = metrics;
  lift_caps(&shares->caps);
  return shares;
}

/* ---- the allowance ---- */

static bool recorded_in_term(const fc_cluster *cluster) {
  return cluster->quota.record.term == cluster->membership.term.number;
}

void fc_quota_shares_allowance(const fc_quota_shares *shares, fc_team_allowance *allowance) {
  const fc_cluster *cluster = shares->cluster;
  const fc_settings *settings = cluster->settings;
  const fc_quota_record *quota = &cluster->quota.record;
  bool valid = cluster->quota.version && recorded_in_term(cluster);
  int own = valid ? fc_quota_record_find(quota, settings->name) : -1;
  double used_cpus[FC_TEAMS_MAX], used_gpus[FC_TEAMS_MAX];
  fc_cluster_max_usage(cluster, used_cpus, used_gpus);
  for (size_t team = 0; team < settings->team_count; team++) {
    const fc_team_settings *team_settings = &settings->teams[team];
    allowance->cpus[team] = allowance->gpus[team] = INFINITY;
    if (!fc_team_limited(team_settings)) continue;
    double share_cpus = own >= 0 ? MIN(quota->cpus[own][team], shares->caps.cpus[team]) : 0;
    double share_gpus = own >= 0 ? MIN(quota->gpus[own][team], shares->caps.gpus[team]) : 0;
    if (team_settings->cpus_max > 0) allowance->cpus[team] = share_cpus - used_cpus[team];
    if (team_settings->gpus_max > 0) allowance->gpus[team] = share_gpus - used_gpus[team];
  }
}

/* ---- planning ---- */

/* Plans the first shares of the term. Returns false if it is too early for this member to write them. */
static bool plan_first(fc_quota_shares *shares, double now) {
  fc_cluster *cluster = shares->cluster;
  const fc_settings *settings = cluster->settings;
  double term_since = fc_leadership_term_since(shares->leadership);
  /* Any member may write them; the delays are staggered, and the first member of the term has none. */
  if (now < term_since + settings->operator_settings.round_s * FIRST_WRITE_ROUNDS * cluster->membership.self)
    return false;
  /* An unresponsive machine of a crashed owner would block all members for a worker lease, so after a while it counts
   * as full instead. On reconciled machines the use can only have shrunk since. Members that have not acknowledged the
   * term are still waited for. */
  bool reconciled = fc_cluster_update_reconciled(cluster);
  if (fc_quota_plan_carry_over(cluster, shares->next)) return true;
  if (!reconciled && (now < term_since + settings->heartbeat_s * RECONCILIATION_HEARTBEATS ||
                      !fc_peers_all_renewals_known(shares->peers, term_since)))
    return false;
  fc_quota_tally_compute(cluster, !reconciled, shares->tally);
  return fc_quota_plan_divide(cluster, shares->tally, shares->next) || reconciled;
}

/* Logs the demand behind this member's shares, once in a worker lease. */
static void log_demand(fc_quota_shares *shares) {
  const fc_settings *settings = shares->cluster->settings;
  const fc_quota_tally *tally = shares->tally;
  int member = shares->cluster->membership.self;
  int own = fc_quota_record_find(&shares->cluster->quota.record, settings->name);
  if (own < 0 || fc_now() <= shares->logged_at + settings->lease_s) return;
  shares->logged_at = fc_now();
  for (size_t team = 0; team < settings->team_count; team++) {
    if (!fc_team_limited(&settings->teams[team])) continue;
    const fc_quota_demand *cpus = &tally->cpus[member][team];
    const fc_quota_demand *gpus = &tally->gpus[member][team];
    g_debug(
        "quota demand team=%s cpus_share=%.1f cpus_used=%.1f cpus_wanted=%.1f cpus_unplaceable=%.1f"
        " gpus_share=%.1f gpus_used=%.1f gpus_wanted=%.1f gpus_unplaceable=%.1f",
        settings->teams[team].name, shares->cluster->quota.record.cpus[own][team], cpus->used, cpus->wanted,
        tally->unplaceable_cpus[member][team], shares->cluster->quota.record.gpus[own][team], gpus->used, gpus->wanted,
        tally->unplaceable_gpus[member][team]);
  }
}

/* Plans a change of this member's shares. Returns false if nothing is to be written. */
static bool plan_change(fc_quota_shares *shares) {
  *shares->next = shares->cluster->quota.record;
  fc_quota_tally_compute(shares->cluster, false, shares->tally);
  fc_quota_room_find_unplaceable(shares->cluster, shares->next, shares->tally, fc_now());
  log_demand(shares);
  /* While there are caps the record is written even if unchanged: otherwise a write of unknown outcome would leave them
   * in force for good (fault test, seed 510: a gang stayed pending forever although its share sufficed). */
  return fc_quota_plan_adjust(shares->cluster, shares->tally, shares->next) || shares->caps.active;
}

/* Plans the next record if one is due. Returns false if nothing is to be written. */
static bool plan_next(fc_quota_shares *shares) {
  double now = fc_now();
  memset(shares->next, 0, sizeof *shares->next);
  if (!recorded_in_term(shares->cluster)) return plan_first(shares, now);
  if (now < shares->adjusted_at + shares->cluster->settings->operator_settings.round_s * ADJUST_INTERVAL_ROUNDS)
    return false;
  shares->adjusted_at = now;
  return plan_change(shares);
}

/* ---- the routine ---- */

/* Logs the shares as written, and the version of the record that they were planned from. */
static void log_write(const fc_quota_shares *shares, fc_kv_result result, uint64_t revision) {
  const fc_settings *settings = shares->cluster->settings;
  int own = fc_quota_record_find(shares->next, settings->name);
  for (size_t team = 0; own >= 0 && team < settings->team_count; team++) {
    if (!fc_team_limited(&settings->teams[team])) continue;
    g_debug("quota share team=%s cpus=%.1f gpus=%.1f term=%" G_GUINT64_FORMAT " read_version=%" G_GUINT64_FORMAT
            " result=%d revision=%" G_GUINT64_FORMAT,
            settings->teams[team].name, shares->next->cpus[own][team], shares->next->gpus[own][team],
            (guint64)shares->next->term, (guint64)shares->caps.version, (int)result, (guint64)revision);
  }
}

static void write_next(fc_quota_shares *shares) {
  const fc_cluster *cluster = shares->cluster;
  lower_caps(&shares->caps, shares->next, fc_quota_record_find(shares->next, cluster->settings->name));
  shares->caps.version = cluster->quota.version;
  fc_write *write = fc_write_new();
  fc_write_compare(write, FC_KEY_QUOTA, cluster->quota.version);
  fc_write_compare(write, FC_KEY_TERM, cluster->membership.term_version);
  fc_write_put(write, FC_KEY_QUOTA, fc_quota_record_encode(shares->next, cluster->settings));
  uint64_t revision = 0;
  fc_kv_result result =
      fc_group_commit_write(shares->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + WRITE_TIMEOUT_S, &revision);
  log_write(shares, result, revision);
  fc_kv_watch_wait_outcome(shares->watch, result, revision, fc_now() + READ_TIMEOUT_S);
  if (result != FC_KV_OK && result != FC_KV_UNKNOWN) lift_caps(&shares->caps);
  fc_wakeups_raise(shares->wakeups, FC_WAKEUP_SCHEDULE);
}

static bool any_team_limited(const fc_settings *settings) {
  for (size_t team = 0; team < settings->team_count; team++)
    if (fc_team_limited(&settings->teams[team])) return true;
  return false;
}

static void run(void *arg) {
  fc_quota_shares *shares = arg;
  const fc_cluster *cluster = shares->cluster;
  fc_metrics_enter_duty(shares->metrics, FC_DUTY_MEMBERSHIP);
  if (!any_team_limited(cluster->settings)) return;
  shares->next = g_new0(fc_quota_record, 1);
  shares->tally = g_new0(fc_quota_tally, 1);
  while (!fc_routine_cancelled()) {
    (void)fc_routine_sleep(cluster->settings->operator_settings.round_s * CHECK_INTERVAL_ROUNDS);
    /* A write of unknown outcome may still be applied while the record has the version that it compares, so the caps
     * stay until that version changes. */
    if (cluster->quota.version != shares->caps.version) lift_caps(&shares->caps);
    if (!fc_leadership_held(shares->leadership) || !fc_cluster_store_reachable(cluster, fc_now())) continue;
    if (plan_next(shares)) write_next(shares);
  }
}

bool fc_quota_shares_start(fc_quota_shares *shares) {
  return fc_routine_spawn(run, shares) != NULL;
}
