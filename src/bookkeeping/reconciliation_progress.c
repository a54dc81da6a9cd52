#include "bookkeeping/reconciliation_progress.h"

#include "bookkeeping/cluster_machines.h"

/* The members on whose machines tasks of a slice of this shard may be, one bit for each; 0:
 * unknown. While the member names stay the same, no slice or machine is reassigned: only a slice's
 * owner starts its tasks, only on its own machines, and a machine changes owner only when empty. So
 * the tasks of a slice that has never been handed over since it was accepted are on this
 * controller's machines or nowhere, and those of a slice that was handed over are where the record of the
 * last handover says, as a member that hands over a slice knows all of its tasks. */
static unsigned possible_locations(const fc_cluster *cluster, const fc_job *job, unsigned slice) {
  const fc_job_origin *origin = &job->record.origin;
  bool handed_over = origin->handed_over >> slice & 1;
  uint64_t known_since = handed_over ? origin->last_handover[slice].term : origin->term;
  if (!known_since || known_since < cluster->membership.term.names_since) return 0;
  return handed_over ? origin->last_handover[slice].members : 1u << cluster->membership.self;
}

/* Slices of this shard whose possible locations have all been reconciled. */
static unsigned located_slices(const fc_cluster *cluster, const fc_job *job) {
  const fc_membership *membership = &cluster->membership;
  unsigned located = 0;
  if (membership->self < 0 || cluster->reconciliation.members_term != membership->term.number) return 0;
  for (unsigned i = 0; i < job->slices.count; i++) {
    if (fc_job_slice_owner(job, i) != membership->self) continue;
    unsigned members = possible_locations(cluster, job, i);
    located |= (unsigned)(members && !(members & ~cluster->reconciliation.members)) << i;
  }
  return located;
}

bool fc_cluster_fully_reconciled(const fc_cluster *cluster) {
  return cluster->reconciliation.complete_in_term == cluster->membership.term.number;
}

void fc_cluster_resolve_slices(const fc_cluster *cluster, fc_job *job) {
  if (!cluster->membership.term_version) return;
  if (fc_cluster_fully_reconciled(cluster)) job->slices.resolved = FC_ALL_SLICES;
  job->slices.resolved |= located_slices(cluster, job);
}

/* Members with a machine still to be reconciled, one bit for each; the scan stops once every member
 * is in the result or in `reconciled`. Sets *all_reconciled to whether all machines are reconciled. */
static unsigned unreconciled_members(const fc_cluster *cluster, unsigned reconciled, bool *all_reconciled) {
  const unsigned all_members = (1u << cluster->membership.term.count) - 1;
  unsigned unreconciled = 0;
  *all_reconciled = true;
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (*all_reconciled || (unreconciled | reconciled) != all_members) &&
                                  (machine = fc_machine_iter_next(&machine_iter));) {
    /* No task was ever started on a machine whose endpoint is not recorded. If such machines were
     * waited for, a fleet that keeps scaling out would start nothing for a long time after every
     * change of term, as one is always booting. */
    if (!machine->endpoint_recorded || fc_machine_reconciled(cluster, machine)) continue;
    *all_reconciled = false;
    if (machine->owner >= 0) unreconciled |= 1u << machine->owner;
  }
  return unreconciled;
}

bool fc_cluster_member_reconciled(const fc_cluster *cluster, int member) {
  const fc_reconciliation *progress = &cluster->reconciliation;
  if (fc_cluster_fully_reconciled(cluster)) return true;
  return progress->members_term == cluster->membership.term.number && (progress->members >> member & 1);
}

bool fc_cluster_update_reconciled(fc_cluster *cluster) {
  const fc_membership *membership = &cluster->membership;
  fc_reconciliation *progress = &cluster->reconciliation;
  if (!membership->term_version) return false;
  if (fc_cluster_fully_reconciled(cluster)) return true;
  if (membership->self < 0) return false;
  const unsigned before = progress->members_term == membership->term.number ? progress->members : 0;
  const unsigned all_members = (1u << membership->term.count) - 1;
  bool all_reconciled;
  unsigned unreconciled = unreconciled_members(cluster, before, &all_reconciled);
  if (all_reconciled) progress->complete_in_term = membership->term.number;
  progress->members_term = membership->term.number;
  progress->members = before | (all_members & ~unreconciled);
  if (!all_reconciled && progress->members == before) return false;
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) fc_cluster_resolve_slices(cluster, job);
  return all_reconciled;
}
