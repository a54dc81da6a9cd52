/* Returns of machines to the cloud: marks them, and removes their tasks and records once the cloud
 * has confirmed that they are gone. */
#ifndef FC_CONTROLLER_MACHINE_RETURNS_H
#define FC_CONTROLLER_MACHINE_RETURNS_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/wakeups.h"

/* Why a machine goes back. */
typedef enum {
  FC_RETURN_NONE, /* it stays */
  FC_RETURN_LOST,
  FC_RETURN_NEVER_UP,
  FC_RETURN_IDLE,
  FC_RETURN_FAULTY,
  FC_RETURN_BEGUN,   /* a return has begun, and its end is not known */
  FC_RETURN_OVERDUE, /* a cancelled task may still be there near its deadline */
  FC_RETURN_REASONS
} fc_return_reason;

typedef struct fc_machine_returns fc_machine_returns;

/* The arguments have to outlive it; it lives as long as the process. */
fc_machine_returns *fc_machine_returns_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                           fc_wakeups *wakeups);

/* Marks the machine as being returned, so that nothing more is placed on it, and appends a copy of
 * its id to `ids`, which has to free its elements. */
void fc_machine_returns_begin(fc_machine *machine, fc_return_reason reason, GPtrArray *ids);
/* The cloud has confirmed that the machines of these ids are gone: removes their placements. */
void fc_machine_returns_confirmed(fc_machine_returns *returns, const GPtrArray *ids);
/* The same, and removes their records from the key-value store. Those that could not be removed
 * stay marked as being returned. May suspend the calling routine. */
void fc_machine_returns_remove_records(fc_machine_returns *returns, const GPtrArray *ids);

#endif
