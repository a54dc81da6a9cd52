#include "controller/kv_watch.h"

#include <malloc.h>

#include "bookkeeping/job_records.h"

/* Reading everything. */
#define PAGE_ROWS_MAX 1000u /* as many as the store returns at once */
#define PAGE_ROWS_MIN 100u  /* every page costs a round trip */
#define ROW_COST_S 10e-6    /* of a core, to parse one; 13e-6 measured for rows of 310 bytes */
#define PAGE_PARSE_S 0.05   /* heartbeats wait no longer than this for a page */
#define PAGE_PAUSE_S 0.03   /* between two pages */
#define PAGE_TIMEOUT_S 2.0
#define LOAD_RETRY_MIN_S 0.2
#define LOAD_RETRY_MAX_S 0.5

/* Reading changes. */
#define READ_RATE_SHARE 0.4 /* of our share of the request rate */
#define LONG_POLL_HEARTBEATS 0.5
#define ANSWER_TIMEOUT_S 1.0 /* beyond the time that the store holds the request */
#define BACKOFF_MIN_S 0.1
#define BACKOFF_MAX_S 1.0
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
  unsigned readers; /* routines that wait for a fresh read */
  fc_cond applied;  /* a read of changes was applied */
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
  return (unsigned)CLAMP(PAGE_PARSE_S * settings->cpu / ROW_COST_S, PAGE_ROWS_MIN, PAGE_ROWS_MAX);
}

/* ---- reading everything ---- */

/* All rows, and the revision of the first page. */
typedef struct snapshot {
  GPtrArray *rows;     /* fc_kv_change */
  GHashTable *present; /* their keys */
  uint64_t revision;
} snapshot;

/* Reads one page after *after, which becomes its last key. */
static bool read_page(fc_kv_watch *watch, snapshot *all, char **after, bool *more) {
  GPtrArray *page = g_ptr_array_new();
  uint64_t revision = 0;
  unsigned rows = fc_kv_watch_page_rows(watch->cluster->settings);
  fc_kv_result result =
      fc_kv_list(watch->kv, FC_PREFIX, *after, rows, fc_now() + PAGE_TIMEOUT_S, page, more, &revision);
  bool ok = result == FC_KV_OK && (!*more || page->len > 0);
  if (ok && !*after) all->revision = revision;
  for (guint i = 0; i < page->len; i++) {
    fc_kv_change *row = page->pdata[i];
    g_hash_table_add(all->present, g_strdup(row->key));
    g_free(*after);
    *after = g_strdup(row->key);
    g_ptr_array_add(all->rows, row);
  }
  g_ptr_array_free(page, TRUE);
  return ok;
}

static bool read_snapshot(fc_kv_watch *watch, snapshot *all) {
  char *after = NULL;
  bool more = true, ok = true;
  while (more && ok) {
    ok = read_page(watch, all, &after, &more);
    if (more && ok) (void)fc_routine_sleep(PAGE_PAUSE_S);
  }
  g_free(after);
  return ok;
}

/* Reads everything. Pages may change while the others are read: the changes since the first are
 * read again afterwards, and versions tell which is newer. */
