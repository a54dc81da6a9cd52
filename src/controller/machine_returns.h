/* Returns of machines to the cloud: marks machines as being returned, and removes their placements and
 * records once the cloud has confirmed that they are gone. */
#ifndef FC_CONTROLLER_MACHINE_RETURNS_H
#define FC_CONTROLLER_MACHINE_RETURNS_H

#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "controller/kv_watch.h"
#include "controller/wakeups.h"

/* Why a machine is returned. */
typedef enum {
  FC_RETURN_NONE,     /* it is not returned */
  FC_RETURN_LOST,     /* unreachable for too long */
  FC_RETURN_NEVER_UP, /* did not start up in time */
  FC_RETURN_IDLE,     /* idle for too long, and surplus */
  FC_RETURN_FAULTY,   /* failures are blamed on it, or it holds a lost start */
  FC_RETURN_BEGUN,    /* an earlier return has begun, and its outcome is not known */
  FC_RETURN_OVERDUE,  /* a cancelled task may still run there shortly before its deadline */
  FC_RETURN_REASONS
} fc_return_reason;

typedef struct fc_machine_returns fc_machine_returns;

/* The arguments must outlive the result, which is never freed. */
fc_machine_returns *fc_machine_returns_new(fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch,
                                           fc_wakeups *wakeups);

/* Marks the machine as being returned, so that nothing more is placed on it, and appends a copy of its
 * id to `ids`, whose free function must be g_free(). */
void fc_machine_returns_begin(fc_machine *machine, fc_return_reason reason, GPtrArray *ids);
/* Removes the placements of these machines, after the cloud has confirmed that they are gone, and marks
 * them as reconciled. */
void fc_machine_returns_confirmed(fc_machine_returns *returns, const GPtrArray *ids);
/* As fc_machine_returns_confirmed(), and also removes their records from the key-value store. Machines
 * whose records could not be removed stay marked as being returned. May suspend the calling
 * routine. */
void fc_machine_returns_remove_records(fc_machine_returns *returns, const GPtrArray *ids);

#endif
