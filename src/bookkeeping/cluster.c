#include "bookkeeping/cluster.h"

#include <math.h>
#include <string.h>

#include "bookkeeping/dependencies.h"
#include "coordination/assignment.h"

#define IMAGES_MOST 64u

static void job_free(gpointer p) {
  fc_job *job = p;
  fc_job_spec_clear(&job->spec);
  g_free(job->completion.bitmap);
  for (unsigned i = 0; i < FC_SLICES_MAX; i++) g_free(job->record.handed_to[i]);
  g_ptr_array_free(job->placements, TRUE);
  if (job->failures.machines) g_hash_table_destroy(job->failures.machines);
  if (job->dependencies.list) g_ptr_array_free(job->dependencies.list, TRUE);
  g_free(job);
}

static void unread_free(gpointer p) {
  fc_incomplete_job *incomplete = p;
  json_decref(incomplete->value);
  g_free(incomplete);
}

static void awaited_free(gpointer p) {
  fc_dependency *dependency = p;
  g_ptr_array_free(dependency->dependents, TRUE);
  g_free(dependency);
}

static void machine_free(gpointer p) {
  fc_machine *machine = p;
  for (guint i = 0; i < machine->placements->len; i++) g_free(machine->placements->pdata[i]);
  g_ptr_array_free(machine->placements, TRUE);
  g_ptr_array_free(machine->images, TRUE);
  g_free(machine);
}

fc_cluster *fc_cluster_new(const fc_settings *settings) {
  fc_cluster *cluster = g_new0(fc_cluster, 1);
  cluster->settings = settings;
  cluster->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
  cluster->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
  cluster->machine_types = g_ptr_array_new_with_free_func(fc_machine_type_free);
  cluster->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  cluster->unread_cancellations = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  cluster->membership.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
  cluster->descriptions = fc_description_parts_new();
  cluster->incomplete_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unread_free);
  cluster->dependencies.by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, awaited_free);
  cluster->dependencies.unrecorded_cancellations = g_hash_table_new(g_str_hash, g_str_equal);
  /* About two boots of a machine: longer, and yesterday's burst is paid for. */
  fc_arrival_stats_init(&cluster->arrivals, settings->lease_s * 8);
  for (size_t k = 0; k < FC_TEAMS_MAX; k++) cluster->quota.carried_cpus[k] = cluster->quota.carried_gpus[k] = INFINITY;
  cluster->membership.self = -1;
  return cluster;
}

void fc_cluster_free(fc_cluster *cluster) {
  if (!cluster) return;
  g_hash_table_destroy(cluster->jobs);
  g_hash_table_destroy(cluster->machines);
  g_ptr_array_free(cluster->machine_types, TRUE);
  g_hash_table_destroy(cluster->rentals);
  g_hash_table_destroy(cluster->unread_cancellations);
  g_hash_table_destroy(cluster->membership.keys);
  fc_description_parts_free(cluster->descriptions);
  g_hash_table_destroy(cluster->incomplete_jobs);
  g_hash_table_destroy(cluster->dependencies.by_id);
  g_hash_table_destroy(cluster->dependencies.unrecorded_cancellations);
  fc_arrival_stats_clear(&cluster->arrivals);
  g_free(cluster);
}

fc_job *fc_cluster_find_job(const fc_cluster *cluster, const char *id) {
  return g_hash_table_lookup(cluster->jobs, id);
}
fc_machine *fc_cluster_find_machine(const fc_cluster *cluster, const char *id) {
  return g_hash_table_lookup(cluster->machines, id);
}

int fc_cluster_find_machine_type(const fc_cluster *cluster, const char *name) {
  for (guint i = 0; i < cluster->machine_types->len; i++) {
    const fc_machine_type *type = cluster->machine_types->pdata[i];
    if (strcmp(type->name, name) == 0) return (int)i;
  }
  return -1;
}

