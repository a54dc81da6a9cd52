#include "bookkeeping/cancellation_log.h"

/* The greatest age in a frame, in seconds: in milliseconds it fits into 32 bits. */
#define MAX_AGE_S 1e6

struct fc_cancellation_log {
  GArray *entries;           /* fc_cancellation, in ascending order of revision */
  uint64_t dropped_revision; /* entries up to this revision have been dropped */
};

fc_cancellation_log *fc_cancellation_log_new(void) {
  fc_cancellation_log *log = g_new0(fc_cancellation_log, 1);
  log->entries = g_array_new(FALSE, TRUE, sizeof(fc_cancellation));
  return log;
}

void fc_cancellation_log_free(fc_cancellation_log *log) {
  if (!log) return;
  g_array_free(log->entries, TRUE);
  g_free(log);
}

static const fc_cancellation *entry_at(const fc_cancellation_log *log, guint index) {
  return &g_array_index(log->entries, fc_cancellation, index);
}

/* The index of the first entry newer than `revision`; the number of entries if there is none. */
static guint first_newer_than(const fc_cancellation_log *log, uint64_t revision) {
  guint low = 0, high = log->entries->len;
  while (low < high) {
    guint middle = low + (high - low) / 2;
    if (entry_at(log, middle)->revision > revision) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

static void drop_oldest(fc_cancellation_log *log, guint count) {
  if (count == 0) return;
  log->dropped_revision = MAX(log->dropped_revision, entry_at(log, count - 1)->revision);
  g_array_remove_range(log->entries, 0, count);
}

bool fc_cancellation_log_add(fc_cancellation_log *log, const char *job, uint64_t revision, double since) {
  if (revision <= log->dropped_revision) return false;
  guint end = first_newer_than(log, revision);
  /* One transaction may cancel several jobs. */
  for (guint i = end; i-- > 0 && entry_at(log, i)->revision == revision;)
    if (g_str_equal(entry_at(log, i)->job, job)) return false;
  fc_cancellation entry = {.revision = revision, .since = since};
  g_strlcpy(entry.job, job, sizeof entry.job);
  g_array_insert_val(log->entries, end, entry);
  /* All entries of one revision are dropped together: a remainder would be taken for the complete
   * transaction. */
  if (log->entries->len > FC_FRAME_CANCELLATIONS_MAX)
    drop_oldest(log, first_newer_than(log, entry_at(log, 0)->revision));
  return true;
}

bool fc_cancellation_log_since(const fc_cancellation_log *log, uint64_t revision, const fc_cancellation **first,
                               size_t *count) {
  guint from = first_newer_than(log, revision);
  *count = log->entries->len - from;
  *first = *count ? entry_at(log, from) : NULL;
  return revision >= log->dropped_revision;
}

void fc_cancellation_log_trim(fc_cancellation_log *log, uint64_t revision) {
  drop_oldest(log, first_newer_than(log, revision));
}

fc_frame_cancellation *fc_cancellations_to_frame(const fc_cancellation *first, size_t count, double now) {
  fc_frame_cancellation *entries = g_new0(fc_frame_cancellation, count);
  for (size_t i = 0; i < count; i++) {
    g_strlcpy(entries[i].job, first[i].job, sizeof entries[i].job);
    entries[i].revision = first[i].revision;
    entries[i].age_ms = (uint32_t)(MIN(MAX(now - first[i].since, 0), MAX_AGE_S) * FC_MS_PER_S);
  }
  return entries;
}
