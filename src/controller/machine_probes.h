/* Machine probes: when a machine is asked directly what it holds, because its heartbeats do not
 * show that it hears us, or because it may have been restarted or lost. */
#ifndef FC_CONTROLLER_MACHINE_PROBES_H
#define FC_CONTROLLER_MACHINE_PROBES_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/worker_calls.h"

typedef struct fc_machine_probes fc_machine_probes;

/* The arguments have to outlive it. The caller frees it with fc_machine_probes_free(), when none
 * of its routines runs any more. */
fc_machine_probes *fc_machine_probes_new(fc_cluster *cluster, const fc_leadership *leadership, fc_worker_calls *calls);
void fc_machine_probes_free(fc_machine_probes *probes);

/* Marks a machine of ours to be probed by the next call to it when there is reason to; returns
 * whether it is marked. */
bool fc_machine_probes_check(const fc_machine_probes *probes, fc_machine *machine);
/* Has a routine probe another member's machine, where its owner may have to know whether anybody
 * reaches it. Returns at once. */
void fc_machine_probes_assist_owner(fc_machine_probes *probes, fc_machine *machine);

#endif
