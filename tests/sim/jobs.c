/* Jobs of simulated users: submission by scenes, state as seen by scenes, and dependencies. */
#include "users.h"

/* ---- dependencies ---- */

double job_ready_at(const sim_job *job) {
  double at = 0;
  for (guint i = 0; i < job->dependencies->len; i++) {
    const sim_job *dependency = job->dependencies->pdata[i];
    at = MAX(at, dependency->completed_at > 0 ? dependency->completed_at : INFINITY);
  }
  return at;
}

bool job_dependency_cancelled(const sim_job *job) {
  for (guint i = 0; i < job->dependencies->len; i++) {
    const sim_job *dependency = job->dependencies->pdata[i];
    if ((dependency->cancel_requested && !dependency->seen_done) || job_dependency_cancelled(dependency)) return true;
  }
  return false;
}

/* ---- submissions ---- */

/* Both return a text that is valid until the next call. */
static const char *json_string_or_null(const char *value) {
  static char quoted[40];
  if (!value) return "null";
  g_snprintf(quoted, sizeof quoted, "\"%s\"", value);
  return quoted;
}

static const char *json_number_or_null(double number) {
  static char text[40];
  if (number <= 0) return "null";
  g_snprintf(text, sizeof text, "%f", number);
  return text;
}

/* The ids of its dependencies as JSON; the caller frees it with g_free(). */
static char *list_dependencies(const sim_job *job) {
  GString *list = g_string_new("[");
  for (guint i = 0; i < job->dependencies->len; i++)
    g_string_append_printf(list, "%s\"%s\"", i ? "," : "", ((const sim_job *)job->dependencies->pdata[i])->id);
  g_string_append_c(list, ']');
  return g_string_free(list, FALSE);
}

/* Its allowed machine types as JSON, "null" for any; the caller frees it with g_free(). */
static char *list_types(const sim_job *job) {
  if (job->absent_types == 0) return g_strdup("null");
  GString *list = g_string_new("[\"g4\"");
  for (unsigned i = 0; i < job->absent_types; i++) g_string_append_printf(list, ",\"absent-type-%u\"", i);
  g_string_append_c(list, ']');
  return g_string_free(list, FALSE);
}

static const char *json_flag(bool flag) {
  return flag ? "true" : "false";
}

static void write_bodies(sim_job *job, unsigned image) {
  char *dependencies = list_dependencies(job), *types = list_types(job);
  job->body = g_strdup_printf(
      "{\"id\":\"%s\",\"squad\":\"%s\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":8,\"kit\":\"img-%u\",\"pullGb\":1,\"builds\":%s,\"ground\":%s,\"samePlace\":%s,"
      "\"scatter\":%s,\"loaners\":%s,\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":%s,"
      "\"awaits\":%s}",
      job->id, job->kind, job->team, job->kind, job->priority, job->tasks, job->cpus, job->gpus, image, types,
      json_string_or_null(job->zone), json_flag(job->one_zone), json_flag(job->spread), json_flag(job->spot),
      json_number_or_null(job->deadline_s), dependencies);
  size_t plain_length = (size_t)(strstr(job->body, ",\"awaits\"") - job->body);
  job->body_without_dependencies = g_strdup_printf("%.*s}", (int)plain_length, job->body);
  g_free(dependencies);
  g_free(types);
}

void job_add(sim_job *job, unsigned image) {
  job->done = g_new0(bool, job->tasks);
  if (!job->dependencies) job->dependencies = g_ptr_array_new();
  write_bodies(job, image);
  g_hash_table_insert(g_jobs, job->id, job);
  g_result.submitted++;
  job->created_at = sim_now();
  user_begin(job);
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
  job->priority = spec->priority ? spec->priority : "standard";
  job->team = spec->team ? spec->team : "red";
  job->zone = spec->zone;
  job->absent_types = spec->absent_types;
  job->tasks = spec->tasks;
  job->cpus = job->gpus = spec->gpus;
  job->run_s = spec->run_s;
  job->stagger_s = spec->stagger_s;
  job->odd_run_s = spec->odd_run_s;
  job->one_zone = spec->one_zone;
  job->spread = spec->spread;
  job->spot = spec->spot;
  job->submit_delay_s = spec->in_s;
  job->cancel_delay_s = spec->cancel_in_s;
  job->deadline_s = spec->deadline_s;
  job->dependencies = g_ptr_array_new();
  for (size_t i = 0; i < G_N_ELEMENTS(spec->dependencies) && spec->dependencies[i]; i++)
    g_ptr_array_add(job->dependencies, g_hash_table_lookup(g_jobs, spec->dependencies[i]));
  job_add(job, 1);
}

void world_submit(const char *id, const char *kind, const char *priority, unsigned tasks, double gpus, double run_s,
                  double in_s) {
  world_submit_job(&(world_job){.id = id,
                                .kind = kind,
                                .priority = priority,
                                .tasks = tasks,
                                .gpus = gpus,
                                .run_s = run_s,
                                .in_s = in_s,
                                .one_zone = strcmp(kind, "gang") == 0,
                                .spread = strcmp(kind, "service") == 0,
                                .spot = strcmp(kind, "sweep") == 0});
}

/* Users upload descriptions of jobs, so workers know jobs that are not submitted yet. */
void world_add_job(const char *id, const char *kind, unsigned tasks, double gpus, double run_s) {
  sim_job *job = g_new0(sim_job, 1);
  g_strlcpy(job->id, id, sizeof job->id);
  job->kind = kind;
  job->team = "red";
  job->tasks = tasks;
  job->gpus = job->cpus = gpus;
  job->run_s = run_s;
  job->spot = job->submitting = true;
  job->dependencies = g_ptr_array_new();
  job->done = g_new0(bool, tasks);
  g_hash_table_insert(g_jobs, job->id, job);
}

/* ---- state ---- */

double world_seen_accepted_at(const char *id) {
  return ((const sim_job *)g_hash_table_lookup(g_jobs, id))->seen_accepted_at;
}

double world_seen_cancelled_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->seen_cancelled ? job->seen_cancelled_at : 0;
}

double world_began_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->began_at;
}

double world_completed_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->completed_at;
}

double world_seen_done_at(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->seen_done_at;
}

const char *world_seen_terminal_state(const char *id) {
  const sim_job *job = g_hash_table_lookup(g_jobs, id);
  return job->seen_done ? "done" : job->seen_cancelled ? "cancelled" : NULL;
}

unsigned world_jobs_unanswered_since(double since) {
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
