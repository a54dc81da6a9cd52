#include "bookkeeping/shard_ownership.h"

#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "coordination/assignment.h"
#include "coordination/fencing_token.h"

void fc_cluster_assign_slices(const fc_cluster *cluster, fc_job *job) {
  job->slices.owner_mask = 0;
  for (unsigned i = 0; i < job->slices.count; i++) {
    int owner =
        fc_assign_slice(&cluster->membership.term, job->spec.id, i, job->slices.count, job->record.handed_to[i]);
    job->slices.owner[i] = (int8_t)owner;
    if (owner >= 0) job->slices.owner_mask |= 1u << owner;
  }
}

/* -1: none, as the machine has no record. */
static int owner_by_record(const fc_cluster *cluster, const fc_machine *machine) {
  if (!machine->record_version) return -1;
  return fc_assign_machine(&cluster->membership.term, machine->id, machine->record.owner);
}

void fc_cluster_assign_machine(fc_cluster *cluster, fc_machine *machine, double now) {
  int owner = owner_by_record(cluster, machine);
  if (owner == machine->owner) return;
  machine->owner = owner;
  machine->reconciled_term = 0; /* the new owner must first fence it and read its task list */
  machine->view.digest = 0;     /* no view has shown it under the new owner */
  fc_machine_reset_owner_state(machine, now);
}

/* The term before a change, as far as it matters for what remains valid. */
typedef struct previous_term {
  uint64_t number;
  int self;
  bool continuous; /* this process was a member of it in the same incarnation */
} previous_term;

/* Slices that belonged to this controller in the previous term, one bit for each. */
static unsigned slices_owned_before(const fc_job *job, const previous_term *previous) {
  unsigned owned = 0;
  if (previous->self < 0) return 0;
  for (unsigned i = 0; i < job->slices.count; i++)
    owned |= (unsigned)(fc_job_slice_owner(job, i) == previous->self) << i;
  return owned;
}

/* Slices that this controller owns before and after the change remain resolved. If it has missed a
 * term, a slice may have been assigned to another member and back. */
static void reassign_job(const fc_cluster *cluster, fc_job *job, const previous_term *previous) {
  const fc_membership *membership = &cluster->membership;
  unsigned owned_before = slices_owned_before(job, previous);
  bool next_term = previous->continuous && fc_term_number_follows(membership->term.number, previous->number) &&
                   membership->self >= 0;
  fc_cluster_assign_slices(cluster, job);
  for (unsigned i = 0; i < job->slices.count; i++) {
    bool stays = next_term && (owned_before >> i & 1) && fc_job_slice_owner(job, i) == membership->self;
    if (!stays) job->slices.resolved &= ~(1u << i);
  }
}

/* A machine that stays with the process that has reconciled it needs no new fence, as no other
 * member could command it in between. This requires a recorded owner: an owner assigned by hashing
 * may have changed and changed back. For a machine that stays but is not reconciled yet, the time
 * that it has been silent continues to count. */
static void reassign_machine(const fc_cluster *cluster, fc_machine *machine, const previous_term *previous,
                             double now) {
  const fc_membership *membership = &cluster->membership;
  bool was_owned = previous->continuous && machine->owner == previous->self && previous->self >= 0 &&
                   membership->self >= 0 && strcmp(machine->record.owner, cluster->settings->name) == 0;
  bool was_reconciled = was_owned && machine->reconciled_term == previous->number;
  machine->owner = owner_by_record(cluster, machine);
  machine->view.digest = 0;
  bool is_owned = fc_machine_owned_by_self(cluster, machine);
  machine->reconciled_term = was_reconciled && is_owned ? membership->term.number : 0;
  if (!was_owned || !is_owned) fc_machine_reset_owner_state(machine, now);
}

void fc_cluster_apply_term(fc_cluster *cluster, const fc_term *term, uint64_t version, bool continuous, double now) {
  fc_membership *membership = &cluster->membership;
  const previous_term previous = {
      .number = membership->term.number, .self = membership->self, .continuous = continuous};
  membership->term = *term;
  membership->term_version = version;
  membership->self = fc_term_find(term, cluster->settings->name);
  fc_job_iter job_iter = fc_cluster_jobs(cluster);
  for (fc_job *job; (job = fc_job_iter_next(&job_iter));) reassign_job(cluster, job, &previous);
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));)
    reassign_machine(cluster, machine, &previous, now);
}

int fc_cluster_balanced_owner(const fc_cluster *cluster, const char *id, const char *type, const char *zone, bool spot,
                              const unsigned *expected) {
  const fc_term *term = &cluster->membership.term;
  unsigned counts[FC_MEMBERS_MAX];
  memcpy(counts, expected, sizeof counts);
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (const fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    const fc_machine_record *record = &machine->record;
    if (machine->owner < 0 || strcmp(record->type, type) != 0) continue;
    /* Balance within each zone and kind takes precedence over balance of the whole type. */
    bool same_kind = strcmp(record->zone, zone) == 0 && record->spot == spot;
    counts[machine->owner] += same_kind ? FC_BALANCE_SAME_KIND_WEIGHT : 1;
  }
  int best = fc_assign_key(term, id);
  for (size_t member = 0; member < term->count; member++)
    if (counts[member] < counts[best]) best = (int)member;
  return best;
}
