#include "bookkeeping/machine_state.h"

#include <string.h>

#include "bookkeeping/job_state.h"

#define IMAGES_MAX 64u

/* The silence timeout: in worker leases, but no less than this number of heartbeat intervals. */
#define SILENCE_TIMEOUT_LEASES 0.6
#define SILENCE_TIMEOUT_HEARTBEATS 3

fc_machine *fc_machine_new(const char *id, double now) {
  fc_machine *machine = g_new0(fc_machine, 1);
  g_strlcpy(machine->id, id, sizeof machine->id);
  machine->type = -1;
  machine->zone = FC_ZONES_MAX;
  machine->owner = -1;
  machine->first_seen = now;
  machine->owned_since = now;
  machine->idle_since = now;
  machine->placements = g_ptr_array_new();
  machine->images = g_ptr_array_new_with_free_func((GDestroyNotify)g_ref_string_release);
  return machine;
}

void fc_machine_free(gpointer freed) {
  fc_machine *machine = freed;
  for (guint i = 0; i < machine->placements->len; i++) g_free(machine->placements->pdata[i]);
  g_ptr_array_free(machine->placements, TRUE);
  g_ptr_array_free(machine->images, TRUE);
  g_free(machine);
}

void fc_machine_reset_owner_state(fc_machine *machine, double now) {
  machine->owned_since = now;
  machine->worker.reported = false;
  machine->drain.state = FC_DRAIN_NONE;
  machine->drain.owner_cordoned = false;
  machine->reachability.owner_suspects = false;
}

bool fc_machine_reserved_for_other(const fc_machine *machine, const char *job_id, double now) {
  return now < machine->reservation.until && strcmp(machine->reservation.gang, job_id) != 0;
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

void fc_machine_remove_placements(fc_machine *machine) {
  while (machine->placements->len > 0) fc_placement_remove(machine->placements->pdata[machine->placements->len - 1]);
}

bool fc_machine_vacant(const fc_machine *machine) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    bool ended = placement->status.state == FC_TASK_EXITED && placement->end_recorded;
    if (!ended && !fc_placement_abandoned_start(placement)) return false;
  }
  return true;
}

void fc_machine_add_usage(const fc_machine *machine, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]) {
  for (guint i = 0; i < machine->placements->len; i++) {
    const fc_placement *placement = machine->placements->pdata[i];
    if (!fc_placement_active(placement) || !placement->job || placement->job->team < 0) continue;
    cpus[placement->job->team] += placement->job->spec.cpus;
    gpus[placement->job->team] += placement->job->spec.gpus;
  }
}

void fc_machine_touch_image(fc_machine *machine, GRefString *image) {
  for (guint i = 0; i < machine->images->len; i++) {
    if (machine->images->pdata[i] != image) continue;
    gpointer known = g_ptr_array_steal_index(machine->images, i);
    g_ptr_array_add(machine->images, known);
    return;
  }
  if (machine->images->len == IMAGES_MAX) g_ptr_array_remove_index(machine->images, 0);
  g_ptr_array_add(machine->images, g_ref_string_acquire(image));
}

bool fc_machine_has_image(const fc_machine *machine, const GRefString *image) {
  for (guint i = 0; i < machine->images->len; i++)
    if (machine->images->pdata[i] == image) return true;
  return false;
}

bool fc_machine_unreachable_since(const fc_machine *machine, double since) {
  if (machine->owned_since > since) return false;
  double unidirectional_since = machine->reachability.unidirectional_since;
  return machine->worker.heard_at < since || (unidirectional_since && unidirectional_since < since);
}

double fc_machine_silence_timeout_s(const fc_settings *settings) {
  return MAX(settings->lease_s * SILENCE_TIMEOUT_LEASES, SILENCE_TIMEOUT_HEARTBEATS * settings->heartbeat_s);
}