fc_machine *fc_cluster_ensure_machine(fc_cluster *cluster, const char *id, double now) {
  fc_machine *machine = fc_cluster_find_machine(cluster, id);
  if (machine) return machine;
  machine = g_new0(fc_machine, 1);
  g_strlcpy(machine->id, id, sizeof machine->id);
  machine->type = -1;
  machine->zone = FC_ZONES_MAX;
  machine->owner = -1;
  machine->first_seen = machine->owned_since = machine->idle_since = now;
  machine->placements = g_ptr_array_new();
  machine->images = g_ptr_array_new_with_free_func((GDestroyNotify)g_ref_string_release);
  g_hash_table_insert(cluster->machines, machine->id, machine);
  return machine;
}

/* Placements adopted before the job's record was seen belong to it too. */
static void link_placements(fc_cluster *cluster, fc_job *job) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *machine = value;
    for (guint i = 0; i < machine->placements->len; i++) {
      fc_placement *placement = machine->placements->pdata[i];
      if (placement->job || strcmp(placement->job_id, job->spec.id) != 0) continue;
      placement->job = job;
      g_ptr_array_add(job->placements, placement);
    }
  }
}

/* The members on whose machines tasks of a slice of ours may be; 0: not known. While
 * the members have the same names, no slice and no machine is dealt anew: a slice is
 * started by its owner alone, on machines that are the owner's, and a machine leaves a
 * member only empty. So a slice that was never handed over since it was accepted is on
 * our machines or nowhere, and one that was, where its hand-over said: who hands over
 * knows all of it. */
static unsigned homes_of(const fc_cluster *cluster, const fc_job *job, unsigned slice) {
  bool moved = job->record.origin.moved >> slice & 1;
  uint64_t since = moved ? job->record.origin.last_move[slice].term : job->record.origin.term;
  if (!since || since < cluster->membership.term.names_since) return 0;
  return moved ? job->record.origin.last_move[slice].members : 1u << cluster->membership.self;
}

/* Slices of ours that are on machines of members with nothing unsettled, or nowhere. */
static unsigned at_home(const fc_cluster *cluster, const fc_job *job) {
  unsigned home = 0;
  if (cluster->membership.self < 0 || cluster->reconciliation.members_term != cluster->membership.term.number) return 0;
  for (unsigned i = 0; i < job->slices.count; i++) {
    unsigned homes = fc_job_slice_owner(job, i) == cluster->membership.self ? homes_of(cluster, job, i) : 0;
    home |= (unsigned)(homes && !(homes & ~cluster->reconciliation.members)) << i;
  }
  return home;
}

/* What the latches of this term make clear. A job that is read anew after one of them
 * was never clear again in the term otherwise. */
static void make_clear(const fc_cluster *cluster, fc_job *job) {
  if (!cluster->membership.term_version) return;
  if (cluster->reconciliation.complete_in_term == cluster->membership.term.number) job->slices.resolved = ~0u;
  job->slices.resolved |= at_home(cluster, job);
}

/* Adds a job with what its record says for good. */
static fc_job *add_job(fc_cluster *cluster, const fc_job_record *record, bool fresh, double now) {
  fc_job *job = g_new0(fc_job, 1);
  job->spec = fc_job_spec_copy(&record->spec);
  job->record.description = record->parts;
  job->slices.count = record->slices;
  job->completion.bitmap = g_new0(uint8_t, (job->spec.tasks + 7) / 8);
  job->placements = g_ptr_array_new();
  job->team = fc_settings_team(cluster->settings, job->spec.team);
  job->slices.resolved = fresh ? ~0u : 0;
  job->lifecycle.submitted_at =
      record->origin.submitted_at > 0 ? MIN(now, record->origin.submitted_at - cluster->clock_offset_s) : now;
  job->queue.entered_at = now;
  job->queue.priority = job->spec.priority;
  job->queue.due_at = INFINITY;
  job->queue.sequence = cluster->next_queue_sequence++;
  g_hash_table_insert(cluster->jobs, job->spec.id, job);
  return job;
}

/* Takes over which tasks are done. */
static void put_done(fc_job *job, const char *id, const char *ranges) {
  if (!fc_ranges_decode(ranges, job->completion.bitmap, job->spec.tasks)) g_warning("job %s: bad ranges", id);
  job->completion.count = 0;
  for (uint32_t i = 0; i < job->spec.tasks; i++) job->completion.count += fc_job_task_done(job, i);
}

