#include "controller/kv_watch.h"

#include <malloc.h>

#include "bookkeeping/job_records.h"

/* Loading a snapshot. */
#define PAGE_ROWS_MAX 1000u   /* the most that the store returns at once */
#define PAGE_ROWS_MIN 100u    /* every page costs a round trip */
#define ROW_PARSE_CPU_S 10e-6 /* CPU time to parse one row; rows of 310 bytes take 13e-6 */
#define PAGE_PARSE_S 0.05     /* parsing a page delays heartbeats by no more than this */
#define PAGE_PAUSE_S 0.03     /* between two pages */
#define PAGE_TIMEOUT_S 2.0
#define LOAD_RETRY_MIN_S 0.2
#define LOAD_RETRY_MAX_S 0.5

/* Reading changes. */
#define READ_ROUTINES 2     /* one for long polls, one for short reads */
#define READ_RATE_SHARE 0.4 /* of this member's share of the store's request rate */
#define LONG_POLL_HEARTBEATS 0.5
#define RESPONSE_TIMEOUT_S 1.0 /* beyond the time that the store holds the request */
#define BACKOFF_MIN_S 0.1
#define BACKOFF_MAX_S 1.0
#define BACKOFF_JITTER_MIN 0.5 /* of the backoff */
#define BACKOFF_JITTER_MAX 1.0
#define SHORT_RETRY_MIN_S 0.1
#define SHORT_RETRY_MAX_S 0.4
#define IDLE_WAIT_S 1.0

struct fc_kv_watch {
  fc_cluster *cluster;
  fc_kv *kv;
  fc_record_applier *applier;
  fc_leadership *leadership;
  fc_wakeups *wakeups;
  fc_metrics *metrics;
  unsigned waiters; /* routines that wait for a read */
  fc_cond applied;  /* signalled when a read of changes has been applied */
};

fc_kv_watch *fc_kv_watch_new(fc_cluster *cluster, fc_kv *kv, fc_record_applier *applier, fc_leadership *leadership,
                             fc_wakeups *wakeups, fc_metrics *metrics) {
  fc_kv_watch *watch = g_new0(fc_kv_watch, 1);
  watch->cluster = cluster;
  watch->kv = kv;
  watch->applier = applier;
  watch->leadership = leadership;
  watch->wakeups = wakeups;
  watch->metrics = metrics;
  return watch;
}

unsigned fc_kv_watch_page_rows(const fc_settings *settings) {
  return (unsigned)CLAMP(PAGE_PARSE_S * settings->cpu / ROW_PARSE_CPU_S, PAGE_ROWS_MIN, PAGE_ROWS_MAX);
}

/* ---- loading a snapshot ---- */

/* All rows of the store, as of the revision of the first page or later. */
typedef struct snapshot {
  GPtrArray *rows;     /* fc_kv_change */
  GHashTable *present; /* set of their keys */
  uint64_t revision;   /* of the first page */
} snapshot;

/* Reads the page after the key *after (NULL: the first page), and sets *after to its last key. */
static bool read_page(fc_kv_watch *watch, snapshot *snap, char **after, bool *more) {
  GPtrArray *page = g_ptr_array_new();
  uint64_t revision = 0;
  unsigned rows = fc_kv_watch_page_rows(watch->cluster->settings);
  fc_kv_result result =
      fc_kv_list(watch->kv, FC_PREFIX, *after, rows, fc_now() + PAGE_TIMEOUT_S, page, more, &revision);
  bool ok = result == FC_KV_OK && (!*more || page->len > 0);
  if (ok && !*after) snap->revision = revision;
  for (guint i = 0; i < page->len; i++) {
    fc_kv_change *row = page->pdata[i];
    g_hash_table_add(snap->present, g_strdup(row->key));
    g_free(*after);
    *after = g_strdup(row->key);
    g_ptr_array_add(snap->rows, row);
  }
  g_ptr_array_free(page, TRUE);
  return ok;
}

