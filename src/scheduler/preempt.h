/* Preemption: which running tasks make room for more important work. Pure. */
#ifndef FC_SCHEDULER_PREEMPT_H
#define FC_SCHEDULER_PREEMPT_H

#include <glib.h>

#include "bookkeeping/table.h"
#include "scheduler/place.h"

/* Placements of this part to be stopped (fc_placement pointers), for jobs of
 * this part that have waited and found no room. Only as the rules allow: for a
 * job of higher rank, or for a team below its guarantee from teams above
 * theirs. Work that saves goes first, then what loses least. */
GPtrArray *fc_preempt_round(const fc_table *t, const fc_allowance *allow, double now);

#endif