/* Takes over the phase of the record of this version. */
static void put_phase(const fc_cluster *cluster, fc_job *job, const char *id, fc_job_phase phase, uint64_t version,
                      double now) {
  job->phase = job->record.phase = phase;
  /* Known to be cancelled by a later record, which is still to be read. */
  const fc_unread_cancellation *told = g_hash_table_lookup(cluster->unread_cancellations, id);
  if (told && told->revision > version) job->phase = FC_PHASE_CANCELLED;
  if (job->phase == FC_PHASE_CANCELLED && !job->lifecycle.cancelled_since)
    job->lifecycle.cancelled_since = told ? told->since : now;
  if (job->phase != FC_PHASE_ACCEPTED && !job->lifecycle.ended_at) job->lifecycle.ended_at = now;
}

/* Takes over to whom slices were handed. */
static void put_handed(const fc_cluster *cluster, fc_job *job, const fc_job_record *record, bool is_new) {
  for (unsigned i = 0; i < job->slices.count; i++) {
    if (g_strcmp0(job->record.handed_to[i], record->handed[i]) == 0) continue;
    bool was_mine = !is_new && fc_job_slice_owner(job, i) == cluster->membership.self;
    g_free(job->record.handed_to[i]);
    job->record.handed_to[i] = g_strdup(record->handed[i]);
    /* A slice is handed over by the one who knows all of it, and only after we
     * have acknowledged a view that shows whatever of it is on a machine; or it says
     * that some of it is on others' machines, which settle for us one by one. */
    if (!was_mine && !is_new && !(record->origin.unseen >> i & 1)) job->slices.resolved |= 1u << i;
  }
}

/* A record is written without what the job awaited once all of that is done. */
static void put_awaits(fc_job *job, const fc_job_record *record) {
  if (record->awaiting) return;
  g_strfreev(job->spec.awaits);
  job->spec.awaits = NULL;
}

fc_job *fc_cluster_apply_job(fc_cluster *cluster, const char *id, const fc_job_record *record, uint64_t version,
                             bool fresh, double now) {
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && job->record.version >= version) return job;
  bool is_new = !job;
  if (is_new) job = add_job(cluster, record, fresh, now);
  put_awaits(job, record);
  put_done(job, id, record->done);
  put_phase(cluster, job, id, record->phase, version, now);
  job->record.version = version;
  put_handed(cluster, job, record, is_new);
  job->record.origin = record->origin;
  fc_cluster_assign_slices(cluster, job);
  if (is_new) {
    make_clear(cluster, job);
    link_placements(cluster, job);
  }
  fc_dependencies_apply(cluster, job, fresh, now);
  /* What is read back after a start arrived before; only its shape is news. */
  if (is_new && fresh && fc_job_dependencies_met(job)) fc_arrival_stats_add(&cluster->arrivals, &job->spec, now);
  return job;
}

void fc_cluster_apply_cancellation(fc_cluster *cluster, const char *id, uint64_t revision, double from, double now) {
  fc_job *job = fc_cluster_find_job(cluster, id);
  if (job && (job->record.version >= revision || job->phase == FC_PHASE_CANCELLED)) return;
  fc_unread_cancellation *told = g_new(fc_unread_cancellation, 1);
  *told = (fc_unread_cancellation){revision, from};
  g_hash_table_replace(cluster->unread_cancellations, g_strdup(id), told);
  if (job) {
    job->phase = FC_PHASE_CANCELLED;
    job->lifecycle.cancelled_since = from;
    if (!job->lifecycle.ended_at) job->lifecycle.ended_at = now;
  }
  fc_dependencies_learn(cluster, id, FC_DEPENDENCY_CANCELLED, now);
}

bool fc_cluster_is_cancelled(const fc_cluster *cluster, const char *id) {
  const fc_job *job = fc_cluster_find_job(cluster, id);
  return job ? job->phase == FC_PHASE_CANCELLED : g_hash_table_contains(cluster->unread_cancellations, id);
}

