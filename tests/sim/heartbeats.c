/* Messages between simulated workers and controllers: heartbeats and their responses, late duplicates of
 * heartbeats, direct commands, and the lease that answered heartbeats renew. */
#include "held_calls.h"
#include "repeated_calls.h"

#define HEARTBEAT_TIMEOUT_S 4
#define HEARTBEAT_RETRY_S 1 /* after a heartbeat that was rejected or not answered */
#define DUPLICATE_DELAY_MAX_S (3 * LEASE_S)
#define UNUSED_IP IP(10, 9, 9, 9)

static const char *const k_state_words[] = {"pulling", "waiting", "running", "exited"};

/* ---- lease ---- */

void worker_check_lease(sim_worker *worker) {
  if (sim_now() <= worker->lease_renewed_at + LEASE_S) return;
  if (g_verbose && worker->tasks->len > 0)
    g_printerr("%.2f lease expired %s tasks=%u\n", sim_now(), worker->id, worker->tasks->len);
  g_result.lease_kills += worker->tasks->len;
  if (!worker->tried_live_controller) g_result.unavoidable_lease_kills += worker->tasks->len;
  tasks_drop_all(worker);
  worker->epoch++;
  worker->lease_renewed_at = sim_now();
  worker->status_changed = true;
}

/* ---- status message ---- */

static json_t *task_status(const sim_task *task) {
  char run[64];
  g_snprintf(run, sizeof run, "%s/%u", task->job_id, task->index);
  return json_pack("{ss sI ss ss*}", "run", run, "kickoff", (json_int_t)task->attempt, "status",
                   k_state_words[task->state], "cause", task->state == TASK_EXITED ? task->cause : NULL);
}

/* The worker's status with the next sequence number; the caller frees it with free(). */
static char *status_message(sim_worker *worker) {
  json_t *runs = json_array();
  for (guint i = 0; i < worker->tasks->len; i++) json_array_append_new(runs, task_status(worker->tasks->pdata[i]));
  char endpoint[40];
  g_snprintf(endpoint, sizeof endpoint, "10.1.%u.%u:9000", worker->ip >> 8 & 0xff, worker->ip & 0xff);
  json_t *message =
      json_pack("{ss ss ss ss sb sI sI sI so}", "paddock", worker->id, "endpoint", endpoint, "build", "g4", "ground",
                k_zones[worker->zone], "loaners", (int)worker->spot, "stint", (json_int_t)worker->epoch, "tally",
                (json_int_t)++worker->heartbeat_seq, "captaincy", (json_int_t)worker->fencing_token, "runs", runs);
  if (worker->preemption_notice_at > 0)
    json_object_set_new(message, "recallS", json_real(MAX(0, worker->preempted_at - sim_now())));
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  return text;
}

/* ---- responses ---- */

static uint64_t get_integer(const json_t *message, const char *name) {
  return (uint64_t)json_integer_value(json_object_get(message, name));
}

/* A higher fencing token counts as a changed status at most once in half a lease. */
static void adopt_fencing_token(sim_worker *worker, uint64_t fencing_token) {
  if (worker->restarted_at > 0 && fencing_token > worker->token_before_restart) {
    g_result.max_unfenced_s = MAX(g_result.max_unfenced_s, sim_now() - worker->restarted_at);
    worker->restarted_at = 0;
  }
  if (fencing_token > worker->fencing_token && sim_now() >= worker->token_reported_at + LEASE_S / 2) {
    worker->status_changed = true;
    worker->token_reported_at = sim_now();
  }
  worker->fencing_token = fencing_token;
}

/* A response with an older fencing token comes from a former leader: it neither renews the lease nor is
 * obeyed. */
static void accept_reply(sim_worker *worker, const json_t *message) {
  uint64_t fencing_token = get_integer(message, "captaincy");
  if (fencing_token < worker->fencing_token) return;
  adopt_fencing_token(worker, fencing_token);
  worker->lease_renewed_at = worker->heartbeat_sent_at;
  worker->tried_live_controller = false;
  repeated_calls_note_answer(worker, message);
  tasks_execute(worker, json_object_get(message, "calls"));
}

static void try_next_controller(sim_worker *worker) {
  worker->node = (worker->node + 1) % WORLD_NODES;
}

/* Switches to the controller that the response names, or to the next one if a controller redirects to
 * itself. */
static void follow_redirect(sim_worker *worker, const char *leader) {
  int node = atoi(leader + strlen("paddock-"));
  bool itself = node == worker->node;
  worker->next_heartbeat_at = sim_now() + (itself ? HEARTBEAT_RETRY_S : sim_draw(0, 0.5));
  if (itself) {
    try_next_controller(worker);
  } else {
    worker->node = node;
  }
}

