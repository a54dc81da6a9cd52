/* Preemption on machines that have an image, in place of fetching it elsewhere. */
#ifndef FC_SCHEDULER_IMAGE_PREEMPTION_H
#define FC_SCHEDULER_IMAGE_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/bin_packing.h"

/* Looks through the machines once for all decisions of a round: hundreds of decisions that each
 * looked through the fleet took the whole time of a round. */
typedef struct fc_image_preemption fc_image_preemption;

/* `cluster` must outlive the search. Freed with fc_image_preemption_free(). */
fc_image_preemption *fc_image_preemption_new(const fc_cluster *cluster, double now);
void fc_image_preemption_free(fc_image_preemption *search);

/* For a decision of high priority that would fetch its image: should it wait until room is made on a
 * machine that has the image? If so, returns true, and the caller leaves the decision out of this
 * round. Appends to `stops` the tasks (fc_placement pointers, the cluster's) to preempt for that and
 * marks them as stop.requested; none, where room is being freed already. */
bool fc_image_preemption_defer(fc_image_preemption *search, const fc_placement_decision *decision, GPtrArray *stops);

#endif
