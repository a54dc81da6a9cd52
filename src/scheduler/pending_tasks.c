#include "scheduler/pending_tasks.h"

#include <string.h>

#include "bookkeeping/dependencies.h"

/* Bitmaps up to this size are stored on the stack. */
#define STACK_BITMAP_BYTES 64u
#define BITS_PER_BYTE 8u
#define ALL_TASKS_TAKEN 0xffu

bool fc_job_placeable(const fc_cluster *cluster, const fc_job *job, double now) {
  return fc_job_runnable(job) && job->slices.resolved && job->team >= 0 && now >= job->queue.blocked_until &&
         cluster->membership.self >= 0 && fc_job_owned_by(job, cluster->membership.self);
}

unsigned fc_job_slices_of_member(const fc_job *job, int member) {
  unsigned slices = 0;
  for (unsigned slice = 0; slice < job->slices.count; slice++)
    if (member < 0 || fc_job_slice_owner(job, slice) == member) slices |= 1u << slice;
  return slices;
}

/* A bitmap of the tasks that are completed or may be running. Returns `stack_bitmap` if that is large enough,
 * otherwise an allocated bitmap that the caller frees. */
static uint8_t *taken_tasks(const fc_job *job, uint8_t stack_bitmap[STACK_BITMAP_BYTES]) {
  size_t bytes = fc_task_bitmap_bytes(job->spec.tasks);
  uint8_t *taken = bytes <= STACK_BITMAP_BYTES ? stack_bitmap : g_malloc(bytes);
  memcpy(taken, job->completion.bitmap, bytes);
  for (guint i = 0; i < job->placements->len; i++) {
    const fc_placement *placement = job->placements->pdata[i];
    /* A task that exited without completing is pending again. Any other placement may still run or has completed. */
    if (placement->status.state == FC_TASK_EXITED && placement->status.cause != FC_CAUSE_DONE) continue;
    if (placement->index < job->spec.tasks) fc_task_bitmap_set(taken, placement->index);
  }
  return taken;
}

/* Returns the number of pending tasks of the slices, at most `limit`; appends their indexes to `list` unless that is
 * NULL. */
static guint collect_pending(const fc_job *job, unsigned slices, guint limit, GArray *list) {
  uint8_t stack_bitmap[STACK_BITMAP_BYTES];
  uint8_t *taken = taken_tasks(job, stack_bitmap);
  guint count = 0;
  if (!slices) limit = 0;
  for (uint32_t index = 0; index < job->spec.tasks && count < limit; index++) {
    uint8_t taken_byte = taken[index / BITS_PER_BYTE];
    if (index % BITS_PER_BYTE == 0 && taken_byte == ALL_TASKS_TAKEN) {
      index += BITS_PER_BYTE - 1;
      continue;
    }
    if ((taken_byte >> (index % BITS_PER_BYTE) & 1) || !(slices >> fc_job_slice_of(job, index) & 1)) continue;
    if (list) g_array_append_val(list, index);
    count++;
  }
  if (taken != stack_bitmap) g_free(taken);
  return count;
}

GArray *fc_job_pending_tasks_in(const fc_job *job, unsigned slices, guint limit) {
  GArray *list = g_array_new(FALSE, FALSE, sizeof(uint32_t));
  (void)collect_pending(job, slices, limit, list);
  return list;
}

GArray *fc_job_pending_tasks(const fc_job *job, int member, guint limit) {
  return fc_job_pending_tasks_in(job, fc_job_slices_of_member(job, member), limit);
}

guint fc_job_count_pending_tasks(const fc_job *job, int member, guint limit) {
  return collect_pending(job, fc_job_slices_of_member(job, member), limit, NULL);
}

bool fc_job_has_pending_tasks_in(const fc_job *job, unsigned slices) {
  return collect_pending(job, slices, 1, NULL) > 0;
}

bool fc_job_has_pending_tasks(const fc_job *job, int member) {
  return fc_job_has_pending_tasks_in(job, fc_job_slices_of_member(job, member));
}
