/* Users: they submit, ask and cancel, and check what they are told. */
#include "stand_ins.h"

/* Ids of their own for what is submitted besides the days' ordinary jobs. */
#define FIRST_ODD 910000u
#define FIRST_OF_PIPELINES 930000u

double g_cancel_on_completion_share;
static int g_users_node;

void world_cancel_at_end(double share) {
  g_cancel_on_completion_share = share;
}

void world_users_to(int node) {
  g_users_node = node;
}

/* What the load balancer chooses. */
static int pick_node(void) {
  return g_users_node >= 0 ? g_users_node : world_any_node();
}

static void user_poll(void *arg);
static void user_cancel(void *arg);
static void user_submit(void *arg);

/* What the user had been told when it asked: answers may overtake each other. */
typedef struct job_question {
  sim_job *job;
  bool seen_done, seen_cancelled;
} job_question;

static job_question *ask(sim_job *job) {
  job_question *question = g_new(job_question, 1);
  *question = (job_question){job, job->seen_done, job->seen_cancelled};
  return question;
}

double job_ready_at(const sim_job *job) {
  double at = 0;
  for (guint i = 0; i < job->needs->len; i++) {
    const sim_job *before = job->needs->pdata[i];
    at = MAX(at, before->completed_at > 0 ? before->completed_at : INFINITY);
  }
  return at;
}

bool job_dependency_cancelled(const sim_job *job) {
  for (guint i = 0; i < job->needs->len; i++) {
    const sim_job *before = job->needs->pdata[i];
    if ((before->cancel_requested && !before->seen_done) || job_dependency_cancelled(before)) return true;
  }
  return false;
}

/* When a user was first told that a job is cancelled which this one needs; INFINITY: never. */
static double told_cancelled_before(const sim_job *job) {
  double at = INFINITY;
  for (guint i = 0; i < job->needs->len; i++) {
    const sim_job *before = job->needs->pdata[i];
    if (before->seen_cancelled) at = MIN(at, before->seen_cancelled_at);
    at = MIN(at, told_cancelled_before(before));
  }
  return at;
}

static void check_told(const job_question *question, const char *status) {
  sim_job *job = question->job;
  bool done = strcmp(status, "done") == 0, cancelled = strcmp(status, "cancelled") == 0;
  if (done && job->done_count < job->tasks) world_broke("not_done", job->id);
  if (cancelled && !job->cancel_requested && !job_dependency_cancelled(job)) world_broke("went_back", job->id);
  double asked_from = MAX(told_cancelled_before(job), job->first_submitted_at);
  if (!done && !cancelled && sim_now() > asked_from + CANCEL_DEADLINE_S) world_broke("orphaned", job->id);
  if (question->seen_done && !done) world_broke("went_back", job->id);
  if (question->seen_cancelled && !cancelled) world_broke("went_back", job->id);
  if (done && !job->seen_done) {
    job->seen_done = true;
    job->seen_done_at = sim_now();
    job->terminal = true;
    g_result.finished++;
  }
  if (cancelled && !job->seen_cancelled) {
    job->seen_cancelled = true;
    job->seen_cancelled_at = sim_now();
    job->terminal = true;
    g_result.cancelled++;
  }
}

static void read_status(const job_question *question, const char *body) {
  json_t *message = json_loads(body, 0, NULL);
  const char *status = json_string_value(json_object_get(message, "status"));
  if (status) check_told(question, status);
  json_decref(message);
}

static void on_submitted(int status, const char *body, void *arg) {
  job_question *question = arg;
  sim_job *job = question->job;
  g_result.submissions++;
  g_result.unanswered += status == 0;
  if (status == 429 || status == 503) {
    g_result.refused++;
    if (sim_retry_after() <= 0) world_broke("refused without Retry-After", body);
  }
  if (status == 200 || status == 201) {
    if (!job->seen_accepted) {
      g_result.accepted++;
      job->seen_accepted_at = sim_now();
    }
    job->seen_accepted = true;
    read_status(question, body);
    sim_after(sim_draw(1, 5), user_poll, job);
    if (job->cancel_delay_s > 0) sim_after(job->cancel_delay_s, user_cancel, job);
  } else if (status == 400 || status == 422) {
    world_broke(job->seen_accepted ? "forgotten" : "refused", body);
  } else {
    sim_after(sim_draw(1, 2), user_submit, job);
  }
  g_free(question);
}

