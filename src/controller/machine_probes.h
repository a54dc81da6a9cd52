/* Machine probes: decides when a machine is called directly for its list of tasks, because its heartbeats do not show
 * that it receives this controller's responses, or because it may have been restarted or lost. */
#ifndef FC_CONTROLLER_MACHINE_PROBES_H
#define FC_CONTROLLER_MACHINE_PROBES_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/leadership.h"
#include "controller/worker_calls.h"

typedef struct fc_machine_probes fc_machine_probes;

/* The arguments must outlive the result, which the caller frees with fc_machine_probes_free() after
 * all of its routines have ended. */
fc_machine_probes *fc_machine_probes_new(fc_cluster *cluster, const fc_leadership *leadership, fc_worker_calls *calls);
void fc_machine_probes_free(fc_machine_probes *probes);

/* Marks an owned machine to be probed by the next call to it, when there is a reason to. Returns
 * whether it is marked. */
bool fc_machine_probes_check(const fc_machine_probes *probes, fc_machine *machine);
/* Starts a routine that probes another member's machine, if its owner may need to know whether any
 * member reaches it. Returns at once. */
void fc_machine_probes_assist_owner(fc_machine_probes *probes, fc_machine *machine);

#endif
