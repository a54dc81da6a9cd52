#include "controller/machine_returns.h"

#include "bookkeeping/reconciliation_progress.h"
#include "transport/routine.h"

#define WRITE_TIMEOUT_S 5.0
#define READ_TIMEOUT_S 2.0

struct fc_machine_returns {
  fc_cluster *cluster;
  fc_group_commit *commit;
  fc_kv_watch *watch;
  fc_wakeups *wakeups;
};

/* The values of `why` in the log. */
static const char *const k_reason_names[FC_RETURN_REASONS] = {
    [FC_RETURN_NONE] = "",           [FC_RETURN_LOST] = "lost",     [FC_RETURN_NEVER_UP] = "never_up",
    [FC_RETURN_IDLE] = "idle",       [FC_RETURN_FAULTY] = "faulty", [FC_RETURN_BEGUN] = "begun",
    [FC_RETURN_OVERDUE] = "overdue",
};

fc_machine_returns *fc_machine_returns_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                           fc_wakeups *wakeups) {
  fc_machine_returns *returns = g_new(fc_machine_returns, 1);
  *returns = (fc_machine_returns){.cluster = cluster, .commit = commit, .watch = watch, .wakeups = wakeups};
  return returns;
}

void fc_machine_returns_begin(fc_machine *machine, fc_return_reason reason, GPtrArray *ids) {
  if (!fc_machine_returning(machine))
    g_info("return to the cloud machine=%s why=%s", machine->id, k_reason_names[reason]);
  machine->drain.state = FC_DRAIN_RETURNING;
  g_ptr_array_add(ids, g_strdup(machine->id));
}

void fc_machine_returns_confirmed(fc_machine_returns *returns, const GPtrArray *ids) {
  fc_cluster *cluster = returns->cluster;
  for (guint i = 0; i < ids->len; i++) {
    fc_machine *machine = fc_cluster_find_machine(cluster, ids->pdata[i]);
    if (!machine || !machine->record_version) continue;
    fc_machine_remove_placements(machine);
    machine->reconciled_term = cluster->membership.term.number;
  }
  (void)fc_cluster_update_reconciled(cluster);
  fc_wakeups_raise(returns->wakeups, FC_WAKEUP_SCHEDULE);
}

/* Adds removals of records from index `first` on until the transaction is full, at least one. Returns
 * the index of the first machine left. */
static guint add_removals(const fc_machine_returns *returns, fc_write *write, const GPtrArray *ids, guint first) {
  guint next = first;
  /* The marker of returns, FC_KEY_RETURNED, counts as the first change. */
  for (unsigned changes = 1; next < ids->len && (changes == 1 || changes < fc_group_commit_max_writes(returns->commit));
       next++) {
    const fc_machine *machine = fc_cluster_find_machine(returns->cluster, ids->pdata[next]);
    if (!machine || !machine->record_version) continue;
    char *key = g_strconcat(FC_PREFIX_MACHINE, machine->id, NULL);
    fc_write_compare(write, key, machine->record_version);
    fc_write_delete(write, key);
    g_free(key);
    changes++;
  }
  return next;
}

void fc_machine_returns_remove_records(fc_machine_returns *returns, const GPtrArray *ids) {
  fc_machine_returns_confirmed(returns, ids);
  uint64_t revision = 0;
  fc_kv_result result = FC_KV_OK;
  for (guint i = 0; i < ids->len && result == FC_KV_OK;) {
    fc_write *write = fc_write_new();
    /* The record of a machine that has sent a heartbeat is written on condition that this marker has not changed, so
     * that a delayed write fails. */
    fc_write_put(write, FC_KEY_RETURNED, fc_marker_encode());
    i = add_removals(returns, write, ids, i);
    result = fc_group_commit_write(returns->commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + WRITE_TIMEOUT_S,
                                   &revision);
  }
  fc_kv_watch_wait_outcome(returns->watch, result, revision, fc_now() + READ_TIMEOUT_S);
}