/* Users submit a job once those that it awaits are accepted, and name others only when no
 * controller of the former version is left. */
static bool may_submit(const GPtrArray *awaits) {
  if (awaits->len > 0 && world_any_former()) return false;
  for (guint i = 0; i < awaits->len; i++)
    if (!((const sim_job *)awaits->pdata[i])->seen_accepted) return false;
  return true;
}

/* The former version passes over what a submission awaits. */
static const char *body_for(const sim_job *job, int node) {
  return world_is_former((unsigned)node) ? job->body_without_needs : job->body;
}

static void user_submit(void *arg) {
  sim_job *job = arg;
  if (!may_submit(job->needs)) {
    sim_after(0.05, user_submit, job);
    return;
  }
  if (job->first_submitted_at <= 0) job->first_submitted_at = sim_now();
  job->submitting = true;
  int node = pick_node();
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", "/api/jobs", body_for(job, node), 5, on_submitted, ask(job));
}

static void on_repeated(int status, const char *body, void *arg) {
  job_question *question = arg;
  if (status == 200) read_status(question, body);
  if (status == 201 || status == 400 || status == 422) world_broke("forgotten", "a repeated submission");
  g_free(question);
}

static void on_poll(int status, const char *body, void *arg) {
  job_question *question = arg;
  sim_job *job = question->job;
  g_result.questions++;
  g_result.told += status == 200;
  g_result.put_off += status == 503;
  if (status == 503 && sim_retry_after() <= 0) world_broke("refused without Retry-After", body);
  if (status == 404) world_broke("forgotten", job->id);
  if (status == 200) {
    read_status(question, body);
    job->last_answer_at = sim_now();
  } else if (g_faults_end_at > 0 && sim_now() > MAX(g_faults_end_at, job->last_answer_at) + ANSWER_DEADLINE_S) {
    /* Judged by the job: others may well be answered. */
    if (g_verbose) g_printerr("%.2f unanswered %s status=%d %s\n", sim_now(), job->id, status, body);
    world_broke("forgotten (no answer)", job->id);
  }
  g_free(question);
}

static void user_poll(void *arg) {
  sim_job *job = arg;
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", job->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "GET", path, "", 2, on_poll, ask(job));
  if (sim_chance(0.1))
    sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "POST", "/api/jobs", job->body, 5, on_repeated, ask(job));
  /* Often enough that two lost answers in a row are no 75 s without one. */
  sim_after(job->terminal ? sim_draw(4, 12) : sim_draw(4, 6), user_poll, job);
}

static void on_cancelled(int status, const char *body, void *arg) {
  job_question *question = arg;
  if (status == 200) {
    read_status(question, body);
  } else {
    if (status == 404) world_broke("forgotten", question->job->id);
    sim_after(sim_draw(1, 2), user_cancel, question->job);
  }
  g_free(question);
}

static void cancel_by(sim_job *job, int node) {
  if (!job->cancel_requested) job->cancel_requested_at = sim_now();
  job->cancel_requested = true;
  char path[80];
  g_snprintf(path, sizeof path, "/api/jobs/%s/withdraw", job->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "POST", path, "", 5, on_cancelled, ask(job));
}

static void user_cancel(void *arg) {
  sim_job *job = arg;
  if (!job->terminal) cancel_by(job, world_any_node());
}

typedef struct cancel_arg {
  sim_job *job;
  int node;
} cancel_arg;