static void on_heartbeat_reply(int status, const char *body, void *arg) {
  sim_worker *worker = arg;
  if (status != 200) worker->connection = 0;
  if (worker->sent_incarnation != worker->incarnation) return; /* a restart has ended its connection */
  worker->in_flight = false;
  if (!worker_alive(worker)) return;
  worker_check_lease(worker);
  json_t *message = status == 200 || status == 421 ? json_loads(body, 0, NULL) : NULL;
  if (status == 200 && message && worker->sent_epoch == worker->epoch) {
    accept_reply(worker, message);
  } else if (status == 421 && message && json_object_get(message, "coach")) {
    follow_redirect(worker, json_string_value(json_object_get(message, "coach")));
  } else {
    try_next_controller(worker);
    worker->next_heartbeat_at = sim_now() + HEARTBEAT_RETRY_S;
  }
  json_decref(message);
}

/* ---- late duplicates ---- */

/* A heartbeat that is delivered a second time, from a fraction of a second to several leases late,
 * possibly to another controller or after the machine was returned. The response is ignored. */
typedef struct late_heartbeat {
  uint32_t from, to;
  char *body;
} late_heartbeat;

static void ignore_reply(int status, const char *body, void *arg) {
  (void)status;
  (void)body;
  (void)arg;
}

static void deliver_duplicate(void *arg) {
  late_heartbeat *late = arg;
  sim_call(late->from, late->to, "POST", "/checkin", late->body, HEARTBEAT_TIMEOUT_S, ignore_reply, NULL);
  g_free(late->body);
  g_free(late);
}

static void deliver_duplicate_in(double in_s, const sim_worker *worker, unsigned node, const char *body) {
  late_heartbeat *late = g_new(late_heartbeat, 1);
  *late = (late_heartbeat){worker->ip, WORLD_NODE_IP(node), g_strdup(body)};
  sim_after(in_s, deliver_duplicate, late);
}

void world_duplicate_heartbeat(unsigned machine, unsigned node, double in_s) {
  sim_worker *worker = g_worker_list->pdata[machine];
  char *body = status_message(worker);
  deliver_duplicate_in(in_s, worker, node, body);
  free(body);
}

/* ---- sending ---- */

void worker_send_heartbeat(sim_worker *worker) {
  worker->in_flight = true;
  worker->heartbeat_sent_at = sim_now();
  worker->sent_epoch = worker->epoch;
  worker->sent_incarnation = worker->incarnation;
  worker->tried_live_controller |= sim_process_alive(WORLD_NODE_IP(worker->node));
  worker->status_changed = false;
  worker->next_heartbeat_at = sim_now() + HEARTBEAT_S * sim_draw(0.75, 1.25);
  char *body = status_message(worker);
  if (!worker->connection) worker->connection = sim_connection_number();
  uint32_t to = worker->outbound_lost_until > sim_now() ? UNUSED_IP : WORLD_NODE_IP(worker->node);
  sim_call_on(worker->connection, worker->ip, to, "/checkin", body, HEARTBEAT_TIMEOUT_S, on_heartbeat_reply, worker);
  if (sim_chance(g_duplicate_share)) {
    int node = sim_chance(0.5) ? worker->node : world_random_node();
    deliver_duplicate_in(sim_draw(0.5, DUPLICATE_DELAY_MAX_S), worker, (unsigned)node, body);
  }
  free(body);
}

/* ---- direct commands ---- */

bool worker_receive_call(sim_worker *worker, const char *body) {
  worker_check_lease(worker);
  json_t *message = json_loads(body, 0, NULL);
  uint64_t fencing_token = get_integer(message, "captaincy");
  bool accepted = fencing_token >= worker->fencing_token && get_integer(message, "stint") == worker->epoch;
  if (accepted) {
    adopt_fencing_token(worker, fencing_token);
    tasks_execute(worker, json_object_get(message, "calls"));
  }
  json_decref(message);
  return accepted;
}

void worker_serve_commands(const sim_request *request, void *arg) {
  sim_worker *worker = arg;
  if (strstr(request->body, "\"call\":\"start\"")) world_rule_broken("start sent by a direct call", request->body);
  if (held_calls_take(worker, request->body)) return; /* its sender gets no answer */
  bool accepted = worker_receive_call(worker, request->body);
  if (accepted) repeated_calls_note_executed(worker, request->body);
  char *text = status_message(worker);
  sim_answer(request->exchange, accepted ? 200 : 409, text);
  free(text);
}