double fc_cluster_cancelled_since(const fc_cluster *cluster, const char *id) {
  const fc_job *job = fc_cluster_find_job(cluster, id);
  if (job) return job->phase == FC_PHASE_CANCELLED ? job->lifecycle.cancelled_since : INFINITY;
  const fc_unread_cancellation *told = g_hash_table_lookup(cluster->unread_cancellations, id);
  return told ? told->since : INFINITY;
}

void fc_cluster_caught_up(fc_cluster *cluster, uint64_t revision) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->unread_cancellations);
  while (g_hash_table_iter_next(&it, NULL, &value))
    if (((const fc_unread_cancellation *)value)->revision <= revision) g_hash_table_iter_remove(&it);
}

void fc_cluster_remove_job(fc_cluster *cluster, fc_job *job) {
  for (guint i = 0; i < job->placements->len; i++) ((fc_placement *)job->placements->pdata[i])->job = NULL;
  fc_dependencies_remove(cluster, job);
  g_hash_table_remove(cluster->jobs, job->spec.id);
}

unsigned fc_job_slice_of(const fc_job *job, uint32_t index) {
  return (unsigned)((uint64_t)index * job->slices.count / job->spec.tasks);
}

void fc_cluster_assign_slices(const fc_cluster *cluster, fc_job *job) {
  job->slices.owner_mask = 0;
  for (unsigned i = 0; i < job->slices.count; i++) {
    int owner =
        fc_assign_slice(&cluster->membership.term, job->spec.id, i, job->slices.count, job->record.handed_to[i]);
    job->slices.owner[i] = (int8_t)owner;
    if (owner >= 0) job->slices.owner_mask |= 1u << owner;
  }
}

int fc_job_slice_owner(const fc_job *job, unsigned slice) {
  return job->slices.owner[slice];
}

bool fc_job_owned_by(const fc_job *job, int member) {
  return member >= 0 && (job->slices.owner_mask >> member & 1);
}

void fc_cluster_locate_machine(const fc_cluster *cluster, fc_machine *machine) {
  machine->type = fc_cluster_find_machine_type(cluster, machine->record.type);
  machine->zone = fc_settings_zone(cluster->settings, machine->record.zone);
}

bool fc_job_task_done(const fc_job *job, uint32_t index) {
  return job->completion.bitmap[index / 8] >> (index % 8) & 1;
}

fc_placement *fc_cluster_add_placement(fc_cluster *cluster, fc_machine *machine, const char *job_id, uint32_t index,
                                       uint64_t attempt, double now) {
  fc_placement *placement = g_new0(fc_placement, 1);
  placement->machine = machine;
  g_strlcpy(placement->job_id, job_id, sizeof placement->job_id);
  placement->index = index;
  placement->attempt = attempt;
  placement->created_at = now;
  placement->first_view = cluster->view_number + 1;
  placement->job = fc_cluster_find_job(cluster, job_id);
  g_ptr_array_add(machine->placements, placement);
  if (placement->job) g_ptr_array_add(placement->job->placements, placement);
  machine->idle_since = 0;
  return placement;
}

fc_placement *fc_machine_find_placement(const fc_machine *machine, const char *job_id, uint32_t index,
                                        uint64_t attempt) {
  for (guint i = 0; i < machine->placements->len; i++) {
    fc_placement *placement = machine->placements->pdata[i];
    if (placement->index == index && placement->attempt == attempt && strcmp(placement->job_id, job_id) == 0)
      return placement;
  }
  return NULL;
}

void fc_placement_remove(fc_cluster *cluster, fc_placement *placement) {
  (void)cluster;
  if (placement->job) g_ptr_array_remove_fast(placement->job->placements, placement);
  g_ptr_array_remove_fast(placement->machine->placements, placement);
  g_free(placement);
}

void fc_machine_remove_placements(fc_cluster *cluster, fc_machine *machine) {
  while (machine->placements->len > 0)
    fc_placement_remove(cluster, machine->placements->pdata[machine->placements->len - 1]);
}

void fc_cluster_remove_machine(fc_cluster *cluster, fc_machine *machine) {
  fc_machine_remove_placements(cluster, machine);
  g_hash_table_remove(cluster->machines, machine->id);
}