static void cancel_there(void *arg) {
  cancel_arg *planned = arg;
  cancel_by(planned->job, planned->node >= 0 ? planned->node : world_any_node());
  g_free(planned);
}

void world_cancel(const char *id, int node, double in_s) {
  cancel_arg *planned = g_new(cancel_arg, 1);
  *planned = (cancel_arg){g_hash_table_lookup(g_jobs, id), node};
  sim_after(in_s, cancel_there, planned);
}

double world_accepted_at(const char *id) {
  return ((const sim_job *)g_hash_table_lookup(g_jobs, id))->seen_accepted_at;
}

double world_cancelled_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->seen_cancelled ? job->seen_cancelled_at : 0;
}

void world_ask_job(unsigned node, const char *id) {
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(node), "GET", path, "", 2, on_poll, ask(g_hash_table_lookup(g_jobs, id)));
}

static void cancel_in(sim_job *job, double in_s) {
  cancel_arg *planned = g_new(cancel_arg, 1);
  *planned = (cancel_arg){job, -1};
  sim_after(in_s, cancel_there, planned);
}

static void hang_there(void *arg) {
  sim_worker *worker = arg;
  worker->hung_until = MAX(worker->hung_until, sim_now() + worker->planned_hang_s);
}

/* Of the jobs with tasks on the machine, up to so many; how many there were. */
static unsigned cancel_on(sim_worker *worker, unsigned most, double within_s, double planned_hang_s) {
  unsigned count = 0;
  for (guint k = 0; !worker->terminated && k < worker->tasks->len && count < most; k++) {
    const sim_task *task = worker->tasks->pdata[k];
    if (task->state == TASK_EXITED || !task->job || !task->job->seen_accepted || task->job->terminal ||
        task->job->cancel_requested)
      continue;
    cancel_in(task->job, sim_draw(0, within_s));
    count++;
  }
  if (count > 0 && planned_hang_s > 0) {
    worker->planned_hang_s = planned_hang_s;
    sim_after(sim_draw(0, 1), hang_there, worker);
  }
  return count;
}

void users_cancel_running(unsigned count, double within_s, double planned_hang_s) {
  guint all = g_worker_list->len, from = all > 0 ? (guint)g_rand_int_range(sim_rand(), 0, (gint32)all) : 0;
  for (guint i = 0; i < all && count > 0; i++)
    count -= cancel_on(g_worker_list->pdata[(from + i) % all], count, within_s, planned_hang_s);
}

typedef struct cancel_later {
  sim_worker *on; /* NULL: any */
  unsigned count;
} cancel_later;

static void cancel_some(void *arg) {
  cancel_later *planned = arg;
  if (planned->on) {
    (void)cancel_on(planned->on, planned->count, 0.2, 0);
  } else {
    users_cancel_running(planned->count, 0.2, 0);
  }
  g_free(planned);
}

void users_cancel_running_in(unsigned count, double in_s) {
  cancel_later *planned = g_new(cancel_later, 1);
  *planned = (cancel_later){NULL, count};
  sim_after(in_s, cancel_some, planned);
}

void users_cancel_on_machine_in(unsigned machine, unsigned count, double in_s) {
  cancel_later *planned = g_new(cancel_later, 1);
  *planned = (cancel_later){g_worker_list->pdata[machine], count};
  sim_after(in_s, cancel_some, planned);
}

/* At the very moment at which the last task ends its user calls the job off, asks
 * about it and submits it again. */
void users_job_completed(sim_job *job) {
  job->completed_at = sim_now();
  if (g_cancel_on_completion_share <= 0 || !sim_chance(g_cancel_on_completion_share)) return;
  cancel_arg *planned = g_new(cancel_arg, 1);
  *planned = (cancel_arg){job, -1};
  sim_after(sim_draw(0, 0.6), cancel_there, planned);
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", job->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "GET", path, "", 2, on_poll, ask(job));
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "POST", "/api/jobs", job->body, 5, on_repeated, ask(job));
}

