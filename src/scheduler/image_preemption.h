/* Preempts tasks on machines that already have an image, where fetching it on another machine would take longer. */
#ifndef FC_SCHEDULER_IMAGE_PREEMPTION_H
#define FC_SCHEDULER_IMAGE_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/bin_packing.h"

/* The search state of one round. It examines the machines once for all decisions: with hundreds of decisions, a
 * pass over the fleet for each took the whole time of a round. */
typedef struct fc_image_preemption fc_image_preemption;

/* `cluster` must outlive the search. Freed with fc_image_preemption_free(). */
fc_image_preemption *fc_image_preemption_new(const fc_cluster *cluster, double now);
void fc_image_preemption_free(fc_image_preemption *search);

/* Returns whether a decision of high priority that would fetch its image should instead wait for room on a machine
 * that has it; the caller then leaves the decision out of this round. Appends the tasks to preempt for that
 * (fc_placement pointers, owned by the cluster) to `stops` and marks them as stop.requested; none if room is already
 * free or being freed. */
bool fc_image_preemption_defer(fc_image_preemption *search, const fc_placement_decision *decision, GPtrArray *stops);

#endif