static bool read_snapshot(fc_kv_watch *watch, snapshot *snap) {
  char *after = NULL;
  bool more = true, ok = true;
  while (more && ok) {
    ok = read_page(watch, snap, &after, &more);
    if (more && ok) (void)fc_routine_sleep(PAGE_PAUSE_S);
  }
  g_free(after);
  return ok;
}

/* Reads and applies all rows. Rows may change while the pages are read: the changes since the first
 * page are read again afterwards, and their versions decide which value is newer. */
static bool load(fc_kv_watch *watch) {
  fc_cluster *cluster = watch->cluster;
  snapshot snap = {.rows = g_ptr_array_new_with_free_func(fc_kv_change_free),
                   .present = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
  bool ok = read_snapshot(watch, &snap);
  if (ok) {
    for (guint i = 0; i < snap.rows->len; i++) fc_record_applier_apply(watch->applier, snap.rows->pdata[i], false);
    fc_record_applier_retain(watch->applier, snap.present, snap.revision);
    cluster->sync.revision = snap.revision;
    fc_cluster_prune_unread_cancellations(cluster, snap.revision);
    cluster->sync.loaded = true;
    g_info("loaded keys=%u revision=%" G_GUINT64_FORMAT, snap.rows->len, (guint64)snap.revision);
  }
  g_ptr_array_free(snap.rows, TRUE);
  g_hash_table_destroy(snap.present);
  /* Loading takes several times the memory that the cluster state needs afterwards. */
  if (ok) (void)malloc_trim(0);
  return ok;
}

/* ---- reading changes ---- */

static void apply_changes(fc_kv_watch *watch, const GPtrArray *changes, uint64_t revision, double sent_at) {
  fc_store_sync *sync = &watch->cluster->sync;
  /* Changes that the other routine has applied already are skipped, so that every change is applied
   * once and in order. */
  for (guint i = 0; i < changes->len; i++) {
    const fc_kv_change *change = changes->pdata[i];
    if (change->version > sync->revision) fc_record_applier_apply(watch->applier, change, true);
  }
  sync->revision = MAX(sync->revision, revision);
  fc_cluster_prune_unread_cancellations(watch->cluster, sync->revision);
  sync->read_at = MAX(sync->read_at, sent_at);
  fc_leadership_read_fresh(watch->leadership, sent_at);
  fc_cond_broadcast(&watch->applied);
}

/* Reads and applies the changes after the applied revision. The store holds the request for up to
 * `hold_s` seconds until there is one. */
static fc_kv_result read_changes(fc_kv_watch *watch, double hold_s) {
  fc_store_sync *sync = &watch->cluster->sync;
  watch->metrics->counters.reads++;
  double sent_at = fc_now();
  uint64_t revision = 0;
  GPtrArray *changes = g_ptr_array_new_with_free_func(fc_kv_change_free);
  fc_kv_result result = fc_kv_changes(watch->kv, FC_PREFIX, sync->revision, hold_s,
                                      sent_at + hold_s + RESPONSE_TIMEOUT_S, changes, &revision);
  if (!sync->loaded) {
    result = FC_KV_UNKNOWN; /* the snapshot is being loaded again */
  } else if (result == FC_KV_OK) {
    apply_changes(watch, changes, revision, sent_at);
  } else if (result == FC_KV_GONE) {
    sync->loaded = false;
  }
  g_ptr_array_free(changes, TRUE);
  return result;
}

/* The interval between two reads of one routine, in seconds. */
static double read_interval_s(const fc_kv_watch *watch) {
  const fc_settings *settings = watch->cluster->settings;
  return READ_ROUTINES * ((double)(settings->peer_count + 1) / (settings->kv_rps * READ_RATE_SHARE));
}

static double next_backoff_s(double backoff_s) {
  return backoff_s > 0 ? MIN(backoff_s * 2, BACKOFF_MAX_S) : BACKOFF_MIN_S;
}

/* Routine that loads the snapshot and then long-polls for changes. */
static void run_long_polls(void *arg) {
  fc_kv_watch *watch = arg;
  double backoff_s = 0;
  while (!fc_routine_cancelled()) {
    if (!watch->cluster->sync.loaded) {
      fc_metrics_enter_duty(watch->metrics, FC_DUTY_LOAD);
      if (!load(watch)) {
        (void)fc_routine_sleep(g_random_double_range(LOAD_RETRY_MIN_S, LOAD_RETRY_MAX_S));
        continue;
      }
    }
    fc_metrics_enter_duty(watch->metrics, FC_DUTY_WATCH);
    double began_at = fc_now();
    fc_kv_result result = read_changes(watch, watch->cluster->settings->heartbeat_s * LONG_POLL_HEARTBEATS);
    backoff_s = result == FC_KV_OK || result == FC_KV_GONE ? 0 : next_backoff_s(backoff_s);
    double pause_s = backoff_s > 0 ? backoff_s * g_random_double_range(BACKOFF_JITTER_MIN, BACKOFF_JITTER_MAX)
                                   : began_at + read_interval_s(watch) - fc_now();
    if (pause_s > 0 && fc_routine_sleep(pause_s) == FC_WAKE_CANCELLED) break;
  }
}

/* Routine of the read index: one short read serves all routines that wait, when it is sent, for proof
 * that the cluster state is current. */
static void run_short_reads(void *arg) {
  fc_kv_watch *watch = arg;
  fc_metrics_enter_duty(watch->metrics, FC_DUTY_WATCH);
  while (!fc_routine_cancelled()) {
    if (watch->waiters == 0 || !watch->cluster->sync.loaded) {
      (void)fc_wakeups_wait(watch->wakeups, FC_WAKEUP_READ, fc_now() + IDLE_WAIT_S);
      continue;
    }
    double began_at = fc_now();
    fc_kv_result result = read_changes(watch, 0);
    double pause_s = result == FC_KV_OK ? began_at + read_interval_s(watch) - fc_now()
                                        : g_random_double_range(SHORT_RETRY_MIN_S, SHORT_RETRY_MAX_S);
    if (pause_s > 0 && fc_routine_sleep(pause_s) == FC_WAKE_CANCELLED) break;
  }
}

bool fc_kv_watch_start(fc_kv_watch *watch) {
  return fc_routine_spawn(run_long_polls, watch) && fc_routine_spawn(run_short_reads, watch);
}

/* ---- waiting for a read ---- */

/* What a routine waits for: a read that was sent at `read_at` or later, and the revision applied. */
typedef struct awaited_sync {
  double read_at;
  uint64_t revision;
} awaited_sync;

static bool is_reached(const fc_store_sync *sync, const awaited_sync *awaited) {
  return sync->loaded && sync->read_at >= awaited->read_at && sync->revision >= awaited->revision;
}

static bool wait_for(fc_kv_watch *watch, const awaited_sync *awaited, double deadline) {
  const fc_store_sync *sync = &watch->cluster->sync;
  watch->waiters++;
  fc_wakeups_raise(watch->wakeups, FC_WAKEUP_READ);
  bool reached = is_reached(sync, awaited);
  while (!reached && fc_cond_wait(&watch->applied, deadline) == FC_WAKE_OK) reached = is_reached(sync, awaited);
  watch->waiters--;
  return reached;
}

bool fc_kv_watch_wait_fresh(fc_kv_watch *watch, double deadline) {
  return wait_for(watch, &(awaited_sync){.read_at = fc_now()}, deadline);
}

bool fc_kv_watch_wait_revision(fc_kv_watch *watch, uint64_t revision, double deadline) {
  /* The time of the read does not matter. */
  return wait_for(watch, &(awaited_sync){.read_at = -G_MAXDOUBLE, .revision = revision}, deadline);
}

void fc_kv_watch_wait_outcome(fc_kv_watch *watch, fc_kv_result result, uint64_t revision, double deadline) {
  if (result == FC_KV_OK) {
    (void)fc_kv_watch_wait_revision(watch, revision, deadline);
  } else {
    (void)fc_kv_watch_wait_fresh(watch, deadline);
  }
}