static void on_unknown(int status, const char *body, void *arg) {
  (void)body;
  (void)arg;
  if (status == 200) world_broke("invented", "a job nobody submitted");
}

static gint compare_ids(gconstpointer left, gconstpointer right) {
  return strcmp((*(sim_job *const *)left)->id, (*(sim_job *const *)right)->id);
}

/* ---- odd requests ---- */

static const struct {
  const char *without; /* that field is left out */
  const char *with;    /* these are as here */
  int status;
} k_odd[] = {
    {NULL, "{\"gpus\":5}", 422},
    {NULL, "{\"cpus\":40.5}", 422},
    {NULL, "{\"memGb\":401}", 422},
    {NULL, "{\"builds\":[\"none\"]}", 422},
    {NULL, "{\"club\":\"none\"}", 422},
    {NULL, "{\"club\":\"blue\",\"play\":\"gang\",\"runs\":13}", 422},
    {NULL, "{\"club\":\"blue\",\"play\":\"service\",\"runs\":4,\"gpus\":3.5}", 422},
    {"squad", NULL, 400},
    {"club", NULL, 400},
    {"play", NULL, 400},
    {"rank", NULL, 400},
    {"runs", NULL, 400},
    {"cpus", NULL, 400},
    {"gpus", NULL, 400},
    {"memGb", NULL, 400},
    {"kit", NULL, 400},
    {"pullGb", NULL, 400},
    {"samePlace", NULL, 400},
    {"scatter", NULL, 400},
    {"loaners", NULL, 400},
    {"expectS", NULL, 400},
    {"markS", NULL, 400},
    {"stowS", NULL, 400},
    {NULL, "{\"runs\":0}", 400},
    {NULL, "{\"runs\":100001}", 400},
    {NULL, "{\"gpus\":-1}", 400},
    {NULL, "{\"rank\":\"urgent\"}", 400},
    {NULL, "{\"play\":\"solo\"}", 400},
};

typedef struct invalid_request {
  guint row;
  char id[32];
} invalid_request;

static void on_odd_known(int status, const char *body, void *arg) {
  (void)body;
  invalid_request *invalid = arg;
  if (status == 200) world_broke("invented", invalid->id);
  g_free(invalid);
}

static void odd_known(void *arg) {
  invalid_request *invalid = arg;
  char path[64];
  g_snprintf(path, sizeof path, "/api/jobs/%s", invalid->id);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "GET", path, "", 2, on_odd_known, invalid);
}

static void on_odd(int status, const char *body, void *arg) {
  invalid_request *invalid = arg;
  char detail[200];
  g_snprintf(detail, sizeof detail, "%s without %s, with %s: %d %s", invalid->id, k_odd[invalid->row].without,
             k_odd[invalid->row].with, status, body);
  if (status == 200 || status == 201) world_broke("accepted what can't run or isn't a job", detail);
  if ((status == 400 || status == 422) && status != k_odd[invalid->row].status)
    world_broke("refused for another", detail);
  sim_after(sim_draw(0, 10), odd_known, invalid);
}

static void submit_odd(void) {
  invalid_request *invalid = g_new(invalid_request, 1);
  invalid->row = (guint)g_rand_int_range(sim_rand(), 0, G_N_ELEMENTS(k_odd));
  g_snprintf(invalid->id, sizeof invalid->id, "job-%06u", FIRST_ODD + g_result.odd);
  json_t *message = json_pack("{ss ss ss ss ss si sf sf sf ss sf sb sb sb sf sf sf}", "id", invalid->id, "squad",
                              "sweep", "club", "red", "play", "sweep", "rank", "standard", "runs", 1, "cpus", 1.0,
                              "gpus", 1.0, "memGb", 8.0, "kit", "img-1", "pullGb", 1.0, "samePlace", 0, "scatter", 0,
                              "loaners", 1, "expectS", 10.0, "markS", 0.0, "stowS", 0.0);
  if (k_odd[invalid->row].without) json_object_del(message, k_odd[invalid->row].without);
  if (k_odd[invalid->row].with) {
    json_t *with = json_loads(k_odd[invalid->row].with, 0, NULL);
    json_object_update(message, with);
    json_decref(with);
  }
  char *text = json_dumps(message, JSON_COMPACT);
  json_decref(message);
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", text, 5, on_odd, invalid);
  free(text);
}

