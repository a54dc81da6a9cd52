/* Determines the commands that a worker has to execute next: starts, stops, and commands to forget tasks whose ends are
 * recorded. */
#ifndef FC_CONTROLLER_WORKER_COMMANDS_H
#define FC_CONTROLLER_WORKER_COMMANDS_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "controller/task_completion.h"

typedef struct fc_worker_commands fc_worker_commands;

/* The arguments must outlive the result, which the caller frees with fc_worker_commands_free(). */
fc_worker_commands *fc_worker_commands_new(const fc_cluster *cluster, fc_task_completion *completion);
void fc_worker_commands_free(fc_worker_commands *commands);

/* Returns the commands (fc_command) for a reconciled machine, to be sent by a direct call with this fencing token: no
 * starts, and none at all while its worker's epoch is not known. The placement of a task that is to be stopped, and
 * whose start was never sent, is removed. The caller frees the array; its strings are owned by the placements. */
GArray *fc_worker_commands_for_call(fc_worker_commands *commands, fc_machine *machine, uint64_t fencing_token);
/* The same for the response to the heartbeat with this sequence number. */
GArray *fc_worker_commands_for_answer(fc_worker_commands *commands, fc_machine *machine, uint64_t sequence,
                                      uint64_t fencing_token);
/* Returns whether to solicit a heartbeat by a direct call with a raised fencing token: a task waits for its start,
 * which only answers to heartbeats carry, no heartbeat is held, and the worker reports a higher token at once, as none
 * has been sent for FC_TOKEN_REPORT_SPACING_LEASES. `now`: monotonic time in seconds. Source: PROTOCOL, "Workers ->
 * controller nodes". */
bool fc_worker_commands_solicit_heartbeat(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Whether there is a start or a stop for the machine's worker. */
bool fc_worker_commands_any_urgent(const fc_machine *machine);

/* Returns the fencing token for the answer to a heartbeat of a machine of this shard that shows the token `shown`.
 * While a direct start may still be executed, or once the worker is to forget the task that it has started, it is above
 * the token of that start. So the answer either makes the worker refuse copies of the start or, if it is lost, neither
 * renews the worker's lease, after whose end the epoch doesn't match, nor makes it forget the task.
 */
uint64_t fc_worker_commands_answer_token(const fc_worker_commands *commands, const fc_machine *machine, uint64_t shown);

/* Whether the task must not run any more: it is done, or its job has ended. */
bool fc_worker_commands_task_unwanted(const fc_cluster *cluster, const fc_placement *placement);
/* Marks the task, whose job has to be in the cluster state, to be stopped with enough time for a checkpoint. The stop
 * is sent with the next call or response. */
void fc_worker_commands_request_stop(const fc_settings *settings, fc_placement *placement);

#endif
