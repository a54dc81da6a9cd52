/* What must hold at the end of a day, job by job, and what must hold all through the
 * quiet part of it. */
#include "parts.h"

#define SAMPLE_S 3.0
#define LEFT_S 90.0      /* a job that could run waits no longer */
#define LARGEST_S 240.0  /* the largest begin within, once the troubles are over */
#define LARGEST_SHARE 5u /* the largest: one job in so many of its class */

static bool live(const task *t) {
  return t->state != T_EXITED;
}

/* As controllers may use it: there, and not about to go. */
static bool usable(const worker *w) {
  double now = sim_now();
  return w->up && !w->gone && w->notice_at <= 0 && now >= w->hang_until && now >= w->deaf_until && now >= w->mute_until;
}

/* How many more tasks of the job the machine has room for. */
static unsigned places_on(const worker *w, const job *j) {
  if (!usable(w) || (w->spot && !j->spot)) return 0;
  if (j->zone && strcmp(j->zone, world_zones[w->zone]) != 0) return 0;
  double cpus = MACHINE_CPUS, gpus = MACHINE_GPUS;
  for (guint i = 0; i < w->tasks->len; i++) {
    const task *t = w->tasks->pdata[i];
    if (!live(t) || !t->job) continue;
    cpus -= t->job->cpus;
    gpus -= t->job->gpus;
  }
  unsigned n = 0;
  while (n < j->tasks && cpus >= j->cpus - 1e-6 && gpus >= j->gpus - 1e-6) {
    n++;
    cpus -= j->cpus;
    gpus -= j->gpus;
  }
  return n;
}

typedef struct standing {
  unsigned missing; /* tasks that are neither done nor on a machine */
  unsigned running;
  unsigned in_zone[2]; /* its tasks that are on machines */
  unsigned room[2];    /* for more of them */
} standing;

static standing stand_of(const job *j) {
  standing s = {0};
  bool *there = g_new0(bool, j->tasks);
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    if (w->gone) continue;
    for (guint k = 0; k < w->tasks->len; k++) {
      const task *t = w->tasks->pdata[k];
      if (t->job != j || !live(t)) continue;
      there[t->index] = true;
      s.in_zone[w->zone]++;
      s.running += t->state == T_RUNNING;
    }
    s.room[w->zone] += places_on(w, j);
  }
  /* Done, and nobody has learned of it: it takes another start. */
  bool all = j->done_count == j->tasks;
  for (unsigned i = 0; i < j->tasks; i++) s.missing += !there[i] && (all || !j->done[i]);
  g_free(there);
  return s;
}

static double team_gpus(const char *team) {
  double gpus = 0;
  for (guint i = 0; i < g_order->len; i++) {
    const worker *w = g_order->pdata[i];
    for (guint k = 0; !w->gone && k < w->tasks->len; k++) {
      const task *t = w->tasks->pdata[k];
      if (live(t) && t->job && strcmp(t->job->team, team) == 0) gpus += t->job->gpus;
    }
  }
  return gpus;
}

/* Room for all of a gang, or for one more task, where the job may be. */
static bool has_room(const job *j, const standing *s, unsigned need) {
  if (strcmp(j->team, "blue") == 0 && team_gpus("blue") + need * j->gpus > BLUE_GPUS_MAX + 1e-6) return false;
  unsigned all = 0, one = 0;
  for (int z = 0; z < 2; z++) {
    unsigned room = s->room[z], half = (j->tasks + 1) / 2;
    if (j->spread) room = s->in_zone[z] >= half ? 0 : MIN(room, half - s->in_zone[z]);
    all += room;
    if (s->in_zone[!z] == 0) one = MAX(one, room);
  }
  return (j->one_zone ? one : all) >= need;
}

/* Since when the job has been left waiting beside room; 0: it isn't. */
static double left_since(const job *j) {
  if (!j->told_accepted || j->over || j->cancel_asked || job_called_off(j) || isinf(job_ready_at(j))) return 0;
  bool gang = strcmp(j->kind, "gang") == 0;
  standing s = stand_of(j);
  if (gang ? s.running > 0 : s.missing == 0) return 0;
  if (!has_room(j, &s, gang ? s.missing : 1)) return 0;
  double since = j->left_since > 0 ? j->left_since : sim_now(); /* it is ready then */
  return gang ? since : MAX(since, j->last_start);
}

static void each_job(void (*fn)(job *j)) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) fn(value);
}

static void broke_of(const char *rule, const job *j, double since) {
  char detail[160];
  g_snprintf(detail, sizeof detail, "%s %s of %u tasks, %.0f GPUs each, since %.1f", j->kind, j->id, j->tasks, j->gpus,
             since);
  world_broke(rule, detail);
}