/* Accepted, and done or not as asked for; NULL: there is none. */
static sim_job *any_job(bool done) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const sim_job *job = value;
    if (job->seen_accepted && (!done || job->seen_done)) g_ptr_array_add(jobs, value);
  }
  sim_job *job = jobs->len > 0 ? jobs->pdata[g_rand_int_range(sim_rand(), 0, (gint32)jobs->len)] : NULL;
  g_ptr_array_free(jobs, TRUE);
  return job;
}

static double g_odd_until;

static void odd_request(void *arg) {
  (void)arg;
  if (sim_now() > g_odd_until) return;
  g_result.odd++;
  double choice = sim_draw(0, 1);
  sim_job *job = choice < 0.3 ? any_job(false) : any_job(true);
  if (choice < 0.6 && job) {
    sim_call(WORLD_USER_IP, WORLD_NODE_IP(world_any_node()), "POST", "/api/jobs", job->body, 5, on_repeated, ask(job));
  } else if (choice < 0.75 && job) {
    cancel_by(job, world_any_node());
  } else {
    submit_odd();
  }
  sim_after(sim_draw(0.2, 1.5), odd_request, NULL);
}

void users_send_invalid(double until) {
  bool on = sim_now() <= g_odd_until;
  g_odd_until = MAX(g_odd_until, until);
  if (!on) odd_request(NULL);
}

void users_init(void) {
  g_odd_until = 0;
  g_jobs = g_hash_table_new(g_str_hash, g_str_equal);
  g_users_node = -1;
}

void users_poll_unknown_job(void *arg) {
  (void)arg;
  sim_call(WORLD_USER_IP, WORLD_NODE_IP(pick_node()), "GET", "/api/jobs/job-999999", "", 2, on_unknown, NULL);
  sim_after(sim_draw(5, 15), users_poll_unknown_job, NULL);
}

static const char *quoted(const char *value) {
  static char text[40];
  if (!value) return "null";
  g_snprintf(text, sizeof text, "\"%s\"", value);
  return text;
}

/* As JSON; the caller frees it. */
static char *list_awaits(const sim_job *job) {
  GString *list = g_string_new("[");
  for (guint i = 0; i < job->needs->len; i++)
    g_string_append_printf(list, "%s\"%s\"", i ? "," : "", ((const sim_job *)job->needs->pdata[i])->id);
  g_string_append_c(list, ']');
  return g_string_free(list, FALSE);
}

static const char *number_or_null(double number) {
  static char text[40];
  if (number <= 0) return "null";
  g_snprintf(text, sizeof text, "%f", number);
  return text;
}

/* Into the world: known to the workers, and its user on the way. */
static void job_enter(sim_job *job, unsigned image) {
  job->done = g_new0(bool, job->tasks);
  if (!job->needs) job->needs = g_ptr_array_new();
  char *awaits = list_awaits(job);
  job->body = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"%s\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":8,\"kit\":\"img-%u\",\"pullGb\":1,\"builds\":null,\"ground\":%s,\"samePlace\":%s,"
      "\"scatter\":%s,\"loaners\":%s,\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":%s,"
      "\"awaits\":%s}",
      job->id, job->kind, job->team, job->kind, job->priority, job->tasks, job->cpus, job->gpus, image,
      quoted(job->zone), job->one_zone ? "true" : "false", job->spread ? "true" : "false", job->spot ? "true" : "false",
      number_or_null(job->deadline_s), awaits);
  size_t plain = (size_t)(strstr(job->body, ",\"awaits\"") - job->body);
  job->body_without_needs = g_strdup_printf("%.*s}", (int)plain, job->body);
  g_free(awaits);
  g_hash_table_insert(g_jobs, job->id, job);
  g_result.submitted++;
  job->created_at = sim_now();
  sim_after(job->submit_delay_s, user_submit, job);
}

