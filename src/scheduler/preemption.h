/* Preemption: which running tasks make room for more important work. Pure. */
#ifndef FC_SCHEDULER_PREEMPTION_H
#define FC_SCHEDULER_PREEMPTION_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/bin_packing.h"

/* Placements of this part to be stopped (fc_placement pointers), for jobs of
 * this part that have waited and found no room. Only as the rules allow: for a
 * job of higher rank, or for a team below its guarantee from teams above
 * theirs. Work that saves goes first, then what loses least. */
GPtrArray *fc_preempt_round(const fc_cluster *cluster, const fc_allowance *allow, double now);

/* Placements of this part to be stopped so that the gang whose turn it is fits its
 * team's limit. All members choose the same of all parts, and stop their own. */
void fc_preempt_for_limit(const fc_cluster *cluster, GPtrArray *stops, double now);

/* For tasks of high rank that a plan puts where their image is not: may it be worth
 * more to wait until a machine that has the image is made free? The machines are
 * looked through once for a whole plan: hundreds of decisions that each walked the
 * fleet took the whole of a round. */
typedef struct fc_image_search fc_image_search;
fc_image_search *fc_image_search_new(const fc_cluster *cluster, double now);
void fc_image_search_free(fc_image_search *search);
/* Fills `stops` with what has to be stopped (nothing, when it is being stopped
 * already) and returns whether to leave the decision out of this round. */
bool fc_preempt_for_image(fc_image_search *search, const fc_decision *decision, GPtrArray *stops);

#endif
