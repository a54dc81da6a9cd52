#include "controller/worker_leases.h"

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "coordination/leader_lease.h"
#include "transport/routine.h"

#define EXPIRY_MARGIN_HEARTBEATS 0.25 /* time for a worker to stop its tasks */

struct fc_worker_leases {
  fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_peers *peers;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
};

/* The last known renewal of a worker's lease. */
typedef struct lease_renewal {
  double at;      /* monotonic time */
  const char *by; /* for the log */
} lease_renewal;

fc_worker_leases *fc_worker_leases_new(fc_cluster *cluster, const fc_leadership *leadership, fc_peers *peers,
                                       fc_wakeups *wakeups, fc_metrics *metrics) {
  fc_worker_leases *leases = g_new(fc_worker_leases, 1);
  *leases = (fc_worker_leases){
      .cluster = cluster, .leadership = leadership, .peers = peers, .wakeups = wakeups, .metrics = metrics};
  return leases;
}

void fc_worker_leases_free(fc_worker_leases *leases) {
  g_free(leases);
}

/* The last renewal known here. Any member may answer the worker's heartbeats, so this is final only once each has
 * reported its renewals (renewals_known_until()). An incarnation that has left the term answered nothing after the term
 * was applied here. */
static lease_renewal last_renewal(const fc_worker_leases *leases, const fc_machine *machine) {
  const lease_renewal candidates[] = {
      {machine->lease.answered_at, "self"},
      {machine->lease.peer_renewed_at, "peer"},
      {machine->owned_since, "former owner"},
      {fc_leadership_term_since(leases->leadership), "former term"},
      /* A new epoch has a full lease from its beginning, even before any response. Without this, tasks started in it by
       * direct calls alone were considered gone and started elsewhere (fault test, seed 43). */
      {machine->worker.epoch_began_at, "epoch"},
  };
  lease_renewal last = candidates[0];
  for (size_t i = 1; i < G_N_ELEMENTS(candidates); i++)
    if (candidates[i].at > last.at) last = candidates[i];
  return last;
}

/* Monotonic time from which the worker has certainly stopped its tasks. */
static double expires_at(const fc_worker_leases *leases, const lease_renewal *renewal) {
  const fc_settings *settings = leases->cluster->settings;
  return renewal->at + settings->lease_s * (1 + 2 * FC_CLOCK_DRIFT) + settings->heartbeat_s * EXPIRY_MARGIN_HEARTBEATS;
}

/* Returns whether every controller that may have answered the worker has reported its renewals up to monotonic time
 * `until`. */
static bool renewals_known_until(const fc_worker_leases *leases, double until) {
  const fc_cluster *cluster = leases->cluster;
  if (!fc_peers_all_renewals_known(leases->peers, until)) return false;
  /* A controller outside the term may have joined since the last read of the store, and renewed the
   * lease. A sole member that was cut off from the key-value store started such a worker's tasks a
   * second time (fault test, seed 353). */
  bool all_are_members = cluster->membership.term.count >= cluster->settings->peer_count + 1;
  return all_are_members || cluster->sync.read_at >= until;
}

/* The lowest epoch that the worker may be in after its lease has expired. An expiry ends the epoch that the worker has
 * shown and proves nothing about later ones: when it was incremented on every round, the epoch got ahead of the
 * worker's own. */
static uint64_t lowest_epoch_after(const fc_machine_worker *worker) {
  return worker->epoch_shown ? worker->epoch + 1 : worker->epoch;
}

/* Ends the epoch that the worker has shown: it has stopped its tasks and is in a later epoch, or will be once it
 * resumes. A heartbeat of the ended epoch may still arrive, newer than any received so far; when one was applied, it
 * added tasks here that had been started elsewhere (scene heartbeats_after_lease_expiry). */
static void end_epoch(fc_machine_worker *worker) {
  if (!worker->epoch_shown) return;
  worker->epoch = lowest_epoch_after(worker);
  worker->epoch_shown = false;
  worker->sequence = 0;
  worker->expired_at = fc_now();
}

/* Ends a placement of the ended epoch. The expired lease proves that the worker has stopped the task
 * and refuses copies of the start that name that epoch. A restarted worker, however, counts its
 * epochs from the beginning and would execute such a copy (scene test_restarted_workers). While a
 * copy is in flight the task stays on the machine, and the same attempt is started there again. */
static void end_placement(fc_placement *placement, uint64_t lowest_epoch) {
  if (!fc_placement_start_outdated(placement, lowest_epoch)) return;
  if (!fc_placement_outlives_worker(placement)) {
    fc_placement_remove(placement);
    return;
  }
  fc_placement_mark_copy_outdated(placement);
  fc_placement_reset_start(placement);
}

static void end_placements(fc_machine *machine) {
  uint64_t lowest_epoch = lowest_epoch_after(&machine->worker);
  for (guint i = machine->placements->len; i-- > 0;) end_placement(machine->placements->pdata[i], lowest_epoch);
}

/* Called before the epoch is ended. `tasks`: number of placements before the expiry; those whose starts may still be
 * executed remain. */
static void log_expiry(const fc_cluster *cluster, const fc_machine *machine, const lease_renewal *renewal,
                       unsigned tasks) {
  g_info("worker lease expired machine=%s tasks=%u starts_kept=%u term=%" G_GUINT64_FORMAT " epoch=%" G_GUINT64_FORMAT
         " epoch_shown=%d renewed_s=%.1f by=%s",
         machine->id, tasks, machine->placements->len, (guint64)cluster->membership.term.number,
         (guint64)machine->worker.epoch, machine->worker.epoch_shown, fc_now() - renewal->at, renewal->by);
}

static void expire(fc_worker_leases *leases, fc_machine *machine, const lease_renewal *renewal) {
  fc_cluster *cluster = leases->cluster;
  unsigned tasks = machine->placements->len;
  end_placements(machine);
  /* False in a new term when the machine only has to be marked as reconciled. */
  bool ends_anything = machine->worker.epoch_shown || tasks > 0;
  if (ends_anything && machine->endpoint_recorded) log_expiry(cluster, machine, renewal, tasks);
  leases->metrics->counters.expired_leases += ends_anything;
  end_epoch(&machine->worker);
  machine->reconciled_term = cluster->membership.term.number;
  if (fc_cluster_update_reconciled(cluster)) fc_wakeups_raise(leases->wakeups, FC_WAKEUP_SCHEDULE);
}

/* Returns whether an expiry has placements to end. Those left by an earlier expiry of the same epoch
 * (`epoch_shown` is false then) are not ended again. */
static bool ends_placements(const fc_machine *machine) {
  return machine->placements->len > 0 && machine->worker.epoch_shown;
}

void fc_worker_leases_expire(fc_worker_leases *leases) {
  const fc_cluster *cluster = leases->cluster;
  double now = fc_now();
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version) continue;
    lease_renewal renewal = last_renewal(leases, machine);
    double expiry = expires_at(leases, &renewal);
    if (now < expiry || !renewals_known_until(leases, expiry)) continue;
    if (ends_placements(machine) || !fc_machine_reconciled(cluster, machine)) expire(leases, machine, &renewal);
  }
}