bool fc_placement_active(const fc_placement *placement) {
  return placement->status.state != FC_TASK_EXITED;
}

void fc_resources_subtract(fc_resources *resources, const fc_job_spec *spec) {
  resources->cpus -= spec->cpus;
  resources->gpus -= spec->gpus;
  resources->memory_gb -= spec->memory_gb;
}

void fc_resources_add(fc_resources *resources, const fc_job_spec *spec) {
  resources->cpus += spec->cpus;
  resources->gpus += spec->gpus;
  resources->memory_gb += spec->memory_gb;
}

fc_resources fc_machine_free_resources(const fc_cluster *cluster, const fc_machine *machine) {
  fc_resources resources = {0, 0, 0};
  if (machine->type < 0) return resources;
  const fc_machine_type *type = cluster->machine_types->pdata[machine->type];
  resources = (fc_resources){type->cpus, type->gpus, type->memory_gb};
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!fc_placement_active(placement)) continue;
    /* What we know nothing of may take all there is. */
    if (!placement->job) return (fc_resources){0, 0, 0};
    fc_resources_subtract(&resources, &placement->job->spec);
  }
  return resources;
}

bool fc_machine_vacant(const fc_machine *machine) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    bool over = placement->status.state == FC_TASK_EXITED && placement->end_recorded;
    bool given_up = placement->stop.requested && !placement->status.reported &&
                    placement->start.direct == FC_DIRECT_START_UNACKNOWLEDGED;
    if (!over && !given_up) return false;
  }
  return true;
}

bool fc_machine_unreachable_since(const fc_machine *machine, double since) {
  if (machine->owned_since > since) return false;
  return machine->agent.heard_at < since ||
         (machine->reachability.unidirectional_since && machine->reachability.unidirectional_since < since);
}

double fc_machine_silence_timeout_s(const fc_settings *settings) {
  return MAX(settings->lease_s * 0.6, 3 * settings->heartbeat_s);
}

bool fc_machine_never_heard(const fc_cluster *cluster, const fc_machine *machine, double now) {
  double quiet = MAX(cluster->settings->lease_s * 0.4, cluster->settings->heartbeat_s * 2);
  return machine->announced && !machine->agent.reported && now > machine->owned_since + quiet;
}

bool fc_machine_suspect(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (machine->owner != cluster->membership.self) return machine->reachability.owner_suspects;
  if (!machine->agent.reported) return fc_machine_never_heard(cluster, machine, now);
  double least = MAX(fc_machine_silence_timeout_s(cluster->settings) - 2 * cluster->settings->heartbeat_s,
                     1.5 * cluster->settings->heartbeat_s);
  return machine->reachability.unidirectional_since || fc_machine_unreachable_since(machine, now - least);
}

bool fc_machine_reachable(const fc_cluster *cluster, const fc_machine *machine, double now) {
  if (!machine->agent.reported || now > machine->agent.heard_at + cluster->settings->lease_s * 0.5) return false;
  /* Its next report, or the answer to a probe, shows whether it has heard. */
  return !machine->reachability.unidirectional_since ||
         now < machine->reachability.unidirectional_since + cluster->settings->lease_s * 0.25;
}

bool fc_resources_fit(const fc_resources *resources, const fc_job_spec *spec) {
  const double slack = 1e-6;
  return resources->cpus + slack >= spec->cpus && resources->gpus + slack >= spec->gpus &&
         resources->memory_gb + slack >= spec->memory_gb;
}

void fc_machine_touch_image(fc_machine *machine, GRefString *image) {
  for (guint i = 0; i < machine->images->len; i++) {
    if (machine->images->pdata[i] != image) continue;
    gpointer kept = g_ptr_array_steal_index(machine->images, i);
    g_ptr_array_add(machine->images, kept);
    return;
  }
  if (machine->images->len == IMAGES_MOST) g_ptr_array_remove_index(machine->images, 0);
  g_ptr_array_add(machine->images, g_ref_string_acquire(image));
}

bool fc_machine_has_image(const fc_machine *machine, const GRefString *image) {
  for (guint i = 0; i < machine->images->len; i++)
    if (machine->images->pdata[i] == image) return true;
  return false;
}