static void sample_job(job *j) {
  j->left_since = left_since(j);
  if (j->left_since <= 0 || sim_now() <= j->left_since + LEFT_S) return;
  broke_of("left waiting beside room", j, j->left_since);
  j->left_since = sim_now(); /* once in so long */
}

static void sample(void *arg) {
  (void)arg;
  if (sim_now() > g_quiet_from) each_job(sample_job);
  sim_after(SAMPLE_S, sample, NULL);
}

/* ---- the end ---- */

static void check_known(job *j) {
  double since = MAX(g_quiet_from, MAX(j->accepted_at, j->answered_at));
  if (j->told_accepted && sim_now() > since + FORGOTTEN_S) broke_of("forgotten (nothing answered)", j, since);
}

static double size_of(const job *j) {
  return j->tasks * j->gpus;
}

static gint by_size(gconstpointer a, gconstpointer b) {
  double x = size_of(*(job *const *)a), y = size_of(*(job *const *)b);
  return x > y ? -1 : x < y;
}

/* What is cancelled before it has waited for long asks for nothing. */
static bool counts(const job *j) {
  if (j->began_at <= 0 && (job_called_off(j) || isinf(job_ready_at(j)))) return false;
  return j->began_at > 0 || !j->cancel_asked || j->cancel_asked_at > j->accepted_at + LEFT_S;
}

static void check_served(const char *what, const char *name, GPtrArray *jobs, guint first) {
  unsigned all = 0, served = 0;
  for (guint i = 0; i < first; i++) {
    const job *j = jobs->pdata[i];
    all += counts(j);
    served += counts(j) && j->began_at > 0;
  }
  if (all > 0) g_result.served_least = MIN(g_result.served_least, 100 * served / all);
  if (served * 2 >= all) return;
  char detail[160];
  g_snprintf(detail, sizeof detail, "%s %s: %u of %u", what, name, served, all);
  world_broke("less than half served", detail);
}

static GPtrArray *jobs_of(const char *kind, const char *team) {
  GPtrArray *out = g_ptr_array_new();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, g_jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) {
    const job *j = value;
    if ((!kind || strcmp(j->kind, kind) == 0) && (!team || strcmp(j->team, team) == 0)) g_ptr_array_add(out, value);
  }
  g_ptr_array_sort(out, by_size);
  return out;
}

/* Every job as large as the last of the share counts with them. */
static guint largest_of(const GPtrArray *jobs) {
  guint n = (jobs->len + LARGEST_SHARE - 1) / LARGEST_SHARE;
  while (n < jobs->len && n > 0 && size_of(jobs->pdata[n]) >= size_of(jobs->pdata[n - 1])) n++;
  return n;
}

static void check_class(const char *kind) {
  GPtrArray *jobs = jobs_of(kind, NULL);
  guint largest = largest_of(jobs);
  check_served("class", kind, jobs, jobs->len);
  check_served("largest of", kind, jobs, largest);
  for (guint i = 0; i < largest; i++) {
    const job *j = jobs->pdata[i];
    if (job_called_off(j) || isinf(job_ready_at(j))) continue;
    double from = MAX(MAX(j->entered_at + j->submit_at, job_ready_at(j)), g_quiet_from);
    double began = j->began_at > 0 ? j->began_at : sim_now();
    if (!j->cancel_asked && began > from + LARGEST_S) broke_of("one of the largest began late", j, from);
  }
  g_ptr_array_free(jobs, TRUE);
}

static void check_recorded(const char *id) {
  if (!g_hash_table_contains(g_jobs, id)) world_broke("accepted what can't run or isn't a job", id);
}

void checks_start(void) {
  g_result.served_least = 100;
  sim_after(SAMPLE_S, sample, NULL);
}

double checks_day_ends(void) {
  return g_quiet_from + LARGEST_S + SAMPLE_S;
}

void checks_end(void) {
  static const char *const kinds[] = {"sweep", "gang", "service"};
  static const char *const teams[] = {"red", "blue"};
  each_job(check_known);
  for (guint i = 0; i < G_N_ELEMENTS(kinds); i++) check_class(kinds[i]);
  for (guint i = 0; i < G_N_ELEMENTS(teams); i++) {
    GPtrArray *jobs = jobs_of(NULL, teams[i]);
    check_served("team", teams[i], jobs, jobs->len);
    g_ptr_array_free(jobs, TRUE);
  }
  state_each("fc1/job/", check_recorded);
  state_each("fc1over/", check_recorded);
}