/* Users upload descriptions, so workers know of jobs that nobody has submitted yet. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s) {
  sim_job *job = g_new0(sim_job, 1);
  g_strlcpy(job->id, id, sizeof job->id);
  job->kind = kind;
  job->team = "red";
  job->tasks = tasks;
  job->gpus = job->cpus = gpus;
  job->run_s = run_s;
  job->spot = job->submitting = true;
  job->needs = g_ptr_array_new();
  job->done = g_new0(bool, tasks);
  g_hash_table_insert(g_jobs, job->id, job);
}

const char *world_id(unsigned number) {
  static char id[4][32];
  static unsigned next;
  char *out = id[next++ % 4];
  g_snprintf(out, sizeof id[0], "job-%06u", number);
  return out;
}

void world_submit_job(const world_job *spec) {
  sim_job *job = g_new0(sim_job, 1);
  g_strlcpy(job->id, spec->id, sizeof job->id);
  job->kind = spec->kind;
  job->priority = spec->rank ? spec->rank : "standard";
  job->team = spec->team ? spec->team : "red";
  job->zone = spec->zone;
  job->tasks = spec->tasks;
  job->cpus = job->gpus = spec->gpus;
  job->run_s = spec->run_s;
  job->stagger_s = spec->later_s;
  job->one_zone = spec->one_zone;
  job->spread = spec->spread;
  job->spot = spec->spot;
  job->submit_delay_s = spec->in_s;
  job->cancel_delay_s = spec->cancel_in_s;
  job->deadline_s = spec->whistle_s;
  job->needs = g_ptr_array_new();
  for (size_t i = 0; i < G_N_ELEMENTS(spec->awaits) && spec->awaits[i]; i++)
    g_ptr_array_add(job->needs, g_hash_table_lookup(g_jobs, spec->awaits[i]));
  job_enter(job, 1);
}

void world_submit(const char *id, const char *kind, const char *rank, unsigned tasks, double gpus, double run_s,
                  double in_s) {
  world_submit_job(&(world_job){.id = id,
                                .kind = kind,
                                .rank = rank,
                                .tasks = tasks,
                                .gpus = gpus,
                                .run_s = run_s,
                                .in_s = in_s,
                                .one_zone = strcmp(kind, "gang") == 0,
                                .spread = strcmp(kind, "service") == 0,
                                .spot = strcmp(kind, "sweep") == 0});
}

double world_ended_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->completed_at;
}

const char *world_told(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->seen_done ? "done" : job->seen_cancelled ? "cancelled" : NULL;
}

double world_began(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->began_at;
}

double world_told_done_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->seen_done_at;
}

unsigned world_unanswered(double since) {
  GHashTableIter iter;
  gpointer value;
  unsigned count = 0;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value)) {
    const sim_job *job = value;
    count += job->seen_accepted && job->seen_accepted_at < since && !job->terminal && job->last_answer_at < since;
  }
  return count;
}

/* An earlier job that may be named; NULL: none came up. */
static sim_job *any_earlier(void) {
  GPtrArray *jobs = g_ptr_array_new();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init(&iter, g_jobs);
  while (g_hash_table_iter_next(&iter, NULL, &value))
    if (strcmp(((const sim_job *)value)->kind, "service") != 0) g_ptr_array_add(jobs, value);
  g_ptr_array_sort(jobs, compare_ids);
  sim_job *job = jobs->len > 0 ? jobs->pdata[g_rand_int_range(sim_rand(), 0, (gint32)jobs->len)] : NULL;
  g_ptr_array_free(jobs, TRUE);
  return job;
}