static bool load(fc_kv_watch *watch) {
  fc_cluster *cluster = watch->cluster;
  snapshot all = {.rows = g_ptr_array_new_with_free_func(fc_kv_change_free),
                  .present = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
  bool ok = read_snapshot(watch, &all);
  if (ok) {
    for (guint i = 0; i < all.rows->len; i++) fc_record_applier_apply(watch->applier, all.rows->pdata[i], false);
    fc_record_applier_retain(watch->applier, all.present, all.revision);
    cluster->sync.revision = all.revision;
    fc_cluster_prune_unread_cancellations(cluster, all.revision);
    cluster->sync.loaded = true;
    g_info("loaded keys=%u revision=%" G_GUINT64_FORMAT, all.rows->len, (guint64)all.revision);
  }
  g_ptr_array_free(all.rows, TRUE);
  g_hash_table_destroy(all.present);
  /* What everything took while it was read is several times what the cluster state keeps of it. */
  if (ok) (void)malloc_trim(0);
  return ok;
}

/* ---- reading changes ---- */

static void apply_changes(fc_kv_watch *watch, const GPtrArray *changes, uint64_t revision, double sent_at) {
  fc_store_sync *sync = &watch->cluster->sync;
  /* The other reader may have been faster: what it brought is passed over, so that changes are
   * applied once and in order. */
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

/* Reads the changes since what has been applied; the store holds the request up to `hold_s` until
 * the first. */
static fc_kv_result read_changes(fc_kv_watch *watch, double hold_s) {
  fc_store_sync *sync = &watch->cluster->sync;
  watch->metrics->counters.reads++;
  double sent_at = fc_now();
  uint64_t revision = 0;
  GPtrArray *changes = g_ptr_array_new_with_free_func(fc_kv_change_free);
  fc_kv_result result = fc_kv_changes(watch->kv, FC_PREFIX, sync->revision, hold_s, sent_at + hold_s + ANSWER_TIMEOUT_S,
                                      changes, &revision);
  if (!sync->loaded) {
    result = FC_KV_UNKNOWN; /* everything is being read anew */
  } else if (result == FC_KV_OK) {
    apply_changes(watch, changes, revision, sent_at);
  } else if (result == FC_KV_GONE) {
    sync->loaded = false;
  }
  g_ptr_array_free(changes, TRUE);
  return result;
}

/* Seconds between two reads of one reader: there are two. */
static double read_spacing_s(const fc_kv_watch *watch) {
  const fc_settings *settings = watch->cluster->settings;
  return 2 * ((double)(settings->peer_count + 1) / (settings->kv_rps * READ_RATE_SHARE));
}

static double next_backoff_s(double backoff_s) {
  return backoff_s > 0 ? MIN(backoff_s * 2, BACKOFF_MAX_S) : BACKOFF_MIN_S;
}

/* The routine of long reads, one after the other: learns of changes as they happen. */
static void run_long_reads(void *arg) {
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
    double pause_s =
        backoff_s > 0 ? backoff_s * g_random_double_range(0.5, 1.0) : began_at + read_spacing_s(watch) - fc_now();
    if (pause_s > 0 && fc_routine_sleep(pause_s) == FC_WAKE_CANCELLED) break;
  }
}

/* The routine of the read index: one short read serves every routine that waits at that moment
 * for proof that the cluster state is current. */
static void run_short_reads(void *arg) {
  fc_kv_watch *watch = arg;
  fc_metrics_enter_duty(watch->metrics, FC_DUTY_WATCH);
  while (!fc_routine_cancelled()) {
    if (watch->readers == 0 || !watch->cluster->sync.loaded) {
      (void)fc_wakeups_wait(watch->wakeups, FC_WAKEUP_READ, fc_now() + IDLE_WAIT_S);
      continue;
    }
    double began_at = fc_now();
    fc_kv_result result = read_changes(watch, 0);
    double pause_s = result == FC_KV_OK ? began_at + read_spacing_s(watch) - fc_now()
                                        : g_random_double_range(SHORT_RETRY_MIN_S, SHORT_RETRY_MAX_S);
    if (pause_s > 0 && fc_routine_sleep(pause_s) == FC_WAKE_CANCELLED) break;
  }
}

bool fc_kv_watch_start(fc_kv_watch *watch) {
  return fc_routine_spawn(run_long_reads, watch) && fc_routine_spawn(run_short_reads, watch);
}

/* ---- waits for a read ---- */

/* What a routine waits for: a read that was sent at that time or later, and that revision. */
typedef struct awaited_sync {
  double read_at;
  uint64_t revision;
} awaited_sync;

static bool is_reached(const fc_store_sync *sync, const awaited_sync *awaited) {
  return sync->loaded && sync->read_at >= awaited->read_at && sync->revision >= awaited->revision;
}

static bool wait_for(fc_kv_watch *watch, const awaited_sync *awaited, double deadline) {
  const fc_store_sync *sync = &watch->cluster->sync;
  watch->readers++;
  fc_wakeups_raise(watch->wakeups, FC_WAKEUP_READ);
  bool reached = is_reached(sync, awaited);
  while (!reached && fc_cond_wait(&watch->applied, deadline) == FC_WAKE_OK) reached = is_reached(sync, awaited);
  watch->readers--;
  return reached;
}

bool fc_kv_watch_wait_fresh(fc_kv_watch *watch, double deadline) {
  return wait_for(watch, &(awaited_sync){.read_at = fc_now()}, deadline);
}

bool fc_kv_watch_wait_revision(fc_kv_watch *watch, uint64_t revision, double deadline) {
  /* Any read will do that shows the revision. */
  return wait_for(watch, &(awaited_sync){.read_at = -G_MAXDOUBLE, .revision = revision}, deadline);
}

void fc_kv_watch_wait_outcome(fc_kv_watch *watch, fc_kv_result result, uint64_t revision, double deadline) {
  if (result == FC_KV_OK) {
    (void)fc_kv_watch_wait_revision(watch, revision, deadline);
  } else {
    (void)fc_kv_watch_wait_fresh(watch, deadline);
  }
}
