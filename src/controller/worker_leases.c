/* Which members reach a machine, and when its worker's lease has certainly expired. Any
 * member may answer a worker's report; the owner learns of it from acknowledgements. */
#include <math.h>
#include <string.h>

#include "bookkeeping/cluster_machines.h"
#include "bookkeeping/reconciliation_progress.h"
#include "controller/controller.h"
#include "controller/machine_reachability.h"
#include "coordination/leader_lease.h"

typedef struct question {
  fc_controller *c;
  char id[64]; /* of the machine */
} question;

static void ask_main(void *arg) {
  question a = *(question *)arg;
  g_free(arg);
  fc_controller *controller = a.c;
  const fc_machine *known = fc_cluster_find_machine(controller->cluster, a.id);
  fc_endpoint at;
  if (known && fc_endpoint_parse(known->record.endpoint, &at)) {
    double asked = fc_now();
    fc_heartbeat heartbeat;
    fc_worker_call_result result =
        fc_worker_call(&at, controller->cluster->membership.term.number, known->agent.epoch, NULL, 0,
                       asked + controller->settings->heartbeat_s * 0.75, &heartbeat);
    bool answered = fc_worker_call_answered(result);
    fc_machine *machine = fc_cluster_find_machine(controller->cluster, a.id);
    if (machine) {
      /* Another may have taken its address since; then that one has answered. */
      machine->probe.answered = answered && strcmp(heartbeat.machine, machine->id) == 0;
      machine->probe.sent_at = asked;
    }
    if (answered) fc_heartbeat_clear(&heartbeat);
  }
  fc_machine *machine = fc_cluster_find_machine(controller->cluster, a.id);
  if (machine) machine->probe.in_flight = false;
  controller->worker_calls--;
}

void fc_workers_ask(fc_controller *controller, fc_machine *machine) {
  const fc_cluster *cluster = controller->cluster;
  const fc_settings *settings = controller->settings;
  double now = fc_now();
  if (machine->probe.in_flight || machine->owner < 0 || !machine->announced || !machine->record.endpoint[0] ||
      !fc_reachability_may_be_renewed(controller->leadership, controller->settings, now))
    return;
  /* Its owner is out of touch with it, or should have settled it by now. */
  bool doubtful = fc_machine_reconciled(cluster, machine)
                      ? machine->reachability.owner_suspects
                      : now > fc_leadership_term_since(controller->leadership) + settings->heartbeat_s * 1.5;
  if (!doubtful || now < machine->probe.sent_at + settings->heartbeat_s || !fc_leadership_held(controller->leadership))
    return;
  /* Our own machines come first: of the sockets for calls these take a quarter at most. */
  if (controller->worker_calls >= MAX(settings->fd_limit / 32, 1)) return;
  question *a = g_new0(question, 1);
  a->c = controller;
  g_strlcpy(a->id, machine->id, sizeof a->id);
  machine->probe.in_flight = true;
  controller->worker_calls++;
  if (!fc_routine_spawn(ask_main, a)) {
    machine->probe.in_flight = false;
    controller->worker_calls--;
    g_free(a);
  }
}

/* When the worker has certainly given up its tasks, if nobody we have not heard of has
 * answered it. Any member may answer its reports, so each has to have told us until when
 * it did not; what dead lives answered, they did before we learned of the term. */
static double lease_over_at(const fc_controller *controller, const fc_machine *machine) {
  double last = MAX(MAX(machine->lease.answered_at, machine->lease.peer_renewed_at),
                    MAX(machine->owned_since, fc_leadership_term_since(controller->leadership)));
  /* A new session has its full time from its own beginning, though nobody has
   * answered it yet: what was started on it by direct commands alone was once
   * taken for gone, and started elsewhere (fault test, seed 43). */
  last = MAX(last, machine->agent.epoch_began_at);
  return last + controller->settings->lease_s * (1 + 2 * FC_CLOCK_DRIFT) + controller->settings->heartbeat_s * 0.25;
}

/* Has everybody who might have answered its worker told us until then that it didn't? */
static bool others_covered(fc_controller *controller, double over) {
  for (int i = 0; i < (int)controller->cluster->membership.term.count; i++) {
    if (i == controller->cluster->membership.self) continue;
    const fc_peer *peer = fc_peers_of_member(controller->peers, i);
    if (!peer || peer->acknowledged.renewals_known_until < over) return false;
  }
  /* One that was no member may have entered since we last read of it, and keep the
   * worker alive: alone in a term, and cut off from the state service, we started its
   * tasks again (fault test, seed 353). */
  return controller->cluster->membership.term.count >= controller->settings->peer_count + 1 ||
         controller->cluster->sync.read_at >= over;
}

/* The worker has given up its tasks and is in a later session, or will be when it goes
 * on. A report of the one before may still come, newer than any we have heard: tasks
 * that had been started elsewhere were once said to run here as well (scene
 * reports_of_a_lease_that_is_over). */
static void end_session(fc_machine *machine) {
  if (!machine->agent.reported) return; /* it may have been in any */
  machine->agent.epoch++;
  machine->agent.sequence = 0;
}

void fc_workers_expire(fc_controller *controller) {
  fc_cluster *cluster = controller->cluster;
  double now = fc_now();
  fc_machine_iter machine_iter = fc_cluster_machines(cluster);
  for (fc_machine *machine; (machine = fc_machine_iter_next(&machine_iter));) {
    if (!fc_machine_owned_by_self(cluster, machine) || !machine->record_version) continue;
    double over = lease_over_at(controller, machine);
    if (now < over || !others_covered(controller, over)) continue;
    if (machine->placements->len > 0 || !fc_machine_reconciled(cluster, machine)) {
      if (machine->announced) g_info("lease over machine=%s tasks=%u", machine->id, machine->placements->len);
      fc_machine_remove_placements(machine);
      end_session(machine);
      machine->reconciled_term = cluster->membership.term.number;
      if (fc_cluster_update_reconciled(cluster)) fc_wakeups_raise(controller->wakeups, FC_WAKEUP_SCHEDULE);
    }
  }
}