bool fc_job_spec_allows(const fc_job_spec *spec, const char *type, const char *zone, bool spot) {
  if (spot && !spec->spot) return false;
  if (spec->zone && strcmp(spec->zone, zone) != 0) return false;
  if (!spec->types) return true;
  for (char **t = spec->types; *t; t++)
    if (strcmp(*t, type) == 0) return true;
  return false;
}

fc_resources fc_machine_capacity(const fc_cluster *cluster, const fc_machine *machine) {
  if (machine->type < 0) return (fc_resources){1e12, 1e12, 1e12};
  const fc_machine_type *machine_type = cluster->machine_types->pdata[machine->type];
  return (fc_resources){machine_type->cpus, machine_type->gpus, machine_type->memory_gb};
}

void fc_machine_add_usage(const fc_machine *machine, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
    cpus[placement->job->team] += placement->job->spec.cpus;
    gpus[placement->job->team] += placement->job->spec.gpus;
  }
}

int fc_quota_record_find(const fc_quota_record *quota, const char *member) {
  for (size_t i = 0; i < quota->member_count; i++)
    if (strcmp(quota->members[i], member) == 0) return (int)i;
  return -1;
}

void fc_cluster_apply_quota(fc_cluster *cluster, const fc_quota_record *quota, uint64_t version) {
  bool begins = quota->term != cluster->quota.record.term;
  cluster->quota.record = *quota;
  cluster->quota.version = version;
  if (!begins) return;
  int at = quota->carried ? fc_quota_record_find(quota, cluster->settings->name) : -1;
  for (size_t k = 0; k < FC_TEAMS_MAX; k++) {
    cluster->quota.carried_cpus[k] = at >= 0 ? quota->cpus[at][k] : INFINITY;
    cluster->quota.carried_gpus[k] = at >= 0 ? quota->gpus[at][k] : INFINITY;
  }
}

/* In use: started in this term, or before, or feared to be. The last two together
 * were within the share that was carried over. */
static double at_most(double fresh, double old, double feared, double carried) {
  return fresh + MIN(old + feared, MAX(old, carried));
}

void fc_cluster_max_usage(const fc_cluster *cluster, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]) {
  fc_resources fresh[FC_TEAMS_MAX] = {{0}}, old[FC_TEAMS_MAX] = {{0}}, feared = {0, 0, 0};
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *machine = value;
    if (machine->owner != cluster->membership.self) continue;
    if (machine->announced && machine->reconciled_term != cluster->membership.term.number) {
      fc_resources whole = fc_machine_capacity(cluster, machine);
      feared.cpus += whole.cpus;
      feared.gpus += whole.gpus;
      continue;
    }
    for (guint i = 0; i < machine->placements->len; i++) {
      const fc_placement *placement = machine->placements->pdata[i];
      if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
      fc_resources *resources =
          &(fc_attempt_term(placement->attempt) == cluster->membership.term.number ? fresh : old)[placement->job->team];
      resources->cpus += placement->job->spec.cpus;
      resources->gpus += placement->job->spec.gpus;
    }
  }
  for (size_t k = 0; k < cluster->settings->team_count; k++) {
    cpus[k] = at_most(fresh[k].cpus, old[k].cpus, feared.cpus, cluster->quota.carried_cpus[k]);
    gpus[k] = at_most(fresh[k].gpus, old[k].gpus, feared.gpus, cluster->quota.carried_gpus[k]);
  }
}

fc_job_status fc_job_status_of(const fc_job *job, uint32_t *running) {
  *running = 0;
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    if (placement->status.state == FC_TASK_RUNNING || placement->status.state == FC_TASK_SAVING) ++*running;
  }
  if (job->phase == FC_PHASE_DONE) return FC_STATUS_DONE;
  if (job->phase == FC_PHASE_CANCELLED) return FC_STATUS_CANCELLED;
  return *running > 0 ? FC_STATUS_RUNNING : FC_STATUS_PENDING;
}

/* What an owner before said of the machine. */
static void reset_drain(fc_machine *machine) {
  machine->drain.state = FC_DRAIN_NONE;
  machine->drain.owner_cordoned = false;
  machine->reachability.owner_suspects = false;
}