/* One job of a pipeline, after those in `before`. */
static sim_job *stage_new(unsigned number, double from_s, const GPtrArray *before) {
  sim_job *job = g_new0(sim_job, 1);
  g_snprintf(job->id, sizeof job->id, "job-%06u", FIRST_OF_PIPELINES + number);
  bool gang = sim_chance(0.2);
  job->kind = gang ? "gang" : "sweep";
  job->priority = sim_chance(0.5) ? "best_effort" : "standard";
  job->team = sim_chance(0.5) ? "red" : "blue";
  job->tasks = 1 + (unsigned)sim_draw(0, gang ? 3 : 6);
  job->gpus = 0.25;
  job->cpus = sim_draw(1, 4);
  job->run_s = sim_draw(2, 12);
  job->one_zone = gang;
  job->spot = !gang;
  job->submit_delay_s = from_s;
  job->needs = g_ptr_array_new();
  for (guint i = 0; i < before->len; i++)
    if (i + 1 == before->len || sim_chance(0.4)) g_ptr_array_add(job->needs, before->pdata[i]);
  return job;
}

unsigned users_add_random_pipeline(unsigned number, double busy_s) {
  GPtrArray *stages = g_ptr_array_new();
  double from_s = sim_draw(0, busy_s);
  unsigned count = 2 + (unsigned)sim_draw(0, 5);
  bool called_off = sim_chance(0.25);
  unsigned which = (unsigned)sim_draw(0, count);
  sim_job *earlier = sim_chance(0.3) ? any_earlier() : NULL;
  if (earlier) g_ptr_array_add(stages, earlier);
  for (unsigned i = 0; i < count; i++) {
    /* Some submit the last only when the others may be over. */
    bool last = i + 1 == count;
    sim_job *job = stage_new(number + i, last && sim_chance(0.2) ? from_s + 40 : from_s, stages);
    if (last) {
      job->priority = "high";
      job->deadline_s = sim_draw(30, 120);
    }
    if (called_off && i == which) job->cancel_delay_s = sim_draw(0, 30);
    job_enter(job, (number + i) % 4);
    g_ptr_array_add(stages, job);
  }
  g_ptr_array_free(stages, TRUE);
  return count;
}

void users_add_random_job(unsigned number, double busy_s, bool meetings) {
  sim_job *job = g_new0(sim_job, 1);
  g_snprintf(job->id, sizeof job->id, "job-%06u", number * 7919 % 900000);
  double choice = sim_draw(0, 1);
  job->kind = choice < 0.45 ? "sweep" : choice < 0.75 ? "service" : "gang";
  job->priority = strcmp(job->kind, "service") == 0 ? "prod" : strcmp(job->kind, "gang") == 0 ? "high" : "standard";
  job->team = sim_chance(0.5) ? "red" : "blue";
  job->tasks =
      strcmp(job->kind, "sweep") == 0 ? 1 + (unsigned)(sim_draw(0, 1) * sim_draw(0, 10)) : 1 + (unsigned)sim_draw(0, 3);
  job->gpus = strcmp(job->kind, "gang") == 0 && sim_chance(0.3) ? 4 : 1;
  job->cpus = job->gpus * sim_draw(2, 9);
  job->run_s = sim_draw(3, 25);
  job->one_zone = strcmp(job->kind, "gang") == 0 && sim_chance(0.7);
  job->spread = strcmp(job->kind, "service") == 0 && sim_chance(0.5);
  job->spot = strcmp(job->kind, "sweep") == 0 || (strcmp(job->kind, "gang") == 0 && sim_chance(0.5));
  job->submit_delay_s = sim_draw(0, busy_s);
  /* Services are cancelled in the end, others now and then. */
  if (strcmp(job->kind, "service") == 0)
    job->cancel_delay_s = sim_draw(20, 100);
  else if (sim_chance(0.1))
    job->cancel_delay_s = sim_draw(0, 40);
  if (meetings) incidents_vary_job(job);
  job_enter(job, number % 4);
}