void fc_cluster_assign_machine(fc_cluster *cluster, fc_machine *machine, double now) {
  int owner =
      machine->record_version ? fc_assign_machine(&cluster->membership.term, machine->id, machine->record.owner) : -1;
  if (owner == machine->owner) return;
  machine->owner = owner;
  /* Whoever owns it now has to fence and adopt it first. */
  machine->reconciled_term = 0;
  machine->owned_since = now;
  machine->view.digest = 0; /* nobody has seen it in a view of ours as its new owner */
  reset_drain(machine);
  machine->agent.reported = false;
}

void fc_cluster_apply_term(fc_cluster *cluster, const fc_term *term, uint64_t version, bool continuous, double now) {
  fc_term old = cluster->membership.term;
  int old_self = cluster->membership.self;
  cluster->membership.term = *term;
  cluster->membership.term_version = version;
  cluster->membership.self = fc_term_find(term, cluster->settings->name);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_job *job = value;
    unsigned mine = 0;
    for (unsigned i = 0; i < job->slices.count; i++)
      mine |= (unsigned)(old_self >= 0 && fc_job_slice_owner(job, i) == old_self) << i;
    fc_cluster_assign_slices(cluster, job);
    /* A term we have missed may have dealt the job away and back. */
    for (unsigned i = 0; i < job->slices.count; i++) {
      bool kept = continuous && term->number == old.number + 1 && cluster->membership.self >= 0 && (mine >> i & 1) &&
                  fc_job_slice_owner(job, i) == cluster->membership.self;
      if (!kept) job->slices.resolved &= ~(1u << i);
    }
  }
  g_hash_table_iter_init(&it, cluster->machines);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    fc_machine *machine = value;
    /* A machine that stays with the process that has settled it needs no new
     * fence: nobody else could command it in between. That must be recorded;
     * a dealt owner may have changed and changed back. One that it has not settled
     * yet has been silent for as long as before. */
    bool ours = continuous && machine->owner == old_self && old_self >= 0 && cluster->membership.self >= 0 &&
                strcmp(machine->record.owner, cluster->settings->name) == 0;
    bool settled = ours && machine->reconciled_term == old.number;
    machine->owner = machine->record_version ? fc_assign_machine(term, machine->id, machine->record.owner) : -1;
    machine->view.digest = 0;
    machine->reconciled_term = settled && machine->owner == cluster->membership.self ? term->number : 0;
    if (ours && machine->owner == cluster->membership.self) continue;
    machine->owned_since = now;
    machine->agent.reported = false;
    reset_drain(machine);
  }
}

bool fc_cluster_update_reconciled(fc_cluster *cluster) {
  if (cluster->reconciliation.complete_in_term == cluster->membership.term.number && cluster->membership.term_version)
    return true;
  if (!cluster->membership.term_version || cluster->membership.self < 0) return false;
  const unsigned before =
      cluster->reconciliation.members_term == cluster->membership.term.number ? cluster->reconciliation.members : 0;
  const unsigned everyone = (1u << cluster->membership.term.count) - 1;
  unsigned unsettled = 0; /* a bit a member */
  bool all = true;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, cluster->machines);
  while ((all || (unsettled | before) != everyone) && g_hash_table_iter_next(&it, NULL, &value)) {
    const fc_machine *machine = value;
    /* Nothing was ever started on a machine whose address is not recorded.
     * Waiting for such machines too, a fleet that keeps renting would start
     * nothing for long after every change of term: one is always booting. */
    if (!machine->announced || machine->reconciled_term == cluster->membership.term.number) continue;
    all = false;
    if (machine->owner >= 0) unsettled |= 1u << machine->owner;
  }
  if (all) cluster->reconciliation.complete_in_term = cluster->membership.term.number;
  cluster->reconciliation.members_term = cluster->membership.term.number;
  cluster->reconciliation.members = before | (everyone & ~unsettled);
  if (!all && cluster->reconciliation.members == before) return false;
  g_hash_table_iter_init(&it, cluster->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) make_clear(cluster, value);
  return all;
}
